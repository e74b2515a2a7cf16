/** The replicated state of one member: log, commit index and, while it leads, its leadership. */
import { LogKind, outgoingMessage, type VoteRequest } from "../model/logMessages.ts";
import { type EntryBody, EntryKind, type LogEntry, type Member, type Snapshot } from "../model/replicatedLog.ts";
import { type StorageRecovered, WriteKind } from "../model/storageMessages.ts";
import type { Message } from "../pipeline/message.ts";
import { Leadership } from "./leadership.ts";
import { MemberLog } from "./memberLog.ts";
import {
    isMember,
    type LogSummary,
    MemberKind,
    type MembershipState,
    termEvent,
    writeMessage,
} from "./memberMessages.ts";

/** What the replication filter does to its log; every method returns the messages that result. */
export class Replica {
    readonly self: Member;
    readonly log = new MemberLog();
    term = 0;
    private committed = 0;
    private currentLeadership: Leadership | undefined;
    /** Index of this leader's first entry; its commit confirms the leadership. */
    private confirmationIndex = Infinity;
    private readonly faultTolerance: number;

    /** @param faultTolerance disks that may be lost at one moment */
    constructor(self: Member, faultTolerance: number) {
        this.self = self;
        this.faultTolerance = faultTolerance;
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
    becomeFollower(term: number): void {
        this.term = term;
        this.currentLeadership = undefined;
        this.confirmationIndex = Infinity;
    }

    /** Starts to lead `term` with a no-op, whose commit confirms the leadership. */
    becomeLeader(term: number, nowMs: number): readonly Message[] {
        this.term = term;
        const { self, log, faultTolerance } = this;
        this.currentLeadership = new Leadership({ self, term, log, faultTolerance, nowMs });
        this.confirmationIndex = this.log.lastIndex + 1;
        return this.appendAsLeader({ kind: EntryKind.NoOp }, undefined, nowMs);
    }

    /** Replaces the log up to a snapshot, and raises the commit index to it. */
    compact(snapshot: Snapshot): readonly Message[] {
        const discardLog = this.log.compact(snapshot);
        this.committed = Math.max(this.committed, snapshot.lastIndex);
        return [
            writeMessage({ kind: WriteKind.Snapshot, snapshot, discardLog }),
            { kind: MemberKind.SnapshotReady, snapshot } as Message,
        ];
    }

    /** Appends an entry as leader and sends it to the peers. */
    appendAsLeader(body: EntryBody, proposalId: string | undefined, nowMs: number): readonly Message[] {
        const index = this.log.lastIndex + 1;
        const writes = this.appendEntries([{ index, term: this.term, body }]);
        this.currentLeadership!.updatePeers(nowMs);
        const appended = { kind: MemberKind.EntryAppended, proposalId, index, term: this.term } as Message;
        return [
            ...proposalId === undefined ? [] : [appended],
            ...writes,
            outgoingMessage({
                ...this.answerEnvelope(this.self, ""),
                kind: LogKind.AppendAnswer,
                accepted: true,
                index,
            }),
            ...this.currentLeadership!.replicationMessages(this.committed, nowMs),
        ];
    }

    /** Appends entries to the log and asks the disk to do so. */
    appendEntries(entries: readonly LogEntry[]): readonly Message[] {
        entries.forEach(entry => this.log.append(entry));
        return [writeMessage({ kind: WriteKind.Entries, fromIndex: entries[0]!.index, entries })];
    }

    /** Commits what enough members have synced. An entry of an older term is committed only through one of this term. */
    advanceCommitIndex(nowMs: number): readonly Message[] {
        if (this.currentLeadership === undefined) {
            return [];
        }
        const leadership = this.currentLeadership;
        const index = leadership.quorumMatchIndex();
        const committed = this.log.termAt(index) === this.term ? this.commit(index) : [];
        const confirmed = this.confirmationIndex === Infinity;
        return [
            ...committed,
            ...confirmed ? leadership.firstCommitMessages(this.committed) : [],
            ...leadership.replicationMessages(this.committed, nowMs),
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
            ...index >= this.confirmationIndex ? [this.confirmLeadership()] : [],
            ...members?.kind === EntryKind.Members ? this.membersChanged(members.members) : [],
        ];
    }

    /** Tells whether the log of a candidate is at least as recent as the own one. */
    isUpToDate(request: VoteRequest): boolean {
        const { lastTerm, lastIndex } = this.log;
        return request.lastTerm > lastTerm || request.lastTerm === lastTerm && request.lastIndex >= lastIndex;
    }

    /** What a candidate needs to know of the log. */
    logSummary(): LogSummary {
        return { lastIndex: this.log.lastIndex, lastTerm: this.log.lastTerm, members: this.log.members };
    }

    /**
     * What a decision on a change of members needs. A change on top of an uncommitted one, or before this term has
     * committed an entry, could leave two majorities without a common member.
     */
    membershipState(): MembershipState {
        const { members, membersIndex } = this.log;
        const changeable = this.confirmationIndex === Infinity && membersIndex <= this.committed;
        return { term: this.term, members, membersIndex, changeable };
    }

    /** The leadership, if it is of `term`. */
    leadershipInTerm(term: number): Leadership | undefined {
        return this.currentLeadership?.term === term ? this.currentLeadership : undefined;
    }

    /** Head of an answer. */
    answerEnvelope(to: Member, callId: string) {
        return { from: this.self, to, term: this.term, callId };
    }

    private confirmLeadership(): Message {
        this.confirmationIndex = Infinity;
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
