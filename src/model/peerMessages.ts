/** Messages between instances that pass tasks to each other. */
import type { Message } from "../pipeline/message.ts";
import type { LinkReply } from "./linkMessages.ts";
import type { Position } from "./position.ts";
import type { PreparedStatement, SessionStatement, StatementFault } from "./sessionStatement.ts";

export const PeerKind = {
    /** The instances that serve callers changed. */
    InstancesKnown: "peer.instances_known",
    /** Sends a frame to the instance at an address; opens a stream when there is none. */
    Send: "peer.send",
    /** Answers on the stream that a frame came from. */
    Answer: "peer.answer",
    /** A frame from an instance that passes tasks here. */
    Asked: "peer.asked",
    /** An answer to a frame that was sent. */
    Answered: "peer.answered",
    /** A stream that this instance had opened ended; nothing more comes from there. */
    Lost: "peer.lost",
    /** A stream that another instance had opened ended. */
    Gone: "peer.gone",
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

/** A task on its way to the instance that holds the links of a database. */
export interface PassedTask {
    readonly kind: "task";
    readonly taskId: string;
    readonly sessionId: string;
    readonly service: string;
    readonly workspace: string;
    readonly mode: string;
    readonly statement: SessionStatement | undefined;
    readonly writes: boolean;
    readonly needsPrimary: boolean;
    readonly values: readonly (readonly [string, string])[];
    /** What the executed name stands for. */
    readonly prepared: PreparedStatement | undefined;
    /** Empty for a further statement of a transaction. */
    readonly databaseId: string;
    readonly floor: Position | undefined;
    /** Time left for the attempt. */
    readonly remainingMs: number;
}

/** Asks for a position that the primary of a service is proved to have had. */
export interface FloorQuestion {
    readonly kind: "floor";
    readonly questionId: string;
    readonly service: string;
    /** Named to the database if a link has to be opened. */
    readonly workspace: string;
    /** An older proof is renewed before the answer. */
    readonly maximumProofAgeMs: number;
}

export type PeerQuestion =
    | PassedTask
    | FloorQuestion
    | { readonly kind: "abandon"; readonly sessionId: string; readonly taskId: string | undefined; };

export interface PassedResult {
    readonly kind: "task";
    readonly taskId: string;
    readonly reply: LinkReply | undefined;
    readonly fault: StatementFault | undefined;
    readonly sent: boolean;
    readonly leads: boolean;
    readonly pinned: boolean;
}

export interface FloorResult {
    readonly kind: "floor";
    readonly questionId: string;
    /** Undefined when the primary has proved none. */
    readonly position: Position | undefined;
    /** Age of the proof when the question arrived; 0 when it is younger than the question. */
    readonly proofAgeMs: number;
}

export type PeerResult = PassedResult | FloorResult;

export interface PeerSend extends Message {
    readonly kind: typeof PeerKind.Send;
    readonly address: string;
    readonly question: PeerQuestion;
}

export interface PeerAsked extends Message {
    readonly kind: typeof PeerKind.Asked;
    /** Unique in this process, without "/". */
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
}

export interface PeerGone extends Message {
    readonly kind: typeof PeerKind.Gone;
    readonly streamId: string;
}
