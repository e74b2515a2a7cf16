/** Client of the admin servers of database stand-ins, for the load tool and the scripts. */
import type { DatabaseCounters, DatabaseState, SqlResponse } from "../database/adminServer.ts";
import type { FaultRequest } from "../database/faults.ts";

/** Prevents an unresponsive database from blocking the run. */
const responseTimeoutMs = 2_000;

export class DatabaseAdmin {
    readonly port: number;

    constructor(port: number) {
        this.port = port;
    }

    async state(): Promise<DatabaseState> {
        return await this.fetchJson("/state") as DatabaseState;
    }

    async counters(): Promise<DatabaseCounters> {
        return await this.fetchJson("/counters") as DatabaseCounters;
    }

    /** @throws Error when the database refused the statement */
    async sql(sql: string): Promise<SqlResponse> {
        const response = await this.fetchJson("/sql", { sql }) as SqlResponse;
        if (response.error !== undefined) {
            throw new Error(`database at admin port ${this.port}: ${response.error}`);
        }
        return response;
    }

    async fault(request: FaultRequest): Promise<void> {
        await this.fetchJson("/fault", request);
    }

    private async fetchJson(path: string, body?: object): Promise<unknown> {
        const requestOptions = body === undefined ? {} : { method: "POST", body: JSON.stringify(body) };
        const signal = AbortSignal.timeout(responseTimeoutMs);
        const response = await fetch(`http://127.0.0.1:${this.port}${path}`, { ...requestOptions, signal });
        if (!response.ok) {
            throw new Error(`admin port ${this.port}: ${path} answered ${response.status}: ${await response.text()}`);
        }
        return response.json();
    }
}

/** Finds the primary of a service: the database with the highest term among those in the primary role. */
export async function findPrimary(databases: readonly DatabaseAdmin[], service: string): Promise<DatabaseAdmin> {
    const responses = await Promise.allSettled(databases.map(async admin => ({ admin, state: await admin.state() })));
    const primaries = responses
        .flatMap(response => response.status === "fulfilled" ? [response.value] : [])
        .filter(({ state }) => state.service === service && state.role === "primary")
        .sort((left, right) => right.state.term - left.state.term);
    if (primaries[0] === undefined) {
        throw new Error(`no reachable primary of service "${service}"`);
    }
    return primaries[0].admin;
}
