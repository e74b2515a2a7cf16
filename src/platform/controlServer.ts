/** HTTP calls of operators and databases to a control member. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import {
    type DocumentAnswered,
    DocumentKind,
    type DocumentPut,
    type DocumentRead,
    DocumentResult,
} from "../model/document.ts";
import { type DatabaseLeft, type DatabaseReported, FleetKind } from "../model/fleetMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import { decodeReport } from "./databaseReportCodec.ts";
import { decodeDocument, encodeDocument, InvalidDocument } from "./documentCodec.ts";

/** Above the largest configuration of thousands of routes. */
const maximumBodyBytes = 8 * 1_048_576;

/** A body that comes slower than this is given up; large ones take a second. */
const bodyLimitMs = 10_000;

/** Time that calls under way have when the process stops; above the time of a configuration or a read without a majority. */
const lastCallsMs = 2_000;

const heartbeatPath = "/-/Instances.Heartbeat/";
const leavePath = "/-/Instances.Leave/";
const putPath = "/-/Config.Put";
const getPath = "/-/Config.Get";

export interface ControlServerOptions {
    readonly host: string;
    readonly port: number;
    readonly post: (message: Message) => void;
}

interface PendingRequest {
    readonly response: ServerResponse;
    readonly path: string;
}

export class ControlServer implements Sink<DocumentAnswered>, AsyncDisposable {
    readonly accepts = [DocumentKind.Answered];
    private readonly options: ControlServerOptions;
    private readonly server: Server;
    private readonly pending = new Map<string, PendingRequest>();
    /** Calls without an answer, those whose body is on its way included. */
    private readonly open = new Set<ServerResponse>();
    private stopped: Promise<void> | undefined;
    private nextRequest = 0;

    constructor(options: ControlServerOptions) {
        this.options = options;
        this.server = createServer(
            { requestTimeout: bodyLimitMs, keepAliveTimeout: 30_000 },
            (request, response) => {
                this.open.add(response);
                response.once("close", () => this.open.delete(response));
                this.route(request, response);
            },
        );
    }

    listen(): Promise<void> {
        const { host, port } = this.options;
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen({ host, port, backlog: 511 }, resolve);
        });
    }

    deliver({ requestId, result, document, leaderAddress }: DocumentAnswered): void {
        const request = this.pending.get(requestId);
        if (request === undefined) {
            return;
        }
        this.pending.delete(requestId);
        const { response, path } = request;
        switch (result) {
            case DocumentResult.Accepted:
                return answer(response, 200, "{}");
            case DocumentResult.Found:
                return answer(response, 200, encodeDocument(document!));
            case DocumentResult.Redirect:
                response.setHeader("Location", `http://${this.controlAddress(leaderAddress!)}${path}`);
                return answer(response, 307, "{}");
            case DocumentResult.Unavailable:
                return answer(response, 503, "{\"error\":\"no majority answers; send it again\"}");
        }
    }

    /** Takes no new calls, and resolves when those under way have their answers, or their time is up. */
    stop(): Promise<void> {
        this.stopped ??= this.finish();
        return this.stopped;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.server.close();
        this.server.closeAllConnections();
    }

    private finish(): Promise<void> {
        // A connection that stays open behind its last answer would hold up the end.
        this.open.forEach(response => response.shouldKeepAlive = false);
        return new Promise(resolve => {
            const timer = setTimeout(resolve, lastCallsMs);
            this.server.close(() => {
                clearTimeout(timer);
                resolve();
            });
        });
    }

    private route(request: IncomingMessage, response: ServerResponse): void {
        const { method = "", url = "" } = request;
        if (this.stopped !== undefined) {
            response.shouldKeepAlive = false;
            answer(response, 503, "{\"error\":\"this member stops; send the call to another one\"}");
            return;
        }
        if (method === "GET" && url === getPath) {
            const requestId = this.remember(response, url);
            this.options.post({ kind: DocumentKind.Read, requestId } as DocumentRead);
            return;
        }
        if (method !== "POST" || !(url === putPath || url.startsWith(heartbeatPath) || url.startsWith(leavePath))) {
            answer(response, 404, "{\"error\":\"unknown call\"}");
            return;
        }
        readBody(request, (body, fault) => {
            if (fault !== undefined) {
                answer(response, fault, "{\"error\":\"the body is too large or incomplete\"}");
            }
            else {
                this.receive(url, body, response);
            }
        });
    }

    private receive(url: string, body: string, response: ServerResponse): void {
        if (url === putPath) {
            this.put(body, response);
        }
        else if (url.startsWith(heartbeatPath)) {
            const report = decodeReport(decodeId(url.slice(heartbeatPath.length)), body, Date.now());
            if (report !== undefined) {
                this.options.post({ kind: FleetKind.DatabaseReported, report } as DatabaseReported);
            }
            answer(response, report === undefined ? 400 : 200, "{}");
        }
        else {
            const databaseId = decodeId(url.slice(leavePath.length));
            this.options.post({ kind: FleetKind.DatabaseLeft, databaseId } as DatabaseLeft);
            answer(response, 200, "{}");
        }
    }

    private put(body: string, response: ServerResponse): void {
        try {
            const document = decodeDocument(body);
            const requestId = this.remember(response, putPath);
            this.options.post({ kind: DocumentKind.Put, requestId, document } as DocumentPut);
        }
        catch (error) {
            if (!(error instanceof InvalidDocument)) {
                throw error;
            }
            answer(response, 400, JSON.stringify({ error: error.message }));
        }
    }

    private remember(response: ServerResponse, path: string): string {
        const requestId = `h${this.nextRequest++}`;
        this.pending.set(requestId, { response, path });
        response.once("close", () => this.pending.delete(requestId));
        return requestId;
    }

    /** Ports are the same on all machines, so only the host of the leader differs. */
    private controlAddress(rpcAddress: string): string {
        return `${rpcAddress.slice(0, rpcAddress.lastIndexOf(":"))}:${this.options.port}`;
    }
}

function decodeId(text: string): string {
    try {
        return decodeURIComponent(text);
    }
    catch {
        // Not an encoded text; the id is taken as it is.
        return text;
    }
}

function answer(response: ServerResponse, status: number, body: string): void {
    response.writeHead(status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(body) });
    response.end(body);
}

/** @param done gets the body, or the status to refuse it with */
function readBody(request: IncomingMessage, done: (body: string, fault: number | undefined) => void): void {
    const chunks: Buffer[] = [];
    let bytes = 0;
    let refused = false;
    request.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > maximumBodyBytes && !refused) {
            refused = true;
            done("", 413);
        }
        else if (!refused) {
            chunks.push(chunk);
        }
    });
    request.on("end", () => {
        if (!refused) {
            done(Buffer.concat(chunks).toString("utf8"), undefined);
        }
    });
    // The sender is gone, so nobody waits for an answer.
    request.on("error", () => {
        refused = true;
    });
}
