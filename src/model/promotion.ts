/** Promotions of databases as recorded in the replicated control state. */

/** The last promotion of a service. */
export interface PromotionRecord {
    readonly service: string;
    /** Fencing token: incremented by each reservation, so that no two promotion orders carry the same one. */
    readonly fence: number;
    /** The promotion is reserved and not completed: an order may be in flight, and a new leader must complete it. */
    readonly open: boolean;
    /** Database that the last completed promotion made the primary; empty before the first. */
    readonly databaseId: string;
}
