/** Replicated state of one member: log, commit index and, on the leader, the replication progress of the peers. */
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

/** Changes the log and the commit index for the replication filter. Methods return the resulting messages. */
export class Replica {
    readonly self: Member;
    readonly log = new MemberLog();
    term = 0;
    private committedIndex = 0;
    private currentLeadership: Leadership | undefined;
    /** Index of this leader's first entry; its commit confirms the leadership. */
    private confirmationIndex = Infinity;
    private readonly faultTolerance: number;

    /** @param faultTolerance disks that may be lost at the same time */
    constructor(self: Member, faultTolerance: number) {
        this.self = self;
        this.faultTolerance = faultTolerance;
    }

    get commitIndex(): number {
        return this.committedIndex;
    }

    /** Undefined unless this member leads. */
    get leadership(): Leadership | undefined {
        return this.currentLeadership;
    }

    /** Loads the state that was recovered from disk. */
    restore(recovered: StorageRecovered): void {
        this.log.restore(recovered.snapshot, recovered.entries);
        this.term = recovered.term;
        this.committedIndex = this.log.snapshotIndex;
    }

    /** Adopts `term` as a follower or candidate, and ends the leadership if there is one. */
    stopLeading(term: number): void {
        this.term = term;
        this.currentLeadership = undefined;
        this.confirmationIndex = Infinity;
    }

    /** Starts to lead `term` by appending a no-op, whose commit confirms the leadership. */
    becomeLeader(term: number, nowMs: number): readonly Message[] {
        this.term = term;
        const { self, log, faultTolerance } = this;
        this.currentLeadership = new Leadership({ self, term, log, faultTolerance, nowMs });
        this.confirmationIndex = this.log.lastIndex + 1;
        return this.appendAsLeader({ kind: EntryKind.NoOp }, undefined, nowMs);
    }

    /** Replaces the log up to a snapshot, and raises the commit index to the last index of the snapshot. */
    compact(snapshot: Snapshot): readonly Message[] {
        const discardLog = this.log.compact(snapshot);
        this.committedIndex = Math.max(this.committedIndex, snapshot.lastIndex);
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
                knowsEvacuations: true,
            }),
            ...this.currentLeadership!.replicationMessages(this.committedIndex, nowMs),
        ];
    }

    /** Appends entries to the log and writes them to disk. */
    appendEntries(entries: readonly LogEntry[]): readonly Message[] {
        entries.forEach(entry => this.log.append(entry));
        return [writeMessage({ kind: WriteKind.Entries, fromIndex: entries[0]!.index, entries })];
    }

    /** Commits entries that a quorum has synced, entries of an older term only along with one of the current term. */
    advanceCommitIndex(nowMs: number): readonly Message[] {
        if (this.currentLeadership === undefined) {
            return [];
        }
        const leadership = this.currentLeadership;
        const index = leadership.quorumIndex();
        const commitMessages = this.log.termAt(index) === this.term ? this.commit(index) : [];
        const isConfirmed = this.confirmationIndex === Infinity;
        return [
            ...commitMessages,
            ...isConfirmed ? leadership.firstCommitMessages(this.committedIndex) : [],
            ...leadership.replicationMessages(this.committedIndex, nowMs),
        ];
    }

    /** Raises the commit index; does nothing if `index` is committed already. */
    commit(index: number): readonly Message[] {
        if (index <= this.committedIndex) {
            return [];
        }
        const entries = this.log.slice(this.committedIndex + 1, index);
        this.committedIndex = index;
        const members = entries.findLast(entry => entry.body.kind === EntryKind.Members)?.body;
        return [
            { kind: MemberKind.Committed, entries } as Message,
            ...index >= this.confirmationIndex ? [this.confirmLeadership()] : [],
            ...members?.kind === EntryKind.Members ? this.membersChanged(members.members) : [],
        ];
    }

    /** Whether the log of a candidate is at least as up to date as the log of this member. */
    isUpToDate(request: VoteRequest): boolean {
        const { lastTerm, lastIndex } = this.log;
        return request.lastTerm > lastTerm || request.lastTerm === lastTerm && request.lastIndex >= lastIndex;
    }

    logSummary(): LogSummary {
        return { lastIndex: this.log.lastIndex, lastTerm: this.log.lastTerm, members: this.log.members };
    }

    /**
     * State for a membership change. A change while an earlier one is not committed, or before an entry of this term is
     * committed, could result in two majorities without a common member.
     */
    membershipState(): MembershipState {
        const { members, membersIndex } = this.log;
        const changeable = this.confirmationIndex === Infinity && membersIndex <= this.committedIndex;
        return { term: this.term, members, membersIndex, changeable };
    }

    /** The leadership, if this member leads in `term`. */
    leadershipInTerm(term: number): Leadership | undefined {
        return this.currentLeadership?.term === term ? this.currentLeadership : undefined;
    }

    /** Fields that all answers contain. */
    answerEnvelope(to: Member, callId: string) {
        return { from: this.self, to, term: this.term, callId };
    }

    private confirmLeadership(): Message {
        this.confirmationIndex = Infinity;
        return termEvent(MemberKind.LeadershipConfirmed, this.term);
    }

    private membersChanged(members: readonly Member[]): readonly Message[] {
        const selfRemoved = this.currentLeadership !== undefined && !isMember(members, this.self);
        return [
            { kind: MemberKind.MembersChanged, members } as Message,
            ...selfRemoved ? [termEvent(MemberKind.QuorumLost, this.term)] : [],
        ];
    }
}
