/** Replication: the log of this member, as follower and as leader, and what is committed. */
import {
    type ControlChangeMember,
    ControlKind,
    type ControlPropose,
    ProposalStatus,
} from "../model/controlMessages.ts";
import {
    type AppendAnswer,
    type AppendRequest,
    type JoinRequest,
    LogKind,
    send,
    type VoteRequest,
} from "../model/logMessages.ts";
import { type EntryBody, EntryKind, type LogEntry, type Member } from "../model/replicatedLog.ts";
import { StorageKind, type StorageRecovered, WriteKind } from "../model/storageMessages.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { acceptEntries } from "./acceptEntries.ts";
import { Leadership } from "./leadership.ts";
import { MemberLog } from "./memberLog.ts";
import {
    type AppendMembers,
    type Form,
    isMember,
    MemberKind,
    MemberRole,
    type SnapshotDelivered,
    type SnapshotDue,
    type SnapshotReceived,
    type TermChanged,
    type TermEvent,
    termEvent,
    type TimerEvent,
    type TrackLearner,
    writeOf,
} from "./memberMessages.ts";
import { proposalEnded } from "./proposalEnded.ts";

/** A quarter of the shortest election timeout, so that three lost heartbeats in a row start no election. */
export const heartbeatMs = 250;

/** Bounds the memory of a leader that has lost its majority. */
const maximumUncommitted = 1_024;

const heartbeatKey = "control.heartbeat";

type ReplicationInput =
    | StorageRecovered
    | Form
    | TermChanged
    | AppendRequest
    | AppendAnswer
    | VoteRequest
    | TermEvent
    | TimerEvent
    | ControlPropose
    | ControlChangeMember
    | JoinRequest
    | TrackLearner
    | AppendMembers
    | SnapshotDue
    | SnapshotReceived
    | SnapshotDelivered;

/** Owns the log and the commit index. Every message that it accepts belongs to the current term. */
export class ReplicationFilter implements Filter<ReplicationInput, Message> {
    readonly step = "replicate";
    readonly accepts = [
        StorageKind.Recovered,
        MemberKind.Form,
        MemberKind.TermChanged,
        LogKind.AppendRequest,
        LogKind.AppendAnswer,
        LogKind.VoteRequest,
        MemberKind.ElectionDue,
        MemberKind.CandidacyOpened,
        MemberKind.HeartbeatDue,
        ControlKind.Propose,
        ControlKind.ChangeMember,
        LogKind.JoinRequest,
        MemberKind.TrackLearner,
        MemberKind.AppendMembers,
        MemberKind.SnapshotDue,
        MemberKind.SnapshotReceived,
        MemberKind.SnapshotDelivered,
    ];
    private readonly self: Member;
    private readonly log = new MemberLog();
    private term = 0;
    private commitIndex = 0;
    private leadership: Leadership | undefined;
    /** Index of this leader's first entry; its commit confirms the leadership. */
    private confirmIndex = Infinity;

    constructor(self: Member) {
        this.self = self;
    }

    process(message: ReplicationInput, nowMs: number): readonly Message[] {
        switch (message.kind) {
            case StorageKind.Recovered:
                return this.recover(message);
            case MemberKind.Form:
                return this.form(message.members);
            case MemberKind.TermChanged:
                return this.changeTerm(message, nowMs);
            case LogKind.AppendRequest:
                return this.accept(message);
            case LogKind.AppendAnswer:
                return this.noteAnswer(message, nowMs);
            case LogKind.VoteRequest:
                return [
                    { kind: MemberKind.VoteAsked, request: message, logIsRecent: this.isRecent(message) } as Message,
                ];
            case MemberKind.ElectionDue:
                return [{ kind: MemberKind.ElectionReady, ...this.facts() } as Message];
            case MemberKind.CandidacyOpened:
                return [{ kind: MemberKind.Candidacy, term: this.term, ...this.facts() } as Message];
            case MemberKind.HeartbeatDue:
                return this.heartbeat(nowMs);
            case ControlKind.Propose:
                return this.propose(message, nowMs);
            default:
                return this.processMembership(message as MembershipInput, nowMs);
        }
    }

    private processMembership(message: MembershipInput, nowMs: number): readonly Message[] {
        switch (message.kind) {
            case LogKind.JoinRequest:
                return this.askToJoin(message);
            case ControlKind.ChangeMember: {
                const { proposalId, action, memberId } = message;
                const change = {
                    kind: MemberKind.ChangeAsked,
                    ...this.membershipFacts(),
                    proposalId,
                    action,
                    memberId,
                };
                return [change as Message];
            }
            case MemberKind.TrackLearner:
                this.leadershipOf(message.term)?.trackLearner(message.member, nowMs);
                return [];
            case MemberKind.AppendMembers:
                return this.appendMembers(message, nowMs);
            case MemberKind.SnapshotDue:
                return this.compact(message);
            case MemberKind.SnapshotReceived:
                return this.install(message);
            case MemberKind.SnapshotDelivered: {
                const { peer, lastIndex, installed } = message;
                this.leadershipOf(message.term)?.noteSnapshot(peer, lastIndex, installed, nowMs);
                return this.advance(nowMs);
            }
        }
    }

    private recover(recovered: StorageRecovered): readonly Message[] {
        this.log.restore(recovered.snapshot, recovered.entries);
        this.term = recovered.term;
        this.commitIndex = this.log.snapshotIndex;
        return [recovered];
    }

    private form(members: readonly Member[]): readonly Message[] {
        if (this.log.lastIndex > 0) {
            return [];
        }
        return this.write([{ index: 1, term: 0, body: { kind: EntryKind.Members, members } }]);
    }

    private changeTerm(change: TermChanged, nowMs: number): readonly Message[] {
        this.term = change.term;
        this.confirmIndex = Infinity;
        if (change.role !== MemberRole.Leader) {
            this.leadership = undefined;
            return [change, clearDeadline(heartbeatKey)];
        }
        this.leadership = new Leadership({ self: this.self, term: this.term, log: this.log, nowMs });
        this.confirmIndex = this.log.lastIndex + 1;
        return [change, ...this.lead({ kind: EntryKind.NoOp }, undefined, nowMs), this.heartbeatTimer(nowMs)];
    }

    private propose({ operationId, command, proposalId }: ControlPropose, nowMs: number): readonly Message[] {
        if (this.log.lastIndex - this.commitIndex >= maximumUncommitted) {
            const detail = `${maximumUncommitted} changes wait for a majority of the control members; try again later`;
            return [proposalEnded(proposalId, ProposalStatus.NotLeader, { detail })];
        }
        return this.lead({ kind: EntryKind.Command, operationId, command }, proposalId, nowMs);
    }

    private lead(body: EntryBody, proposalId: string | undefined, nowMs: number): readonly Message[] {
        const index = this.log.lastIndex + 1;
        const writes = this.write([{ index, term: this.term, body }]);
        this.leadership!.syncPeers(nowMs);
        const appended = { kind: MemberKind.EntryAppended, proposalId, index, term: this.term } as Message;
        return [
            ...proposalId === undefined ? [] : [appended],
            ...writes,
            send({ ...this.answerTo(this.self, ""), kind: LogKind.AppendAnswer, accepted: true, index }),
            ...this.leadership!.replicate(this.commitIndex, nowMs),
        ];
    }

    private write(entries: readonly LogEntry[]): readonly Message[] {
        entries.forEach(entry => this.log.append(entry));
        return [writeOf({ kind: WriteKind.Entries, fromIndex: entries[0]!.index, entries })];
    }

    private accept(request: AppendRequest): readonly Message[] {
        const { accepted, index, write } = acceptEntries(this.log, this.commitIndex, request);
        const answer = { ...this.answerTo(request.from, request.callId), kind: LogKind.AppendAnswer, accepted, index };
        return [
            ...write === undefined ? [] : [writeOf(write)],
            send(answer),
            ...accepted ? this.commit(Math.min(request.commitIndex, index)) : [],
        ];
    }

    private noteAnswer(answer: AppendAnswer, nowMs: number): readonly Message[] {
        this.leadership?.noteAnswer(answer, nowMs);
        return this.advance(nowMs);
    }

    /** Commits what a majority has synced. An entry of an older term is committed only through one of this term. */
    private advance(nowMs: number): readonly Message[] {
        if (this.leadership === undefined) {
            return [];
        }
        const index = this.leadership.quorumIndex();
        const committed = this.log.termAt(index) === this.term ? this.commit(index) : [];
        return [...committed, ...this.leadership.replicate(this.commitIndex, nowMs)];
    }

    private commit(index: number): readonly Message[] {
        if (index <= this.commitIndex) {
            return [];
        }
        const entries = this.log.slice(this.commitIndex + 1, index);
        this.commitIndex = index;
        const members = entries.findLast(entry => entry.body.kind === EntryKind.Members)?.body;
        return [
            { kind: MemberKind.Committed, entries } as Message,
            ...index >= this.confirmIndex ? [this.confirm()] : [],
            ...members?.kind === EntryKind.Members ? this.membersChanged(members.members) : [],
        ];
    }

    private confirm(): Message {
        this.confirmIndex = Infinity;
        return termEvent(MemberKind.LeadershipConfirmed, this.term);
    }

    private membersChanged(members: readonly Member[]): readonly Message[] {
        const removed = this.leadership !== undefined && !isMember(members, this.self);
        return [
            { kind: MemberKind.MembersChanged, members } as Message,
            ...removed ? [termEvent(MemberKind.QuorumLost, this.term)] : [],
        ];
    }

    private heartbeat(nowMs: number): readonly Message[] {
        if (this.leadership === undefined) {
            return [];
        }
        return this.leadership.hasQuorum(nowMs)
            ? [...this.leadership.heartbeat(this.commitIndex, nowMs), this.heartbeatTimer(nowMs)]
            : [termEvent(MemberKind.QuorumLost, this.term)];
    }

    private askToJoin(request: JoinRequest): readonly Message[] {
        if (this.leadership === undefined) {
            return [];
        }
        const tracked = this.leadership.tracks(request.from);
        const caughtUp = tracked && this.leadership.matchOf(request.from) >= this.commitIndex;
        return [{ kind: MemberKind.JoinAsked, ...this.membershipFacts(), request, tracked, caughtUp } as Message];
    }

    private appendMembers(change: AppendMembers, nowMs: number): readonly Message[] {
        const { changeable, membersIndex } = this.membershipFacts();
        if (this.leadershipOf(change.term) === undefined || !changeable || membersIndex !== change.membersIndex) {
            const detail = "the members changed meanwhile; read them and try again";
            return change.proposalId === undefined
                ? []
                : [proposalEnded(change.proposalId, ProposalStatus.Conflict, { detail })];
        }
        return this.lead({ kind: EntryKind.Members, members: change.members }, change.proposalId, nowMs);
    }

    private compact(due: SnapshotDue): readonly Message[] {
        if (due.lastIndex <= this.log.snapshotIndex) {
            return [];
        }
        const { lastIndex, lastTerm, version, records } = due;
        const snapshot = { lastIndex, lastTerm, version, records, members: this.log.membersAt(lastIndex) };
        const discardLog = this.log.compact(snapshot);
        return [
            writeOf({ kind: WriteKind.Snapshot, snapshot, discardLog }),
            { kind: MemberKind.SnapshotReady, snapshot } as Message,
        ];
    }

    private install({ snapshot, request }: SnapshotReceived): readonly Message[] {
        if (request.term !== this.term || this.leadership !== undefined) {
            return [];
        }
        const { lastIndex } = snapshot;
        const head = this.answerTo(request.from, request.callId);
        const nextOffset = snapshot.records.length;
        const answer = send({ ...head, kind: LogKind.SnapshotAnswer, lastIndex, nextOffset, installed: true });
        if (lastIndex <= this.commitIndex) {
            return [answer];
        }
        const discardLog = this.log.compact(snapshot);
        this.commitIndex = lastIndex;
        return [
            writeOf({ kind: WriteKind.Snapshot, snapshot, discardLog }),
            answer,
            { kind: MemberKind.SnapshotInstalled, snapshot } as Message,
            { kind: MemberKind.MembersChanged, members: snapshot.members } as Message,
        ];
    }

    private isRecent(request: VoteRequest): boolean {
        const { lastTerm, lastIndex } = this.log;
        return request.lastTerm > lastTerm || request.lastTerm === lastTerm && request.lastIndex >= lastIndex;
    }

    private facts(): { lastIndex: number; lastTerm: number; members: readonly Member[]; } {
        return { lastIndex: this.log.lastIndex, lastTerm: this.log.lastTerm, members: this.log.members };
    }

    // A change on top of an uncommitted one, or before this term has committed an entry, could leave two majorities
    // without a common member.
    private membershipFacts() {
        const { members, membersIndex } = this.log;
        const changeable = this.confirmIndex === Infinity && membersIndex <= this.commitIndex;
        return { term: this.term, members, membersIndex, changeable };
    }

    private leadershipOf(term: number): Leadership | undefined {
        return this.leadership?.term === term ? this.leadership : undefined;
    }

    private answerTo(to: Member, callId: string) {
        return { from: this.self, to, term: this.term, callId };
    }

    private heartbeatTimer(nowMs: number): Message {
        return setDeadline(heartbeatKey, nowMs + heartbeatMs, termEvent(MemberKind.HeartbeatDue, this.term));
    }
}

type MembershipInput = Extract<
    ReplicationInput,
    | ControlChangeMember
    | JoinRequest
    | TrackLearner
    | AppendMembers
    | SnapshotDue
    | SnapshotReceived
    | SnapshotDelivered
>;
