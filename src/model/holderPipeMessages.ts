/** Messages between the filters of the holder pipe. They never leave the process. */
import type { Message } from "../pipeline/message.ts";
import type { DatabaseRole } from "./database.ts";
import type { HolderRequest } from "./holderMessages.ts";
import type { Outcome } from "./outcome.ts";
import type { Position } from "./position.ts";

export const HolderPipeKind = {
    Acquired: "holder.acquired",
    Released: "holder.released",
    Executed: "holder.executed",
    Retry: "holder.retry",
    PositionKnown: "holder.position_known",
    WatchPosition: "holder.watch_position",
    ConfirmationLag: "holder.confirmation_lag",
    WorkEnded: "holder.work_ended",
    MonitorTick: "holder.monitor_tick",
    OrderDue: "holder.order_due",
    FloorDue: "holder.floor_due",
    FreshnessDue: "holder.freshness_due",
    WaitDue: "holder.wait_due",
    LinksDue: "holder.links_due",
    LeaseDue: "holder.lease_due",
    DrainDue: "holder.drain_due",
    EvacuationDue: "holder.evacuation_due",
    StatementDue: "holder.statement_due",
    ConfirmDue: "holder.confirm_due",
} as const;

/** A statement was assigned a slot and a connection. */
export interface HolderAcquired extends Message {
    readonly kind: typeof HolderPipeKind.Acquired;
    readonly request: HolderRequest;
    readonly linkId: string;
    /** Whether the connection had an open transaction before this statement. */
    readonly inTransaction: boolean;
    /** Whether the connection holds state of the session other than a transaction. */
    readonly sessionState: boolean;
}

/** The statement released its slot, and its connection too unless that holds state of the session. */
export interface HolderReleased extends Message {
    readonly kind: typeof HolderPipeKind.Released;
    readonly linkId: string;
    readonly inTransaction: boolean;
    readonly sessionState: boolean;
    /** The result on the connection is incomplete, so the connection must be closed. */
    readonly broken: boolean;
}

/** A statement has an outcome. With `written` set, a majority must confirm that position before the outcome is sent. */
export interface HolderExecuted extends Message {
    readonly kind: typeof HolderPipeKind.Executed;
    readonly request: HolderRequest;
    readonly outcome: Outcome;
    readonly inTransaction: boolean;
    readonly pinned: boolean;
    /** Log position of the database after a commit; undefined when nothing was committed. */
    readonly written: Position | undefined;
}

/** Runs a repeatable read again because its connection ended before the result. */
export interface HolderRetry extends Message {
    readonly kind: typeof HolderPipeKind.Retry;
    readonly request: HolderRequest;
}

/** A database reported its log position. */
export interface HolderPositionKnown extends Message {
    readonly kind: typeof HolderPipeKind.PositionKnown;
    readonly databaseId: string;
    readonly role: DatabaseRole;
    readonly position: Position;
    /** Local monotonic time at which the query was sent; the database was at `position` at that time or later. */
    readonly askedAtMs: number;
}

/** Starts or stops polling the position of a database at short intervals, while a filter waits for a position. */
export interface HolderWatchPosition extends Message {
    readonly kind: typeof HolderPipeKind.WatchPosition;
    /** Identifies the waiting filter. The short interval applies while at least one watcher is active. */
    readonly watcher: string;
    readonly databaseId: string;
    readonly active: boolean;
}

/** Time that confirmation by a majority took, or the age of a write that is still unconfirmed. */
export interface HolderConfirmationLag extends Message {
    readonly kind: typeof HolderPipeKind.ConfirmationLag;
    readonly databaseId: string;
    readonly lagMs: number;
}

/** A draining holder sends no more statements to the database; only confirmations may still be pending. */
export interface HolderWorkEnded extends Message {
    readonly kind: typeof HolderPipeKind.WorkEnded;
    readonly databaseId: string;
}

/** Kinds of timer messages in the holder pipe. */
export type HolderTimerKind =
    | typeof HolderPipeKind.MonitorTick
    | typeof HolderPipeKind.OrderDue
    | typeof HolderPipeKind.WaitDue
    | typeof HolderPipeKind.LinksDue
    | typeof HolderPipeKind.LeaseDue
    | typeof HolderPipeKind.DrainDue
    | typeof HolderPipeKind.EvacuationDue
    | typeof HolderPipeKind.StatementDue;

/** A timer that a filter set for itself has expired. */
export interface HolderTimer<Kind extends HolderTimerKind = HolderTimerKind> extends Message {
    readonly kind: Kind;
    /** Id of the database, connection, request or order that the timer belongs to. */
    readonly subject: string;
}

/** The wait of a request for a position of its database has ended. */
export interface HolderPositionDue<
    Kind extends
        | typeof HolderPipeKind.FloorDue
        | typeof HolderPipeKind.FreshnessDue
        | typeof HolderPipeKind.ConfirmDue,
> extends Message {
    readonly kind: Kind;
    readonly databaseId: string;
    /** Key of the request; see `requestKey`. */
    readonly key: string;
}
