/**
 * Messages between the holder pipe and the database adapter. A link is a connection to a database; `linkId` identifies
 * it.
 */
import type { Message } from "../pipeline/message.ts";
import type { DatabaseRole } from "./database.ts";
import type { Outcome } from "./outcome.ts";
import type { Position } from "./position.ts";

export const BackendKind = {
    Open: "backend.open",
    Opened: "backend.opened",
    OpenFailed: "backend.open_failed",
    Execute: "backend.execute",
    Result: "backend.result",
    ReadPosition: "backend.read_position",
    PositionRead: "backend.position_read",
    Close: "backend.close",
    Closed: "backend.closed",
    Promote: "backend.promote",
    Follow: "backend.follow",
    Ordered: "backend.ordered",
} as const;

/** Opens a connection. Answered by `backend.opened` or `backend.open_failed`. */
export interface BackendOpen extends Message {
    readonly kind: typeof BackendKind.Open;
    /** Chosen by the sender of this message; unique in this process. */
    readonly linkId: string;
    readonly databaseId: string;
    /** `host:port` of the database's MySQL listener. */
    readonly address: string;
    readonly timeoutMs: number;
}

export interface BackendOpened extends Message {
    readonly kind: typeof BackendKind.Opened;
    readonly linkId: string;
    readonly databaseId: string;
}

export interface BackendOpenFailed extends Message {
    readonly kind: typeof BackendKind.OpenFailed;
    readonly linkId: string;
    readonly databaseId: string;
    readonly reason: string;
}

/**
 * Runs one statement. Answered by `backend.result`. When the connection ends first, only `backend.closed` follows and
 * the outcome is unknown.
 */
export interface BackendExecute extends Message {
    readonly kind: typeof BackendKind.Execute;
    readonly linkId: string;
    readonly executionId: string;
    readonly text: string;
}

export interface BackendResult extends Message {
    readonly kind: typeof BackendKind.Result;
    readonly linkId: string;
    readonly executionId: string;
    /** An error reported by the database becomes a refusal with the code `database_failed`. */
    readonly outcome: Outcome;
    readonly inTransaction: boolean;
}

/** Queries the role and log position of a database. Uses no slot. Answered by `backend.position_read`. */
export interface BackendReadPosition extends Message {
    readonly kind: typeof BackendKind.ReadPosition;
    readonly linkId: string;
    readonly executionId: string;
}

export interface BackendPositionRead extends Message {
    readonly kind: typeof BackendKind.PositionRead;
    readonly linkId: string;
    readonly executionId: string;
    readonly role: DatabaseRole;
    readonly position: Position;
}

/** Closes a connection; operations in flight on it get no answer. */
export interface BackendClose extends Message {
    readonly kind: typeof BackendKind.Close;
    readonly linkId: string;
}

/** Either side closed the connection. This is the last message with its `linkId`. */
export interface BackendClosed extends Message {
    readonly kind: typeof BackendKind.Closed;
    readonly linkId: string;
    readonly reason: string;
}

/** Orders a database to become the primary of its group in `term`. Answered by `backend.ordered`. */
export interface BackendPromote extends Message {
    readonly kind: typeof BackendKind.Promote;
    readonly linkId: string;
    readonly executionId: string;
    readonly term: number;
}

/** Orders a database to replicate from the primary of `term`. Answered by `backend.ordered`. */
export interface BackendFollow extends Message {
    readonly kind: typeof BackendKind.Follow;
    readonly linkId: string;
    readonly executionId: string;
    readonly term: number;
    readonly primaryAddress: string;
}

export interface BackendOrdered extends Message {
    readonly kind: typeof BackendKind.Ordered;
    readonly linkId: string;
    readonly executionId: string;
    /** Reason of the failure; undefined when the database carried out the order. */
    readonly failure: string | undefined;
}
