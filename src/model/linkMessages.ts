/** Messages between filters and the connections of this instance to databases; such a connection is called a link. */
import type { Message } from "../pipeline/message.ts";
import type { Position } from "./position.ts";
import type { PreparedStatement, SessionStatement, StatementFault, TransactionState } from "./sessionStatement.ts";

export const LinkKind = {
    Open: "link.open",
    Send: "link.send",
    Close: "link.close",
    Opened: "link.opened",
    Replied: "link.replied",
    /** The link could not be opened, or it ended. */
    Lost: "link.lost",
    /** A reply was not taken for the answer to a command. */
    ReplyDiscarded: "link.reply_discarded",
} as const;

/** Commands that the proxy sends to a database, on its own account or on behalf of a caller. */
export const LinkCommandKind = {
    Begin: "begin",
    BeginRead: "begin_read",
    Rollback: "rollback",
    /** Clears session variables and prepared statements. */
    Reset: "reset",
    SetValue: "set_value",
    Prepare: "prepare",
    /** Runs a caller's statement under the caller's request id. */
    Run: "run",
    /** Runs a caller's prepared statement under the caller's request id and the name that it has on this link. */
    Execute: "execute",
    Status: "status",
    Pause: "pause",
    Resume: "resume",
    StepDown: "step_down",
} as const;

export type LinkCommand =
    | {
        readonly kind:
            | typeof LinkCommandKind.Rollback
            | typeof LinkCommandKind.Reset
            | typeof LinkCommandKind.Status
            | typeof LinkCommandKind.Resume
            | typeof LinkCommandKind.Begin;
    }
    /** A database whose log has not reached `floor` refuses the command as lagging. */
    | { readonly kind: typeof LinkCommandKind.BeginRead; readonly floor: Position | undefined; }
    | { readonly kind: typeof LinkCommandKind.SetValue; readonly name: string; readonly value: string; }
    | { readonly kind: typeof LinkCommandKind.Prepare; readonly name: string; readonly prepared: PreparedStatement; }
    | {
        readonly kind: typeof LinkCommandKind.Run;
        readonly statement: SessionStatement;
        readonly floor: Position | undefined;
    }
    | {
        readonly kind: typeof LinkCommandKind.Execute;
        readonly statement: SessionStatement;
        readonly name: string;
        readonly floor: Position | undefined;
    }
    | { readonly kind: typeof LinkCommandKind.Pause | typeof LinkCommandKind.StepDown; readonly term: number; };

export interface LinkOpen extends Message {
    readonly kind: typeof LinkKind.Open;
    /** Unique in this process. */
    readonly linkId: string;
    /** `host:port` */
    readonly address: string;
    readonly service: string;
    /** Sent to the database as the name of the caller. */
    readonly workspace: string;
    /** Id of the database that is expected at the address; any other database refuses the link as misrouted. */
    readonly databaseId: string;
}

/** Pipelines commands on a link. The database replies to each, in order, and may repeat a reply later. */
export interface LinkSend extends Message {
    readonly kind: typeof LinkKind.Send;
    readonly linkId: string;
    readonly commands: readonly LinkCommand[];
}

export interface LinkClose extends Message {
    readonly kind: typeof LinkKind.Close;
    readonly linkId: string;
}

export interface LinkOpened extends Message {
    readonly kind: typeof LinkKind.Opened;
    readonly linkId: string;
    readonly position: Position | undefined;
}

export interface LinkReply {
    readonly rows: readonly string[];
    /** Proves that the database ran a caller's statement, and is unique; undefined in replies to other commands. */
    readonly signature: string | undefined;
    readonly fault: StatementFault | undefined;
    /** Error text of the database; empty without a fault. */
    readonly detail: string;
    readonly transaction: TransactionState;
    readonly position: Position | undefined;
    /** Set only in replies to status, pause, resume and step down. */
    readonly status: DatabaseStatus | undefined;
}

export interface LinkReplied extends Message {
    readonly kind: typeof LinkKind.Replied;
    readonly linkId: string;
    readonly reply: LinkReply;
}

export const DiscardReason = {
    /** The reply repeats an earlier one. */
    Repeated: "repeated",
    /** The reply may be the answer to a command, or may repeat an earlier one. */
    Doubtful: "doubtful",
    /** The reply belongs to no command, or contradicts it. */
    Unmatched: "unmatched",
} as const;
export type DiscardReason = typeof DiscardReason[keyof typeof DiscardReason];

export interface LinkReplyDiscarded extends Message {
    readonly kind: typeof LinkKind.ReplyDiscarded;
    readonly linkId: string;
    readonly databaseId: string;
    readonly reason: DiscardReason;
    /** Fault of the reply. */
    readonly fault: StatementFault | undefined;
}

export const LinkLoss = {
    /** The database rejected the connection with a fault. */
    Refused: "refused",
    /** Connection refused: no process listens at the address. */
    NoListener: "no_listener",
    /** The connection was closed or reset. */
    Broken: "broken",
} as const;
export type LinkLoss = typeof LinkLoss[keyof typeof LinkLoss];

/** The last message about a link. */
export interface LinkLost extends Message {
    readonly kind: typeof LinkKind.Lost;
    readonly linkId: string;
    readonly loss: LinkLoss;
    /** Set only for `LinkLoss.Refused`, when the database named a fault. */
    readonly fault: StatementFault | undefined;
    /** What was wrong with the message of the database that ended the link, for the log; without its text. */
    readonly defect?: string | undefined;
    /** The database that the link was opened to; undefined if the source of the message does not tell it. */
    readonly databaseId?: string;
}

/** Replication status that a database reports in reply to status, pause, resume and step down. */
export interface DatabaseStatus {
    readonly leads: boolean;
    readonly term: number;
    /** Log position up to which the database has received the log. */
    readonly receivedPosition: Position;
    /** Term of the pause in force; 0 if the database receives. */
    readonly heldTerm: number;
}
