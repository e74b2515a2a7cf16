/** Messages between control members. */
import type { Message } from "../pipeline/message.ts";
import type { LogEntry, Member, SnapshotRecord } from "./replicatedLog.ts";

export const LogKind = {
    /** A peer message that a filter wants to send; the last filter of the control pipe decides when. */
    Outgoing: "log.outgoing",
    /** A peer message on its way out; taken by the gRPC sink. */
    Send: "log.send",
    VoteRequest: "log.vote_request",
    VoteAnswer: "log.vote_answer",
    AppendRequest: "log.append_request",
    AppendAnswer: "log.append_answer",
    SnapshotRequest: "log.snapshot_request",
    SnapshotAnswer: "log.snapshot_answer",
    JoinRequest: "log.join_request",
    JoinAnswer: "log.join_answer",
} as const;

interface PeerEnvelope extends Message {
    readonly from: Member;
    readonly to: Member;
    /** Term of the sender; in a pre-vote request, the term it would campaign for. */
    readonly term: number;
    /** Set by the gRPC source on requests and repeated by the answer; empty on messages that were not received. */
    readonly callId: string;
}

export interface VoteRequest extends PeerEnvelope {
    readonly kind: typeof LogKind.VoteRequest;
    /** Asks whether a vote would be granted; changes no term and promises nothing. */
    readonly preVote: boolean;
    readonly lastIndex: number;
    readonly lastTerm: number;
}

export interface VoteAnswer extends PeerEnvelope {
    readonly kind: typeof LogKind.VoteAnswer;
    readonly preVote: boolean;
    readonly granted: boolean;
    /** Term that was asked for. */
    readonly requestTerm: number;
}

/** Entries after `previousIndex`; without entries, a heartbeat. */
export interface AppendRequest extends PeerEnvelope {
    readonly kind: typeof LogKind.AppendRequest;
    readonly previousIndex: number;
    readonly previousTerm: number;
    readonly entries: readonly LogEntry[];
    readonly commitIndex: number;
}

export interface AppendAnswer extends PeerEnvelope {
    readonly kind: typeof LogKind.AppendAnswer;
    readonly accepted: boolean;
    /** Accepted: the log is equal to the leader's and synced up to here. Refused: index from which to try again. */
    readonly index: number;
}

/** One chunk of a snapshot. */
export interface SnapshotRequest extends PeerEnvelope {
    readonly kind: typeof LogKind.SnapshotRequest;
    readonly lastIndex: number;
    readonly lastTerm: number;
    readonly members: readonly Member[];
    readonly version: number;
    /** Number of records before this chunk. */
    readonly offset: number;
    readonly records: readonly SnapshotRecord[];
    readonly last: boolean;
}

export interface SnapshotAnswer extends PeerEnvelope {
    readonly kind: typeof LogKind.SnapshotAnswer;
    readonly lastIndex: number;
    /** Number of records received so far; the next chunk starts there. */
    readonly nextOffset: number;
    /** The whole snapshot is synced. */
    readonly installed: boolean;
}

/** Sent by an instance whose data folder is empty, until it is a member. */
export interface JoinRequest extends PeerEnvelope {
    readonly kind: typeof LogKind.JoinRequest;
}

export interface JoinAnswer extends PeerEnvelope {
    readonly kind: typeof LogKind.JoinAnswer;
    /** The answering instance already belongs to a formed cluster. */
    readonly formed: boolean;
    /** The members that it knows; the leader, which alone lets an instance join, is one of them. */
    readonly members: readonly Member[];
}

export type PeerMessage =
    | VoteRequest
    | VoteAnswer
    | AppendRequest
    | AppendAnswer
    | SnapshotRequest
    | SnapshotAnswer
    | JoinRequest
    | JoinAnswer;

export interface LogOutgoing extends Message {
    readonly kind: typeof LogKind.Outgoing;
    readonly body: PeerMessage;
}

export interface LogSend extends Message {
    readonly kind: typeof LogKind.Send;
    readonly body: PeerMessage;
}

/** Wraps a peer message for the way out. */
export function outgoingMessage(body: PeerMessage): LogOutgoing {
    return { kind: LogKind.Outgoing, body };
}
