/** The admin listeners of database stand-ins, as the load tool and the scripts use them. */
import type { DatabaseCounters, DatabaseState, SqlResponse } from "../database/adminServer.ts";
import type { FaultRequest } from "../database/faults.ts";

/** Longest wait for an answer; a frozen database must not hold up the run. */
const answerTimeoutMs = 2_000;

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
        const answer = await this.fetchJson("/sql", { sql }) as SqlResponse;
        if (answer.error !== undefined) {
            throw new Error(`database at admin port ${this.port}: ${answer.error}`);
        }
        return answer;
    }

    async fault(request: FaultRequest): Promise<void> {
        await this.fetchJson("/fault", request);
    }

    private async fetchJson(path: string, body?: object): Promise<unknown> {
        const post = body === undefined ? {} : { method: "POST", body: JSON.stringify(body) };
        const signal = AbortSignal.timeout(answerTimeoutMs);
        const response = await fetch(`http://127.0.0.1:${this.port}${path}`, { ...post, signal });
        if (!response.ok) {
            throw new Error(`admin port ${this.port}: ${path} answered ${response.status}: ${await response.text()}`);
        }
        return response.json();
    }
}

/** Finds the primary of a service: of those that say so, the one with the highest term. */
export async function findPrimary(databases: readonly DatabaseAdmin[], service: string): Promise<DatabaseAdmin> {
    const answers = await Promise.allSettled(databases.map(async admin => ({ admin, state: await admin.state() })));
    const primaries = answers
        .flatMap(answer => answer.status === "fulfilled" ? [answer.value] : [])
        .filter(({ state }) => state.service === service && state.role === "primary")
        .sort((left, right) => right.state.term - left.state.term);
    if (primaries[0] === undefined) {
        throw new Error(`no reachable primary of service "${service}"`);
    }
    return primaries[0].admin;
}
