/** Messages between an entry instance and the holder of a database, whether or not they are the same process. */
import type { Message } from "../pipeline/message.ts";
import type { Outcome } from "./outcome.ts";
import type { Position } from "./position.ts";
import type { StatementKind } from "./statement.ts";

export const HolderKind = {
    /** For the holder pipe of this process. */
    Request: "holder.request",
    /** For the holder at `holderAddress`; taken by the gRPC sink. */
    Forward: "holder.forward",
    /** Answer that arrives at the entry instance. */
    Answer: "holder.answer",
    /** Answer of the holder pipe to another instance; taken by the gRPC sink. */
    Reply: "holder.reply",
    SessionEnd: "holder.session_end",
    ForwardSessionEnd: "holder.forward_session_end",
    FloorRequest: "holder.floor_request",
    ForwardFloorRequest: "holder.forward_floor_request",
    FloorAnswer: "holder.floor_answer",
    FloorReply: "holder.floor_reply",
    /** The stream to or from another instance ended; its unanswered requests have an unknown outcome. */
    StreamLost: "holder.stream_lost",
} as const;

/** Identifies where a request came from; empty for this process, a stream id of the gRPC source otherwise. */
export type Origin = string;

/** A statement for a database that this instance holds. */
export interface HolderRequest extends Message {
    readonly kind: typeof HolderKind.Request;
    readonly origin: Origin;
    /** Unique per entry instance and its lifetime; an answer repeats it. */
    readonly requestId: string;
    /** Identifies the caller's connection, across instances. */
    readonly sessionId: string;
    readonly databaseId: string;
    /** Key id; empty on an open route. */
    readonly callerId: string;
    readonly workspace: string;
    readonly workClass: string;
    readonly statementKind: StatementKind;
    /** Free of comments. */
    readonly text: string;
    /** The database must have applied this position first; undefined for writes, which go to the primary. */
    readonly floor: Position | undefined;
    /** Local monotonic time by which the statement must have been sent to the database. */
    readonly deadlineMs: number;
    /** The caller's request id; a resend with the same id returns the first outcome. */
    readonly idempotencyId: string | undefined;
    /** The statement may be sent again when its outcome is unknown. */
    readonly repeatable: boolean;
    /**
     * The session's last answer said `pinned` or `inTransaction`. The holder then never runs the statement on another
     * connection, for example after the database changed its holder. Undefined when the sender does not know.
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
    /** Position that the caller's later reads must see; undefined after a read. */
    readonly written: Position | undefined;
    readonly inTransaction: boolean;
    /** The connection keeps state of the session; its later statements must go to the same database. */
    readonly pinned: boolean;
}

export interface HolderAnswer extends AnswerBody {
    readonly kind: typeof HolderKind.Answer;
}

export interface HolderReply extends AnswerBody {
    readonly kind: typeof HolderKind.Reply;
    readonly origin: Origin;
}

/** The caller's session ended: roll back, reset its connection. */
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

/** Asks the holder of a primary for the last positions written under some keys. */
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
    /** In the order of `callerIds`; undefined when the holder cannot prove its lease on the primary. */
    readonly floors: readonly Position[] | undefined;
    /** Latest known position of the primary. */
    readonly current: Position;
    /** Time since `current` was known to be the primary's position. */
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
    /** Set when the lost stream led to a holder; its requests will not be answered. */
    readonly holderAddress: string | undefined;
    /** Set when the lost stream came from an entry instance; its sessions end. */
    readonly origin: Origin | undefined;
    /** Requests sent on the stream and not answered. */
    readonly requestIds: readonly string[];
}
