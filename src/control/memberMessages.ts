/** Messages between the filters of the control pipe. */
import type { Configuration } from "../model/configuration.ts";
import type { ConfigurationDocument } from "../model/document.ts";
import type { JoinRequest, SnapshotRequest, VoteRequest } from "../model/logMessages.ts";
import {
    EntryKind,
    type LogEntry,
    type Member,
    type OperationResult,
    type Snapshot,
    type SnapshotRecord,
} from "../model/replicatedLog.ts";
import type { StorageRecovered, StorageWrite } from "../model/storageMessages.ts";
import type { Message } from "../pipeline/message.ts";

export const MemberRole = {
    Follower: "follower",
    Candidate: "candidate",
    Leader: "leader",
} as const;
export type MemberRole = typeof MemberRole[keyof typeof MemberRole];

export const MemberKind = {
    FormDue: "control.form_due",
    FormCluster: "control.form",
    TermChanged: "control.term_changed",
    LeaderHeard: "control.leader_heard",
    /** No message of the leader was received for some time. */
    LeaderSilent: "control.leader_silent",
    ElectionDue: "control.election_due",
    ElectionReady: "control.election_ready",
    Campaign: "control.campaign",
    CandidacyOpened: "control.candidacy_opened",
    Candidacy: "control.candidacy",
    VoteAsked: "control.vote_asked",
    Elected: "control.elected",
    QuorumLost: "control.quorum_lost",
    LeadershipConfirmed: "control.leadership_confirmed",
    HeartbeatDue: "control.heartbeat_due",
    JoinAsked: "control.join_asked",
    ChangeAsked: "control.change_asked",
    MembersSilent: "control.members_silent",
    TrackLearner: "control.track_learner",
    AppendMembers: "control.append_members",
    MembersChanged: "control.members_changed",
    EntryAppended: "control.entry_appended",
    Committed: "control.committed",
    EntryApplied: "control.entry_applied",
    ConfigurationChanged: "control.configuration_changed",
    SnapshotDue: "control.snapshot_due",
    SnapshotReady: "control.snapshot_ready",
    SnapshotWanted: "control.snapshot_wanted",
    SnapshotDelivered: "control.snapshot_delivered",
    SnapshotReceived: "control.snapshot_received",
    SnapshotInstalled: "control.snapshot_installed",
    Write: "control.write",
} as const;

/** Forms a new cluster of these members; sent only if the disks of all members are known to be empty. */
export interface FormCluster extends Message {
    readonly kind: typeof MemberKind.FormCluster;
    readonly members: readonly Member[];
}

export interface TermChanged extends Message {
    readonly kind: typeof MemberKind.TermChanged;
    readonly term: number;
    readonly role: MemberRole;
    readonly leader: Member | undefined;
}

/** A message of the current leader was received. */
export interface LeaderHeard extends Message {
    readonly kind: typeof MemberKind.LeaderHeard;
}

/** Events without content other than the term to which they belong. */
export interface TermEvent extends Message {
    readonly kind:
        | typeof MemberKind.Campaign
        | typeof MemberKind.CandidacyOpened
        | typeof MemberKind.Elected
        | typeof MemberKind.QuorumLost
        | typeof MemberKind.LeadershipConfirmed
        | typeof MemberKind.HeartbeatDue;
    readonly term: number;
}

/** Timers without content. */
export interface TimerEvent extends Message {
    readonly kind: typeof MemberKind.FormDue | typeof MemberKind.ElectionDue | typeof MemberKind.LeaderSilent;
}

/** State of the log that an election depends on. */
export interface LogSummary {
    readonly lastIndex: number;
    readonly lastTerm: number;
    readonly members: readonly Member[];
}

/** The election timer expired; the replication filter has added the state of the log. */
export interface ElectionReady extends Message, LogSummary {
    readonly kind: typeof MemberKind.ElectionReady;
}

/** This member is a candidate in a new term; the replication filter has added the state of the log. */
export interface Candidacy extends Message, LogSummary {
    readonly kind: typeof MemberKind.Candidacy;
    readonly term: number;
}

/** A vote request that was received, with the result of the comparison of the logs. */
export interface VoteAsked extends Message {
    readonly kind: typeof MemberKind.VoteAsked;
    readonly request: VoteRequest;
    /** The candidate's log is at least as up to date as the log of this member. */
    readonly logIsRecent: boolean;
}

/** State on which the leader bases a membership change. */
export interface MembershipState {
    readonly term: number;
    readonly members: readonly Member[];
    /** Index of the entry that contains `members`. */
    readonly membersIndex: number;
    /** The leadership is confirmed and the last membership change is committed. */
    readonly changeable: boolean;
}

/** An instance asked the leader to let it join, or to update its address. */
export interface JoinAsked extends Message, MembershipState {
    readonly kind: typeof MemberKind.JoinAsked;
    readonly request: JoinRequest;
    readonly tracked: boolean;
    /** The instance has synced all committed entries. */
    readonly caughtUp: boolean;
    /** Time since replication to the instance started. */
    readonly trackedForMs: number;
    /** Members that do not answer, the longest silent first; the instance may replace one of them. */
    readonly silent: readonly SilentMember[];
}

/** A membership change that an operator asked for. */
export interface ChangeAsked extends Message, MembershipState {
    readonly kind: typeof MemberKind.ChangeAsked;
    readonly proposalId: string;
    readonly action: "add" | "remove";
    readonly memberId: string;
}

export interface SilentMember {
    readonly member: Member;
    readonly silentForMs: number;
}

/** Members that do not answer the leader, the longest silent first. */
export interface MembersSilent extends Message, MembershipState {
    readonly kind: typeof MemberKind.MembersSilent;
    readonly silent: readonly SilentMember[];
}

/** Starts replication to an instance that does not vote. */
export interface TrackLearner extends Message {
    readonly kind: typeof MemberKind.TrackLearner;
    readonly term: number;
    readonly member: Member;
}

export interface AppendMembers extends Message {
    readonly kind: typeof MemberKind.AppendMembers;
    readonly term: number;
    /** Index of the members entry on which the change is based. */
    readonly membersIndex: number;
    readonly members: readonly Member[];
    /** Set if an operator waits for the result. */
    readonly proposalId: string | undefined;
}

/** A list of members was committed. */
export interface MembersChanged extends Message {
    readonly kind: typeof MemberKind.MembersChanged;
    readonly members: readonly Member[];
}

export interface EntryAppended extends Message {
    readonly kind: typeof MemberKind.EntryAppended;
    readonly proposalId: string;
    readonly index: number;
    readonly term: number;
}

export interface Committed extends Message {
    readonly kind: typeof MemberKind.Committed;
    readonly entries: readonly LogEntry[];
}

export interface EntryApplied extends Message {
    readonly kind: typeof MemberKind.EntryApplied;
    readonly index: number;
    readonly term: number;
    readonly result: OperationResult;
}

/** The configuration of the control state changed; the publication filter sends it to subscribers. */
export interface ConfigurationChanged extends Message {
    readonly kind: typeof MemberKind.ConfigurationChanged;
    readonly configuration: Configuration;
    /** The last documents that were replaced since the message before, the newest first. */
    readonly replacedDocuments?: readonly ConfigurationDocument[];
}

/** A new snapshot of the control state; the replication filter adds the list of members. */
export interface SnapshotDue extends Message {
    readonly kind: typeof MemberKind.SnapshotDue;
    readonly lastIndex: number;
    readonly lastTerm: number;
    readonly version: number;
    readonly records: readonly SnapshotRecord[];
}

export interface SnapshotReady extends Message {
    readonly kind: typeof MemberKind.SnapshotReady;
    readonly snapshot: Snapshot;
}

/** A peer needs entries that the log no longer contains. */
export interface SnapshotWanted extends Message {
    readonly kind: typeof MemberKind.SnapshotWanted;
    readonly term: number;
    readonly peer: Member;
}

export interface SnapshotDelivered extends Message {
    readonly kind: typeof MemberKind.SnapshotDelivered;
    readonly term: number;
    readonly peer: Member;
    readonly lastIndex: number;
    /** The peer has synced the whole snapshot; otherwise it has answered a chunk. */
    readonly installed: boolean;
}

/** All chunks of a snapshot were received; `request` is the last one. */
export interface SnapshotReceived extends Message {
    readonly kind: typeof MemberKind.SnapshotReceived;
    readonly snapshot: Snapshot;
    readonly request: SnapshotRequest;
}

/** The control state must be replaced with this snapshot. */
export interface SnapshotInstalled extends Message {
    readonly kind: typeof MemberKind.SnapshotInstalled;
    readonly snapshot: Snapshot;
}

/** A write to the data folder, before the durability filter assigns its id. */
export interface Write extends Message {
    readonly kind: typeof MemberKind.Write;
    readonly write: StorageWrite;
}

/** Identifies a voter by its id and the incarnation of its disk. */
export function memberKey(member: Member): string {
    return `${member.memberId}/${member.incarnation}`;
}

/** Number of voters in the smallest majority. */
export function majoritySize(members: readonly Member[]): number {
    return Math.floor(members.length / 2) + 1;
}

export function isMember(members: readonly Member[], member: Member): boolean {
    return members.some(candidate => memberKey(candidate) === memberKey(member));
}

/** Whether the list contains the member with its current address. */
export function isMemberWithAddress(members: readonly Member[], member: Member): boolean {
    return members.some(candidate =>
        memberKey(candidate) === memberKey(member) && candidate.address === member.address
    );
}

/** The latest list of members that was recovered from disk; empty on a new disk. */
export function recoveredMembers({ entries, snapshot }: StorageRecovered): readonly Member[] {
    const entry = entries.findLast(found => found.body.kind === EntryKind.Members);
    return entry?.body.kind === EntryKind.Members ? entry.body.members : snapshot?.members ?? [];
}

export function termEvent(kind: TermEvent["kind"], term: number): TermEvent {
    return { kind, term };
}

export function writeMessage(write: StorageWrite): Write {
    return { kind: MemberKind.Write, write };
}
