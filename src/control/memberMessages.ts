/** Messages between the filters of the control pipe. */
import type { Configuration } from "../model/configuration.ts";
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

/** Forms a new cluster of these members; sent only by a founder whose every peer has an empty disk. */
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

/** The leader of the current term is alive. */
export interface LeaderHeard extends Message {
    readonly kind: typeof MemberKind.LeaderHeard;
}

/** Messages without content besides the term in which they were made. */
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

/** A timer that carries nothing. */
export interface TimerEvent extends Message {
    readonly kind: typeof MemberKind.FormDue | typeof MemberKind.ElectionDue;
}

/** What a candidate needs to know of the log. */
export interface LogSummary {
    readonly lastIndex: number;
    readonly lastTerm: number;
    readonly members: readonly Member[];
}

/** The election timer ran out; enriched by the log. */
export interface ElectionReady extends Message, LogSummary {
    readonly kind: typeof MemberKind.ElectionReady;
}

/** This member opened a term as candidate; enriched by the log. */
export interface Candidacy extends Message, LogSummary {
    readonly kind: typeof MemberKind.Candidacy;
    readonly term: number;
}

/** A vote request, with the log's part of the decision. */
export interface VoteAsked extends Message {
    readonly kind: typeof MemberKind.VoteAsked;
    readonly request: VoteRequest;
    /** The candidate's log is at least as recent as the own one. */
    readonly logIsRecent: boolean;
}

/** What the leader knows when it decides on a change of members. */
export interface MembershipState {
    readonly term: number;
    readonly members: readonly Member[];
    /** Index of the entry that holds `members`. */
    readonly membersIndex: number;
    /** The leadership is confirmed and the last change of members is committed. */
    readonly changeable: boolean;
}

/** An instance with an empty disk asked the leader to let it join. */
export interface JoinAsked extends Message, MembershipState {
    readonly kind: typeof MemberKind.JoinAsked;
    readonly request: JoinRequest;
    readonly tracked: boolean;
    /** It has synced everything that is committed. */
    readonly caughtUp: boolean;
    /** Time for which it has received the log. */
    readonly trackedForMs: number;
    /** Members that do not answer, so that it may take the place of one; the longest silent first. */
    readonly silent: readonly SilentMember[];
}

/** An operator's change of members, enriched by the log. */
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

/** Members do not answer the leader; the longest silent first. */
export interface MembersSilent extends Message, MembershipState {
    readonly kind: typeof MemberKind.MembersSilent;
    readonly silent: readonly SilentMember[];
}

/** Asks the leader to replicate to an instance that does not vote. */
export interface TrackLearner extends Message {
    readonly kind: typeof MemberKind.TrackLearner;
    readonly term: number;
    readonly member: Member;
}

export interface AppendMembers extends Message {
    readonly kind: typeof MemberKind.AppendMembers;
    readonly term: number;
    /** The change was decided on top of the members entry with this index. */
    readonly membersIndex: number;
    readonly members: readonly Member[];
    /** Set when an operator waits for the result. */
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

/** The state machine has a new configuration; the publication announces it. */
export interface ConfigurationChanged extends Message {
    readonly kind: typeof MemberKind.ConfigurationChanged;
    readonly configuration: Configuration;
}

/** The state machine has a snapshot of its state; the log adds the members. */
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

/** The log no longer holds what a peer needs. */
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
    /** The peer has synced the whole snapshot; otherwise it only showed that it is alive. */
    readonly installed: boolean;
}

/** All chunks of a snapshot arrived; `request` is the last one. */
export interface SnapshotReceived extends Message {
    readonly kind: typeof MemberKind.SnapshotReceived;
    readonly snapshot: Snapshot;
    readonly request: SnapshotRequest;
}

/** The state machine must continue from this snapshot. */
export interface SnapshotInstalled extends Message {
    readonly kind: typeof MemberKind.SnapshotInstalled;
    readonly snapshot: Snapshot;
}

/** A write for the data folder, without a number yet. */
export interface Write extends Message {
    readonly kind: typeof MemberKind.Write;
    readonly write: StorageWrite;
}

/** Identifies a voter: its id and the incarnation of its disk. */
export function memberKey(member: Member): string {
    return `${member.memberId}/${member.incarnation}`;
}

/** Number of voters that decide. */
export function majoritySize(members: readonly Member[]): number {
    return Math.floor(members.length / 2) + 1;
}

export function isMember(members: readonly Member[], member: Member): boolean {
    return members.some(candidate => memberKey(candidate) === memberKey(member));
}

/** Tells whether a member is listed with its present address. */
export function isMemberWithAddress(members: readonly Member[], member: Member): boolean {
    return members.some(candidate =>
        memberKey(candidate) === memberKey(member) && candidate.address === member.address
    );
}

/** The latest list of members that the disk held; empty on a new disk. */
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
