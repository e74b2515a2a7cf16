/** Messages between the holder pipe and the adapter that talks to databases. */
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
    /** Chosen by the asker, unique in this process. */
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
 * Runs one statement. Answered by `backend.result`, unless the connection ends first: then by `backend.closed` alone,
 * and the outcome is unknown.
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
    /** An error that the database reported is a refusal with code `database_failed`. */
    readonly outcome: Outcome;
    readonly inTransaction: boolean;
}

/** Asks a database for its role and log position. Uses no slot. */
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

/** Ends a connection; anything unanswered on it stays unanswered. */
export interface BackendClose extends Message {
    readonly kind: typeof BackendKind.Close;
    readonly linkId: string;
}

/** A connection ended, by either side. The last message of its `linkId`. */
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
    /** Undefined when the order was carried out. */
    readonly failure: string | undefined;
}
