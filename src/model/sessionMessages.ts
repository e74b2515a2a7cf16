/** Messages between the session pipe and the front end, which owns the connections of callers. */
import type { Message } from "../pipeline/message.ts";
import type { SessionStatement, StatementAnswer, StatementFault } from "./sessionStatement.ts";

export const SessionKind = {
    Opened: "session.opened",
    Requested: "session.requested",
    Closed: "session.closed",
    Accept: "session.accept",
    Refuse: "session.refuse",
    Answer: "session.answer",
    Close: "session.close",
    /** The time limit of a session has expired. */
    LimitDue: "session.limit_due",
    /** The wait of a new session for its admission has ended. */
    AccessDue: "session.access_due",
} as const;

/** A caller connected and selected a database. */
export interface SessionOpened extends Message {
    readonly kind: typeof SessionKind.Opened;
    /** Unique in this process. */
    readonly sessionId: string;
    readonly database: string;
    readonly key: string;
}

export interface SessionRequested extends Message {
    readonly kind: typeof SessionKind.Requested;
    readonly sessionId: string;
    /** Undefined when the front end could not parse the request. */
    readonly statement: SessionStatement | undefined;
}

/** The caller closed its connection, or the connection broke. */
export interface SessionClosed extends Message {
    readonly kind: typeof SessionKind.Closed;
    readonly sessionId: string;
}

export interface SessionAccept extends Message {
    readonly kind: typeof SessionKind.Accept;
    readonly sessionId: string;
}

/** Rejects a new session: sends the fault to the caller and closes its connection. */
export interface SessionRefuse extends Message {
    readonly kind: typeof SessionKind.Refuse;
    readonly sessionId: string;
    readonly fault: StatementFault;
    readonly detail: string;
    /** Time since the policy was proved to be the newest one, for the log; undefined if the policy is not the reason. */
    readonly proofAgeMs?: number;
}

export interface SessionAnswer extends Message {
    readonly kind: typeof SessionKind.Answer;
    readonly sessionId: string;
    readonly answer: StatementAnswer;
}

export interface SessionClose extends Message {
    readonly kind: typeof SessionKind.Close;
    readonly sessionId: string;
}

export interface SessionAccessDue extends Message {
    readonly kind: typeof SessionKind.AccessDue;
    readonly sessionId: string;
}

export interface SessionLimitDue extends Message {
    readonly kind: typeof SessionKind.LimitDue;
    readonly sessionId: string;
}
