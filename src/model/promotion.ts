/** Promotions of databases as recorded in the replicated control state. */
import type { Position } from "./position.ts";

/** A database that may hold acknowledged commits of its service. */
export interface RecordedDatabase {
    readonly databaseId: string;
    /** `host:port`; a database that starts at the address of an earlier one continues that one's log. */
    readonly address: string;
    /** Start of the process; undefined in a record of an earlier version. */
    readonly bornUnixMs: number | undefined;
    /**
     * The process has ended without a successor that has its log. Commits that it confirmed may be on the primary alone.
     */
    readonly isLost: boolean;
}

/** The databases of a service and its last promotion. */
export interface PromotionRecord {
    readonly service: string;
    /** Fencing token: incremented by each reservation, so that no two promotion orders carry the same one. */
    readonly fence: number;
    /** The promotion is reserved and not completed: an order may be in flight, and a new leader must complete it. */
    readonly open: boolean;
    /** Database that the last completed promotion made the primary; empty before the first. */
    readonly databaseId: string;
    /**
     * Address of that database. A process that starts there has its log, unless a lost one is recorded there; empty if
     * unknown.
     */
    readonly primaryAddress: string;
    /** Database named by the last order of the open promotion, which may still be executed; empty if there is none. */
    readonly orderedDatabaseId: string;
    /** Fencing token of that order, below `fence` after a later reservation; undefined if there is none or it is unknown. */
    readonly orderedFence: number | undefined;
    /** Position that this database had reached when it was chosen; undefined if unknown. */
    readonly orderedPosition: Position | undefined;
    /** An order for `databaseId` had no answer, so that the platform may still execute it and make it lead again. */
    readonly orderPending: boolean;
    /** Electorate of a promotion: every acknowledged commit is in the log of at least one of these databases. */
    readonly databases: readonly RecordedDatabase[];
    /**
     * Position that the primary had reached when it was chosen. A replica below it lacks commits that other databases
     * confirmed, perhaps ones that have left. Undefined before the first promotion.
     */
    readonly basePosition: Position | undefined;
}

/** An instance that serves callers, and so may have passed on the acknowledgement of a commit. */
export interface CommitWitness {
    readonly instanceId: string;
}

/** The record of a service; empty fields for a service without a record or with one of an earlier version. */
export function promotionOf(promotions: readonly PromotionRecord[], service: string): PromotionRecord {
    const found = promotions.find(promotion => promotion.service === service);
    return {
        service,
        fence: 0,
        open: false,
        databaseId: "",
        primaryAddress: "",
        orderedDatabaseId: "",
        orderedFence: undefined,
        orderedPosition: undefined,
        orderPending: false,
        databases: [],
        basePosition: undefined,
        ...found,
    };
}
