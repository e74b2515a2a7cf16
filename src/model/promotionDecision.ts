/** The decisions of a promotion with the evidence that they were based on, for operators. */
import type { Message } from "../pipeline/message.ts";
import type { Position } from "./position.ts";
import type { PromotionKind } from "./promotionMessages.ts";

export const DecisionStage = {
    /** A fence was reserved, and the fencing of the databases begins. */
    Begun: "begun",
    Chosen: "chosen",
    /** The database has answered that it leads. */
    Completed: "completed",
    /** Ended without a database that was seen to lead; another promotion may follow. */
    GivenUp: "given_up",
} as const;
export type DecisionStage = typeof DecisionStage[keyof typeof DecisionStage];

/** What allowed the choice of a database. */
export const PromotionRule = {
    /** Every confirmation of a commit is on a database that has stopped. */
    ConfirmationsStopped: "confirmations_stopped",
    /** A database that has stopped has the log of the former primary. */
    FormerPrimaryLog: "former_primary_log",
    /** The database holds what all instances have seen acknowledged. */
    InstanceAnswers: "instance_answers",
    /** As `InstanceAnswers`, for a database that was preferred to the furthest one. */
    PreferredByAnswers: "preferred_by_answers",
    /** The service acknowledges commits that no replica has received. */
    AsynchronousReplication: "asynchronous_replication",
    /** A replica has caught up with the primary, which has stepped down. */
    CaughtUp: "caught_up",
    /** No replica has caught up in time with the primary, which has stepped down and leads again. */
    NoneCaughtUp: "none_caught_up",
    AlreadyLeads: "already_leads",
    PrimaryKeepsLead: "primary_keeps_lead",
    /** Takes the place of a chosen database that has lost its log. */
    Substitute: "substitute",
    /** An order for the present primary, which makes earlier orders void. */
    OrderInvalidation: "order_invalidation",
} as const;
export type PromotionRule = typeof PromotionRule[keyof typeof PromotionRule];

export const DatabaseEvidenceState = {
    /** Neither confirms nor acknowledges commits. */
    Stopped: "stopped",
    NoListener: "no_listener",
    Awaited: "awaited",
    /** The process has ended without a successor that has its log. */
    Lost: "lost",
    NotAsked: "not_asked",
} as const;
export type DatabaseEvidenceState = typeof DatabaseEvidenceState[keyof typeof DatabaseEvidenceState];

export interface DatabaseEvidence {
    readonly databaseId: string;
    readonly state: DatabaseEvidenceState;
    /** It has started again without its log during the promotion. */
    readonly hasLostLog: boolean;
    readonly receivedPosition: Position | undefined;
    /** Start of the process; undefined if it is not recorded. */
    readonly bornUnixMs: number | undefined;
    /** Time since the command was sent whose answer showed that the database has stopped; undefined without one. */
    readonly stopProofAgeMs: number | undefined;
    /** Time since the last report; undefined if there is none to this leader. */
    readonly reportAgeMs: number | undefined;
    readonly reportsLead: boolean | undefined;
}

/** An instance that was asked to acknowledge no further commits. */
export interface InstanceEvidence {
    /** Id of its attachment if the instance has detached. */
    readonly instanceId: string;
    /** Time since it answered that it acknowledges no further ones; undefined if it has not. */
    readonly answerAgeMs: number | undefined;
    readonly logEnd: Position | undefined;
    readonly reached: Position | undefined;
}

/** A lease on acknowledgements of an instance that has not answered. */
export interface LeaseEvidence {
    /** Undefined if the instance is not attached. */
    readonly instanceId: string | undefined;
    /** Negative if the lease has ended. */
    readonly leftMs: number;
}

export const DropReason = {
    /** The process has ended, and no successor has its log. */
    Lost: "lost",
    /** The database has left the directory. */
    Departed: "departed",
    /** A replica has what the database, which is gone, may have confirmed. */
    CaughtUp: "caught_up",
    /** Another process has started at its address. */
    Replaced: "replaced",
    /** Another process has started under its id; the earlier one is recorded as lost. */
    Restarted: "restarted",
} as const;
export type DropReason = typeof DropReason[keyof typeof DropReason];

export interface DroppedDatabase {
    readonly databaseId: string;
    readonly reason: DropReason;
    readonly bornUnixMs: number | undefined;
}

export interface PromotionDecided extends Message {
    readonly kind: typeof PromotionKind.Decided;
    readonly service: string;
    readonly fence: number;
    readonly stage: DecisionStage;
    /** Database that was chosen; empty while there is none. */
    readonly databaseId: string;
    /** Rule of the last choice; undefined before it. */
    readonly rule: PromotionRule | undefined;
    /** Undefined if unknown. */
    readonly formerPrimaryId: string | undefined;
    readonly databases: readonly DatabaseEvidence[];
    readonly instances: readonly InstanceEvidence[];
    readonly leases: readonly LeaseEvidence[];
    /** Databases that the end of the promotion takes off the record, as known now. */
    readonly dropped: readonly DroppedDatabase[];
}

export interface PromotionDatabaseDropped extends Message, DroppedDatabase {
    readonly kind: typeof PromotionKind.DatabaseDropped;
    readonly service: string;
    readonly address: string;
    /** The process that has taken its place; undefined if there is none. */
    readonly successorId: string | undefined;
}
