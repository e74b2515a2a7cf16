/** Promotions of databases that the control state has agreed on. */

/** The last promotion of a service. */
export interface PromotionRecord {
    readonly service: string;
    /** Rises by one with each reservation, so that no two orders carry the same one. */
    readonly fence: number;
    /** An order may be under way; a new leader has to carry it through. */
    readonly open: boolean;
    /** Database named by the last completed promotion; empty before the first. */
    readonly databaseId: string;
}
