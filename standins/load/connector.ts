/** Connects callers to entry instances. */
import mysql from "mysql2/promise";
import { type Address, parseAddress } from "../database/address.ts";
import { type CallOutcome, doneOutcome, errorOutcome, OutcomeKind, toErrorOutcome } from "./callOutcome.ts";

export interface CallerIdentity {
    readonly keyId: string;
    readonly secret: string;
    readonly workspace: string;
}

export interface CallerConnection {
    query(sql: string): Promise<CallOutcome>;
    close(): void;
}

/** Opens connections; tests replace it with a fake. */
export interface Connector {
    /** @returns the connection, or the outcome with which it was refused */
    connect(entryIndex: number, identity: CallerIdentity, service: string): Promise<CallerConnection | CallOutcome>;
}

export function isConnection(value: CallerConnection | CallOutcome): value is CallerConnection {
    return "query" in value;
}

export class MysqlConnector implements Connector {
    private readonly entries: readonly Address[];
    private readonly timeoutMs: number;

    /** @param timeoutMs timeout of a connection attempt and of a statement, whose outcome is then unknown */
    constructor(entries: readonly string[], timeoutMs: number) {
        this.entries = entries.map(parseAddress);
        this.timeoutMs = timeoutMs;
    }

    async connect(
        entryIndex: number,
        identity: CallerIdentity,
        service: string,
    ): Promise<CallerConnection | CallOutcome> {
        const { host, port } = this.entries[entryIndex % this.entries.length]!;
        const credentials = { user: identity.keyId, password: identity.secret, database: service };
        try {
            const connection = await mysql.createConnection({
                host,
                port,
                ...credentials,
                connectTimeout: this.timeoutMs,
            });
            return new MysqlCallerConnection(connection, this.timeoutMs);
        }
        catch (error) {
            const outcome = toErrorOutcome(error);
            // Whatever the error, no statement was sent.
            return errorOutcome(OutcomeKind.NotRun, outcome.code, { step: outcome.step, connectionLost: true });
        }
    }
}

class MysqlCallerConnection implements CallerConnection {
    private readonly connection: mysql.Connection;
    private readonly timeoutMs: number;

    constructor(connection: mysql.Connection, timeoutMs: number) {
        this.connection = connection;
        this.timeoutMs = timeoutMs;
        // An idle connection that is lost raises "error"; the next statement reports the loss.
        connection.on("error", () => undefined);
    }

    async query(sql: string): Promise<CallOutcome> {
        try {
            const [result] = await this.connection.query({ sql, timeout: this.timeoutMs });
            if (Array.isArray(result)) {
                return doneOutcome(result as Record<string, unknown>[], 0);
            }
            return doneOutcome([], result.affectedRows);
        }
        catch (error) {
            return toErrorOutcome(error);
        }
    }

    close(): void {
        this.connection.destroy();
    }
}
