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
import { EntryKind, type Member } from "../model/replicatedLog.ts";
import { StorageKind, type StorageRecovered } from "../model/storageMessages.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { acceptEntries } from "./acceptEntries.ts";
import {
    type AppendMembers,
    type Form,
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
import { Replica } from "./replica.ts";

/** A quarter of the shortest election timeout, so that three lost heartbeats in a row start no election. */
export const heartbeatMs = 250;

/** Bounds the memory of a leader that has lost its majority. */
const maximumUncommitted = 1_024;

/** Keeps an entry below the record size of the data folder; 4,000 lease assignments need about 800,000. */
const maximumCommandCharacters = 1_048_576;

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
    private readonly replica: Replica;

    /** @param tolerance disks that may be lost at one moment */
    constructor(self: Member, tolerance: number) {
        this.replica = new Replica(self, tolerance);
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
                    {
                        kind: MemberKind.VoteAsked,
                        request: message,
                        logIsRecent: this.replica.isRecent(message),
                    } as Message,
                ];
            case MemberKind.ElectionDue:
                return [{ kind: MemberKind.ElectionReady, ...this.replica.facts() } as Message];
            case MemberKind.CandidacyOpened:
                return [{ kind: MemberKind.Candidacy, term: this.replica.term, ...this.replica.facts() } as Message];
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
                return this.askToJoin(message, nowMs);
            case ControlKind.ChangeMember: {
                const { proposalId, action, memberId } = message;
                const change = {
                    kind: MemberKind.ChangeAsked,
                    ...this.replica.membershipFacts(),
                    proposalId,
                    action,
                    memberId,
                };
                return [change as Message];
            }
            case MemberKind.TrackLearner:
                this.replica.leadershipOf(message.term)?.trackLearner(message.member, nowMs);
                return [];
            case MemberKind.AppendMembers:
                return this.appendMembers(message, nowMs);
            case MemberKind.SnapshotDue:
                return this.compact(message);
            case MemberKind.SnapshotReceived:
                return this.install(message);
            case MemberKind.SnapshotDelivered: {
                const { peer, lastIndex, installed } = message;
                this.replica.leadershipOf(message.term)?.noteSnapshot(peer, lastIndex, installed, nowMs);
                return this.replica.advance(nowMs);
            }
        }
    }

    private recover(recovered: StorageRecovered): readonly Message[] {
        this.replica.restore(recovered);
        return [recovered];
    }

    private form(members: readonly Member[]): readonly Message[] {
        if (this.replica.log.lastIndex > 0) {
            return [];
        }
        return this.replica.write([{ index: 1, term: 0, body: { kind: EntryKind.Members, members } }]);
    }

    private changeTerm(change: TermChanged, nowMs: number): readonly Message[] {
        if (change.role !== MemberRole.Leader) {
            this.replica.follow(change.term);
            return [change, clearDeadline(heartbeatKey)];
        }
        return [change, ...this.replica.startLeading(change.term, nowMs), this.heartbeatTimer(nowMs)];
    }

    private propose({ operationId, command, proposalId }: ControlPropose, nowMs: number): readonly Message[] {
        if (this.replica.log.lastIndex - this.replica.commitIndex >= maximumUncommitted) {
            const detail = `${maximumUncommitted} changes wait for a majority of the control members; try again later`;
            return [proposalEnded(proposalId, ProposalStatus.NotLeader, { detail })];
        }
        const body = { kind: EntryKind.Command, operationId, command };
        if (JSON.stringify(body).length > maximumCommandCharacters) {
            const detail = `the change exceeds ${maximumCommandCharacters} characters; split it`;
            return [proposalEnded(proposalId, ProposalStatus.Invalid, { detail })];
        }
        return this.replica.lead(body, proposalId, nowMs);
    }

    private accept(request: AppendRequest): readonly Message[] {
        const { accepted, index, write } = acceptEntries(this.replica.log, this.replica.commitIndex, request);
        const answer = {
            ...this.replica.answerTo(request.from, request.callId),
            kind: LogKind.AppendAnswer,
            accepted,
            index,
        };
        return [
            ...write === undefined ? [] : [writeOf(write)],
            send(answer),
            ...accepted ? this.replica.commit(Math.min(request.commitIndex, index)) : [],
        ];
    }

    private noteAnswer(answer: AppendAnswer, nowMs: number): readonly Message[] {
        this.replica.leadership?.noteAnswer(answer, nowMs);
        return this.replica.advance(nowMs);
    }

    private heartbeat(nowMs: number): readonly Message[] {
        if (this.replica.leadership === undefined) {
            return [];
        }
        return this.replica.leadership.hasQuorum(nowMs)
            ? [
                ...this.replica.leadership.heartbeat(this.replica.commitIndex, nowMs),
                this.heartbeatTimer(nowMs),
                ...this.noteSilence(nowMs),
            ]
            : [termEvent(MemberKind.QuorumLost, this.replica.term)];
    }

    private noteSilence(nowMs: number): readonly Message[] {
        const silent = this.replica.leadership?.silentMembers(nowMs) ?? [];
        const facts = this.replica.membershipFacts();
        return silent.length === 0 || !facts.changeable
            ? []
            : [{ kind: MemberKind.MembersSilent, ...facts, silent } as Message];
    }

    private askToJoin(request: JoinRequest, nowMs: number): readonly Message[] {
        const { leadership, commitIndex } = this.replica;
        if (leadership === undefined) {
            return [];
        }
        const tracked = leadership.tracks(request.from);
        const caughtUp = tracked && leadership.matchOf(request.from) >= commitIndex;
        const silent = leadership.silentMembers(nowMs);
        const trackedForMs = leadership.trackedForMs(request.from, nowMs);
        const facts = { ...this.replica.membershipFacts(), request, tracked, caughtUp, trackedForMs, silent };
        return [{ kind: MemberKind.JoinAsked, ...facts } as Message];
    }

    private appendMembers(change: AppendMembers, nowMs: number): readonly Message[] {
        const { changeable, membersIndex } = this.replica.membershipFacts();
        if (
            this.replica.leadershipOf(change.term) === undefined || !changeable || membersIndex !== change.membersIndex
        ) {
            const detail = "the members changed meanwhile; read them and try again";
            return change.proposalId === undefined
                ? []
                : [proposalEnded(change.proposalId, ProposalStatus.Conflict, { detail })];
        }
        return this.replica.lead({ kind: EntryKind.Members, members: change.members }, change.proposalId, nowMs);
    }

    private compact({ lastIndex, lastTerm, version, records }: SnapshotDue): readonly Message[] {
        const { log } = this.replica;
        return lastIndex <= log.snapshotIndex
            ? []
            : this.replica.compact({ lastIndex, lastTerm, version, records, members: log.membersAt(lastIndex) });
    }

    private install({ snapshot, request }: SnapshotReceived): readonly Message[] {
        if (request.term !== this.replica.term || this.replica.leadership !== undefined) {
            return [];
        }
        const { lastIndex } = snapshot;
        const head = this.replica.answerTo(request.from, request.callId);
        const nextOffset = snapshot.records.length;
        const answer = send({ ...head, kind: LogKind.SnapshotAnswer, lastIndex, nextOffset, installed: true });
        if (lastIndex <= this.replica.commitIndex) {
            return [answer];
        }
        return [
            ...this.replica.compact(snapshot),
            answer,
            { kind: MemberKind.SnapshotInstalled, snapshot } as Message,
            { kind: MemberKind.MembersChanged, members: snapshot.members } as Message,
        ];
    }

    private heartbeatTimer(nowMs: number): Message {
        return setDeadline(heartbeatKey, nowMs + heartbeatMs, termEvent(MemberKind.HeartbeatDue, this.replica.term));
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
