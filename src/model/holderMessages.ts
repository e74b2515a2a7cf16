/**
 * Messages between an entry instance, to which a caller is connected, and the holder of a database: the instance whose
 * lease gives it the exclusive right to send statements to that database. Both may be the same process.
 */
import type { Message } from "../pipeline/message.ts";
import type { Outcome } from "./outcome.ts";
import type { Position } from "./position.ts";
import type { StatementKind } from "./statement.ts";

export const HolderKind = {
    /** Request to the holder pipe of this process. */
    Request: "holder.request",
    /** Request to the holder at `holderAddress`; sent by the gRPC sink. */
    Forward: "holder.forward",
    /** Answer as the entry instance receives it. */
    Answer: "holder.answer",
    /** Answer of the holder pipe to another instance; sent by the gRPC sink. */
    Reply: "holder.reply",
    SessionEnd: "holder.session_end",
    ForwardSessionEnd: "holder.forward_session_end",
    FloorRequest: "holder.floor_request",
    ForwardFloorRequest: "holder.forward_floor_request",
    FloorAnswer: "holder.floor_answer",
    FloorReply: "holder.floor_reply",
    /** The stream to or from another instance ended; requests without an answer have an unknown outcome. */
    StreamLost: "holder.stream_lost",
} as const;

/** Identifies the sender of a request: empty for this process, otherwise the stream id of the gRPC source. */
export type Origin = string;

/** A statement for a database that this instance holds. */
export interface HolderRequest extends Message {
    readonly kind: typeof HolderKind.Request;
    readonly origin: Origin;
    /** Unique within one lifetime of the entry instance; the answer carries the same id. */
    readonly requestId: string;
    /** Identifies the caller's connection; unique across instances. */
    readonly sessionId: string;
    readonly databaseId: string;
    /** Id of the key with which the caller authenticated; empty on an open route. */
    readonly callerId: string;
    readonly workspace: string;
    readonly workClass: string;
    readonly statementKind: StatementKind;
    /** SQL text without comments. */
    readonly text: string;
    /**
     * Log position that the database must have applied before it runs the statement. Undefined for writes, which go to
     * the primary.
     */
    readonly floor: Position | undefined;
    /** Deadline, in local monotonic time, for sending the statement to the database. */
    readonly deadlineMs: number;
    /** The caller's request id; a resend with the same id returns the first outcome. */
    readonly idempotencyId: string | undefined;
    /** Whether the statement may be sent again when its outcome is unknown. */
    readonly repeatable: boolean;
    /**
     * True when the last answer of the session had `pinned` or `inTransaction` set. The holder then refuses to run the
     * statement on another connection, for example after the lease moved to another instance. Undefined when the sender
     * does not track this.
     */
    readonly pinned: boolean;
}

/** A statement for a database that another instance holds. */
export interface HolderForward extends Omit<HolderRequest, "kind" | "origin"> {
    readonly kind: typeof HolderKind.Forward;
    /** `host:port` of the holder's gRPC listener. */
    readonly holderAddress: string;
}

interface AnswerBody extends Message {
    readonly requestId: string;
    readonly outcome: Outcome;
    /** Log position that the caller's later reads must observe; undefined after a read. */
    readonly written: Position | undefined;
    readonly inTransaction: boolean;
    /** The connection holds state of the session, so later statements of the session must go to the same database. */
    readonly pinned: boolean;
}

export interface HolderAnswer extends AnswerBody {
    readonly kind: typeof HolderKind.Answer;
}

export interface HolderReply extends AnswerBody {
    readonly kind: typeof HolderKind.Reply;
    readonly origin: Origin;
}

/** The caller's session ended: the holder rolls back its transaction and closes its connection. */
export interface HolderSessionEnd extends Message {
    readonly kind: typeof HolderKind.SessionEnd;
    readonly origin: Origin;
    readonly sessionId: string;
    readonly databaseId: string;
}

export interface HolderForwardSessionEnd extends Omit<HolderSessionEnd, "kind" | "origin"> {
    readonly kind: typeof HolderKind.ForwardSessionEnd;
    readonly holderAddress: string;
}

/**
 * Requests the floors of some keys from the holder of a primary. The floor of a key is the last log position written
 * under that key; reads under the key must observe it.
 */
export interface HolderFloorRequest extends Message {
    readonly kind: typeof HolderKind.FloorRequest;
    readonly origin: Origin;
    readonly requestId: string;
    readonly databaseId: string;
    readonly callerIds: readonly string[];
}

export interface HolderForwardFloorRequest extends Omit<HolderFloorRequest, "kind" | "origin"> {
    readonly kind: typeof HolderKind.ForwardFloorRequest;
    readonly holderAddress: string;
}

interface FloorBody extends Message {
    readonly requestId: string;
    /** In the order of `callerIds`; undefined when the holder has no valid lease on the primary or no floors yet. */
    readonly floors: readonly Position[] | undefined;
    /** Latest known log position of the primary. */
    readonly current: Position;
    /** Time since the holder sent the position query that returned `current`. */
    readonly currentAgeMs: number;
}

export interface HolderFloorAnswer extends FloorBody {
    readonly kind: typeof HolderKind.FloorAnswer;
}

export interface HolderFloorReply extends FloorBody {
    readonly kind: typeof HolderKind.FloorReply;
    readonly origin: Origin;
}

export interface HolderStreamLost extends Message {
    readonly kind: typeof HolderKind.StreamLost;
    /** Set when this instance used the stream to send requests to a holder; those will not be answered. */
    readonly holderAddress: string | undefined;
    /** Set when an entry instance used the stream to send requests here; its sessions end. */
    readonly origin: Origin | undefined;
    /** Requests in flight on the stream when it ended. */
    readonly requestIds: readonly string[];
}
