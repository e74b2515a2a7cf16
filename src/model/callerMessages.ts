/** Messages between a front end that serves callers and the request pipe. */
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

/** A caller proves that it knows the secret of a key, without sending the secret. */
export interface CallerLogin extends Message {
    readonly kind: typeof CallerKind.Login;
    readonly connectionId: number;
    /** Empty on an open route. */
    readonly keyId: string;
    readonly service: string;
    /** Random bytes that the front end sent, hexadecimal. */
    readonly challengeHex: string;
    /** The caller's answer to the challenge, hexadecimal; empty when it sent none. */
    readonly proofHex: string;
}

/** A caller sent a statement. A connection sends the next one only after the answer. */
export interface CallerStatement extends Message {
    readonly kind: typeof CallerKind.Statement;
    readonly connectionId: number;
    /** Number of the statement on its connection; an answer repeats it. */
    readonly sequence: number;
    readonly text: string;
}

export interface CallerClosed extends Message {
    readonly kind: typeof CallerKind.Closed;
    readonly connectionId: number;
}

/** Ends the handshake. */
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
    /** The session has an open transaction after this statement. */
    readonly inTransaction: boolean;
}

/** Closes a caller's connection, for example after its key was withdrawn. */
export interface CallerDisconnect extends Message {
    readonly kind: typeof CallerKind.Disconnect;
    readonly connectionId: number;
    readonly refusal: Refusal;
}

/** Closes every connection that has no statement under way and no open transaction. */
export interface CallerDisconnectIdle extends Message {
    readonly kind: typeof CallerKind.DisconnectIdle;
}
