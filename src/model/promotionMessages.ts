/** Messages between the promotion filter and the platform that executes promotions. */
import type { Message } from "../pipeline/message.ts";

export const PromotionKind = {
    Order: "promotion.order",
    Ordered: "promotion.ordered",
    Due: "promotion.due",
    /** A promotion entered another phase, or still waits. */
    Progressed: "promotion.progressed",
    /** A decision about a promotion, with what it was based on. */
    Decided: "promotion.decided",
    /** A database is taken off the record of those that may hold acknowledged commits, outside of a decision. */
    DatabaseDropped: "promotion.database_dropped",
} as const;

/** Asks the platform to make a database the primary of its service. */
export interface PromotionOrder extends Message {
    readonly kind: typeof PromotionKind.Order;
    readonly service: string;
    readonly databaseId: string;
    readonly fence: number;
}

export const OrderResult = {
    Accepted: "accepted",
    /** The platform has seen a higher fence, or the database is not running; the order is not executed. */
    Refused: "refused",
    /** No answer arrived; the platform may still execute the order. */
    Unknown: "unknown",
} as const;
export type OrderResult = typeof OrderResult[keyof typeof OrderResult];

export interface PromotionOrdered extends Message {
    readonly kind: typeof PromotionKind.Ordered;
    readonly service: string;
    readonly databaseId: string;
    readonly fence: number;
    readonly result: OrderResult;
    /** Time since the order was sent; undefined if it is not known. */
    readonly elapsedMs?: number | undefined;
}

/** What the choice of a new primary waits for. */
export const PromotionWait = {
    /** More databases must stop, so that one of those that stopped holds every acknowledged commit. */
    DatabasesToStop: "databases_to_stop",
    /** A database that doesn't answer may still confirm commits. */
    CommitsToBeBlocked: "commits_to_be_blocked",
    /** Instances that may have seen acknowledgements don't answer. */
    CommitWitnesses: "commit_witnesses",
    /** Instances that don't answer may pass acknowledgements on until their leases end. */
    AcknowledgementLeases: "acknowledgement_leases",
    /** The databases that stopped lack commits that were acknowledged. */
    DatabaseWithLastCommit: "database_with_last_commit",
    /** A replica must catch up with the primary, which has stepped down. */
    CatchUp: "catch_up",
} as const;
export type PromotionWait = typeof PromotionWait[keyof typeof PromotionWait];

/** Progress of a promotion, for the log. */
export interface PromotionProgressed extends Message {
    readonly kind: typeof PromotionKind.Progressed;
    readonly service: string;
    readonly phase: string;
    readonly fence: number;
    /** Database that was chosen; empty while there is none. */
    readonly databaseId: string;
    readonly wait: PromotionWait | undefined;
    /** States of the databases as `id:state@position`, separated by commas; lost ones are listed beside their successors. */
    readonly databases: string;
    /** Highest commit that an instance has acknowledged, as `term.offset`; `-` if none is known. */
    readonly acknowledged: string;
    /** Instances whose reports of acknowledged commits are missing. */
    readonly awaitedInstances: readonly string[];
}

/** A timer of the promotion filter. */
export interface PromotionDue extends Message {
    readonly kind: typeof PromotionKind.Due;
}
