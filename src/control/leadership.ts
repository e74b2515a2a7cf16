/** State of a leader during one term: replication progress and last contact of each peer. */
import { type AppendAnswer, LogKind, outgoingMessage } from "../model/logMessages.ts";
import type { LogEntry, Member } from "../model/replicatedLog.ts";
import type { Message } from "../pipeline/message.ts";
import type { MemberLog } from "./memberLog.ts";
import { majoritySize, memberKey, MemberKind, type SilentMember } from "./memberMessages.ts";
import { commitQuorum } from "./quorums.ts";

/**
 * Time without an answer after which a member counts as silent. A leader steps down without answers from a majority.
 * Must not exceed the shortest election timeout.
 */
export const quorumTimeoutMs = 1_000;

/** Time after which an unanswered batch is sent again. */
const resendAfterMs = 500;

/** Limits the work for joining instances; there are at most 7 members. */
const maximumLearners = 3;

interface PeerProgress {
    /** The member with its latest address. */
    member: Member;
    nextIndex: number;
    matchIndex: number;
    /** Time of the last contact, which says nothing about the disk of the peer. */
    lastAnswerAtMs: number;
    /** Time since which the peer has not synced a batch that it was sent; undefined if there is none. */
    unsyncedSinceMs: number | undefined;
    /** Time that the peer took to sync what it synced last; 0 before the first time. */
    lastSyncMs: number;
    /** Time at which the unanswered batch was sent; undefined if there is none. */
    batchSentAtMs: number | undefined;
    snapshotSentAtMs: number | undefined;
    /** The peer was sent the first commit index of this term. */
    firstCommitSent: boolean;
}

export interface LeadershipOptions {
    readonly self: Member;
    readonly term: number;
    readonly log: MemberLog;
    /** Disks that may be lost at the same time. */
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
    /** Time at which replication to each learner started. */
    private readonly trackedSinceMs = new Map<string, number>();
    private ownMatchIndex = 0;
    /** Members that were asked to take the lead over, by key. */
    private readonly askedSuccessors = new Set<string>();

    constructor(options: LeadershipOptions) {
        this.self = options.self;
        this.term = options.term;
        this.log = options.log;
        this.faultTolerance = options.faultTolerance;
        this.startedAtMs = options.nowMs;
        this.updatePeers(options.nowMs);
    }

    /** Updates the peers to the current members and learners. */
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
                    // A learner's log is assumed to be empty, a member's log to match up to the no-op of a new leader.
                    nextIndex: this.learners.has(memberKey(member)) ? 1 : this.log.lastIndex + 1,
                    matchIndex: 0,
                    lastAnswerAtMs: nowMs,
                    unsyncedSinceMs: undefined,
                    lastSyncMs: 0,
                    batchSentAtMs: undefined,
                    snapshotSentAtMs: undefined,
                    firstCommitSent: false,
                });
            }
        }
    }

    /** Starts replication to an instance that does not vote; replaces an earlier incarnation of the instance. */
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

    /** Time since replication to a joining instance started. */
    trackedForMs(member: Member, nowMs: number): number {
        return nowMs - (this.trackedSinceMs.get(memberKey(member)) ?? nowMs);
    }

    /** Highest index that a peer is known to have synced. */
    matchIndexOf(member: Member): number {
        return this.peers.get(memberKey(member))?.matchIndex ?? 0;
    }

    /** Messages for every peer: a heartbeat if there are no entries to send. */
    heartbeatMessages(commitIndex: number, nowMs: number): readonly Message[] {
        return [...this.peers.values()].flatMap(peer => {
            const due = this.nextMessages(peer, commitIndex, nowMs);
            return due.some(message => message.kind === LogKind.Outgoing)
                ? due
                : [...due, this.emptyAppend(peer, commitIndex)];
        });
    }

    /** Messages for the peers that lack entries and have no unanswered batch in flight. */
    replicationMessages(commitIndex: number, nowMs: number): readonly Message[] {
        return [...this.peers.values()].flatMap(peer => this.nextMessages(peer, commitIndex, nowMs));
    }

    /**
     * Sends the first commit index of this term to the peers that have its entry. After a restart of all members, only
     * the leader can tell them what is committed, and instances wait for it: the next heartbeat is up to 250 ms later.
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

    /** Records an answer to entries or a heartbeat. The leader answers itself once its own disk has synced. */
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
            peer.unsyncedSinceMs = undefined;
        }
        else if (answer.index > peer.matchIndex) {
            peer.lastSyncMs = nowMs - (peer.unsyncedSinceMs ?? nowMs);
            this.advancePeer(peer, answer.index);
        }
    }

    /** Records that a peer received a chunk of a snapshot, or installed the snapshot up to `lastIndex`. */
    recordSnapshotProgress(member: Member, lastIndex: number, installed: boolean, nowMs: number): void {
        const peer = this.peers.get(memberKey(member));
        if (peer === undefined) {
            return;
        }
        peer.lastAnswerAtMs = nowMs;
        peer.snapshotSentAtMs = installed ? undefined : nowMs;
        // The answer has waited for all writes before it.
        peer.unsyncedSinceMs = undefined;
        if (installed && lastIndex > peer.matchIndex) {
            this.advancePeer(peer, lastIndex);
        }
    }

    /** Members that have missed several heartbeats or sync nothing, the longest silent first. */
    silentMembers(nowMs: number): readonly SilentMember[] {
        return this.log.members.flatMap(member => {
            const { lastAnswerAtMs = nowMs, unsyncedSinceMs = nowMs } = this.peers.get(memberKey(member)) ?? {};
            const silentForMs = nowMs - Math.min(lastAnswerAtMs, unsyncedSinceMs);
            return silentForMs >= quorumTimeoutMs ? [{ member, silentForMs }] : [];
        }).sort((left, right) => right.silentForMs - left.silentForMs);
    }

    /**
     * Chooses the member that should take the lead over: of those in contact, the one with the most entries, and another
     * one on each call until all were chosen. Undefined if no member is in contact.
     * @param maximumSyncMs passes over members whose disk takes longer; their vote would wait as long
     */
    chooseSuccessor(nowMs: number, maximumSyncMs: number): Member | undefined {
        const silent = new Set(this.silentMembers(nowMs).map(({ member }) => memberKey(member)));
        const candidates = this.log.members
            .filter(member => memberKey(member) !== memberKey(this.self) && !silent.has(memberKey(member)))
            .filter(member => this.syncTimeOf(member, nowMs) <= maximumSyncMs)
            .sort((left, right) => this.matchIndexOf(right) - this.matchIndexOf(left));
        if (candidates.every(member => this.askedSuccessors.has(memberKey(member)))) {
            this.askedSuccessors.clear();
        }
        const successor = candidates.find(member => !this.askedSuccessors.has(memberKey(member)));
        if (successor !== undefined) {
            this.askedSuccessors.add(memberKey(successor));
        }
        return successor;
    }

    /** Whether a majority, this member included, has answered within `timeoutMs`. */
    hasQuorum(nowMs: number, timeoutMs: number = quorumTimeoutMs): boolean {
        const responsive = [...this.log.members].filter(member =>
            memberKey(member) === memberKey(this.self)
            || nowMs - (this.peers.get(memberKey(member))?.lastAnswerAtMs ?? this.startedAtMs) < timeoutMs
        );
        return responsive.length >= majoritySize(this.log.members);
    }

    /** Highest index that a commit quorum of the members has synced; learners do not count. */
    quorumIndex(): number {
        const matches = this.log.members
            .map(member => memberKey(member) === memberKey(this.self) ? this.ownMatchIndex : this.matchIndexOf(member))
            .sort((left, right) => right - left);
        return matches[commitQuorum(this.log.members, this.faultTolerance) - 1] ?? 0;
    }

    /** Time that a peer took for its last sync or takes for the present one, whichever is longer. */
    private syncTimeOf(member: Member, nowMs: number): number {
        const { unsyncedSinceMs = nowMs, lastSyncMs = 0 } = this.peers.get(memberKey(member)) ?? {};
        return Math.max(lastSyncMs, nowMs - unsyncedSinceMs);
    }

    private advancePeer(peer: PeerProgress, matchIndex: number): void {
        peer.matchIndex = matchIndex;
        peer.nextIndex = Math.max(peer.nextIndex, matchIndex + 1);
        peer.batchSentAtMs = undefined;
        peer.unsyncedSinceMs = undefined;
    }

    private nextMessages(peer: PeerProgress, commitIndex: number, nowMs: number): readonly Message[] {
        if (peer.nextIndex > this.log.lastIndex || isRecent(peer.batchSentAtMs, nowMs)) {
            return [];
        }
        if (peer.nextIndex <= this.log.snapshotIndex) {
            return this.snapshotMessages(peer, nowMs);
        }
        peer.batchSentAtMs = nowMs;
        peer.unsyncedSinceMs ??= nowMs;
        return [this.appendRequest(peer, peer.nextIndex - 1, this.log.batchFrom(peer.nextIndex), commitIndex)];
    }

    private snapshotMessages(peer: PeerProgress, nowMs: number): readonly Message[] {
        if (isRecent(peer.snapshotSentAtMs, nowMs)) {
            return [];
        }
        peer.snapshotSentAtMs = nowMs;
        return [{ kind: MemberKind.SnapshotWanted, term: this.term, peer: peer.member } as Message];
    }

    // Refers to the last index known to match, so that the peer accepts it whatever follows in its log.
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
