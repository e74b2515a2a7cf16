/** Elections: timer, pre-vote, votes given and votes received. */
import { LogKind, outgoingMessage, type VoteAnswer } from "../model/logMessages.ts";
import type { Member } from "../model/replicatedLog.ts";
import { StorageKind, type StorageRecovered, WriteKind } from "../model/storageMessages.ts";
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

/** Silence of the leader after which an election starts: this, plus up to the jitter. */
export const electionTimeoutMs = 1_000;
export const electionJitterMs = 1_000;

/**
 * Wait for the first election of a process, and its jitter. A leader that lives sends within a heartbeat interval; when
 * all members start together, nobody serves until one is elected.
 */
export const initialElectionDelayMs = 350;
export const initialElectionJitterMs = 350;

/**
 * Wait for the first election of a process that was a member before, and what each later place in the list of members
 * adds. The step is above the time of a vote between regions with its syncs, so that members that start together do not
 * split their votes. Where a leader lives, it and its followers refuse.
 */
const restartElectionDelayMs = 60;
const electionStaggerMs = 200;

/**
 * Time after which a candidate that has not won tries again, and 200 ms more for each later place in the list of members:
 * above the time of a vote, and well below the election timeout, because callers are refused while nobody leads. It
 * doubles with each campaign up to that timeout: a new campaign gives up the votes of a slow one that are under way.
 */
const candidateRetryDelayMs = 300;

/** Votes of members that start together may be split; then the next election comes as soon. */
const maximumInitialElections = 4;

const electionTimerKey = "control.election";

type VoteInput =
    | StorageRecovered
    | TermChanged
    | LeaderHeard
    | ElectionReady
    | Candidacy
    | VoteAsked
    | VoteAnswer;

interface Tally {
    readonly preVote: boolean;
    readonly term: number;
    readonly members: readonly Member[];
    readonly granted: Set<string>;
    /** A majority was reached and acted upon. */
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
        MemberKind.TermChanged,
        MemberKind.LeaderHeard,
        MemberKind.ElectionReady,
        MemberKind.Candidacy,
        MemberKind.VoteAsked,
        LogKind.VoteAnswer,
    ];
    private readonly options: VoteFilterOptions;
    private term = 0;
    private role: MemberRole = MemberRole.Follower;
    private votedFor: string | undefined;
    private tally: Tally | undefined;
    private leaderHeardAtMs = -Infinity;
    private electionAtMs = Infinity;
    /** Elections that may still come sooner, because no leader was heard since the start. */
    private remainingInitialElections = 0;
    /** Time of the first of them on a member that restarted; undefined after it, or after a vote for another member. */
    private restartElectionAtMs: number | undefined;
    /** Campaigns of this member since it last heard a leader. */
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
                this.restartElectionAtMs = this.restartElectionTime(recoveredMembers(message), nowMs);
                return [message, this.restartElectionTimer(nowMs)];
            case MemberKind.TermChanged:
                return [message, ...this.changeTerm(message, nowMs)];
            case MemberKind.LeaderHeard:
                this.leaderHeardAtMs = nowMs;
                this.campaigns = 0;
                return [this.restartElectionTimer(nowMs)];
            case MemberKind.ElectionReady:
                return this.startPreVote(message, nowMs);
            case MemberKind.Candidacy:
                return this.startVote(message, nowMs);
            case MemberKind.VoteAsked:
                return this.answerVoteRequest(message, nowMs);
            case LogKind.VoteAnswer:
                return this.countAnswer(message);
        }
    }

    private changeTerm(change: TermChanged, nowMs: number): readonly Message[] {
        if (change.term !== this.term) {
            this.term = change.term;
            this.votedFor = undefined;
        }
        this.role = change.role;
        this.tally = undefined;
        if (change.role === MemberRole.Leader) {
            this.electionAtMs = Infinity;
            return [clearDeadline(electionTimerKey)];
        }
        return [this.restartElectionTimer(nowMs)];
    }

    private startPreVote(ready: ElectionReady, nowMs: number): readonly Message[] {
        // The timer may have been restarted after its message was queued.
        if (this.role === MemberRole.Leader || nowMs < this.electionAtMs) {
            return [];
        }
        this.remainingInitialElections = Math.max(0, this.remainingInitialElections - 1);
        this.restartElectionAtMs = undefined;
        const timer = this.restartElectionTimer(nowMs);
        if (!isMember(ready.members, this.options.self)) {
            return [timer];
        }
        this.openTally(true, this.term + 1, ready);
        return [timer, ...this.voteRequests(ready), ...this.countVote(this.options.self)];
    }

    private startVote(candidacy: Candidacy, nowMs: number): readonly Message[] {
        const { self } = this.options;
        this.votedFor = memberKey(self);
        this.openTally(false, candidacy.term, candidacy);
        const own: VoteAnswer = {
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
            ...this.voteRequests(candidacy),
            outgoingMessage(own),
            this.retryTimer(candidacy.members, nowMs),
        ];
    }

    private openTally(preVote: boolean, term: number, logSummary: LogSummary): void {
        this.tally = { preVote, term, members: logSummary.members, granted: new Set(), won: false };
    }

    private voteRequests(logSummary: LogSummary): readonly Message[] {
        const { self } = this.options;
        const { preVote, term, members } = this.tally!;
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
        const answerVoteRequest = outgoingMessage({
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
            return [answerVoteRequest];
        }
        this.votedFor = memberKey(request.from);
        this.restartElectionAtMs = undefined;
        const write = writeMessage({ kind: WriteKind.Term, term: this.term, votedFor: this.votedFor });
        return [write, this.restartElectionTimer(nowMs), answerVoteRequest];
    }

    // A member that hears its leader refuses, so that an instance that alone lost contact cannot end a working term.
    private canGrantPreVote(term: number, nowMs: number): boolean {
        return term > this.term
            && this.role !== MemberRole.Leader
            && nowMs - this.leaderHeardAtMs >= electionTimeoutMs;
    }

    private canGrantVote(candidate: string): boolean {
        return this.votedFor === undefined || this.votedFor === candidate;
    }

    private countAnswer(answerVoteRequest: VoteAnswer): readonly Message[] {
        const tally = this.tally;
        const isCurrent = tally !== undefined && answerVoteRequest.preVote === tally.preVote
            && answerVoteRequest.requestTerm === tally.term;
        return isCurrent && answerVoteRequest.granted ? this.countVote(answerVoteRequest.from) : [];
    }

    private countVote(voter: Member): readonly Message[] {
        const tally = this.tally!;
        if (isMember(tally.members, voter)) {
            tally.granted.add(memberKey(voter));
        }
        if (tally.won || tally.granted.size < majoritySize(tally.members)) {
            return [];
        }
        tally.won = true;
        return [termEvent(tally.preVote ? MemberKind.Campaign : MemberKind.Elected, tally.term)];
    }

    private restartElectionTime(members: readonly Member[], nowMs: number): number | undefined {
        const place = this.positionIn(members);
        return place === -1 ? undefined : nowMs + restartElectionDelayMs + place * electionStaggerMs;
    }

    private retryTimer(members: readonly Member[], nowMs: number): Message {
        const delayMs = candidateRetryDelayMs * 2 ** this.campaigns;
        this.campaigns += 1;
        return delayMs >= electionTimeoutMs
            ? this.restartElectionTimer(nowMs)
            : this.scheduleElection(nowMs + delayMs + this.positionIn(members) * electionStaggerMs);
    }

    private positionIn(members: readonly Member[]): number {
        return members.findIndex(member => memberKey(member) === memberKey(this.options.self));
    }

    private restartElectionTimer(nowMs: number): Message {
        const isInitial = this.remainingInitialElections > 0 && this.leaderHeardAtMs === -Infinity;
        const timeoutMs = isInitial ? initialElectionDelayMs : electionTimeoutMs;
        const jitterMs = isInitial ? initialElectionJitterMs : electionJitterMs;
        const jitteredMs = nowMs + timeoutMs + this.options.random.nextInteger(jitterMs);
        return this.scheduleElection(isInitial ? this.restartElectionAtMs ?? jitteredMs : jitteredMs);
    }

    private scheduleElection(atMs: number): Message {
        this.electionAtMs = atMs;
        return setDeadline(electionTimerKey, this.electionAtMs, { kind: MemberKind.ElectionDue });
    }
}
