/** Messages between filters and the connections to databases ("links"). */
import type { Message } from "../pipeline/message.ts";
import type { Position } from "./position.ts";
import type { PreparedStatement, SessionStatement, StatementFault, TransactionState } from "./sessionStatement.ts";

export const LinkKind = {
    Open: "link.open",
    Send: "link.send",
    Close: "link.close",
    Opened: "link.opened",
    Replied: "link.replied",
    /** The connection could not be opened, or it ended. */
    Lost: "link.lost",
} as const;

/** What the proxy asks of a database on its own or on behalf of a caller. */
export const LinkCommandKind = {
    Begin: "begin",
    BeginRead: "begin_read",
    Rollback: "rollback",
    /** Drops session values and prepared names. */
    Reset: "reset",
    SetValue: "set_value",
    Prepare: "prepare",
    /** A caller's statement, under the caller's id. */
    Run: "run",
    /** A caller's execution of a prepared statement, under the caller's id and the name used on this link. */
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
    /** Refused as lagging unless the log holds `after`. */
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
    /** Told to the database as the name of the caller. */
    readonly workspace: string;
    /** The database that must answer; another one refuses as misrouted. */
    readonly databaseId: string;
}

/** Sends commands back to back; each gets one reply, in order. */
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
    readonly signature: string | undefined;
    readonly fault: StatementFault | undefined;
    /** Text of the database after a fault. */
    readonly detail: string;
    readonly transaction: TransactionState;
    readonly position: Position | undefined;
    /** Set on the answers to status, pause, resume and step down. */
    readonly status: DatabaseStatus | undefined;
}

export interface LinkReplied extends Message {
    readonly kind: typeof LinkKind.Replied;
    readonly linkId: string;
    readonly reply: LinkReply;
}

export const LinkLoss = {
    /** The database refused the connection with a fault. */
    Refused: "refused",
    /** No process listens at the address. */
    NoListener: "no_listener",
    /** The connection ended or broke. */
    Broken: "broken",
} as const;
export type LinkLoss = typeof LinkLoss[keyof typeof LinkLoss];

/** The last message of a link. */
export interface LinkLost extends Message {
    readonly kind: typeof LinkKind.Lost;
    readonly linkId: string;
    readonly loss: LinkLoss;
    /** The fault with which the database refused. */
    readonly fault: StatementFault | undefined;
}

/** What a database says of itself in answer to status, pause, resume and step down. */
export interface DatabaseStatus {
    readonly leads: boolean;
    readonly term: number;
    readonly receivedPosition: Position;
}
