/** What the fencing before a promotion is given, and what it decides. */
import type { Position } from "../model/position.ts";
import type { PromotionWait } from "../model/promotionMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { CommitWitnesses } from "./commitWitnesses.ts";
import type { ElectorateMember } from "./electorate.ts";

export interface FencingOptions {
    readonly service: string;
    /** Fencing token of the promotion; unique among the promotions of the service. */
    readonly fence: number;
    /** The databases that may hold acknowledged commits; changes while databases join and start again. */
    members(): readonly ElectorateMember[];
    readonly primaryId: string | undefined;
    /**
     * Address of the primary of the last completed promotion; its log holds every acknowledged commit unless a database that
     * was ordered since has led. Undefined if unknown.
     */
    readonly primaryLogAddress: string | undefined;
    /** Addresses of the databases that were ordered since; undefined if they are not all known. */
    readonly otherLogAddresses: readonly string[] | undefined;
    /** Database named by an earlier order, which may still be executed; preferred among equals. */
    readonly preferredDatabaseId: string;
    /** Share of the service's routes that a database could serve as primary, 0 to 1; decides among equals only. */
    readonly homeShare?: (databaseId: string) => number;
    /**
     * The primary's last order may still be executed: it must keep the lead until another database takes it, because a
     * primary that has stepped down would be made to lead again.
     */
    readonly primaryKeepsLead: boolean;
    /** The primary is reachable and shutting down: it steps down first, then the replicas catch up with it. */
    readonly planned: boolean;
    /** Number of replicas that have received a commit before it is acknowledged; 0 if replication is asynchronous. */
    readonly synchronousReplicas: number;
    /** Position below which a replica lacks commits that other databases confirmed; undefined if there is none. */
    readonly basePosition: Position | undefined;
    /** Instances that may have seen acknowledgements. */
    readonly witnesses: CommitWitnesses;
    /** Interval at which databases report. */
    readonly reportIntervalMs: number;
    nextLinkId(): string;
    readonly startedAtMs: number;
}

export interface FencingDecision {
    readonly messages: readonly Message[];
    /** The database to promote; undefined while none can be chosen safely. */
    readonly chosenDatabaseId: string | undefined;
    /** The database already leads, because an order was executed; no further order is needed. */
    readonly alreadyLeads: boolean;
    /** Why no database is chosen yet. */
    readonly wait: PromotionWait | undefined;
}
