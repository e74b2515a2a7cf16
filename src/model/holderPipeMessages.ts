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
    StatementDue: "holder.statement_due",
    ConfirmDue: "holder.confirm_due",
} as const;

/** A statement has a slot and a connection. */
export interface HolderAcquired extends Message {
    readonly kind: typeof HolderPipeKind.Acquired;
    readonly request: HolderRequest;
    readonly linkId: string;
    /** The connection had an open transaction before this statement. */
    readonly inTransaction: boolean;
    /** The connection keeps state of the session, apart from a transaction. */
    readonly sessionState: boolean;
}

/** The slot is free again, and so is the connection unless it keeps state of a session. */
export interface HolderReleased extends Message {
    readonly kind: typeof HolderPipeKind.Released;
    readonly linkId: string;
    readonly inTransaction: boolean;
    readonly sessionState: boolean;
    /** An answer on the connection is unfinished; it must not be used again. */
    readonly broken: boolean;
}

/** A statement has its outcome; `written` still needs the confirmation of a majority. */
export interface HolderExecuted extends Message {
    readonly kind: typeof HolderPipeKind.Executed;
    readonly request: HolderRequest;
    readonly outcome: Outcome;
    readonly inTransaction: boolean;
    readonly pinned: boolean;
    /** Position of the database after a commit; undefined when nothing was committed. */
    readonly written: Position | undefined;
}

/** A repeatable read whose first attempt got no answer. */
export interface HolderRetry extends Message {
    readonly kind: typeof HolderPipeKind.Retry;
    readonly request: HolderRequest;
}

/** A database reported its position. */
export interface HolderPositionKnown extends Message {
    readonly kind: typeof HolderPipeKind.PositionKnown;
    readonly databaseId: string;
    readonly role: DatabaseRole;
    readonly position: Position;
    /** Local monotonic time at which the question was sent; the database was at `position` at that time or later. */
    readonly askedAtMs: number;
}

/** Asks for positions of a database in short intervals while a filter waits for one. */
export interface HolderWatchPosition extends Message {
    readonly kind: typeof HolderPipeKind.WatchPosition;
    /** Filter that waits; each filter switches its own watch on and off. */
    readonly watcher: string;
    readonly databaseId: string;
    readonly active: boolean;
}

/** Time that confirmation by a majority took, or has taken so far. */
export interface HolderConfirmationLag extends Message {
    readonly kind: typeof HolderPipeKind.ConfirmationLag;
    readonly databaseId: string;
    readonly lagMs: number;
}

/** A draining holder sends nothing more to the database; only confirmations may be outstanding. */
export interface HolderWorkEnded extends Message {
    readonly kind: typeof HolderPipeKind.WorkEnded;
    readonly databaseId: string;
}

/** Kinds of timer of the holder pipe. */
export type HolderTimerKind =
    | typeof HolderPipeKind.MonitorTick
    | typeof HolderPipeKind.OrderDue
    | typeof HolderPipeKind.FloorDue
    | typeof HolderPipeKind.FreshnessDue
    | typeof HolderPipeKind.WaitDue
    | typeof HolderPipeKind.LinksDue
    | typeof HolderPipeKind.LeaseDue
    | typeof HolderPipeKind.DrainDue
    | typeof HolderPipeKind.StatementDue
    | typeof HolderPipeKind.ConfirmDue;

/** A timer of one of the filters. */
export interface HolderTimer<Kind extends HolderTimerKind = HolderTimerKind> extends Message {
    readonly kind: Kind;
    /** What the timer is for: a database, connection, request or order. */
    readonly subject: string;
}
