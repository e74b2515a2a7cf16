/** Messages between the session pipe and the front end, which owns the connections of callers. */
import type { Message } from "../pipeline/message.ts";
import type { SessionStatement, StatementAnswer, StatementFault, TransactionState } from "./sessionStatement.ts";

export const SessionKind = {
    Opened: "session.opened",
    Requested: "session.requested",
    Closed: "session.closed",
    Accept: "session.accept",
    Refuse: "session.refuse",
    Answer: "session.answer",
    /** The caller is told that its idle session ends. */
    Ending: "session.ending",
    Close: "session.close",
    /** A message of a caller was refused as malformed, or its connection was closed because of it. */
    MessageRefused: "session.message_refused",
    /** An answer could not be written to the caller, whose connection was closed. */
    AnswerRefused: "session.answer_refused",
    /** The time limit of a session has expired. */
    LimitDue: "session.limit_due",
    /** The wait of a new session for its admission has ended. */
    AccessDue: "session.access_due",
    /** The sessions of a stopping instance have reached the next phase; for the log. */
    StopProgressed: "session.stop_progressed",
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

/**
 * Tells the caller of an idle session that the session ends: the fault is the answer to a request that is already on its
 * way. The connection stays open until the caller closes it, and the front end refuses what it reads there.
 */
export interface SessionEnding extends Message {
    readonly kind: typeof SessionKind.Ending;
    readonly sessionId: string;
    /** Promises that nothing was run. */
    readonly fault: StatementFault;
    readonly detail: string;
    /** State in which the session ends. */
    readonly transaction: TransactionState;
}

export interface SessionClose extends Message {
    readonly kind: typeof SessionKind.Close;
    readonly sessionId: string;
}

export const MessageDefect = {
    /** Longer than the protocol allows; closes the connection, because the next message cannot be found reliably. */
    TooLong: "too_long",
    /** Sent before CONNECT; closes the connection. */
    NotConnected: "not_connected",
    /** The kind of the message does not exist, or is not allowed here. */
    UnknownKind: "unknown_kind",
    /** No valid statement of the protocol, or one that is too long to be forwarded. */
    InvalidStatement: "invalid_statement",
    /** No CONNECT in time, or too many connections without one; closes the connection. */
    NotOpened: "not_opened",
    /** Begun and not complete in time; closes the connection. */
    Incomplete: "incomplete",
    /** The largest incomplete message when all of them exceed their memory; closes the connection. */
    MemoryExceeded: "memory_exceeded",
    /** The connection exceeds the number that the listener keeps; it is told so and closed. */
    TooManyConnections: "too_many_connections",
} as const;
export type MessageDefect = typeof MessageDefect[keyof typeof MessageDefect];

export interface SessionMessageRefused extends Message {
    readonly kind: typeof SessionKind.MessageRefused;
    readonly sessionId: string;
    readonly defect: MessageDefect;
    /** Size of the message without its terminator; of a message that is too long, the part that was received. */
    readonly bytes: number;
}

export interface SessionAnswerRefused extends Message {
    readonly kind: typeof SessionKind.AnswerRefused;
    readonly sessionId: string;
    readonly reason: string;
}

export interface SessionAccessDue extends Message {
    readonly kind: typeof SessionKind.AccessDue;
    readonly sessionId: string;
}

export interface SessionLimitDue extends Message {
    readonly kind: typeof SessionKind.LimitDue;
    readonly sessionId: string;
}

export const StopPhase = {
    /** Sessions end as soon as they are idle. */
    LastStep: "last_step",
    /** The time for answers is over. */
    Deadline: "deadline",
    /** No session is left but those whose callers have been told the end and have not closed by the deadline. */
    Ended: "ended",
} as const;
export type StopPhase = typeof StopPhase[keyof typeof StopPhase];

export interface SessionStopProgressed extends Message {
    readonly kind: typeof SessionKind.StopProgressed;
    readonly phase: StopPhase;
    /** Counts before the phase takes effect. */
    readonly sessions: number;
    readonly running: number;
    readonly transactions: number;
    /** Requests that stood in the queue of the event loop behind the end of their session, since the start of the stop. */
    readonly crossed: number;
}
