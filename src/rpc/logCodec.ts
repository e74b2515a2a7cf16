/** Encodes and decodes the messages of the replicated log that control members exchange. */
import { match } from "ts-pattern";
import { LogKind, type PeerMessage } from "../model/logMessages.ts";
import type { LogEntry, Member } from "../model/replicatedLog.ts";
import { requireEntryBody, requireSnapshotRecord } from "../model/replicatedLogSchema.ts";
import type {
    AppendCall,
    AppendResult,
    EntryMessage,
    JoinCall,
    JoinResult,
    LogHead,
    SnapshotCall,
    SnapshotResult,
    StandCall,
    StandResult,
    VoteCall,
    VoteResult,
} from "./generated/log.ts";

type MessageOf<Kind extends PeerMessage["kind"]> = Extract<PeerMessage, { readonly kind: Kind; }>;

export function encodeVoteCall(message: MessageOf<typeof LogKind.VoteRequest>): VoteCall {
    const { preVote, lastIndex, lastTerm } = message;
    return { head: encodeHead(message), preVote, lastIndex, lastTerm };
}

export function decodeVoteCall(call: VoteCall, callId: string): PeerMessage {
    const { preVote, lastIndex, lastTerm } = call;
    return { ...decodeHead(call.head, callId), kind: LogKind.VoteRequest, preVote, lastIndex, lastTerm };
}

export function decodeVoteResult({ head, preVote, granted, requestTerm }: VoteResult): PeerMessage {
    return { ...decodeHead(head, ""), kind: LogKind.VoteAnswer, preVote, granted, requestTerm };
}

export function encodeAppendCall(message: MessageOf<typeof LogKind.AppendRequest>): AppendCall {
    const { previousIndex, previousTerm, commitIndex } = message;
    const entries = message.entries.map(encodeEntry);
    return { head: encodeHead(message), previousIndex, previousTerm, entries, commitIndex };
}

/** @throws Error if an entry is malformed or does not follow the one before it */
export function decodeAppendCall(call: AppendCall, callId: string): PeerMessage {
    const { previousIndex, previousTerm, commitIndex } = call;
    const entries = call.entries.map(decodeEntry);
    const gap = entries.findIndex(({ index }, offset) => index !== previousIndex + 1 + offset);
    if (gap !== -1) {
        throw new RangeError(`entry ${entries[gap]!.index} cannot follow entry ${previousIndex + gap}`);
    }
    const head = decodeHead(call.head, callId);
    return { ...head, kind: LogKind.AppendRequest, previousIndex, previousTerm, entries, commitIndex };
}

export function decodeAppendResult({ head, accepted, index, knowsEvacuations }: AppendResult): PeerMessage {
    return { ...decodeHead(head, ""), kind: LogKind.AppendAnswer, accepted, index, knowsEvacuations };
}

export function encodeSnapshotCall(message: MessageOf<typeof LogKind.SnapshotRequest>): SnapshotCall {
    const { lastIndex, lastTerm, version, offset, last } = message;
    const records = message.records.map(encodeJson);
    const members = [...message.members];
    return { head: encodeHead(message), lastIndex, lastTerm, members, version, offset, records, last };
}

/** @throws Error if a record is malformed or belongs to a list of a later release */
export function decodeSnapshotCall(call: SnapshotCall, callId: string): PeerMessage {
    const { lastIndex, lastTerm, members, version, offset, last } = call;
    const records = call.records.map(record => requireSnapshotRecord(decodeJson(record)));
    const head = decodeHead(call.head, callId);
    return { ...head, kind: LogKind.SnapshotRequest, lastIndex, lastTerm, members, version, offset, records, last };
}

export function decodeSnapshotResult({ head, lastIndex, nextOffset, installed }: SnapshotResult): PeerMessage {
    return { ...decodeHead(head, ""), kind: LogKind.SnapshotAnswer, lastIndex, nextOffset, installed };
}

export function encodeJoinCall(message: MessageOf<typeof LogKind.JoinRequest>): JoinCall {
    return { head: encodeHead(message) };
}

export function decodeJoinCall({ head }: JoinCall, callId: string): PeerMessage {
    return { ...decodeHead(head, callId), kind: LogKind.JoinRequest };
}

export function decodeJoinResult({ head, formed, members }: JoinResult): PeerMessage {
    return { ...decodeHead(head, ""), kind: LogKind.JoinAnswer, formed, members };
}

export function encodeStandCall(message: MessageOf<typeof LogKind.StandRequest>): StandCall {
    return { head: encodeHead(message) };
}

export function decodeStandCall({ head }: StandCall, callId: string): PeerMessage {
    return { ...decodeHead(head, callId), kind: LogKind.StandRequest };
}

export function decodeStandResult({ head, standing }: StandResult): PeerMessage {
    return { ...decodeHead(head, ""), kind: LogKind.StandAnswer, standing };
}

/** Encodes an answer as the result of its gRPC call; undefined if the message is not an answer. */
export function encodeCallResult(
    message: PeerMessage,
): VoteResult | AppendResult | SnapshotResult | JoinResult | StandResult | undefined {
    const head = encodeHead(message);
    return match(message)
        .with({ kind: LogKind.VoteAnswer }, ({ preVote, granted, requestTerm }) => ({
            head,
            preVote,
            granted,
            requestTerm,
        }))
        .with({ kind: LogKind.AppendAnswer }, ({ accepted, index, knowsEvacuations }) => ({
            head,
            accepted,
            index,
            knowsEvacuations,
        }))
        .with({ kind: LogKind.SnapshotAnswer }, ({ lastIndex, nextOffset, installed }) => ({
            head,
            lastIndex,
            nextOffset,
            installed,
        }))
        .with({ kind: LogKind.StandAnswer }, ({ standing }) => ({ head, standing }))
        .with({ kind: LogKind.JoinAnswer }, ({ formed, members }) => ({ head, formed, members: [...members] }))
        .otherwise(() => undefined);
}

export function encodeJson(value: unknown): Buffer {
    return Buffer.from(JSON.stringify(value));
}

/** @throws Error without a part of the body, which may hold the text of a caller */
export function decodeJson(body: Uint8Array): unknown {
    try {
        return JSON.parse(Buffer.from(body).toString("utf8"));
    }
    catch {
        throw new SyntaxError(`a body of ${body.length} bytes is not valid JSON`);
    }
}

function encodeHead({ from, to, term }: PeerMessage): LogHead {
    return { from, to, term };
}

function decodeHead(head: LogHead | undefined, callId: string) {
    return { from: requireMember(head?.from), to: requireMember(head?.to), term: head!.term, callId };
}

function requireMember(member: Member | undefined): Member {
    if (member === undefined) {
        throw new TypeError("a message between control members lacks its sender or receiver");
    }
    return member;
}

function encodeEntry({ index, term, body }: LogEntry): EntryMessage {
    return { index, term, body: encodeJson(body) };
}

function decodeEntry({ index, term, body }: EntryMessage): LogEntry {
    return { index, term, body: requireEntryBody(decodeJson(body)) };
}
