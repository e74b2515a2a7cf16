/** Admin interface for tests, JSON over HTTP on loopback: inspects a database, runs SQL and injects faults. */
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { toDatabaseError } from "./databaseError.ts";
import type { DatabaseNode } from "./databaseNode.ts";
import type { FaultRequest, Faults } from "./faults.ts";
import type { MysqlListener } from "./mysqlListener.ts";
import { Session, type SessionOptions, type StatementCounters } from "./session.ts";

/** Response to `GET /counters`. */
export interface DatabaseCounters extends StatementCounters {
    readonly databaseId: string;
    readonly service: string;
    readonly role: string;
}

/** Response to `GET /state`. */
export interface DatabaseState extends DatabaseCounters {
    /** Current term, which only promote and follow orders raise. */
    readonly term: number;
    readonly position: { readonly term: number; readonly offset: number; };
    readonly contentHash: string;
    readonly connections: number;
}

/** Response to `POST /sql`. */
export interface SqlResponse {
    readonly columns: readonly string[];
    readonly rows: readonly (readonly unknown[])[];
    readonly affectedRows: number;
    readonly error?: string;
    readonly errno?: number;
}

export interface AdminServerOptions extends SessionOptions {
    readonly port: number;
    readonly databaseId: string;
    readonly service: string;
    readonly node: DatabaseNode;
    readonly faults: Faults;
    readonly listener: MysqlListener;
}

export class AdminServer implements AsyncDisposable {
    private readonly options: AdminServerOptions;
    private readonly server: Server;

    private constructor(options: AdminServerOptions) {
        this.options = options;
        this.server = createServer((request, response) => void this.handleHttpRequest(request, response));
    }

    static async open(options: AdminServerOptions): Promise<AdminServer> {
        const admin = new AdminServer(options);
        admin.server.listen(options.port, "127.0.0.1");
        await once(admin.server, "listening");
        return admin;
    }

    get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.server.closeAllConnections();
        await new Promise<void>(resolve => this.server.close(() => resolve()));
    }

    private async handleHttpRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        try {
            const result = await this.handleRequest(`${request.method} ${request.url}`, await readBody(request));
            response.writeHead(result === undefined ? 404 : 200, { "content-type": "application/json" });
            response.end(JSON.stringify(result ?? { error: "not found" }));
        }
        catch (error) {
            response.writeHead(400, { "content-type": "application/json" });
            response.end(JSON.stringify({ error: String(error) }));
        }
    }

    private async handleRequest(route: string, body: string): Promise<object | undefined> {
        switch (route) {
            case "GET /state":
                return this.state();
            case "GET /counters":
                return this.counters();
            case "POST /sql":
                return this.runSql((JSON.parse(body) as { sql: string; }).sql);
            case "POST /fault":
                this.options.faults.apply(JSON.parse(body) as FaultRequest, this.options.listener);
                return {};
            default:
                return undefined;
        }
    }

    private counters(): DatabaseCounters {
        const { node, counters, databaseId, service } = this.options;
        return { databaseId, service, role: node.role, ...counters };
    }

    private state(): DatabaseState {
        const { node, listener } = this.options;
        return {
            ...this.counters(),
            term: node.term,
            position: node.position,
            contentHash: node.store.contentHash(),
            connections: listener.connectionCount,
        };
    }

    // Uses counters of its own so that a test's setup and checks do not count as reads of the callers.
    private async runSql(sql: string): Promise<SqlResponse> {
        const session = new Session({ ...this.options, counters: { reads: 0, writes: 0 } });
        try {
            const { columns, rows, affectedRows } = await session.run(sql);
            return { columns, rows, affectedRows };
        }
        catch (error) {
            const { message, errno } = toDatabaseError(error);
            return { columns: [], rows: [], affectedRows: 0, error: message, errno };
        }
    }
}

async function readBody(request: IncomingMessage): Promise<string> {
    let body = "";
    for await (const chunk of request) {
        body += String(chunk);
    }
    return body;
}
