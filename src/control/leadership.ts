/** What a leader knows of its peers during one term. */
import { type AppendAnswer, LogKind, outgoingMessage } from "../model/logMessages.ts";
import type { LogEntry, Member } from "../model/replicatedLog.ts";
import type { Message } from "../pipeline/message.ts";
import type { MemberLog } from "./memberLog.ts";
import { majoritySize, memberKey, MemberKind, type SilentMember } from "./memberMessages.ts";
import { commitQuorum } from "./quorums.ts";

/**
 * Silence after which a member counts as out of reach; a leader out of reach of a majority steps down. Not above the
 * shortest election timeout.
 */
export const quorumTimeoutMs = 1_000;

/** Time after which an unanswered batch is sent again. */
const resendAfterMs = 500;

/** Bounds the work for instances that ask to join; members are at most 7. */
const maximumLearners = 3;

interface PeerProgress {
    /** With its latest address. */
    member: Member;
    nextIndex: number;
    matchIndex: number;
    lastAnswerAtMs: number;
    /** Time of the unanswered batch; undefined when there is none. */
    batchSentAtMs: number | undefined;
    snapshotSentAtMs: number | undefined;
    /** It was told of a commit in this term. */
    firstCommitSent: boolean;
}

export interface LeadershipOptions {
    readonly self: Member;
    readonly term: number;
    readonly log: MemberLog;
    /** Disks that may be lost at one moment. */
    readonly faultTolerance: number;
    readonly nowMs: number;
}

export class Leadership {
    readonly term: number;
    private readonly self: Member;
    private readonly log: MemberLog;
    private readonly faultTolerance: number;
    private readonly startedAtMs: number;
    private readonly peers = new Map<string, PeerProgress>();
    private readonly learners = new Map<string, Member>();
    /** Time since which each learner is tracked. */
    private readonly trackedSinceMs = new Map<string, number>();
    private ownMatchIndex = 0;

    constructor(options: LeadershipOptions) {
        this.self = options.self;
        this.term = options.term;
        this.log = options.log;
        this.faultTolerance = options.faultTolerance;
        this.startedAtMs = options.nowMs;
        this.updatePeers(options.nowMs);
    }

    /** Adjusts the list of peers to the members in force and the learners. */
    updatePeers(nowMs: number): void {
        this.log.members.forEach(member => this.learners.delete(memberKey(member)));
        const replicationTargets = [...this.log.members, ...this.learners.values()]
            .filter(member => memberKey(member) !== memberKey(this.self));
        const keys = new Set(replicationTargets.map(memberKey));
        [...this.peers.keys()].filter(key => !keys.has(key)).forEach(key => this.peers.delete(key));
        for (const member of replicationTargets) {
            const peer = this.peers.get(memberKey(member));
            if (peer !== undefined) {
                peer.member = member;
            }
            else {
                this.peers.set(memberKey(member), {
                    member,
                    // A learner is taken to have nothing; for a member, the no-op of a new leader starts the search.
                    nextIndex: this.learners.has(memberKey(member)) ? 1 : this.log.lastIndex + 1,
                    matchIndex: 0,
                    lastAnswerAtMs: nowMs,
                    batchSentAtMs: undefined,
                    snapshotSentAtMs: undefined,
                    firstCommitSent: false,
                });
            }
        }
    }

    /** Replicates to an instance that does not vote; a new incarnation takes the place of its predecessor. */
    trackLearner(member: Member, nowMs: number): void {
        const sameId = [...this.learners.values()].filter(({ memberId }) => memberId === member.memberId);
        sameId.forEach(learner => this.learners.delete(memberKey(learner)));
        if (this.learners.size < maximumLearners) {
            this.learners.set(memberKey(member), member);
            this.trackedSinceMs.set(memberKey(member), nowMs);
            this.updatePeers(nowMs);
        }
    }

    isTracked(member: Member): boolean {
        return this.peers.has(memberKey(member));
    }

    /** Time for which an instance has been waiting to join, in milliseconds. */
    trackedForMs(member: Member, nowMs: number): number {
        return nowMs - (this.trackedSinceMs.get(memberKey(member)) ?? nowMs);
    }

    /** Highest index known to be synced by a peer. */
    matchIndexOf(member: Member): number {
        return this.peers.get(memberKey(member))?.matchIndex ?? 0;
    }

    /** Messages for every peer; a heartbeat where there is nothing to send. */
    heartbeatMessages(commitIndex: number, nowMs: number): readonly Message[] {
        return [...this.peers.values()].flatMap(peer => {
            const due = this.nextMessages(peer, commitIndex, nowMs);
            return due.some(message => message.kind === LogKind.Outgoing)
                ? due
                : [...due, this.emptyAppend(peer, commitIndex)];
        });
    }

    /** Messages for the peers that lack entries and have no unanswered batch. */
    replicationMessages(commitIndex: number, nowMs: number): readonly Message[] {
        return [...this.peers.values()].flatMap(peer => this.nextMessages(peer, commitIndex, nowMs));
    }

    /**
     * The first commit of this term, for the peers that have its entry. After a restart of all members they learn from
     * this leader only what is committed, and instances wait for it; the next heartbeat would be a quarter second later.
     */
    firstCommitMessages(commitIndex: number): readonly Message[] {
        const peers = [...this.peers.values()].filter(({ firstCommitSent, matchIndex }) =>
            !firstCommitSent && matchIndex >= commitIndex
        );
        return peers.map(peer => {
            peer.firstCommitSent = true;
            return this.emptyAppend(peer, commitIndex);
        });
    }

    /** Notes an answer to entries or a heartbeat; the leader's own answer says that its disk has synced. */
    recordAppendAnswer(answer: AppendAnswer, nowMs: number): void {
        if (memberKey(answer.from) === memberKey(this.self)) {
            this.ownMatchIndex = Math.max(this.ownMatchIndex, answer.index);
            return;
        }
        const peer = this.peers.get(memberKey(answer.from));
        if (peer === undefined) {
            return;
        }
        peer.lastAnswerAtMs = nowMs;
        if (!answer.accepted) {
            peer.nextIndex = Math.max(peer.matchIndex + 1, Math.min(answer.index, this.log.lastIndex + 1));
            peer.batchSentAtMs = undefined;
        }
        else if (answer.index > peer.matchIndex) {
            this.advancePeer(peer, answer.index);
        }
    }

    /** Notes that a peer received a chunk of a snapshot, or installed the snapshot up to `lastIndex`. */
    recordSnapshotProgress(member: Member, lastIndex: number, installed: boolean, nowMs: number): void {
        const peer = this.peers.get(memberKey(member));
        if (peer === undefined) {
            return;
        }
        peer.lastAnswerAtMs = nowMs;
        peer.snapshotSentAtMs = installed ? undefined : nowMs;
        if (installed && lastIndex > peer.matchIndex) {
            this.advancePeer(peer, lastIndex);
        }
    }

    /** Members that have missed several heartbeats; the longest silent first. */
    silentMembers(nowMs: number): readonly SilentMember[] {
        return this.log.members.flatMap(member => {
            const silentForMs = nowMs - (this.peers.get(memberKey(member))?.lastAnswerAtMs ?? nowMs);
            return silentForMs >= quorumTimeoutMs ? [{ member, silentForMs }] : [];
        }).sort((left, right) => right.silentForMs - left.silentForMs);
    }

    hasQuorum(nowMs: number): boolean {
        const responsive = [...this.log.members].filter(member =>
            memberKey(member) === memberKey(this.self)
            || nowMs - (this.peers.get(memberKey(member))?.lastAnswerAtMs ?? this.startedAtMs) < quorumTimeoutMs
        );
        return responsive.length >= majoritySize(this.log.members);
    }

    /** Highest index that enough members have synced; learners do not count. */
    quorumMatchIndex(): number {
        const matches = this.log.members
            .map(member => memberKey(member) === memberKey(this.self) ? this.ownMatchIndex : this.matchIndexOf(member))
            .sort((left, right) => right - left);
        return matches[commitQuorum(this.log.members, this.faultTolerance) - 1] ?? 0;
    }

    private advancePeer(peer: PeerProgress, matchIndex: number): void {
        peer.matchIndex = matchIndex;
        peer.nextIndex = Math.max(peer.nextIndex, matchIndex + 1);
        peer.batchSentAtMs = undefined;
    }

    private nextMessages(peer: PeerProgress, commitIndex: number, nowMs: number): readonly Message[] {
        if (peer.nextIndex > this.log.lastIndex || isRecent(peer.batchSentAtMs, nowMs)) {
            return [];
        }
        if (peer.nextIndex <= this.log.snapshotIndex) {
            return this.snapshotMessages(peer, nowMs);
        }
        peer.batchSentAtMs = nowMs;
        return [this.appendRequest(peer, peer.nextIndex - 1, this.log.batchFrom(peer.nextIndex), commitIndex)];
    }

    private snapshotMessages(peer: PeerProgress, nowMs: number): readonly Message[] {
        if (isRecent(peer.snapshotSentAtMs, nowMs)) {
            return [];
        }
        peer.snapshotSentAtMs = nowMs;
        return [{ kind: MemberKind.SnapshotWanted, term: this.term, peer: peer.member } as Message];
    }

    // Builds on the last index known to be equal, so it is accepted whatever else the peer's log holds.
    private emptyAppend(peer: PeerProgress, commitIndex: number): Message {
        return this.appendRequest(
            peer,
            peer.matchIndex >= this.log.snapshotIndex ? peer.matchIndex : 0,
            [],
            commitIndex,
        );
    }

    private appendRequest(
        peer: PeerProgress,
        previousIndex: number,
        entries: readonly LogEntry[],
        commitIndex: number,
    ): Message {
        return outgoingMessage({
            kind: LogKind.AppendRequest,
            from: this.self,
            to: peer.member,
            term: this.term,
            callId: "",
            previousIndex,
            previousTerm: this.log.termAt(previousIndex) ?? 0,
            entries,
            commitIndex,
        });
    }
}

function isRecent(sentAtMs: number | undefined, nowMs: number): boolean {
    return sentAtMs !== undefined && nowMs - sentAtMs < resendAfterMs;
}
