/** What a leader knows of its peers during one term. */
import { type AppendAnswer, LogKind, send } from "../model/logMessages.ts";
import type { LogEntry, Member } from "../model/replicatedLog.ts";
import type { Message } from "../pipeline/message.ts";
import type { MemberLog } from "./memberLog.ts";
import { majority, memberKey, MemberKind, type SilentMember } from "./memberMessages.ts";
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

interface Peer {
    /** With its latest address. */
    member: Member;
    next: number;
    match: number;
    lastAnswerMs: number;
    /** Time of the unanswered batch; undefined when there is none. */
    sentMs: number | undefined;
    snapshotSentMs: number | undefined;
    /** It was told of a commit in this term. */
    toldCommit: boolean;
}

export interface LeadershipOptions {
    readonly self: Member;
    readonly term: number;
    readonly log: MemberLog;
    /** Disks that may be lost at one moment. */
    readonly tolerance: number;
    readonly nowMs: number;
}

export class Leadership {
    readonly term: number;
    private readonly self: Member;
    private readonly log: MemberLog;
    private readonly tolerance: number;
    private readonly startedMs: number;
    private readonly peers = new Map<string, Peer>();
    private readonly learners = new Map<string, Member>();
    /** Time since which each learner is tracked. */
    private readonly trackedMs = new Map<string, number>();
    private ownMatch = 0;

    constructor(options: LeadershipOptions) {
        this.self = options.self;
        this.term = options.term;
        this.log = options.log;
        this.tolerance = options.tolerance;
        this.startedMs = options.nowMs;
        this.syncPeers(options.nowMs);
    }

    /** Adjusts the list of peers to the members in force and the learners. */
    syncPeers(nowMs: number): void {
        this.log.members.forEach(member => this.learners.delete(memberKey(member)));
        const wanted = [...this.log.members, ...this.learners.values()]
            .filter(member => memberKey(member) !== memberKey(this.self));
        const keys = new Set(wanted.map(memberKey));
        [...this.peers.keys()].filter(key => !keys.has(key)).forEach(key => this.peers.delete(key));
        for (const member of wanted) {
            const peer = this.peers.get(memberKey(member));
            if (peer !== undefined) {
                peer.member = member;
            }
            else {
                this.peers.set(memberKey(member), {
                    member,
                    // A learner is taken to have nothing; for a member, the no-op of a new leader starts the search.
                    next: this.learners.has(memberKey(member)) ? 1 : this.log.lastIndex + 1,
                    match: 0,
                    lastAnswerMs: nowMs,
                    sentMs: undefined,
                    snapshotSentMs: undefined,
                    toldCommit: false,
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
            this.trackedMs.set(memberKey(member), nowMs);
            this.syncPeers(nowMs);
        }
    }

    tracks(member: Member): boolean {
        return this.peers.has(memberKey(member));
    }

    /** Time for which an instance has been waiting to join, in milliseconds. */
    trackedForMs(member: Member, nowMs: number): number {
        return nowMs - (this.trackedMs.get(memberKey(member)) ?? nowMs);
    }

    /** Highest index known to be synced by a peer. */
    matchOf(member: Member): number {
        return this.peers.get(memberKey(member))?.match ?? 0;
    }

    /** Messages for every peer; a heartbeat where there is nothing to send. */
    heartbeat(commitIndex: number, nowMs: number): readonly Message[] {
        return [...this.peers.values()].flatMap(peer => {
            const due = this.sendNext(peer, commitIndex, nowMs);
            return due.some(message => message.kind === LogKind.Outgoing)
                ? due
                : [...due, this.emptyAppend(peer, commitIndex)];
        });
    }

    /** Messages for the peers that lack entries and have no unanswered batch. */
    replicate(commitIndex: number, nowMs: number): readonly Message[] {
        return [...this.peers.values()].flatMap(peer => this.sendNext(peer, commitIndex, nowMs));
    }

    /**
     * The first commit of this term, for the peers that have its entry. After a restart of all members they learn from
     * this leader only what is committed, and instances wait for it; the next heartbeat would be a quarter second later.
     */
    tellFirstCommit(commitIndex: number): readonly Message[] {
        const peers = [...this.peers.values()].filter(({ toldCommit, match }) => !toldCommit && match >= commitIndex);
        return peers.map(peer => {
            peer.toldCommit = true;
            return this.emptyAppend(peer, commitIndex);
        });
    }

    /** Notes an answer to entries or a heartbeat; the leader's own answer says that its disk has synced. */
    noteAnswer(answer: AppendAnswer, nowMs: number): void {
        if (memberKey(answer.from) === memberKey(this.self)) {
            this.ownMatch = Math.max(this.ownMatch, answer.index);
            return;
        }
        const peer = this.peers.get(memberKey(answer.from));
        if (peer === undefined) {
            return;
        }
        peer.lastAnswerMs = nowMs;
        if (!answer.accepted) {
            peer.next = Math.max(peer.match + 1, Math.min(answer.index, this.log.lastIndex + 1));
            peer.sentMs = undefined;
        }
        else if (answer.index > peer.match) {
            this.advance(peer, answer.index);
        }
    }

    /** Notes that a peer received a chunk of a snapshot, or installed the snapshot up to `lastIndex`. */
    noteSnapshot(member: Member, lastIndex: number, installed: boolean, nowMs: number): void {
        const peer = this.peers.get(memberKey(member));
        if (peer === undefined) {
            return;
        }
        peer.lastAnswerMs = nowMs;
        peer.snapshotSentMs = installed ? undefined : nowMs;
        if (installed && lastIndex > peer.match) {
            this.advance(peer, lastIndex);
        }
    }

    /** Members that have missed several heartbeats; the longest silent first. */
    silentMembers(nowMs: number): readonly SilentMember[] {
        return this.log.members.flatMap(member => {
            const silentForMs = nowMs - (this.peers.get(memberKey(member))?.lastAnswerMs ?? nowMs);
            return silentForMs >= quorumTimeoutMs ? [{ member, silentForMs }] : [];
        }).sort((left, right) => right.silentForMs - left.silentForMs);
    }

    hasQuorum(nowMs: number): boolean {
        const heard = [...this.log.members].filter(member =>
            memberKey(member) === memberKey(this.self)
            || nowMs - (this.peers.get(memberKey(member))?.lastAnswerMs ?? this.startedMs) < quorumTimeoutMs
        );
        return heard.length >= majority(this.log.members);
    }

    /** Highest index that enough members have synced; learners do not count. */
    quorumIndex(): number {
        const matches = this.log.members
            .map(member => memberKey(member) === memberKey(this.self) ? this.ownMatch : this.matchOf(member))
            .sort((left, right) => right - left);
        return matches[commitQuorum(this.log.members, this.tolerance) - 1] ?? 0;
    }

    private advance(peer: Peer, match: number): void {
        peer.match = match;
        peer.next = Math.max(peer.next, match + 1);
        peer.sentMs = undefined;
    }

    private sendNext(peer: Peer, commitIndex: number, nowMs: number): readonly Message[] {
        if (peer.next > this.log.lastIndex || isRecent(peer.sentMs, nowMs)) {
            return [];
        }
        if (peer.next <= this.log.snapshotIndex) {
            return this.requestSnapshot(peer, nowMs);
        }
        peer.sentMs = nowMs;
        return [this.appendTo(peer, peer.next - 1, this.log.batch(peer.next), commitIndex)];
    }

    private requestSnapshot(peer: Peer, nowMs: number): readonly Message[] {
        if (isRecent(peer.snapshotSentMs, nowMs)) {
            return [];
        }
        peer.snapshotSentMs = nowMs;
        return [{ kind: MemberKind.SnapshotWanted, term: this.term, peer: peer.member } as Message];
    }

    // Builds on the last index known to be equal, so it is accepted whatever else the peer's log holds.
    private emptyAppend(peer: Peer, commitIndex: number): Message {
        return this.appendTo(peer, peer.match >= this.log.snapshotIndex ? peer.match : 0, [], commitIndex);
    }

    private appendTo(peer: Peer, previousIndex: number, entries: readonly LogEntry[], commitIndex: number): Message {
        return send({
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

function isRecent(sentMs: number | undefined, nowMs: number): boolean {
    return sentMs !== undefined && nowMs - sentMs < resendAfterMs;
}
