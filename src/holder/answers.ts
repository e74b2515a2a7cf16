/** Creates the answers of the holder pipe, and the keys that identify requests and sessions. */
import { type HolderAnswer, HolderKind, type HolderReply, type HolderRequest } from "../model/holderMessages.ts";
import { type Outcome, OutcomeKind, type RefusedOutcome } from "../model/outcome.ts";
import type { Position } from "../model/position.ts";
import { type Refusal, type RefusalCode, refuse } from "../model/refusal.ts";

/** Session state after a statement, and the log position that the statement wrote. */
export interface AnswerState {
    readonly inTransaction: boolean;
    readonly pinned: boolean;
    readonly written: Position | undefined;
}

/** State of a session that is not pinned to a connection. */
export const statelessSession: AnswerState = { inTransaction: false, pinned: false, written: undefined };

/** Creates the answer for the entry instance that sent the request. */
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

export function refusedOutcome(code: RefusalCode, step: string, fields: Partial<Refusal> = {}): RefusedOutcome {
    return { kind: OutcomeKind.Refused, refusal: refuse(code, step, fields) };
}

/** Identifies a request across entry instances, which may use equal request ids. */
export function requestKey(request: HolderRequest): string {
    return `${request.origin}/${request.requestId}`;
}

/** Identifies a session of one stream. After a stream was lost, the same session id denotes a new session. */
export function sessionKey(origin: string, sessionId: string): string {
    return `${origin}/${sessionId}`;
}

export function sessionKeyOf(request: HolderRequest): string {
    return sessionKey(request.origin, request.sessionId);
}
