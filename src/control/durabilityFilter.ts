/** Last filter of the control pipe: sends votes and acknowledgements only after the writes they depend on are synced. */
import { LogKind, type LogOutgoing, type LogSend, type PeerMessage } from "../model/logMessages.ts";
import type { Member } from "../model/replicatedLog.ts";
import { type StorageAppend, type StorageAppendDone, StorageKind } from "../model/storageMessages.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { memberKey, MemberKind, type Write } from "./memberMessages.ts";

/** Messages held back while the disk is slow. Above this the oldest is dropped; peers send their requests again. */
const maximumHeldMessages = 1_024;

interface HeldMessage {
    readonly requiredWriteId: number;
    readonly body: PeerMessage;
}

type DurabilityInput = Write | LogOutgoing | StorageAppendDone;

/**
 * Assigns ids to writes, and holds back votes, vote requests and acknowledgements (the promises after which the step is
 * named) until all earlier writes are synced. A message to this member itself, by which it counts its own vote or its
 * own copy of an entry, is held back in the same way and then posted as an event.
 */
export class DurabilityFilter implements Filter<DurabilityInput, Message> {
    readonly step = "promise";
    readonly accepts = [MemberKind.Write, LogKind.Outgoing, StorageKind.AppendDone];
    private readonly self: Member;
    private lastWriteId = 0;
    private syncedWriteId = 0;
    private held: HeldMessage[] = [];

    constructor(self: Member) {
        this.self = self;
    }

    process(message: DurabilityInput): readonly Message[] {
        switch (message.kind) {
            case MemberKind.Write: {
                this.lastWriteId += 1;
                const append = { kind: StorageKind.Append, writeId: this.lastWriteId, write: message.write };
                return [append as StorageAppend];
            }
            case LogKind.Outgoing:
                return this.handleOutgoing(message);
            case StorageKind.AppendDone:
                this.syncedWriteId = Math.max(this.syncedWriteId, message.writeId);
                return this.releaseSynced();
        }
    }

    private handleOutgoing(message: LogOutgoing): readonly Message[] {
        if (this.syncedWriteId >= this.lastWriteId || !requiresSync(message.body)) {
            return [this.dispatch(message.body)];
        }
        this.held.push({ requiredWriteId: this.lastWriteId, body: message.body });
        if (this.held.length > maximumHeldMessages) {
            this.held.shift();
        }
        return [];
    }

    private releaseSynced(): readonly Message[] {
        const ready = this.held.filter(held => held.requiredWriteId <= this.syncedWriteId);
        this.held = this.held.slice(ready.length);
        return ready.map(held => this.dispatch(held.body));
    }

    private dispatch(body: PeerMessage): Message {
        return memberKey(body.to) === memberKey(this.self) ? body : { kind: LogKind.Send, body } as LogSend;
    }
}

function requiresSync(body: PeerMessage): boolean {
    switch (body.kind) {
        case LogKind.VoteRequest:
            return !body.preVote;
        case LogKind.VoteAnswer:
        case LogKind.AppendAnswer:
        case LogKind.SnapshotAnswer:
        case LogKind.StandAnswer:
            return true;
        default:
            return false;
    }
}
