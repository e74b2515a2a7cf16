/** Messages between control members: elections, replication of the log, snapshots and joining. */
import type { Message } from "../pipeline/message.ts";
import type { LogEntry, Member, SnapshotRecord } from "./replicatedLog.ts";

export const LogKind = {
    /** A peer message to send; the last filter of the control pipe delays it until the writes before it are synced. */
    Outgoing: "log.outgoing",
    /** A peer message for the gRPC sink, which sends it. */
    Send: "log.send",
    VoteRequest: "log.vote_request",
    VoteAnswer: "log.vote_answer",
    AppendRequest: "log.append_request",
    AppendAnswer: "log.append_answer",
    SnapshotRequest: "log.snapshot_request",
    SnapshotAnswer: "log.snapshot_answer",
    JoinRequest: "log.join_request",
    JoinAnswer: "log.join_answer",
    StandRequest: "log.stand_request",
    StandAnswer: "log.stand_answer",
} as const;

interface PeerEnvelope extends Message {
    readonly from: Member;
    readonly to: Member;
    /** Term of the sender; in a pre-vote request, the term in which it would be a candidate. */
    readonly term: number;
    /** Set by the gRPC source on received requests and copied to their answers; otherwise empty. */
    readonly callId: string;
}

export interface VoteRequest extends PeerEnvelope {
    readonly kind: typeof LogKind.VoteRequest;
    /** Asks whether the receiver would grant its vote; the receiver changes neither its term nor its vote. */
    readonly preVote: boolean;
    readonly lastIndex: number;
    readonly lastTerm: number;
}

export interface VoteAnswer extends PeerEnvelope {
    readonly kind: typeof LogKind.VoteAnswer;
    readonly preVote: boolean;
    readonly granted: boolean;
    /** Term of the request. */
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
    /** If accepted, index up to which the log matches the leader's and is synced; otherwise the index to retry from. */
    readonly index: number;
    /** The release of the sender applies commands that begin and end evacuations. */
    readonly knowsEvacuations: boolean;
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
    /** Number of records received so far, which is the offset of the next chunk. */
    readonly nextOffset: number;
    /** The whole snapshot was received and synced. */
    readonly installed: boolean;
}

/** Sent until the instance is in the list of members, and by a listed member that no other member contacts. */
export interface JoinRequest extends PeerEnvelope {
    readonly kind: typeof LogKind.JoinRequest;
}

export interface JoinAnswer extends PeerEnvelope {
    readonly kind: typeof LogKind.JoinAnswer;
    /** The answering instance is part of a cluster that was formed already. */
    readonly formed: boolean;
    /** The members known to the answering instance. Only the leader, which is one of them, can add a member. */
    readonly members: readonly Member[];
}

/** The leader asks a follower to start an election at once; without this, the other members would refuse it. */
export interface StandRequest extends PeerEnvelope {
    readonly kind: typeof LogKind.StandRequest;
}

export interface StandAnswer extends PeerEnvelope {
    readonly kind: typeof LogKind.StandAnswer;
    readonly standing: boolean;
}

export type PeerMessage =
    | VoteRequest
    | VoteAnswer
    | AppendRequest
    | AppendAnswer
    | SnapshotRequest
    | SnapshotAnswer
    | JoinRequest
    | JoinAnswer
    | StandRequest
    | StandAnswer;

export interface LogOutgoing extends Message {
    readonly kind: typeof LogKind.Outgoing;
    readonly body: PeerMessage;
}

export interface LogSend extends Message {
    readonly kind: typeof LogKind.Send;
    readonly body: PeerMessage;
}

export function outgoingMessage(body: PeerMessage): LogOutgoing {
    return { kind: LogKind.Outgoing, body };
}
