/**
 * Messages between instances that pass tasks to each other. An instance sends questions (requests) on a stream that it
 * has opened to another one, which sends the results back on the same stream.
 */
import type { Message } from "../pipeline/message.ts";
import type { DatabaseLoad } from "./databaseLoad.ts";
import type { LinkReply } from "./linkMessages.ts";
import type { Position } from "./position.ts";
import type { PreparedStatement, SessionStatement, StatementFault, TaskMode } from "./sessionStatement.ts";

export const PeerKind = {
    /** The list of instances that serve callers changed. */
    InstancesKnown: "peer.instances_known",
    /** Sends a question to the instance at an address; opens a stream when none exists. */
    Send: "peer.send",
    /** Sends a result on the stream on which the question arrived. */
    Answer: "peer.answer",
    /** A question arrived from another instance. */
    Asked: "peer.asked",
    /** The result of a question that this instance sent arrived. */
    Answered: "peer.answered",
    /** A stream that this instance opened has ended; no result of an earlier question will arrive. */
    Lost: "peer.lost",
    /** A stream that another instance opened has ended. */
    Gone: "peer.gone",
    /** A malformed question or result arrived on a stream, which is closed. */
    FrameRefused: "peer.frame_refused",
    /** What a message told of the load or the lag of databases is out of range; the rest of the message counts. */
    LoadIgnored: "peer.load_ignored",
} as const;

export interface PeerInstance {
    readonly instanceId: string;
    /** `host:port` of its gRPC listener. */
    readonly address: string;
    readonly dataCentre: string;
}

export function isSameInstance(left: PeerInstance | undefined, right: PeerInstance | undefined): boolean {
    return left?.instanceId === right?.instanceId && left?.address === right?.address
        && left?.dataCentre === right?.dataCentre;
}

export interface InstancesKnown extends Message {
    readonly kind: typeof PeerKind.InstancesKnown;
    readonly instances: readonly PeerInstance[];
}

export interface PassedUrgency {
    /** Of the route; 0 is the highest. */
    readonly priority: number;
    /** Time left until the latency objective; 0 if it has passed. */
    readonly objectiveMs: number;
}

/** A task that is sent to the holder of a database: the instance that keeps the connection pool of this database. */
export interface PassedTask {
    readonly kind: "task";
    readonly taskId: string;
    readonly sessionId: string;
    readonly service: string;
    readonly workspace: string;
    readonly mode: TaskMode;
    readonly statement: SessionStatement | undefined;
    readonly writes: boolean;
    readonly needsPrimary: boolean;
    readonly values: readonly (readonly [string, string])[];
    /** The statement to which the name of an `execute` refers. */
    readonly prepared: PreparedStatement | undefined;
    /** Empty for the second and later statements of a transaction, which run on the link of their session. */
    readonly databaseId: string;
    readonly floor: Position | undefined;
    /** Time left until the deadline of the attempt. */
    readonly remainingMs: number;
    /** Not sent by releases that do not know it. */
    readonly urgency?: PassedUrgency;
}

/** A log position that a database has told to some instance. */
export interface ReplicaPosition {
    readonly databaseId: string;
    readonly position: Position;
    /** Time since the database told it. */
    readonly ageMs: number;
    /** The database lagged by at least this much then; 0 if unknown. */
    readonly lagMs: number;
}

/** Asks another instance for a recent log position of the primary of a service, to be used as the floor of reads. */
export interface FloorQuestion {
    readonly kind: "floor";
    readonly questionId: string;
    readonly service: string;
    /** Sent to the database as the name of the caller if a link has to be opened. */
    readonly workspace: string;
    /** The answering instance obtains a new position from the primary if the last one is older than this. */
    readonly maximumProofAgeMs: number;
    /** What the asking instance knows of the databases of the service; not sent by releases that do not know it. */
    readonly replicas?: readonly ReplicaPosition[];
}

/** Asks another instance for the control members. */
export interface MembersQuestion {
    readonly kind: "members";
    readonly questionId: string;
}

export type PeerQuestion =
    | PassedTask
    | FloorQuestion
    | MembersQuestion
    | { readonly kind: "abandon"; readonly sessionId: string; readonly taskId: string | undefined; };

export interface PassedResult {
    readonly kind: "task";
    readonly taskId: string;
    readonly reply: LinkReply | undefined;
    readonly fault: StatementFault | undefined;
    readonly sent: boolean;
    readonly leads: boolean;
    readonly pinned: boolean;
    /** Not sent by releases that do not know it, nor with results that tell nothing about the load. */
    readonly load?: DatabaseLoad;
    /** Set if the statement could not start in time: time after which it could. Not sent by earlier releases. */
    readonly retryAfterMs?: number;
}

export interface FloorResult {
    readonly kind: "floor";
    /** Empty if the result tells positions that nobody asked for. */
    readonly questionId: string;
    /** Set if the result tells positions. */
    readonly service?: string;
    /** Undefined when the primary did not provide one. */
    readonly position: Position | undefined;
    /** Age of the position when the question arrived; 0 when the position was obtained later. */
    readonly proofAgeMs: number;
    /** What the answering instance knows of the databases of the service; not sent by releases that do not know it. */
    readonly replicas?: readonly ReplicaPosition[];
}

export interface MembersResult {
    readonly kind: "members";
    readonly questionId: string;
    /** `host:port` of the control members in the leader's list; empty if the instance knows no leader. */
    readonly addresses: readonly string[];
}

export type PeerResult = PassedResult | FloorResult | MembersResult;

export interface PeerSend extends Message {
    readonly kind: typeof PeerKind.Send;
    readonly address: string;
    readonly question: PeerQuestion;
}

export interface PeerAsked extends Message {
    readonly kind: typeof PeerKind.Asked;
    /** Unique in this process; contains no "/". */
    readonly streamId: string;
    readonly question: PeerQuestion;
}

export interface PeerAnswer extends Message {
    readonly kind: typeof PeerKind.Answer;
    readonly streamId: string;
    readonly result: PeerResult;
}

export interface PeerAnswered extends Message {
    readonly kind: typeof PeerKind.Answered;
    readonly address: string;
    readonly result: PeerResult;
}

export interface PeerLost extends Message {
    readonly kind: typeof PeerKind.Lost;
    readonly address: string;
    /** The instance was drained and ran nothing that it did not answer; not told by releases that do not know it. */
    readonly unansweredNotRun?: boolean;
}

export interface PeerGone extends Message {
    readonly kind: typeof PeerKind.Gone;
    readonly streamId: string;
}

export interface PeerFrameRefused extends Message {
    readonly kind: typeof PeerKind.FrameRefused;
    /** Address of the other end, or the id of a stream that it opened. */
    readonly peer: string;
    readonly reason: string;
}

export interface PeerLoadIgnored extends Message {
    readonly kind: typeof PeerKind.LoadIgnored;
    /** Address of the other end, or the id of a stream that it opened. */
    readonly peer: string;
}
