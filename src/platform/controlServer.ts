/** HTTP API of a control member for operators and databases. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { ControlKind, type ControlLeaderChanged } from "../model/controlMessages.ts";
import {
    type ConfigurationDocument,
    type DocumentAnswered,
    DocumentKind,
    type DocumentPut,
    type DocumentRead,
    DocumentResult,
} from "../model/document.ts";
import {
    EvacuationAction,
    type EvacuationAnswered,
    EvacuationKind,
    type EvacuationOrdered,
    EvacuationResult,
} from "../model/evacuation.ts";
import { type DatabaseLeft, type DatabaseReported, FleetKind } from "../model/fleetMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import { decodeDatabaseReport, decodeDepartedId, decodeDepartedStart } from "./databaseReportCodec.ts";
import { decodeDocument, encodeDocument, InvalidDocumentError } from "./documentCodec.ts";
import { decodeUtf8 } from "./jsonText.ts";

/** Larger than a configuration with thousands of routes. */
const maximumDocumentBytes = 8 * 1_048_576;

/** Reports of databases have some hundred bytes. */
const maximumReportBytes = 65_536;

/** Time within which a request must be received completely; large bodies take a second. */
const defaultBodyTimeoutMs = 10_000;

/** Time for in-flight requests at shutdown; longer than a configuration write or read takes without a majority. */
const stopTimeoutMs = 2_000;

/** Shortest time from the stop to the close of idle connections, on which a request may be on its way. */
const idleCloseDelayMs = 500;

/** Time for the last answers to reach their callers. */
const lastAnswersMs = 250;

/**
 * Time without a leader after which heartbeats are answered with 503, so that a database calls another member. This
 * member may have been removed or cut off, and then nobody learns from its reports. Longer than an election, because
 * databases call less and less often after a failure.
 */
const leaderlessHeartbeatsMs = 3_000;

const stoppingBody = "{\"error\":\"this member stops; send the call to another one\"}";

const heartbeatPath = "/-/Instances.Heartbeat/";
const leavePath = "/-/Instances.Leave/";
const evacuationPaths: readonly (readonly [path: string, action: EvacuationAction])[] = [
    ["/-/Evacuations.Begin/", EvacuationAction.Begin],
    ["/-/Evacuations.End/", EvacuationAction.End],
];
const putPath = "/-/Config.Put";
const getPath = "/-/Config.Get";

export interface ControlServerOptions {
    readonly host: string;
    readonly port: number;
    readonly post: (message: Message) => void;
    readonly bodyTimeoutMs?: number;
}

interface PendingRequest {
    readonly response: ServerResponse;
    readonly path: string;
}

export class ControlServer
    implements Sink<DocumentAnswered | EvacuationAnswered | ControlLeaderChanged>, AsyncDisposable {
    readonly accepts = [DocumentKind.Answered, EvacuationKind.Answered, ControlKind.LeaderChanged];
    private readonly options: ControlServerOptions;
    private readonly server: Server;
    private readonly pendingRequests = new Map<string, PendingRequest>();
    /** Responses of in-flight requests, including those whose body has not been received completely. */
    private readonly openResponses = new Set<ServerResponse>();
    private stopping: Promise<void> | undefined;
    private idleCloseAtMs = -Infinity;
    /** Time since which no leader is known; undefined while there is one. */
    private leaderlessSinceMs: number | undefined = performance.now();
    private nextRequestNumber = 0;

    constructor(options: ControlServerOptions) {
        this.options = options;
        const { bodyTimeoutMs = defaultBodyTimeoutMs } = options;
        // Node.js checks every 30 s by default.
        const connectionsCheckingInterval = bodyTimeoutMs / 10;
        this.server = createServer(
            { requestTimeout: bodyTimeoutMs, connectionsCheckingInterval, keepAliveTimeout: 30_000 },
            (request, response) => {
                this.openResponses.add(response);
                response.once("close", () => this.openResponses.delete(response));
                this.route(request, response);
            },
        );
    }

    get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    listen(): Promise<void> {
        const { host, port } = this.options;
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen({ host, port, backlog: 511 }, resolve);
        });
    }

    deliver(message: DocumentAnswered | EvacuationAnswered | ControlLeaderChanged): void {
        if (message.kind === DocumentKind.Answered) {
            this.answerDocument(message);
            return;
        }
        if (message.kind === EvacuationKind.Answered) {
            this.answerEvacuation(message);
            return;
        }
        const hasLeader = message.leading || message.leaderId !== undefined;
        this.leaderlessSinceMs = hasLeader ? undefined : this.leaderlessSinceMs ?? performance.now();
    }

    private answerDocument({ requestId, result, document, leaderAddress }: DocumentAnswered): void {
        const request = this.pendingRequests.get(requestId);
        if (request === undefined) {
            return;
        }
        this.pendingRequests.delete(requestId);
        const { response, path } = request;
        switch (result) {
            case DocumentResult.Accepted:
                return respond(response, 200, "{}");
            case DocumentResult.Found:
                return respondWithDocument(response, document!);
            case DocumentResult.Redirect:
                return this.redirect(response, leaderAddress!, path);
            case DocumentResult.TooLarge:
                return respond(response, 413, "{\"error\":\"the configuration is too large to be stored\"}");
            case DocumentResult.Unavailable:
                return respond(response, 503, "{\"error\":\"no majority answers; send it again\"}");
        }
    }

    private answerEvacuation({ requestId, result, detail, leaderAddress }: EvacuationAnswered): void {
        const request = this.pendingRequests.get(requestId);
        if (request === undefined) {
            return;
        }
        this.pendingRequests.delete(requestId);
        const { response, path } = request;
        switch (result) {
            case EvacuationResult.Accepted:
                return respond(response, 200, "{}");
            case EvacuationResult.Refused:
                return respond(response, 400, JSON.stringify({ error: detail }));
            case EvacuationResult.Redirect:
                return this.redirect(response, leaderAddress!, path);
            case EvacuationResult.Unavailable:
                return respond(response, 503, JSON.stringify({ error: `${detail}; send it again` }));
        }
    }

    private redirect(response: ServerResponse, leaderAddress: string, path: string): void {
        response.setHeader("Location", `http://${this.controlAddress(leaderAddress)}${path}`);
        respond(response, 307, "{}");
    }

    /**
     * Rejects new requests. Resolves when all in-flight requests are answered or after `stopTimeoutMs`. Connections stay
     * open until the disposal, so that a request on its way is answered.
     */
    stop(): Promise<void> {
        this.stopping ??= this.finishRequests();
        return this.stopping;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        if (this.stopping !== undefined) {
            await delay(Math.max(0, this.idleCloseAtMs - performance.now()));
            const closed = new Promise(resolve => this.server.close(resolve));
            await withinLimit(closed, lastAnswersMs);
        }
        this.server.close();
        this.server.closeAllConnections();
    }

    private async finishRequests(): Promise<void> {
        this.idleCloseAtMs = performance.now() + idleCloseDelayMs;
        const responses = [...this.openResponses];
        responses.forEach(response => response.shouldKeepAlive = false);
        const closed = responses.map(response => new Promise(resolve => response.once("close", resolve)));
        await withinLimit(Promise.all(closed), stopTimeoutMs);
    }

    private route(request: IncomingMessage, response: ServerResponse): void {
        const { method = "", url = "" } = request;
        if (this.stopping !== undefined) {
            response.shouldKeepAlive = false;
            // A body that is not read would reset the connection, and the caller might not get the answer.
            request.once("end", () => respond(response, 503, stoppingBody)).resume();
            return;
        }
        if (!isAscii(url)) {
            // The HTTP parser of Node.js passes such bytes on arm64 only.
            respond(response, 400, "{\"error\":\"the path has bytes that are not escaped\"}");
            return;
        }
        if (method === "GET" && url === getPath) {
            const requestId = this.registerRequest(response, url);
            this.options.post({ kind: DocumentKind.Read, requestId } as DocumentRead);
            return;
        }
        const evacuation = method === "POST" ? evacuationPaths.find(([path]) => url.startsWith(path)) : undefined;
        if (evacuation !== undefined) {
            this.orderEvacuation(request, response, evacuation);
            return;
        }
        if (method !== "POST" || !(url === putPath || url.startsWith(heartbeatPath) || url.startsWith(leavePath))) {
            respond(response, 404, "{\"error\":\"unknown call\"}");
            return;
        }
        readBody(request, url === putPath ? maximumDocumentBytes : maximumReportBytes, (body, errorStatus) => {
            if (errorStatus !== undefined) {
                respond(
                    response,
                    url === putPath ? errorStatus : 400,
                    "{\"error\":\"the body is too large or incomplete\"}",
                );
            }
            else {
                this.handleBody(url, body, response);
            }
        });
    }

    /** The order has no body; one that comes is ignored. */
    private orderEvacuation(
        request: IncomingMessage,
        response: ServerResponse,
        [path, action]: readonly [path: string, action: EvacuationAction],
    ): void {
        const { url = "", socket: { remoteAddress = "unknown" } } = request;
        request.resume();
        const order: EvacuationOrdered = {
            kind: EvacuationKind.Ordered,
            requestId: this.registerRequest(response, url),
            action,
            dataCentre: decodeId(url.slice(path.length)),
            orderedBy: remoteAddress,
            orderedAtUnixMs: Date.now(),
        };
        this.options.post(order);
    }

    private handleBody(url: string, body: Buffer, response: ServerResponse): void {
        const text = decodeUtf8(body);
        if (url === putPath) {
            this.putDocument(text, response);
        }
        else if (url.startsWith(heartbeatPath)) {
            const report = decodeDatabaseReport(decodeId(url.slice(heartbeatPath.length)), text ?? "", Date.now());
            if (report !== undefined) {
                this.options.post({ kind: FleetKind.DatabaseReported, report } as DatabaseReported);
            }
            respond(response, report === undefined ? 400 : this.hasLeaderContact() ? 200 : 503, "{}");
        }
        else {
            const databaseId = decodeDepartedId(decodeId(url.slice(leavePath.length)));
            const bornUnixMs = decodeDepartedStart(text ?? "", Date.now());
            if (databaseId !== undefined) {
                this.options.post({ kind: FleetKind.DatabaseLeft, databaseId, bornUnixMs } as DatabaseLeft);
            }
            respond(response, 200, "{}");
        }
    }

    private hasLeaderContact(): boolean {
        return this.leaderlessSinceMs === undefined
            || performance.now() - this.leaderlessSinceMs < leaderlessHeartbeatsMs;
    }

    /** @param text the body; undefined if it is not valid UTF-8 */
    private putDocument(text: string | undefined, response: ServerResponse): void {
        if (text === undefined) {
            respond(response, 400, "{\"error\":\"the body is not valid UTF-8\"}");
            return;
        }
        try {
            const document = decodeDocument(text);
            const requestId = this.registerRequest(response, putPath);
            this.options.post({ kind: DocumentKind.Put, requestId, document } as DocumentPut);
        }
        catch (error) {
            if (!(error instanceof InvalidDocumentError)) {
                throw error;
            }
            respond(response, 400, JSON.stringify({ error: error.message }));
        }
    }

    private registerRequest(response: ServerResponse, path: string): string {
        const requestId = `h${this.nextRequestNumber++}`;
        this.pendingRequests.set(requestId, { response, path });
        response.once("close", () => this.pendingRequests.delete(requestId));
        return requestId;
    }

    /** Address of the HTTP API of the instance at `rpcAddress`. All machines use the same port for it. */
    private controlAddress(rpcAddress: string): string {
        return `${rpcAddress.slice(0, rpcAddress.lastIndexOf(":"))}:${this.options.port}`;
    }
}

async function withinLimit(promise: Promise<unknown>, limitMs: number): Promise<void> {
    const limit = new AbortController();
    await Promise.race([promise, delay(limitMs, undefined, { signal: limit.signal })]);
    limit.abort();
}

function isAscii(text: string): boolean {
    return Buffer.byteLength(text) === text.length;
}

/** @param path last segment of a path, in ASCII */
function decodeId(path: string): string {
    try {
        return decodeURIComponent(path);
    }
    catch {
        // Not a valid URI encoding; the text itself is the id.
        return path;
    }
}

/** What another release stored may lack what the encoding needs; a later document replaces it. */
function respondWithDocument(response: ServerResponse, document: ConfigurationDocument): void {
    let text: string;
    try {
        text = encodeDocument(document);
    }
    catch (error) {
        const reason = `version ${document.documentVersion} cannot be encoded: ${(error as Error).message}`;
        respond(response, 500, JSON.stringify({ error: reason }));
        return;
    }
    respond(response, 200, text);
}

function respond(response: ServerResponse, status: number, body: string): void {
    response.writeHead(status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(body) });
    response.end(body);
}

/** @param onBody receives the body, or the HTTP status to reject it with */
function readBody(
    request: IncomingMessage,
    maximumBytes: number,
    onBody: (body: Buffer, errorStatus: number | undefined) => void,
): void {
    const chunks: Buffer[] = [];
    let bytes = 0;
    let rejected = false;
    request.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > maximumBytes && !rejected) {
            rejected = true;
            onBody(Buffer.alloc(0), 413);
        }
        else if (!rejected) {
            chunks.push(chunk);
        }
    });
    request.on("end", () => {
        if (!rejected) {
            onBody(Buffer.concat(chunks), undefined);
        }
    });
    // The sender closed the connection and no longer waits for a response.
    request.on("error", () => {
        rejected = true;
    });
}
