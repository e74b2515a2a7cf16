/** Messages inside the request pipe. Each filter adds what it found out. */
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

/** Work that the entry instance does itself. */
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

/** A statement whose caller is known. */
export interface AuthenticatedRequest extends RequestBody {
    readonly kind: typeof RequestKind.Authenticated;
    /** Key id; empty on an open route. */
    readonly callerId: string;
    readonly workspace: string;
    readonly service: string;
    /** As the caller sent it, comments included. */
    readonly text: string;
    readonly arrivedAtMs: number;
}

interface ClassifiedBody extends Omit<AuthenticatedRequest, "kind"> {
    /** Free of comments; never carries an attribute or key to a database. */
    readonly text: string;
    readonly statementKind: StatementKind;
    readonly localAction: LocalAction;
    /** Argument of `localAction`; empty when it takes none. */
    readonly localArgument: string;
    readonly attributes: StatementAttributes;
    /** Name of `targets`. */
    readonly workClass: string;
    readonly targets: WorkClass;
    /** Local monotonic time by which the statement must have been sent to a database. */
    readonly deadlineMs: number;
    readonly inTransaction: boolean;
}

/** A statement whose kind and targets are known. */
export interface ClassifiedRequest extends ClassifiedBody {
    readonly kind: typeof RequestKind.Classified;
}

/** A statement that is within its workspace's rate. */
export interface AdmittedRequest extends ClassifiedBody {
    readonly kind: typeof RequestKind.Admitted;
}

/** A statement that a filter refused; only the last filters take it. */
export interface RefusedRequest extends RequestBody {
    readonly kind: typeof RequestKind.Refused;
    readonly refusal: Refusal;
    /** Undefined when the statement was refused before it was classified. */
    readonly request: ClassifiedBody | undefined;
}

/** A statement with its outcome. */
export interface AnsweredRequest extends RequestBody {
    readonly kind: typeof RequestKind.Answered;
    readonly outcome: Outcome;
    readonly inTransaction: boolean;
    readonly request: ClassifiedBody;
    /** Local monotonic time at which it was first sent towards a database; undefined if it never was. */
    readonly startedAtMs: number | undefined;
}

/** A caller's connection ended; every filter drops what it keeps for it. */
export interface SessionEnded extends Message {
    readonly kind: typeof RequestKind.SessionEnded;
    readonly connectionId: number;
}

/** The backoff of a request that was not run has passed. */
export interface RetryDue extends Message {
    readonly kind: typeof RequestKind.RetryDue;
    readonly requestId: string;
}

/** Builds the refusal of a classified statement. */
export function refuseRequest(request: ClassifiedRequest | AdmittedRequest, refusal: Refusal): RefusedRequest {
    const { connectionId, sequence } = request;
    return { kind: RequestKind.Refused, connectionId, sequence, refusal, request };
}
