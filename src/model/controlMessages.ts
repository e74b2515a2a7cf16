/** Commands to the replicated control state, and what becomes of them. */
import type { Message } from "../pipeline/message.ts";
import type { RateShare } from "./configuration.ts";
import type { DatabaseGroup } from "./database.ts";
import type { DocumentEntry, DocumentHead } from "./document.ts";
import type { LeaseAssignment } from "./lease.ts";
import type { WorkClass } from "./workClass.ts";
import type { CallerKey, OpenRoute, Workspace } from "./workspace.ts";

export const ControlKind = {
    /** Any pipe or source asks for a change of the control state. */
    Propose: "control.propose",
    /** An operator asks for a change of the control members. */
    ChangeMember: "control.change_member",
    /** What became of a proposal. */
    ProposalEnded: "control.proposal_ended",
    /** This member's view of who leads changed. */
    LeaderChanged: "control.leader_changed",
    /** The list of control members that this member knows of changed. */
    MembersAgreed: "control.members_agreed",
    /** The settings name other instances to ask for membership. */
    SeedsChanged: "control.seeds_changed",
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
} as const;

/** Version expected of the object that a command changes; 0 for one that must not exist yet. */
interface VersionedCommand {
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

/** A withdrawn key id is never issued again. */
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

/** Accepted as a whole or not at all; each assignment only if the resource's epoch is `epoch - 1`. */
export interface AssignLeases {
    readonly kind: typeof CommandKind.AssignLeases;
    readonly assignments: readonly LeaseAssignment[];
}

/** Replaces the shares of one workspace; refused when their sum exceeds its rate or burst. */
export interface SetRateShares {
    readonly kind: typeof CommandKind.SetRateShares;
    readonly workspace: string;
    /** Version of the workspace for which the shares were computed. */
    readonly workspaceVersion: number;
    readonly shares: readonly RateShare[];
}

/** Changes the document into a newer version, as differences from the version that the sender had. */
export interface PutDocument {
    readonly kind: typeof CommandKind.PutDocument;
    readonly head: DocumentHead;
    /** Version on which the differences rest; 0 for none. */
    readonly baseVersion: number;
    readonly upserts: readonly DocumentEntry[];
    readonly removals: readonly string[];
}

/** Changes nothing; its commit proves that the state read after it is the newest. */
export interface ReadBarrier {
    readonly kind: typeof CommandKind.ReadBarrier;
}

/** Opens a promotion under the next fence of the service; the result's version is the fence. */
export interface ReservePromotion {
    readonly kind: typeof CommandKind.ReservePromotion;
    readonly service: string;
    readonly expectedFence: number;
}

export interface CompletePromotion {
    readonly kind: typeof CommandKind.CompletePromotion;
    readonly service: string;
    readonly fence: number;
    readonly databaseId: string;
}

export type Command =
    | PutDocument
    | ReadBarrier
    | ReservePromotion
    | CompletePromotion
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
    /** Chosen by the asker, unique in this process. */
    readonly proposalId: string;
    /** A resend with the same operation id gets the first result; empty when resends cannot happen. */
    readonly operationId: string;
    readonly command: Command;
}

/** Adds an instance that asked to join, or removes a member. Answered by `control.proposal_ended`. */
export interface ControlChangeMember extends Message {
    readonly kind: typeof ControlKind.ChangeMember;
    readonly proposalId: string;
    readonly action: "add" | "remove";
    readonly memberId: string;
}

export const ProposalStatus = {
    Applied: "applied",
    /** The expected version, term or epoch was not the current one. Nothing changed. */
    Conflict: "conflict",
    /** The command can never be accepted as it is. Nothing changed. */
    Invalid: "invalid",
    /** This instance does not lead. Nothing was done with the command. */
    NotLeader: "not_leader",
    /** Leadership was lost before the command was committed; it may still be. Resend with the same operation id. */
    Unknown: "unknown",
} as const;
export type ProposalStatus = typeof ProposalStatus[keyof typeof ProposalStatus];

export interface ControlProposalEnded extends Message {
    readonly kind: typeof ControlKind.ProposalEnded;
    readonly proposalId: string;
    readonly status: ProposalStatus;
    /** New version of the changed object, or its current one after a conflict; 0 if there is none. */
    readonly version: number;
    /** Configuration version at which the result was decided. */
    readonly configurationVersion: number;
    /** What to do about it; empty when applied. */
    readonly detail: string;
    /** `host:port` of the leader's gRPC listener when known. */
    readonly leaderAddress: string | undefined;
}

/** Emitted on each change, on control members only. */
export interface ControlLeaderChanged extends Message {
    readonly kind: typeof ControlKind.LeaderChanged;
    /** This instance leads and has confirmed it with a majority. */
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

export interface ControlSeedsChanged extends Message {
    readonly kind: typeof ControlKind.SeedsChanged;
    readonly seeds: readonly { readonly memberId: string; readonly address: string; }[];
}
