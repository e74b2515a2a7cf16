/** Messages within the request pipe. Each filter adds the fields that it determines. */
import type { Outcome } from "../model/outcome.ts";
import type { Refusal } from "../model/refusal.ts";
import type { StatementAttributes, StatementKind } from "../model/statement.ts";
import type { WorkClass } from "../model/workClass.ts";
import type { Message } from "../pipeline/message.ts";

export const RequestKind = {
    Authenticated: "request.authenticated",
    Classified: "request.classified",
    Admitted: "request.admitted",
    Refused: "request.refused",
    Answered: "request.answered",
    SessionEnded: "request.session_ended",
    RetryDue: "request.retry_due",
} as const;

/** Actions that the entry instance performs without a database. */
export const LocalAction = {
    None: "none",
    ShowSession: "show_session",
    ResumeSession: "resume_session",
} as const;
export type LocalAction = typeof LocalAction[keyof typeof LocalAction];

interface RequestBody extends Message {
    readonly connectionId: number;
    readonly sequence: number;
}

/** A statement of an authenticated caller. */
export interface AuthenticatedRequest extends RequestBody {
    readonly kind: typeof RequestKind.Authenticated;
    /** Id of the caller's key; empty on an open route. */
    readonly callerId: string;
    readonly workspace: string;
    readonly service: string;
    /** The text as the caller sent it, including comments. */
    readonly text: string;
    readonly arrivedAtMs: number;
}

interface ClassifiedBody extends Omit<AuthenticatedRequest, "kind"> {
    /** The text without comments, so that no attribute or key reaches a database. */
    readonly text: string;
    readonly statementKind: StatementKind;
    readonly localAction: LocalAction;
    /** Argument of `localAction`; empty if it takes none. */
    readonly localArgument: string;
    readonly attributes: StatementAttributes;
    /** Name of the work class from which `targets` was taken. */
    readonly workClass: string;
    readonly targets: WorkClass;
    /** Deadline, in local monotonic time, for sending the statement to a database. */
    readonly deadlineMs: number;
    readonly inTransaction: boolean;
}

/** A statement with its kind and targets. */
export interface ClassifiedRequest extends ClassifiedBody {
    readonly kind: typeof RequestKind.Classified;
}

/** A statement within the rate of its workspace. */
export interface AdmittedRequest extends ClassifiedBody {
    readonly kind: typeof RequestKind.Admitted;
}

/** A statement that a filter refused; only the last filters of the pipe handle it. */
export interface RefusedRequest extends RequestBody {
    readonly kind: typeof RequestKind.Refused;
    readonly refusal: Refusal;
    /** Undefined if the statement was refused before it was classified. */
    readonly request: ClassifiedBody | undefined;
}

/** A statement with its outcome. */
export interface AnsweredRequest extends RequestBody {
    readonly kind: typeof RequestKind.Answered;
    readonly outcome: Outcome;
    readonly inTransaction: boolean;
    readonly request: ClassifiedBody;
    /** Local monotonic time of the first attempt to send the statement to a database; undefined without an attempt. */
    readonly startedAtMs: number | undefined;
}

/** A caller's session ended; every filter deletes its state for the connection. */
export interface SessionEnded extends Message {
    readonly kind: typeof RequestKind.SessionEnded;
    readonly connectionId: number;
    /** Answer to a statement that waits; undefined if the caller closed the connection and gets none. */
    readonly refusal?: Refusal;
}

/** Timer of a pending request: the end of a retry backoff, the waiting deadline or the answer timeout. */
export interface RetryDue extends Message {
    readonly kind: typeof RequestKind.RetryDue;
    readonly requestId: string;
}

/** Builds the refusal of a classified statement. */
export function refuseRequest(request: ClassifiedRequest | AdmittedRequest, refusal: Refusal): RefusedRequest {
    const { connectionId, sequence } = request;
    return { kind: RequestKind.Refused, connectionId, sequence, refusal, request };
}
