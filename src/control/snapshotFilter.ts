/** Transfer of snapshots between members in chunks of bounded size. */
import { LogKind, outgoingMessage, type SnapshotAnswer, type SnapshotRequest } from "../model/logMessages.ts";
import type { Member, Snapshot, SnapshotRecord } from "../model/replicatedLog.ts";
import { StorageKind, type StorageRecovered } from "../model/storageMessages.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { memberKey, MemberKind, type SnapshotReady, type SnapshotWanted, type TermChanged } from "./memberMessages.ts";

/** Records per chunk; with names of at most 64 characters a chunk stays under 256 KB. */
export const maximumChunkRecords = 256;

interface IncomingSnapshot {
    readonly source: string;
    readonly lastIndex: number;
    readonly records: SnapshotRecord[];
}

type SnapshotInput =
    | StorageRecovered
    | TermChanged
    | SnapshotReady
    | SnapshotWanted
    | SnapshotRequest
    | SnapshotAnswer;

export class SnapshotFilter implements Filter<SnapshotInput, Message> {
    readonly step = "snapshot";
    readonly accepts = [
        StorageKind.Recovered,
        MemberKind.TermChanged,
        MemberKind.SnapshotReady,
        MemberKind.SnapshotWanted,
        LogKind.SnapshotRequest,
        LogKind.SnapshotAnswer,
    ];
    private readonly self: Member;
    private term = 0;
    private snapshot: Snapshot | undefined;
    /** Number of records that each peer has of the current snapshot. */
    private readonly peerOffsets = new Map<string, number>();
    private incoming: IncomingSnapshot | undefined;

    constructor(self: Member) {
        this.self = self;
    }

    process(message: SnapshotInput): readonly Message[] {
        switch (message.kind) {
            case StorageKind.Recovered:
                this.snapshot = message.snapshot;
                return [message];
            case MemberKind.TermChanged:
                this.term = message.term;
                this.peerOffsets.clear();
                this.incoming = undefined;
                return [message];
            case MemberKind.SnapshotReady:
                this.snapshot = message.snapshot;
                this.peerOffsets.clear();
                return [];
            case MemberKind.SnapshotWanted:
                return message.term === this.term ? this.sendChunk(message.peer) : [];
            case LogKind.SnapshotRequest:
                return this.receiveChunk(message);
            case LogKind.SnapshotAnswer:
                return this.receiveAnswer(message);
        }
    }

    private sendChunk(peer: Member): readonly Message[] {
        const { snapshot } = this;
        if (snapshot === undefined) {
            return [];
        }
        const offset = this.peerOffsets.get(memberKey(peer)) ?? 0;
        this.peerOffsets.set(memberKey(peer), offset);
        const { lastIndex, lastTerm, members, version } = snapshot;
        const records = snapshot.records.slice(offset, offset + maximumChunkRecords);
        const last = offset + records.length === snapshot.records.length;
        const head = { from: this.self, to: peer, term: this.term, callId: "" };
        const body = { lastIndex, lastTerm, members, version, offset, records, last };
        return [outgoingMessage({ ...head, ...body, kind: LogKind.SnapshotRequest })];
    }

    private receiveAnswer(answer: SnapshotAnswer): readonly Message[] {
        const { from: peer, lastIndex, installed, term } = answer;
        const delivered = { kind: MemberKind.SnapshotDelivered, term, peer, lastIndex, installed } as Message;
        if (installed) {
            this.peerOffsets.delete(memberKey(peer));
            return [delivered];
        }
        if (lastIndex !== this.snapshot?.lastIndex || !this.peerOffsets.has(memberKey(peer))) {
            return [];
        }
        this.peerOffsets.set(memberKey(peer), Math.min(answer.nextOffset, this.snapshot.records.length));
        return [delivered, ...this.sendChunk(peer)];
    }

    private receiveChunk(request: SnapshotRequest): readonly Message[] {
        const incoming = this.incomingSnapshotFor(request);
        if (request.offset === incoming.records.length) {
            incoming.records.push(...request.records);
            if (request.last) {
                this.incoming = undefined;
                return [this.snapshotReceived(request, incoming.records)];
            }
        }
        const head = { from: this.self, to: request.from, term: this.term, callId: request.callId };
        const body = { lastIndex: request.lastIndex, nextOffset: incoming.records.length, installed: false };
        return [outgoingMessage({ ...head, ...body, kind: LogKind.SnapshotAnswer })];
    }

    private incomingSnapshotFor(request: SnapshotRequest): IncomingSnapshot {
        const source = memberKey(request.from);
        if (this.incoming?.source !== source || this.incoming.lastIndex !== request.lastIndex) {
            this.incoming = { source, lastIndex: request.lastIndex, records: [] };
        }
        return this.incoming;
    }

    private snapshotReceived(request: SnapshotRequest, records: readonly SnapshotRecord[]): Message {
        const { lastIndex, lastTerm, members, version } = request;
        const snapshot: Snapshot = { lastIndex, lastTerm, members, version, records };
        return { kind: MemberKind.SnapshotReceived, snapshot, request } as Message;
    }
}
