/** The replicated state of one member: log, commit index and, while it leads, its leadership. */
import { LogKind, send, type VoteRequest } from "../model/logMessages.ts";
import { type EntryBody, EntryKind, type LogEntry, type Member, type Snapshot } from "../model/replicatedLog.ts";
import { type StorageRecovered, WriteKind } from "../model/storageMessages.ts";
import type { Message } from "../pipeline/message.ts";
import { Leadership } from "./leadership.ts";
import { MemberLog } from "./memberLog.ts";
import { isMember, type LogFacts, MemberKind, type MembershipFacts, termEvent, writeOf } from "./memberMessages.ts";

/** What the replication filter does to its log; every method returns the messages that result. */
export class Replica {
    readonly self: Member;
    readonly log = new MemberLog();
    term = 0;
    private committed = 0;
    private currentLeadership: Leadership | undefined;
    /** Index of this leader's first entry; its commit confirms the leadership. */
    private confirmIndex = Infinity;
    private readonly tolerance: number;

    /** @param tolerance disks that may be lost at one moment */
    constructor(self: Member, tolerance: number) {
        this.self = self;
        this.tolerance = tolerance;
    }

    get commitIndex(): number {
        return this.committed;
    }

    /** Undefined unless this member leads. */
    get leadership(): Leadership | undefined {
        return this.currentLeadership;
    }

    /** Loads what the disk held. */
    restore(recovered: StorageRecovered): void {
        this.log.restore(recovered.snapshot, recovered.entries);
        this.term = recovered.term;
        this.committed = this.log.snapshotIndex;
    }

    /** Stops leading, if it did. */
    follow(term: number): void {
        this.term = term;
        this.currentLeadership = undefined;
        this.confirmIndex = Infinity;
    }

    /** Starts to lead `term` with a no-op, whose commit confirms the leadership. */
    startLeading(term: number, nowMs: number): readonly Message[] {
        this.term = term;
        const { self, log, tolerance } = this;
        this.currentLeadership = new Leadership({ self, term, log, tolerance, nowMs });
        this.confirmIndex = this.log.lastIndex + 1;
        return this.lead({ kind: EntryKind.NoOp }, undefined, nowMs);
    }

    /** Replaces the log up to a snapshot, and raises the commit index to it. */
    compact(snapshot: Snapshot): readonly Message[] {
        const discardLog = this.log.compact(snapshot);
        this.committed = Math.max(this.committed, snapshot.lastIndex);
        return [
            writeOf({ kind: WriteKind.Snapshot, snapshot, discardLog }),
            { kind: MemberKind.SnapshotReady, snapshot } as Message,
        ];
    }

    /** Appends an entry as leader and sends it to the peers. */
    lead(body: EntryBody, proposalId: string | undefined, nowMs: number): readonly Message[] {
        const index = this.log.lastIndex + 1;
        const writes = this.write([{ index, term: this.term, body }]);
        this.currentLeadership!.syncPeers(nowMs);
        const appended = { kind: MemberKind.EntryAppended, proposalId, index, term: this.term } as Message;
        return [
            ...proposalId === undefined ? [] : [appended],
            ...writes,
            send({ ...this.answerTo(this.self, ""), kind: LogKind.AppendAnswer, accepted: true, index }),
            ...this.currentLeadership!.replicate(this.committed, nowMs),
        ];
    }

    /** Appends entries to the log and asks the disk to do so. */
    write(entries: readonly LogEntry[]): readonly Message[] {
        entries.forEach(entry => this.log.append(entry));
        return [writeOf({ kind: WriteKind.Entries, fromIndex: entries[0]!.index, entries })];
    }

    /** Commits what enough members have synced. An entry of an older term is committed only through one of this term. */
    advance(nowMs: number): readonly Message[] {
        if (this.currentLeadership === undefined) {
            return [];
        }
        const leadership = this.currentLeadership;
        const index = leadership.quorumIndex();
        const committed = this.log.termAt(index) === this.term ? this.commit(index) : [];
        const confirmed = this.confirmIndex === Infinity;
        return [
            ...committed,
            ...confirmed ? leadership.tellFirstCommit(this.committed) : [],
            ...leadership.replicate(this.committed, nowMs),
        ];
    }

    /** Raises the commit index; an index that is committed already changes nothing. */
    commit(index: number): readonly Message[] {
        if (index <= this.committed) {
            return [];
        }
        const entries = this.log.slice(this.committed + 1, index);
        this.committed = index;
        const members = entries.findLast(entry => entry.body.kind === EntryKind.Members)?.body;
        return [
            { kind: MemberKind.Committed, entries } as Message,
            ...index >= this.confirmIndex ? [this.confirm()] : [],
            ...members?.kind === EntryKind.Members ? this.membersChanged(members.members) : [],
        ];
    }

    /** Tells whether the log of a candidate is at least as recent as the own one. */
    isRecent(request: VoteRequest): boolean {
        const { lastTerm, lastIndex } = this.log;
        return request.lastTerm > lastTerm || request.lastTerm === lastTerm && request.lastIndex >= lastIndex;
    }

    /** What a candidate needs to know of the log. */
    facts(): LogFacts {
        return { lastIndex: this.log.lastIndex, lastTerm: this.log.lastTerm, members: this.log.members };
    }

    /**
     * What a decision on a change of members needs. A change on top of an uncommitted one, or before this term has
     * committed an entry, could leave two majorities without a common member.
     */
    membershipFacts(): MembershipFacts {
        const { members, membersIndex } = this.log;
        const changeable = this.confirmIndex === Infinity && membersIndex <= this.committed;
        return { term: this.term, members, membersIndex, changeable };
    }

    /** The leadership, if it is of `term`. */
    leadershipOf(term: number): Leadership | undefined {
        return this.currentLeadership?.term === term ? this.currentLeadership : undefined;
    }

    /** Head of an answer. */
    answerTo(to: Member, callId: string) {
        return { from: this.self, to, term: this.term, callId };
    }

    private confirm(): Message {
        this.confirmIndex = Infinity;
        return termEvent(MemberKind.LeadershipConfirmed, this.term);
    }

    private membersChanged(members: readonly Member[]): readonly Message[] {
        const removed = this.currentLeadership !== undefined && !isMember(members, this.self);
        return [
            { kind: MemberKind.MembersChanged, members } as Message,
            ...removed ? [termEvent(MemberKind.QuorumLost, this.term)] : [],
        ];
    }
}
