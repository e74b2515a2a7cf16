/** Last filter of the control pipe: sends votes and acknowledgements only after the writes they depend on are synced. */
import { type AppendAnswer, LogKind, type LogOutgoing, type LogSend, type PeerMessage } from "../model/logMessages.ts";
import type { Member } from "../model/replicatedLog.ts";
import {
    type StorageAppend,
    type StorageAppendDone,
    StorageKind,
    type StorageWrite,
    WriteKind,
} from "../model/storageMessages.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { memberKey, MemberKind, type Write } from "./memberMessages.ts";

/** Messages held back while the disk is slow. Above this the oldest is dropped; peers send their requests again. */
const maximumHeldMessages = 1_024;

interface PendingWrite {
    readonly writeId: number;
    readonly write: StorageWrite;
}

interface HeldMessage {
    readonly requiredWriteId: number;
    readonly body: PeerMessage;
}

type DurabilityInput = Write | LogOutgoing | StorageAppendDone;

/**
 * Assigns ids to writes, and holds back votes, vote requests and acknowledgements (the promises after which the step is
 * named) until the earlier writes on which they depend are synced. An answer to a heartbeat does not depend on entries
 * that follow what it names, so that a slow disk does not end the contact to the leader. A message to this member itself,
 * by which it counts its own vote or its own copy of an entry, is held back in the same way and then posted as an event.
 */
export class DurabilityFilter implements Filter<DurabilityInput, Message> {
    readonly step = "promise";
    readonly accepts = [MemberKind.Write, LogKind.Outgoing, StorageKind.AppendDone];
    private readonly self: Member;
    private lastWriteId = 0;
    private pending: PendingWrite[] = [];
    private held: HeldMessage[] = [];

    constructor(self: Member) {
        this.self = self;
    }

    process(message: DurabilityInput): readonly Message[] {
        switch (message.kind) {
            case MemberKind.Write: {
                this.lastWriteId += 1;
                this.pending.push({ writeId: this.lastWriteId, write: message.write });
                const append = { kind: StorageKind.Append, writeId: this.lastWriteId, write: message.write };
                return [append as StorageAppend];
            }
            case LogKind.Outgoing:
                return this.handleOutgoing(message);
            case StorageKind.AppendDone:
                this.pending = this.pending.filter(({ writeId }) => writeId > message.writeId);
                return this.releaseSynced(message.writeId);
        }
    }

    private handleOutgoing({ body }: LogOutgoing): readonly Message[] {
        const required = this.pending.findLast(({ write }) => dependsOn(body, write));
        if (required === undefined) {
            return [this.dispatch(body)];
        }
        this.held.push({ requiredWriteId: required.writeId, body });
        if (this.held.length > maximumHeldMessages) {
            // A message to this member itself is not sent again.
            const oldest = this.held.findIndex(({ body: { to } }) => memberKey(to) !== memberKey(this.self));
            this.held.splice(Math.max(0, oldest), 1);
        }
        return [];
    }

    private releaseSynced(syncedWriteId: number): readonly Message[] {
        const ready = this.held.filter(({ requiredWriteId }) => requiredWriteId <= syncedWriteId);
        this.held = this.held.filter(({ requiredWriteId }) => requiredWriteId > syncedWriteId);
        return ready.map(({ body }) => this.dispatch(body));
    }

    private dispatch(body: PeerMessage): Message {
        return memberKey(body.to) === memberKey(this.self) ? body : { kind: LogKind.Send, body } as LogSend;
    }
}

function dependsOn(body: PeerMessage, write: StorageWrite): boolean {
    switch (body.kind) {
        case LogKind.VoteRequest:
            return !body.preVote;
        case LogKind.AppendAnswer:
            return isContradictedBy(body, write);
        case LogKind.VoteAnswer:
        case LogKind.SnapshotAnswer:
        case LogKind.StandAnswer:
            return true;
        default:
            return false;
    }
}

/** Whether the log or the term that an answer names could be another one if a write were lost. */
function isContradictedBy({ accepted, index }: AppendAnswer, write: StorageWrite): boolean {
    switch (write.kind) {
        case WriteKind.Term:
            return true;
        case WriteKind.Entries:
            return accepted && write.fromIndex <= index;
        case WriteKind.Snapshot:
            return write.discardLog;
    }
}
