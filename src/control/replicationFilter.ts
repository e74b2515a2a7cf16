/** Replication of the log, on the leader and on followers. */
import {
    type ControlChangeMember,
    ControlKind,
    type ControlPropose,
    type ControlStopAnnounced,
    ProposalStatus,
} from "../model/controlMessages.ts";
import {
    type AppendAnswer,
    type AppendRequest,
    type JoinRequest,
    LogKind,
    outgoingMessage,
    type StandAnswer,
    type VoteRequest,
} from "../model/logMessages.ts";
import { EntryKind, type Member } from "../model/replicatedLog.ts";
import {
    StorageKind,
    type StorageRecovered,
    type StorageResumed,
    type StorageSuspended,
} from "../model/storageMessages.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { acceptEntries } from "./acceptEntries.ts";
import { quorumTimeoutMs } from "./leadership.ts";
import {
    type AppendMembers,
    type FormCluster,
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
    writeMessage,
} from "./memberMessages.ts";
import { proposalEnded } from "./proposalEnded.ts";
import { Replica } from "./replica.ts";

/** A quarter of the shortest election timeout, so that three lost heartbeats in a row do not start an election. */
export const heartbeatIntervalMs = 250;

/**
 * Delay after which a leader without a recent majority checks again. Enough for what waits in its sockets: after a time in
 * which the process stood still, its timers come first.
 */
const quorumRecheckMs = 50;

/**
 * Time without a majority after which there is no further check, so that the lead ends as early as with a last check just
 * before the end of the timeout.
 */
const maximumQuorumGapMs = quorumTimeoutMs + heartbeatIntervalMs - quorumRecheckMs;

/** Time within which a member must have synced what it was sent, for a leader whose own disk stands still to ask it. */
const promptSyncMs = heartbeatIntervalMs;

/** Limits the memory of a leader that has lost its majority. */
const maximumUncommittedEntries = 1_024;

/**
 * Keeps a full segment of the data folder and a further entry below the maximum record size. A configuration of 10,000
 * routes has about 3 million bytes.
 */
const maximumCommandBytes = 3 * 1_048_576;

const encoder = new TextEncoder();

const heartbeatTimerKey = "control.heartbeat";

type ReplicationInput =
    | StorageRecovered
    | StorageSuspended
    | StorageResumed
    | ControlStopAnnounced
    | FormCluster
    | TermChanged
    | AppendRequest
    | AppendAnswer
    | StandAnswer
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

/** Owns the log and the commit index. The term filter before it passes only messages of the current term. */
export class ReplicationFilter implements Filter<ReplicationInput, Message> {
    readonly step = "replicate";
    readonly accepts = [
        StorageKind.Recovered,
        StorageKind.Suspended,
        StorageKind.Resumed,
        ControlKind.StopAnnounced,
        MemberKind.FormCluster,
        MemberKind.TermChanged,
        LogKind.AppendRequest,
        LogKind.AppendAnswer,
        LogKind.StandAnswer,
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
    private isDiskSuspended = false;
    private isStopping = false;

    /** @param faultTolerance disks that may be lost at the same time */
    constructor(self: Member, faultTolerance: number) {
        this.replica = new Replica(self, faultTolerance);
    }

    process(message: ReplicationInput, nowMs: number): readonly Message[] {
        switch (message.kind) {
            case StorageKind.Recovered:
                return this.recover(message);
            case StorageKind.Suspended:
            case StorageKind.Resumed:
                this.isDiskSuspended = message.kind === StorageKind.Suspended;
                return [message, ...this.handOverLead(nowMs)];
            case ControlKind.StopAnnounced:
                this.isStopping = true;
                return [message, ...this.handOverLead(nowMs)];
            case MemberKind.FormCluster:
                return this.formCluster(message.members);
            case MemberKind.TermChanged:
                return this.changeTerm(message, nowMs);
            case LogKind.AppendRequest:
                return this.handleAppendRequest(message);
            case LogKind.AppendAnswer:
                return this.handleAppendAnswer(message, nowMs);
            case LogKind.StandAnswer:
                // With the next heartbeat, a leader that was not replaced asks another member.
                return [];
            case LogKind.VoteRequest:
                return [
                    {
                        kind: MemberKind.VoteAsked,
                        request: message,
                        logIsRecent: this.replica.isUpToDate(message),
                    } as Message,
                ];
            case MemberKind.ElectionDue:
                return [{ kind: MemberKind.ElectionReady, ...this.replica.logSummary() } as Message];
            case MemberKind.CandidacyOpened:
                return [
                    { kind: MemberKind.Candidacy, term: this.replica.term, ...this.replica.logSummary() } as Message,
                ];
            case MemberKind.HeartbeatDue:
                return this.sendHeartbeats(nowMs);
            case ControlKind.Propose:
                return this.propose(message, nowMs);
            default:
                return this.processMembership(message as MembershipInput, nowMs);
        }
    }

    private processMembership(message: MembershipInput, nowMs: number): readonly Message[] {
        switch (message.kind) {
            case LogKind.JoinRequest:
                return this.handleJoinRequest(message, nowMs);
            case ControlKind.ChangeMember: {
                const { proposalId, action, memberId } = message;
                const change = {
                    kind: MemberKind.ChangeAsked,
                    ...this.replica.membershipState(),
                    proposalId,
                    action,
                    memberId,
                };
                return [change as Message];
            }
            case MemberKind.TrackLearner:
                this.replica.leadershipInTerm(message.term)?.trackLearner(message.member, nowMs);
                return [];
            case MemberKind.AppendMembers:
                return this.appendMembers(message, nowMs);
            case MemberKind.SnapshotDue:
                return this.compactLog(message);
            case MemberKind.SnapshotReceived:
                return this.installSnapshot(message);
            case MemberKind.SnapshotDelivered: {
                const { peer, lastIndex, installed } = message;
                this.replica.leadershipInTerm(message.term)?.recordSnapshotProgress(peer, lastIndex, installed, nowMs);
                return this.replica.advanceCommitIndex(nowMs);
            }
        }
    }

    private recover(recovered: StorageRecovered): readonly Message[] {
        this.replica.restore(recovered);
        return [recovered];
    }

    private formCluster(members: readonly Member[]): readonly Message[] {
        if (this.replica.log.lastIndex > 0) {
            return [];
        }
        return this.replica.appendEntries([{ index: 1, term: 0, body: { kind: EntryKind.Members, members } }]);
    }

    private changeTerm(change: TermChanged, nowMs: number): readonly Message[] {
        if (change.role !== MemberRole.Leader) {
            this.replica.stopLeading(change.term);
            return [change, clearDeadline(heartbeatTimerKey)];
        }
        return [
            change,
            ...this.replica.becomeLeader(change.term, nowMs),
            this.heartbeatTimer(nowMs + heartbeatIntervalMs),
        ];
    }

    private propose({ operationId, command, proposalId }: ControlPropose, nowMs: number): readonly Message[] {
        if (this.replica.log.lastIndex - this.replica.commitIndex >= maximumUncommittedEntries) {
            const detail =
                `${maximumUncommittedEntries} changes wait for a majority of the control members; try again later`;
            return [proposalEnded(proposalId, ProposalStatus.NotLeader, { detail })];
        }
        const body = { kind: EntryKind.Command, operationId, command };
        if (encoder.encode(JSON.stringify(body)).length > maximumCommandBytes) {
            const detail = `the change exceeds ${maximumCommandBytes} bytes; split it`;
            return [proposalEnded(proposalId, ProposalStatus.Invalid, { detail })];
        }
        return this.replica.appendAsLeader(body, proposalId, nowMs);
    }

    private handleAppendRequest(request: AppendRequest): readonly Message[] {
        const { accepted, index, write } = acceptEntries(this.replica.log, this.replica.commitIndex, request);
        const answer = {
            ...this.replica.answerEnvelope(request.from, request.callId),
            kind: LogKind.AppendAnswer,
            accepted,
            index,
            knowsEvacuations: true,
        };
        return [
            ...write === undefined ? [] : [writeMessage(write)],
            outgoingMessage(answer),
            ...accepted ? this.replica.commit(Math.min(request.commitIndex, index)) : [],
        ];
    }

    private handleAppendAnswer(answer: AppendAnswer, nowMs: number): readonly Message[] {
        this.replica.leadership?.recordAppendAnswer(answer, nowMs);
        return this.replica.advanceCommitIndex(nowMs);
    }

    private sendHeartbeats(nowMs: number): readonly Message[] {
        const { leadership, commitIndex, term } = this.replica;
        if (leadership === undefined) {
            return [];
        }
        if (leadership.hasQuorum(nowMs)) {
            return [
                ...leadership.heartbeatMessages(commitIndex, nowMs),
                this.heartbeatTimer(nowMs + heartbeatIntervalMs),
                ...this.reportSilentMembers(nowMs),
                ...this.handOverLead(nowMs),
            ];
        }
        return leadership.hasQuorum(nowMs, maximumQuorumGapMs)
            ? [...leadership.heartbeatMessages(commitIndex, nowMs), this.heartbeatTimer(nowMs + quorumRecheckMs)]
            : [termEvent(MemberKind.QuorumLost, term)];
    }

    /**
     * A leader that stops, or whose disk stands still while others do not, asks another member to stand. Until one is
     * elected it goes on leading, which needs no disk: entries are committed by the copies of the others, and its own term
     * is durable.
     */
    private handOverLead(nowMs: number): readonly Message[] {
        const { leadership, self } = this.replica;
        const maximumSyncMs = this.isStopping ? Infinity : promptSyncMs;
        const to = this.isDiskSuspended || this.isStopping
            ? leadership?.chooseSuccessor(nowMs, maximumSyncMs)
            : undefined;
        return to === undefined
            ? []
            : [outgoingMessage({ kind: LogKind.StandRequest, from: self, to, term: this.replica.term, callId: "" })];
    }

    private reportSilentMembers(nowMs: number): readonly Message[] {
        const silent = this.replica.leadership?.silentMembers(nowMs) ?? [];
        const membership = this.replica.membershipState();
        return silent.length === 0 || !membership.changeable
            ? []
            : [{ kind: MemberKind.MembersSilent, ...membership, silent } as Message];
    }

    private handleJoinRequest(request: JoinRequest, nowMs: number): readonly Message[] {
        const { leadership, commitIndex } = this.replica;
        if (leadership === undefined) {
            return [];
        }
        const tracked = leadership.isTracked(request.from);
        const caughtUp = tracked && leadership.matchIndexOf(request.from) >= commitIndex;
        const silent = leadership.silentMembers(nowMs);
        const trackedForMs = leadership.trackedForMs(request.from, nowMs);
        const body = { ...this.replica.membershipState(), request, tracked, caughtUp, trackedForMs, silent };
        return [{ kind: MemberKind.JoinAsked, ...body } as Message];
    }

    private appendMembers(change: AppendMembers, nowMs: number): readonly Message[] {
        const { changeable, membersIndex } = this.replica.membershipState();
        if (
            this.replica.leadershipInTerm(change.term) === undefined || !changeable
            || membersIndex !== change.membersIndex
        ) {
            const detail = "the members changed meanwhile; read them and try again";
            return change.proposalId === undefined
                ? []
                : [proposalEnded(change.proposalId, ProposalStatus.Conflict, { detail })];
        }
        return this.replica.appendAsLeader(
            { kind: EntryKind.Members, members: change.members },
            change.proposalId,
            nowMs,
        );
    }

    private compactLog({ lastIndex, lastTerm, version, records }: SnapshotDue): readonly Message[] {
        const { log } = this.replica;
        return lastIndex <= log.snapshotIndex
            ? []
            : this.replica.compact({ lastIndex, lastTerm, version, records, members: log.membersAt(lastIndex) });
    }

    private installSnapshot({ snapshot, request }: SnapshotReceived): readonly Message[] {
        if (request.term !== this.replica.term || this.replica.leadership !== undefined) {
            return [];
        }
        const { lastIndex } = snapshot;
        const envelope = this.replica.answerEnvelope(request.from, request.callId);
        const nextOffset = snapshot.records.length;
        const answer = outgoingMessage({
            ...envelope,
            kind: LogKind.SnapshotAnswer,
            lastIndex,
            nextOffset,
            installed: true,
        });
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

    private heartbeatTimer(atMs: number): Message {
        return setDeadline(heartbeatTimerKey, atMs, termEvent(MemberKind.HeartbeatDue, this.replica.term));
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
