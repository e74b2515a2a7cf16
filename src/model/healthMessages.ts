/** Messages between the holder pipe and the health pipe. */
import type { Message } from "../pipeline/message.ts";
import type { Position } from "./position.ts";

export const HealthKind = {
    DatabaseHealth: "holder.database_health",
    Order: "holder.order",
    OrderDone: "holder.order_done",
    LeaseIdle: "holder.lease_idle",
} as const;

/** What the holder knows of a database it holds. Sent on each change and every 500 ms. */
export interface HolderDatabaseHealth extends Message {
    readonly kind: typeof HealthKind.DatabaseHealth;
    readonly databaseId: string;
    /** The last fresh connection answered. One silent connection does not make a database unreachable. */
    readonly reachable: boolean;
    /** Fresh connections in a row that could not be opened or gave no answer. */
    readonly consecutiveFailures: number;
    readonly lastPosition: Position | undefined;
    /** Local monotonic time at which `lastPosition` was asked for. */
    readonly lastPositionAtMs: number;
}

export const OrderKind = {
    Promote: "promote",
    Follow: "follow",
} as const;

export type DatabaseOrder =
    | { readonly kind: typeof OrderKind.Promote; readonly term: number; }
    | { readonly kind: typeof OrderKind.Follow; readonly term: number; readonly primaryAddress: string; };

/** Orders a held database to become primary or to follow one. Answered by `holder.order_done`. */
export interface HolderOrder extends Message {
    readonly kind: typeof HealthKind.Order;
    /** Unique in this process. */
    readonly orderId: string;
    readonly databaseId: string;
    readonly order: DatabaseOrder;
}

export interface HolderOrderDone extends Message {
    readonly kind: typeof HealthKind.OrderDone;
    readonly orderId: string;
    readonly databaseId: string;
    /** Undefined when the order was carried out. */
    readonly failure: string | undefined;
}

/** During a drain: nothing runs or waits on the database any more, so its lease can be given back. */
export interface HolderLeaseIdle extends Message {
    readonly kind: typeof HealthKind.LeaseIdle;
    readonly databaseId: string;
}
