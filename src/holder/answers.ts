/** Builds the answers of the holder pipe. */
import { type HolderAnswer, HolderKind, type HolderReply, type HolderRequest } from "../model/holderMessages.ts";
import { type Outcome, OutcomeKind, type RefusedOutcome } from "../model/outcome.ts";
import type { Position } from "../model/position.ts";
import { type Refusal, type RefusalCode, refuse } from "../model/refusal.ts";

/** What an answer says of the session and of what was written. */
export interface AnswerState {
    readonly inTransaction: boolean;
    readonly pinned: boolean;
    readonly written: Position | undefined;
}

/** State of a session that keeps nothing on a connection. */
export const statelessSession: AnswerState = { inTransaction: false, pinned: false, written: undefined };

/** Addresses the outcome to the entry instance that sent the request. */
export function createAnswer(
    request: HolderRequest,
    outcome: Outcome,
    state: AnswerState = statelessSession,
): HolderAnswer | HolderReply {
    const body = {
        requestId: request.requestId,
        outcome,
        written: state.written,
        inTransaction: state.inTransaction,
        pinned: state.pinned,
    };
    return request.origin === ""
        ? { ...body, kind: HolderKind.Answer }
        : { ...body, kind: HolderKind.Reply, origin: request.origin };
}

export function refusedOutcome(code: RefusalCode, step: string, parts: Partial<Refusal> = {}): RefusedOutcome {
    return { kind: OutcomeKind.Refused, refusal: refuse(code, step, parts) };
}

/** Identifies a request across entry instances, whose request ids may be equal. */
export function requestKey(request: HolderRequest): string {
    return `${request.origin}/${request.requestId}`;
}

/** Identifies a session on one stream; after a stream was lost the same session id is a new session. */
export function sessionKey(origin: string, sessionId: string): string {
    return `${origin}/${sessionId}`;
}

export function sessionKeyOf(request: HolderRequest): string {
    return sessionKey(request.origin, request.sessionId);
}
