/** Types for the part of mysql2's server side that the front end uses; the library does not declare them. */
import mysql from "mysql2";
import type { EventEmitter } from "node:events";
import type { Socket } from "node:net";

export interface AuthenticationParameters {
    readonly user?: string;
    readonly database?: string;
    readonly authPluginData1: Buffer;
    readonly authPluginData2: Buffer;
    readonly authToken: Buffer | undefined;
}

export interface ServerError {
    readonly code: number;
    readonly message: string;
}

export type AuthenticationCallback = (
    error: Error | undefined,
    refusal?: ServerError,
) => void;

export interface ColumnDefinition {
    readonly catalog: string;
    readonly schema: string;
    readonly table: string;
    readonly orgTable: string;
    readonly name: string;
    readonly orgName: string;
    readonly characterSet: number;
    readonly columnLength: number;
    readonly columnType: number;
    readonly flags: number;
    readonly decimals: number;
}

export interface ServerConnection extends EventEmitter {
    sequenceId: number;
    /** Defined once the handshake has started; `encoding` is the encoding of written cells. */
    readonly serverConfig: { encoding: string; };
    /** Defined once the caller has answered the handshake; `encoding` is the encoding of its statements. */
    readonly clientHelloReply: { encoding: string | undefined; };
    readonly stream: Socket;
    serverHandshake(options: {
        readonly protocolVersion: number;
        readonly serverVersion: string;
        readonly connectionId: number;
        readonly statusFlags: number;
        readonly characterSet: number;
        readonly capabilityFlags: number;
        readonly authCallback: (parameters: AuthenticationParameters, done: AuthenticationCallback) => void;
    }): void;
    writeOk(options?: {
        readonly affectedRows?: number;
        readonly insertId?: number;
        readonly serverStatus?: number;
    }): void;
    writeError(error: ServerError): void;
    writeColumns(columns: readonly ColumnDefinition[]): void;
    writeTextRow(row: readonly unknown[]): void;
    writeEof(warnings?: number, statusFlags?: number): void;
}

/** Wraps an accepted socket in the server side of a mysql2 connection. */
export function toServerConnection(socket: Socket): ServerConnection {
    return mysql.createConnection({ stream: socket, isServer: true } as object) as unknown as ServerConnection;
}
