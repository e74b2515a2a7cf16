/** Commands that change the replicated control state, proposals that carry them, and the results of proposals. */
import type { Message } from "../pipeline/message.ts";
import type { RateShare } from "./configuration.ts";
import type { DatabaseGroup } from "./database.ts";
import type { DocumentEntry, DocumentHead } from "./document.ts";
import type { Evacuation } from "./evacuation.ts";
import type { LeaseAssignment } from "./lease.ts";
import type { Position } from "./position.ts";
import type { RecordedDatabase } from "./promotion.ts";
import type { WorkClass } from "./workClass.ts";
import type { CallerKey, OpenRoute, Workspace } from "./workspace.ts";

export const ControlKind = {
    /** A pipe or source proposes a command to the control pipe. */
    Propose: "control.propose",
    /** An operator adds or removes a control member. */
    ChangeMember: "control.change_member",
    /** The result of a proposal. */
    ProposalEnded: "control.proposal_ended",
    /** The leader changed, as seen by this member. */
    LeaderChanged: "control.leader_changed",
    /** This member recovered or committed another list of control members. */
    MembersAgreed: "control.members_agreed",
    /** The settings name other instances to which join requests are sent. */
    SeedsChanged: "control.seeds_changed",
    /** This process stops soon: its member hands the lead over if it leads, and is not elected any more. */
    StopAnnounced: "control.stop_announced",
} as const;

export const CommandKind = {
    SetWorkClass: "set_work_class",
    RemoveWorkClass: "remove_work_class",
    SetWorkspace: "set_workspace",
    RemoveWorkspace: "remove_workspace",
    IssueKey: "issue_key",
    WithdrawKey: "withdraw_key",
    SetOpenRoute: "set_open_route",
    RemoveOpenRoute: "remove_open_route",
    SetGroup: "set_group",
    AssignLeases: "assign_leases",
    SetRateShares: "set_rate_shares",
    PutDocument: "put_document",
    ReadBarrier: "read_barrier",
    ReservePromotion: "reserve_promotion",
    CompletePromotion: "complete_promotion",
    RecordPromotionOrder: "record_promotion_order",
    RecordDatabases: "record_databases",
    RecordCommitWitnesses: "record_commit_witnesses",
    BeginEvacuation: "begin_evacuation",
    EndEvacuation: "end_evacuation",
} as const;

interface VersionedCommand {
    /** Version of the object that the command changes; 0 if the object must not exist yet. */
    readonly expectedVersion: number;
}

export interface SetWorkClass extends VersionedCommand {
    readonly kind: typeof CommandKind.SetWorkClass;
    readonly workClass: Omit<WorkClass, "version">;
}

export interface RemoveWorkClass extends VersionedCommand {
    readonly kind: typeof CommandKind.RemoveWorkClass;
    readonly name: string;
}

export interface SetWorkspace extends VersionedCommand {
    readonly kind: typeof CommandKind.SetWorkspace;
    readonly workspace: Omit<Workspace, "version">;
}

export interface RemoveWorkspace extends VersionedCommand {
    readonly kind: typeof CommandKind.RemoveWorkspace;
    readonly name: string;
}

export interface IssueKey extends VersionedCommand {
    readonly kind: typeof CommandKind.IssueKey;
    readonly key: Omit<CallerKey, "version">;
}

/** Withdraws a key; its id is never issued again. */
export interface WithdrawKey extends VersionedCommand {
    readonly kind: typeof CommandKind.WithdrawKey;
    readonly id: string;
}

export interface SetOpenRoute extends VersionedCommand {
    readonly kind: typeof CommandKind.SetOpenRoute;
    readonly openRoute: Omit<OpenRoute, "version">;
}

export interface RemoveOpenRoute extends VersionedCommand {
    readonly kind: typeof CommandKind.RemoveOpenRoute;
    readonly service: string;
}

/** Creates a group, adds members, or changes its primary. Accepted only if the group's term is `expectedTerm`. */
export interface SetGroup {
    readonly kind: typeof CommandKind.SetGroup;
    /** 0 for a group that does not exist yet. */
    readonly expectedTerm: number;
    readonly group: DatabaseGroup;
}

/** Applies all assignments or none. Each assignment requires that the current epoch of its resource is `epoch - 1`. */
export interface AssignLeases {
    readonly kind: typeof CommandKind.AssignLeases;
    readonly assignments: readonly LeaseAssignment[];
}

/** Replaces the shares of a workspace; invalid if their sum exceeds the rate or burst of the workspace. */
export interface SetRateShares {
    readonly kind: typeof CommandKind.SetRateShares;
    readonly workspace: string;
    /** Version of the workspace for which the shares were computed. */
    readonly workspaceVersion: number;
    readonly shares: readonly RateShare[];
}

/** Updates the configuration document to a newer version, by a delta against the version known to the sender. */
export interface PutDocument {
    readonly kind: typeof CommandKind.PutDocument;
    readonly head: DocumentHead;
    /** Version to which the delta applies; 0 if there is no document yet. */
    readonly baseVersion: number;
    readonly upserts: readonly DocumentEntry[];
    readonly removals: readonly string[];
}

/** Changes nothing; its commit proves that the state read afterwards is the latest one. */
export interface ReadBarrier {
    readonly kind: typeof CommandKind.ReadBarrier;
}

/** Starts a promotion with the next fencing token of the service; the version of the result is the token. */
export interface ReservePromotion {
    readonly kind: typeof CommandKind.ReservePromotion;
    readonly service: string;
    readonly expectedFence: number;
    /**
     * The fence is for an order that names the present primary: nothing is stopped, and a later leader has nothing to
     * complete. Undefined in a command of an earlier version.
     */
    readonly keepsPrimary?: boolean;
}

/** Records the database that was promoted; a conflict if a later promotion of the service has been reserved. */
export interface CompletePromotion {
    readonly kind: typeof CommandKind.CompletePromotion;
    readonly service: string;
    readonly fence: number;
    readonly databaseId: string;
    /** An order for the database had no answer, and may still be executed. */
    readonly orderPending: boolean;
    /** Databases that were removed from the directory; they no longer belong to the electorate of the service. */
    readonly departed: readonly string[];
    /** Position that the database had reached when it was chosen. */
    readonly basePosition: Position | undefined;
    /**
     * The fence was reserved with `keepsPrimary`: only `orderPending` is recorded. Undefined in a command of an earlier
     * version.
     */
    readonly keepsPrimary?: boolean;
}

/** Records an order before it is sent; a conflict if a later promotion of the service has been reserved. */
export interface RecordPromotionOrder {
    readonly kind: typeof CommandKind.RecordPromotionOrder;
    readonly service: string;
    readonly fence: number;
    readonly databaseId: string;
    /**
     * Position that the database had reached when it was chosen; undefined if unknown, and in a command of an earlier
     * version.
     */
    readonly position?: Position | undefined;
}

/** Replaces the electorate of a service. */
export interface RecordDatabases {
    readonly kind: typeof CommandKind.RecordDatabases;
    readonly service: string;
    readonly databases: readonly RecordedDatabase[];
}

/** Adds and removes instances that may have passed on acknowledgements. */
export interface RecordCommitWitnesses {
    readonly kind: typeof CommandKind.RecordCommitWitnesses;
    readonly added: readonly string[];
    readonly removed: readonly string[];
}

/** The databases of a data centre get no more work. A conflict, which changes nothing, if that is so already. */
export interface BeginEvacuation {
    readonly kind: typeof CommandKind.BeginEvacuation;
    readonly evacuation: Omit<Evacuation, "version">;
}

/** Withdraws an evacuation. A conflict, which changes nothing, if there is none. */
export interface EndEvacuation {
    readonly kind: typeof CommandKind.EndEvacuation;
    readonly dataCentre: string;
}

export type Command =
    | BeginEvacuation
    | EndEvacuation
    | PutDocument
    | ReadBarrier
    | ReservePromotion
    | CompletePromotion
    | RecordPromotionOrder
    | RecordDatabases
    | RecordCommitWitnesses
    | SetWorkClass
    | RemoveWorkClass
    | SetWorkspace
    | RemoveWorkspace
    | IssueKey
    | WithdrawKey
    | SetOpenRoute
    | RemoveOpenRoute
    | SetGroup
    | AssignLeases
    | SetRateShares;

export interface ControlPropose extends Message {
    readonly kind: typeof ControlKind.Propose;
    /** Chosen by the proposer, unique in this process. */
    readonly proposalId: string;
    /** A retry with the same operation id gets the result of the first attempt; empty if the proposer never retries. */
    readonly operationId: string;
    readonly command: Command;
}

/** Lets an instance join, or removes a member. The result is sent as `control.proposal_ended`. */
export interface ControlChangeMember extends Message {
    readonly kind: typeof ControlKind.ChangeMember;
    readonly proposalId: string;
    readonly action: "add" | "remove";
    readonly memberId: string;
}

export const ProposalStatus = {
    Applied: "applied",
    /** The expected version, term or epoch is not the current one. Nothing changed. */
    Conflict: "conflict",
    /** Validation of the command failed. Nothing changed. */
    Invalid: "invalid",
    /** This instance is not the leader. The command was not appended. */
    NotLeader: "not_leader",
    /** Leadership was lost before the commit; the command may still be committed. Retry with the same operation id. */
    Unknown: "unknown",
} as const;
export type ProposalStatus = typeof ProposalStatus[keyof typeof ProposalStatus];

export interface ControlProposalEnded extends Message {
    readonly kind: typeof ControlKind.ProposalEnded;
    readonly proposalId: string;
    readonly status: ProposalStatus;
    /** New version of the changed object, or its current version after a conflict; 0 if there is none. */
    readonly version: number;
    /** Version of the configuration after the command. */
    readonly configurationVersion: number;
    /** Reason for the failure and what to do about it; empty if the command was applied. */
    readonly detail: string;
    /** `host:port` of the leader's gRPC listener, if known. */
    readonly leaderAddress: string | undefined;
}

/** Emitted on control members at each change of the term or the leader. */
export interface ControlLeaderChanged extends Message {
    readonly kind: typeof ControlKind.LeaderChanged;
    /** This instance leads and has committed an entry of its term. */
    readonly leading: boolean;
    readonly term: number;
    readonly leaderId: string | undefined;
    readonly leaderAddress: string | undefined;
}

export interface ControlMembersAgreed extends Message {
    readonly kind: typeof ControlKind.MembersAgreed;
    /** `host:port` of the members' gRPC listeners. */
    readonly addresses: readonly string[];
}

export interface ControlStopAnnounced extends Message {
    readonly kind: typeof ControlKind.StopAnnounced;
}

export interface ControlSeedsChanged extends Message {
    readonly kind: typeof ControlKind.SeedsChanged;
    readonly seeds: readonly { readonly memberId: string; readonly address: string; }[];
}
