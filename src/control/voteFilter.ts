/** Elections: election timer, pre-vote, and votes granted and received. */
import { ControlKind, type ControlStopAnnounced } from "../model/controlMessages.ts";
import { LogKind, outgoingMessage, type StandRequest, type VoteAnswer } from "../model/logMessages.ts";
import type { Member } from "../model/replicatedLog.ts";
import {
    StorageKind,
    type StorageRecovered,
    type StorageResumed,
    type StorageSuspended,
    WriteKind,
} from "../model/storageMessages.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import type { SeededRandom } from "../pipeline/seededRandom.ts";
import {
    type Candidacy,
    type ElectionReady,
    isMember,
    type LeaderHeard,
    type LogSummary,
    majoritySize,
    memberKey,
    MemberKind,
    MemberRole,
    recoveredMembers,
    type TermChanged,
    termEvent,
    type VoteAsked,
    writeMessage,
} from "./memberMessages.ts";

/** Time without contact from the leader after which an election starts; a random jitter is added. */
export const electionTimeoutMs = 1_000;
export const electionJitterMs = 1_000;

/**
 * Delay of the initial elections of a process, and its jitter. Longer than a heartbeat interval, in which a live leader
 * sends a message. Short, because no instance serves callers until a leader is elected when all members start together.
 */
export const initialElectionDelayMs = 350;
export const initialElectionJitterMs = 350;

/**
 * Delay of the first election of a process that was a member before it restarted, and the additional delay for each
 * position in the list of members. The additional delay is longer than a vote between regions with its disk syncs, so
 * that members that start together do not split their votes. If there is a live leader, it and its followers refuse.
 */
const postRestartElectionDelayMs = 60;
const electionStaggerMs = 200;

/**
 * Delay after which a candidate that has not won starts another election, counted from its own synced vote; each position
 * in the list of members adds 200 ms. Longer than a vote, and well below the election timeout, because callers are refused
 * while there is no leader.
 * Doubles with each campaign up to that timeout, because a new campaign discards the votes in flight of a slow one.
 */
const candidateRetryDelayMs = 300;

/**
 * Delay of the election of a leader that has lost its majority within its term. If that is because its process stood still,
 * the others have heard nothing either and would elect it; those that have heard it or a later leader refuse.
 */
const quorumLostElectionDelayMs = 60;

/** Elections with the initial delay; there are several, because members that start together may split their votes. */
const maximumInitialElections = 4;

const electionTimerKey = "control.election";

type VoteInput =
    | StorageRecovered
    | StorageSuspended
    | StorageResumed
    | ControlStopAnnounced
    | TermChanged
    | LeaderHeard
    | ElectionReady
    | Candidacy
    | VoteAsked
    | VoteAnswer
    | StandRequest;

interface Tally {
    readonly term: number;
    readonly members: readonly Member[];
    readonly granted: Set<string>;
    /** A majority was reached and the result was emitted. */
    won: boolean;
}

export interface VoteFilterOptions {
    readonly self: Member;
    readonly random: SeededRandom;
}

export class VoteFilter implements Filter<VoteInput, Message> {
    readonly step = "vote";
    readonly accepts = [
        StorageKind.Recovered,
        StorageKind.Suspended,
        StorageKind.Resumed,
        ControlKind.StopAnnounced,
        MemberKind.TermChanged,
        MemberKind.LeaderHeard,
        MemberKind.ElectionReady,
        MemberKind.Candidacy,
        MemberKind.VoteAsked,
        LogKind.VoteAnswer,
        LogKind.StandRequest,
    ];
    private readonly options: VoteFilterOptions;
    private term = 0;
    private role: MemberRole = MemberRole.Follower;
    private leader: Member | undefined;
    /** The disk takes no writes, so this member can neither vote nor be elected. */
    private isDiskSuspended = false;
    private isStopping = false;
    private votedFor: string | undefined;
    /** Pre-votes for the next term. */
    private preVotes: Tally | undefined;
    /** Votes for the present term, which count for as long as it lasts: a slow disk may answer late. */
    private votes: Tally | undefined;
    private leaderHeardAtMs = -Infinity;
    private electionAtMs = Infinity;
    /** Elections that still have the initial delay, as long as no leader was heard since the start. */
    private remainingInitialElections = 0;
    /** Time of the first election after a restart; undefined after that election or a vote for another member. */
    private postRestartElectionAtMs: number | undefined;
    /** Elections that this member has started since it last heard a leader. */
    private campaigns = 0;

    constructor(options: VoteFilterOptions) {
        this.options = options;
    }

    process(message: VoteInput, nowMs: number): readonly Message[] {
        switch (message.kind) {
            case StorageKind.Recovered:
                this.term = message.term;
                this.votedFor = message.votedFor;
                this.remainingInitialElections = maximumInitialElections;
                this.postRestartElectionAtMs = this.postRestartElectionTime(recoveredMembers(message), nowMs);
                return [message, this.resetElectionTimer(nowMs)];
            case StorageKind.Suspended:
            case StorageKind.Resumed:
                this.isDiskSuspended = message.kind === StorageKind.Suspended;
                return [message];
            case ControlKind.StopAnnounced:
                this.isStopping = true;
                return [message];
            case MemberKind.TermChanged:
                return [message, ...this.changeTerm(message, nowMs)];
            case MemberKind.LeaderHeard:
                this.leaderHeardAtMs = nowMs;
                this.campaigns = 0;
                return [message, this.resetElectionTimer(nowMs)];
            case MemberKind.ElectionReady:
                return this.startPreVote(message, nowMs);
            case MemberKind.Candidacy:
                return this.startVote(message);
            case MemberKind.VoteAsked:
                return this.answerVoteRequest(message, nowMs);
            case LogKind.VoteAnswer:
                return this.countAnswer(message, nowMs);
            case LogKind.StandRequest:
                return this.answerStandRequest(message);
        }
    }

    private changeTerm(change: TermChanged, nowMs: number): readonly Message[] {
        const isQuorumLost = this.role === MemberRole.Leader && change.term === this.term;
        if (change.term !== this.term) {
            this.term = change.term;
            this.votedFor = undefined;
        }
        this.role = change.role;
        this.leader = change.leader;
        this.preVotes = undefined;
        this.votes = undefined;
        if (change.role === MemberRole.Leader) {
            this.electionAtMs = Infinity;
            return [clearDeadline(electionTimerKey)];
        }
        return [
            isQuorumLost
                ? this.scheduleElection(nowMs + quorumLostElectionDelayMs)
                : this.resetElectionTimer(nowMs),
        ];
    }

    private startPreVote(ready: ElectionReady, nowMs: number): readonly Message[] {
        // The timer may have been reset after its message was queued.
        if (this.role === MemberRole.Leader || nowMs < this.electionAtMs) {
            return [];
        }
        this.remainingInitialElections = Math.max(0, this.remainingInitialElections - 1);
        this.postRestartElectionAtMs = undefined;
        const timer = this.resetElectionTimer(nowMs);
        if (
            !isMember(ready.members, this.options.self) || this.isDiskSuspended || this.isStopping
            || this.ownVoteIsPending()
        ) {
            return [timer];
        }
        this.preVotes = openTally(this.term + 1, ready);
        return [timer, ...this.voteRequests(true, ready), ...this.countPreVote(this.options.self)];
    }

    private startVote(candidacy: Candidacy): readonly Message[] {
        const { self } = this.options;
        this.votedFor = memberKey(self);
        this.votes = openTally(candidacy.term, candidacy);
        const ownVote: VoteAnswer = {
            kind: LogKind.VoteAnswer,
            from: self,
            to: self,
            term: candidacy.term,
            callId: "",
            preVote: false,
            granted: true,
            requestTerm: candidacy.term,
        };
        return [
            writeMessage({ kind: WriteKind.Term, term: candidacy.term, votedFor: this.votedFor }),
            ...this.voteRequests(false, candidacy),
            outgoingMessage(ownVote),
        ];
    }

    /** The requests for votes leave when the disk has synced the own vote; until then a new campaign gains nothing. */
    private ownVoteIsPending(): boolean {
        return this.votes?.granted.has(memberKey(this.options.self)) === false;
    }

    private voteRequests(preVote: boolean, logSummary: LogSummary): readonly Message[] {
        const { self } = this.options;
        const { term, members } = preVote ? this.preVotes! : this.votes!;
        return members.filter(member => memberKey(member) !== memberKey(self)).map(to =>
            outgoingMessage({
                kind: LogKind.VoteRequest,
                from: self,
                to,
                term,
                callId: "",
                preVote,
                lastIndex: logSummary.lastIndex,
                lastTerm: logSummary.lastTerm,
            })
        );
    }

    private answerVoteRequest({ request, logIsRecent }: VoteAsked, nowMs: number): readonly Message[] {
        const granted = logIsRecent
            && (request.preVote
                ? this.canGrantPreVote(request.term, nowMs)
                : this.canGrantVote(memberKey(request.from)));
        const answer = outgoingMessage({
            kind: LogKind.VoteAnswer,
            from: this.options.self,
            to: request.from,
            term: this.term,
            callId: request.callId,
            preVote: request.preVote,
            granted,
            requestTerm: request.term,
        });
        if (request.preVote || !granted) {
            return [answer];
        }
        this.votedFor = memberKey(request.from);
        this.postRestartElectionAtMs = undefined;
        const write = writeMessage({ kind: WriteKind.Term, term: this.term, votedFor: this.votedFor });
        return [write, this.resetElectionTimer(nowMs), answer];
    }

    // A member in contact with its leader refuses, so that a member that alone lost contact cannot end a working term.
    private canGrantPreVote(term: number, nowMs: number): boolean {
        return term > this.term
            && !this.isDiskSuspended
            && this.role !== MemberRole.Leader
            && nowMs - this.leaderHeardAtMs >= electionTimeoutMs;
    }

    // No pre-vote: the other members are in contact with the leader, which wants to be replaced.
    private answerStandRequest({ from, callId }: StandRequest): readonly Message[] {
        const standing = this.role === MemberRole.Follower
            && this.leader !== undefined
            && memberKey(this.leader) === memberKey(from)
            && !this.isDiskSuspended
            && !this.isStopping;
        const answer = outgoingMessage({
            kind: LogKind.StandAnswer,
            from: this.options.self,
            to: from,
            term: this.term,
            callId,
            standing,
        });
        return [answer, ...standing ? [termEvent(MemberKind.Campaign, this.term + 1)] : []];
    }

    private canGrantVote(candidate: string): boolean {
        return this.votedFor === undefined || this.votedFor === candidate;
    }

    private countAnswer(answer: VoteAnswer, nowMs: number): readonly Message[] {
        const tally = answer.preVote ? this.preVotes : this.votes;
        if (tally === undefined || answer.requestTerm !== tally.term || !answer.granted) {
            return [];
        }
        if (answer.preVote) {
            return this.countPreVote(answer.from);
        }
        const isOwn = memberKey(answer.from) === memberKey(this.options.self);
        const retry = isOwn ? [this.retryTimer(tally.members, nowMs)] : [];
        return [...retry, ...count(tally, answer.from) ? [termEvent(MemberKind.Elected, tally.term)] : []];
    }

    private countPreVote(voter: Member): readonly Message[] {
        const { preVotes } = this;
        return count(preVotes!, voter) ? [termEvent(MemberKind.Campaign, preVotes!.term)] : [];
    }

    private postRestartElectionTime(members: readonly Member[], nowMs: number): number | undefined {
        const position = this.positionIn(members);
        return position === -1 ? undefined : nowMs + postRestartElectionDelayMs + position * electionStaggerMs;
    }

    private retryTimer(members: readonly Member[], nowMs: number): Message {
        const delayMs = candidateRetryDelayMs * 2 ** this.campaigns;
        this.campaigns += 1;
        return delayMs >= electionTimeoutMs
            ? this.resetElectionTimer(nowMs)
            : this.scheduleElection(nowMs + delayMs + this.positionIn(members) * electionStaggerMs);
    }

    private positionIn(members: readonly Member[]): number {
        return members.findIndex(member => memberKey(member) === memberKey(this.options.self));
    }

    private resetElectionTimer(nowMs: number): Message {
        const isInitial = this.remainingInitialElections > 0 && this.leaderHeardAtMs === -Infinity;
        const timeoutMs = isInitial ? initialElectionDelayMs : electionTimeoutMs;
        const jitterMs = isInitial ? initialElectionJitterMs : electionJitterMs;
        const jitteredMs = nowMs + timeoutMs + this.options.random.nextInteger(jitterMs);
        return this.scheduleElection(isInitial ? this.postRestartElectionAtMs ?? jitteredMs : jitteredMs);
    }

    private scheduleElection(atMs: number): Message {
        this.electionAtMs = atMs;
        return setDeadline(electionTimerKey, this.electionAtMs, { kind: MemberKind.ElectionDue });
    }
}

function openTally(term: number, { members }: LogSummary): Tally {
    return { term, members, granted: new Set(), won: false };
}

/** Counts a vote; returns whether it makes the majority. */
function count(tally: Tally, voter: Member): boolean {
    if (isMember(tally.members, voter)) {
        tally.granted.add(memberKey(voter));
    }
    if (tally.won || tally.granted.size < majoritySize(tally.members)) {
        return false;
    }
    tally.won = true;
    return true;
}
