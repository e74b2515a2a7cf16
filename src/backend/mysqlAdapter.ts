/** MySQL connections with mysql2, opened individually and without its connection pool. */
import { type Connection, createConnection, type FieldPacket, type QueryError } from "mysql2";
import { type Column, type Outcome, OutcomeKind } from "../model/outcome.ts";
import { RefusalCode, refuse } from "../model/refusal.ts";
import { parseAddress } from "../model/socketAddress.ts";
import type { DatabaseAdapter, DatabaseConnection } from "./databaseAdapter.ts";
import { fixSessionSettings } from "./sessionSettings.ts";

export interface MysqlAdapterOptions {
    /** Database user of jasmineline; a caller's key is never sent to a database. */
    readonly user: string;
    readonly password: string;
}

/** Statements after which a transaction is open or none is, with the default `completion_type`. */
const beginPattern = /^\s*(BEGIN(\s+WORK)?|START\s+TRANSACTION)\s*;?\s*$/i;
const endPattern = /^\s*(COMMIT|ROLLBACK)(\s+WORK)?\s*;?\s*$/i;

/** Orders to a database and settings of the connection, which return no rows. */
const orderPattern = /^(JASMINE|SET) /;

const transactionStatusBit = 1;
const binaryCharacterSet = 63;
const deadlockErrno = 1213;

export class MysqlAdapter implements DatabaseAdapter {
    private readonly options: MysqlAdapterOptions;

    constructor(options: MysqlAdapterOptions) {
        this.options = options;
    }

    open(address: string, timeoutMs: number, onEnd: (reason: string) => void): Promise<DatabaseConnection> {
        const target = parseAddress(address);
        if (target === undefined) {
            return Promise.reject(new Error(`peer=${address}: not an address of a database`));
        }
        const connection = createConnection({
            ...target,
            user: this.options.user,
            password: this.options.password,
            connectTimeout: timeoutMs,
            charset: "utf8mb4_general_ci",
            multipleStatements: false,
            enableKeepAlive: true,
        });
        return new Promise((resolve, reject) => {
            let isOpen = false;
            const fail = (error: Error): void => {
                clearTimeout(timer);
                connection.destroy();
                reject(error);
            };
            const timer = setTimeout(() => fail(new Error("no answer to the settings (ETIMEDOUT)")), timeoutMs);
            connection.once("error", fail);
            connection.once("connect", () => {
                connection.removeListener("error", fail);
                const opened = new MysqlConnection(
                    connection,
                    reason => isOpen ? onEnd(reason) : fail(new Error(reason)),
                );
                fixSessionSettings(opened).then(() => {
                    clearTimeout(timer);
                    isOpen = true;
                    resolve(opened);
                }, fail);
            });
        });
    }
}

/** Property that the types of mysql2 omit: the status flags of the last OK or EOF packet. */
interface WithServerStatus {
    readonly serverStatus?: number;
}

class MysqlConnection implements DatabaseConnection {
    private readonly connection: Connection;
    private readonly onEnd: (reason: string) => void;
    private ended = false;
    private transactionOpen = false;

    constructor(connection: Connection, onEnd: (reason: string) => void) {
        this.connection = connection;
        this.onEnd = onEnd;
        connection.on("error", error => this.handleEnd(error.message));
        connection.on("end", () => this.handleEnd("closed by the database"));
        // A packet out of sequence belongs to an earlier command or is a repetition; mysql2 only warns of it.
        connection.on("warn", error => this.handleEnd(error.message));
    }

    get inTransaction(): boolean {
        return this.transactionOpen;
    }

    execute(text: string): Promise<Outcome> {
        return new Promise((resolve, reject) => {
            const query = { sql: text, rowsAsArray: true, typeCast: false };
            this.connection.query(query, (error, result, fields) => {
                const failure = error ?? undefined;
                if (failure !== undefined && isConnectionError(failure)) {
                    this.handleEnd(failure.message);
                    reject(failure);
                    return;
                }
                this.updateTransactionState(failure);
                const outcome = failure === undefined ? decodeResult(result, fields) : decodeError(failure);
                if (isForeignAnswer(text, outcome, this.transactionOpen)) {
                    const reason = "the answer belongs to another statement; the outcome is unknown";
                    this.handleEnd(reason);
                    reject(new Error(reason));
                    return;
                }
                resolve(outcome);
            });
        });
    }

    destroy(): void {
        this.connection.destroy();
        this.handleEnd("closed by the holder");
    }

    private updateTransactionState(error: QueryError | undefined): void {
        if (error === undefined) {
            const status = (this.connection as unknown as WithServerStatus).serverStatus ?? 0;
            this.transactionOpen = (status & transactionStatusBit) !== 0;
        }
        else if (error.errno === deadlockErrno) {
            // An error packet contains no status flags; a deadlock is the error that rolls back the whole transaction.
            this.transactionOpen = false;
        }
    }

    private handleEnd(reason: string): void {
        if (!this.ended) {
            this.ended = true;
            this.connection.destroy();
            this.onEnd(reason);
        }
    }
}

/**
 * Whether a result cannot be that of the statement. Answers are matched to statements by their order, so a repeated
 * answer would be taken for that of the next statement; here it would show a transaction in the wrong state, or an
 * order as carried out.
 */
function isForeignAnswer(text: string, outcome: Outcome, transactionOpen: boolean): boolean {
    if (outcome.kind === OutcomeKind.Rows && orderPattern.test(text)) {
        return true;
    }
    const begins = beginPattern.test(text);
    if (outcome.kind === OutcomeKind.Refused || !begins && !endPattern.test(text)) {
        return false;
    }
    return outcome.kind !== OutcomeKind.Done || transactionOpen !== begins;
}

// An error without an SQL state originates in the driver or the socket, not in the database.
function isConnectionError(error: QueryError): boolean {
    return error.fatal || error.sqlState === undefined;
}

function decodeError(error: QueryError): Outcome {
    const parts = { detail: error.message, databaseErrno: error.errno };
    return { kind: OutcomeKind.Refused, refusal: refuse(RefusalCode.DatabaseFailed, "execute", parts) };
}

function decodeResult(result: unknown, fields: FieldPacket[] | undefined): Outcome {
    if (fields === undefined || !Array.isArray(result)) {
        const header = result as { affectedRows: number | string; insertId: number | string; };
        return {
            kind: OutcomeKind.Done,
            affectedRows: Number(header.affectedRows),
            insertId: Number(header.insertId),
        };
    }
    const columns = fields.map(decodeColumn);
    const rows = (result as (Buffer | undefined)[][]).map(row =>
        row.map((cell, index) => decodeCell(cell ?? undefined, columns[index]!))
    );
    return { kind: OutcomeKind.Rows, columns, rows };
}

function decodeColumn(field: FieldPacket): Column {
    return {
        name: field.name,
        type: field.columnType ?? 0,
        characterSet: field.characterSet ?? binaryCharacterSet,
        flags: typeof field.flags === "number" ? field.flags : 0,
    };
}

function decodeCell(cell: Buffer | undefined, column: Column): string | undefined {
    return cell?.toString(column.characterSet === binaryCharacterSet ? "latin1" : "utf8");
}
