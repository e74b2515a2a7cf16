/** Messages between the front end, which accepts connections of callers (client applications), and the request pipe. */
import type { Message } from "../pipeline/message.ts";
import type { Outcome } from "./outcome.ts";
import type { Refusal } from "./refusal.ts";

export const CallerKind = {
    Connected: "caller.connected",
    Login: "caller.login",
    Statement: "caller.statement",
    Closed: "caller.closed",
    LoginResult: "caller.login_result",
    Answer: "caller.answer",
    Disconnect: "caller.disconnect",
    DisconnectIdle: "caller.disconnect_idle",
} as const;

/** A caller opened a connection. */
export interface CallerConnected extends Message {
    readonly kind: typeof CallerKind.Connected;
    /** Unique in this process for its lifetime. */
    readonly connectionId: number;
    readonly remoteAddress: string;
}

/** A caller's handshake response, which proves that the caller knows the secret of a key without revealing it. */
export interface CallerLogin extends Message {
    readonly kind: typeof CallerKind.Login;
    readonly connectionId: number;
    /** Empty when the caller uses an open route, which needs no key. */
    readonly keyId: string;
    readonly service: string;
    /** Random challenge that the front end sent, in hexadecimal. */
    readonly challengeHex: string;
    /** The caller's response to the challenge, in hexadecimal; empty when it sent none. */
    readonly proofHex: string;
}

/** A caller sent a statement. A connection has at most one statement without an answer. */
export interface CallerStatement extends Message {
    readonly kind: typeof CallerKind.Statement;
    readonly connectionId: number;
    /** Sequence number of the statement on its connection; the answer carries the same number. */
    readonly sequence: number;
    readonly text: string;
}

export interface CallerClosed extends Message {
    readonly kind: typeof CallerKind.Closed;
    readonly connectionId: number;
}

/** Completes the handshake by accepting or refusing the caller. */
export interface CallerLoginResult extends Message {
    readonly kind: typeof CallerKind.LoginResult;
    readonly connectionId: number;
    /** Undefined when the caller was accepted. */
    readonly refusal: Refusal | undefined;
}

export interface CallerAnswer extends Message {
    readonly kind: typeof CallerKind.Answer;
    readonly connectionId: number;
    readonly sequence: number;
    readonly outcome: Outcome;
    /** Whether the session has an open transaction after this statement. */
    readonly inTransaction: boolean;
}

/** Closes a caller's connection, for example after its key was withdrawn. A statement in flight is answered first. */
export interface CallerDisconnect extends Message {
    readonly kind: typeof CallerKind.Disconnect;
    readonly connectionId: number;
    /** Also the answer to a statement that is on its way. */
    readonly refusal: Refusal;
}

/** Closes every connection that has no statement in flight and no open transaction. */
export interface CallerDisconnectIdle extends Message {
    readonly kind: typeof CallerKind.DisconnectIdle;
    /** The answer to a statement that is on its way. */
    readonly refusal: Refusal;
}
