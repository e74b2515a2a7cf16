/** Connections of callers to entry instances. */
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

/** Opens connections; tests put a fake in its place. */
export interface Connector {
    /** @returns the connection, or the outcome that refused it */
    connect(entryIndex: number, identity: CallerIdentity, service: string): Promise<CallerConnection | CallOutcome>;
}

export function isConnection(value: CallerConnection | CallOutcome): value is CallerConnection {
    return "query" in value;
}

export class MysqlConnector implements Connector {
    private readonly entries: readonly Address[];
    private readonly timeoutMs: number;

    /** @param timeoutMs longest wait for a connection or an answer; then the outcome is unknown */
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
        const login = { user: identity.keyId, password: identity.secret, database: service };
        try {
            const connection = await mysql.createConnection({ host, port, ...login, connectTimeout: this.timeoutMs });
            return new MysqlCallerConnection(connection, this.timeoutMs);
        }
        catch (error) {
            const outcome = toErrorOutcome(error);
            // No statement was sent, whatever the reason.
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
        // An idle connection that ends raises "error"; the next statement reports it.
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
