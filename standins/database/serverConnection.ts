/** Server side of a MySQL connection, based on mysql2. */
import mysql from "mysql2";
import type { EventEmitter } from "node:events";
import type { Socket } from "node:net";
import { DatabaseError } from "./databaseError.ts";
import type { StatementResult } from "./sqlStore.ts";

/** Login data that mysql2 passes to `authCallback`. */
export interface Login {
    readonly user: string;
    readonly authPluginData1: Buffer;
    readonly authPluginData2: Buffer;
    readonly authToken: Buffer | undefined;
}

/** Server methods of a mysql2 connection, which the type declarations of mysql2 omit. */
export interface ServerConnection extends EventEmitter {
    sequenceId: number;
    readonly stream: Socket;
    writeOk(options: { affectedRows: number; insertId: number; serverStatus: number; warningCount: number; }): void;
    writeError(options: { message: string; code: number; }): void;
    writeColumns(columns: readonly object[]): void;
    writeTextRow(cells: readonly unknown[]): void;
    writeEof(warnings: number, statusFlags: number): void;
    serverHandshake(parameters: object): void;
}

/** Creates the server side of a connection on an accepted socket. */
export function toServerConnection(socket: Socket): ServerConnection {
    return mysql.createConnection({ stream: socket, isServer: true }) as unknown as ServerConnection;
}

// Capabilities that the server side of mysql2 implements. SSL, compression, multiple statements and results, session
// tracking, OK packets in place of EOF and query attributes are among those that it does not.
const Capability = {
    LongPassword: 1,
    FoundRows: 1 << 1,
    LongFlag: 1 << 2,
    ConnectWithDatabase: 1 << 3,
    Protocol41: 1 << 9,
    Transactions: 1 << 13,
    SecureConnection: 1 << 15,
    PluginAuth: 1 << 19,
    ConnectAttributes: 1 << 20,
    PluginAuthLenencData: 1 << 21,
} as const;
const capabilityFlags = Object.values(Capability).reduce((flags, flag) => flags | flag, 0);

const utf8mb4 = 45;
const binaryCharacterSet = 63;

const ServerStatus = { InTransaction: 0x0001, Autocommit: 0x0002 } as const;
const ColumnType = { Double: 5, LongLong: 8, VarString: 253 } as const;

type AuthCallback = (error: undefined, loginError?: { message: string; code: number; }) => void;

/**
 * Sends the initial handshake packet and authenticates the client.
 * @param checkLogin returns the error with which the login is rejected, or undefined
 */
export function startHandshake(
    connection: ServerConnection,
    connectionId: number,
    checkLogin: (login: Login) => DatabaseError | undefined,
): void {
    connection.serverHandshake({
        protocolVersion: 10,
        serverVersion: "8.0.36-jasmine-standin",
        connectionId,
        statusFlags: ServerStatus.Autocommit,
        characterSet: utf8mb4,
        capabilityFlags,
        authCallback: (login: Login, done: AuthCallback) => {
            const loginError = checkLogin(login);
            done(undefined, loginError && { message: loginError.message, code: loginError.errno });
            connection.sequenceId = 0;
        },
    });
}

/** Sends the result of a statement, with status flags that tell the client whether a transaction is open. */
export function writeResult(connection: ServerConnection, result: StatementResult, inTransaction: boolean): void {
    const status = statusFlags(inTransaction);
    // Sends the response as one write, because mysql2 writes each packet separately.
    connection.stream.cork();
    if (result.columns.length === 0) {
        const { affectedRows, insertId } = result;
        connection.writeOk({ affectedRows, insertId, serverStatus: status, warningCount: 0 });
    }
    else {
        connection.writeColumns(result.columns.map((name, index) => columnDefinition(name, result, index)));
        result.rows.forEach(row => connection.writeTextRow(row));
        connection.writeEof(0, status);
    }
    connection.stream.uncork();
    connection.sequenceId = 0;
}

export function writeErrorResponse(connection: ServerConnection, error: DatabaseError): void {
    connection.writeError({ message: error.message, code: error.errno });
    connection.sequenceId = 0;
}

function statusFlags(inTransaction: boolean): number {
    return ServerStatus.Autocommit | (inTransaction ? ServerStatus.InTransaction : 0);
}

function columnDefinition(name: string, result: StatementResult, index: number): object {
    const columnType = columnTypeOf(result, index);
    return {
        catalog: "def",
        schema: "",
        table: "",
        orgTable: "",
        name,
        orgName: name,
        characterSet: columnType === ColumnType.VarString ? utf8mb4 : binaryCharacterSet,
        columnLength: 255,
        columnType,
        flags: 0,
        decimals: 0,
    };
}

// SQLite types values rather than columns, so the first value that is not NULL determines the column type.
function columnTypeOf(result: StatementResult, index: number): number {
    const firstValue = result.rows.map(row => row[index]).find(cell => (cell ?? undefined) !== undefined);
    if (typeof firstValue !== "number") {
        return ColumnType.VarString;
    }
    return Number.isInteger(firstValue) ? ColumnType.LongLong : ColumnType.Double;
}
