/**
 * Proxies, a database and callers on real sockets. Callers and database read and write messages with a codec of their own,
 * written from the protocol: a message ends at CR LF, fields are separated by blanks, the last one ends with the message.
 */
import { EventEmitter, once } from "node:events";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { setImmediate } from "node:timers/promises";
import { FleetKind, ReportedState } from "../../model/fleetMessages.ts";
import { LinkKind } from "../../model/linkMessages.ts";
import { type PeerAnswer, PeerKind, type PeerSend } from "../../model/peerMessages.ts";
import { SchedulingKind } from "../../model/schedulingMessages.ts";
import { SessionKind } from "../../model/sessionMessages.ts";
import { RouteConsistency, type TrafficPolicy } from "../../model/trafficPolicy.ts";
import { EventLoop } from "../../pipeline/eventLoop.ts";
import type { Message } from "../../pipeline/message.ts";
import type { Sink } from "../../pipeline/sink.ts";
import { WireClient } from "../../platform/wireClient.ts";
import { WireServer } from "../../platform/wireServer.ts";
import { defaultWireServerLimits } from "../../platform/wireServerLimits.ts";
import { decodeQuestion, decodeResult, encodeQuestion, encodeResult } from "../../rpc/taskCodec.ts";
import { buildProxyPipes } from "../platformPipes.ts";
import { SystemClock } from "../systemClock.ts";

/** Splits a stream into messages by looking at all bytes that are left, again and again. */
class Messages {
    private rest = "";

    push(chunk: Buffer): readonly string[] {
        this.rest += chunk.toString("latin1");
        const messages: string[] = [];
        for (let end = this.rest.indexOf("\r\n"); end !== -1; end = this.rest.indexOf("\r\n")) {
            messages.push(this.rest.slice(0, end));
            this.rest = this.rest.slice(end + 2);
        }
        return messages;
    }
}

function cut(text: string): readonly [string, string] {
    const blank = text.indexOf(" ");
    return blank === -1 ? [text, ""] : [text.slice(0, blank), text.slice(blank + 1)];
}

/** A statement of a caller as the database ran it. */
export interface RunStatement {
    readonly id: string;
    /** For EXECUTE, with the shape in place of the name. */
    readonly text: string;
    readonly values: readonly string[];
}

/** A database that runs all statements at once, with the given rows and a signature that holds the id. */
export class BoundaryDatabase {
    readonly run: RunStatement[] = [];
    /** What broke the protocol. */
    readonly complaints: string[] = [];
    rows: readonly string[] = [];
    private readonly sockets = new Set<Socket>();
    private readonly server: Server;
    private offset = 0;

    constructor() {
        this.server = createServer({ noDelay: true }, socket => this.accept(socket));
    }

    async listen(): Promise<string> {
        this.server.listen(0, "127.0.0.1");
        await once(this.server, "listening");
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    signatureOf(id: string): string {
        return `1.${id}  x\ny`;
    }

    close(): void {
        this.sockets.forEach(socket => socket.destroy());
        this.server.close();
    }

    private accept(socket: Socket): void {
        this.sockets.add(socket);
        socket.on("error", () => undefined);
        const messages = new Messages();
        const connection = { state: "I", shapes: new Map<string, string>(), values: new Map<string, string>() };
        socket.on("data", chunk => {
            for (const message of messages.push(chunk)) {
                const [kind, fields] = cut(message);
                if (kind === "QUERY") {
                    const [id, text] = cut(fields);
                    socket.write(this.answer(connection, id, text) + this.ready(connection.state), "latin1");
                }
                else if (kind === "CONNECT") {
                    socket.write(this.ready("I"));
                }
                else if (message !== "QUIT") {
                    this.complaints.push(`unknown message ${message}`);
                }
            }
        });
    }

    private ready(state: string): string {
        this.offset += 1;
        return `READY ${state} 1.${this.offset}\r\n`;
    }

    private answer(
        connection: { state: string; readonly shapes: Map<string, string>; readonly values: Map<string, string>; },
        id: string,
        text: string,
    ): string {
        const [verb, fields] = cut(text);
        if (id !== "-") {
            const [name, operands] = cut(fields);
            const shape = connection.shapes.get(name);
            const values = [...connection.values].map(([key, value]) => `${key} ${value}`).sort();
            this.run.push({ id, text: verb === "EXECUTE" ? `EXECUTE <${shape}> ${operands}` : text, values });
            return `${this.rows.map(row => `ROW ${row}\r\n`).join("")}COMPLETE ${this.signatureOf(id)}\r\n`;
        }
        switch (verb) {
            case "BEGIN":
                connection.state = "T";
                break;
            case "ROLLBACK":
                connection.state = "I";
                break;
            case "RESET":
                connection.shapes.clear();
                connection.values.clear();
                break;
            case "SET":
                connection.values.set(...cut(fields) as [string, string]);
                break;
            case "PREPARE": {
                const [name, shape] = cut(fields);
                if (connection.shapes.has(name)) {
                    this.complaints.push(`${name} is prepared again`);
                }
                connection.shapes.set(name, shape);
                break;
            }
            default:
                this.complaints.push(`unknown command ${text}`);
        }
        return "COMPLETE -\r\n";
    }
}

export interface CallerAnswer {
    readonly rows: readonly string[];
    /** COMPLETE or ERROR with its fields; undefined in the answer to CONNECT, or if the connection ended. */
    readonly outcome: string | undefined;
    readonly isClosed: boolean;
}

/** A caller that sends one message at a time, in chunks of given sizes. */
export class BoundaryCaller {
    readonly socket: Socket;
    private readonly events = new EventEmitter();
    private lines: string[] = [];

    constructor(port: number) {
        this.socket = connect({ host: "127.0.0.1", port, noDelay: true });
        const messages = new Messages();
        this.socket.on("error", () => undefined);
        this.socket.on("close", () => this.events.emit("end"));
        this.socket.on("data", chunk => {
            for (const message of messages.push(chunk)) {
                this.lines.push(message);
                if (cut(message)[0] === "READY") {
                    this.events.emit("end");
                }
            }
        });
    }

    async ask(message: string, chunkBytes: readonly number[] = []): Promise<CallerAnswer> {
        this.lines = [];
        const ended = once(this.events, "end");
        let rest = Buffer.from(`${message}\r\n`, "latin1");
        for (const bytes of chunkBytes) {
            this.socket.write(rest.subarray(0, bytes));
            rest = rest.subarray(bytes);
            await setImmediate();
        }
        this.socket.write(rest);
        await ended;
        const rows = this.lines.filter(line => line.startsWith("ROW ")).map(line => line.slice("ROW ".length));
        const outcome = this.lines.find(line => line.startsWith("COMPLETE ") || line.startsWith("ERROR "));
        return { rows, outcome, isClosed: this.socket.destroyed };
    }
}

const policy: TrafficPolicy = {
    version: 1,
    routesByDatabase: new Map([["orders", {
        name: "orders",
        database: "orders",
        service: "s",
        consistency: RouteConsistency.Primary,
        maximumAgeMs: 0,
        statementLimitMs: 2_000,
        targetLatencyMs: 500,
        priority: 1,
        open: false,
    }]]),
    services: new Map([["s", { name: "s", connectionLimit: 22, synchronousReplicas: 1 }]]),
    workspaces: new Map([
        ["w", { name: "w", keys: ["k"], ratePerSecond: 1e6, burst: 1e6 }],
        ["v", { name: "v", keys: ["kv"], ratePerSecond: 1e6, burst: 1e6 }],
    ]),
    workspaceByKey: new Map([["k", "w"], ["kv", "v"]]),
    transactionIdleMs: 3_000,
};

/** A proxy without control members: its session pipe between the adapters for callers and databases. */
class BoundaryProxy implements Sink, AsyncDisposable {
    readonly accepts: readonly string[] = [
        SessionKind.MessageRefused,
        SessionKind.AnswerRefused,
        SessionKind.StopProgressed,
        LinkKind.ReplyDiscarded,
        ...Object.values(SchedulingKind),
        FleetKind.PermitsNeeded,
        FleetKind.DatabaseSuspected,
        FleetKind.SendFrame,
        FleetKind.PolicyProofNeeded,
        FleetKind.Drained,
        PeerKind.Send,
        PeerKind.Answer,
    ];
    readonly posted: Message[] = [];
    readonly server: WireServer;
    private readonly client: WireClient;
    private readonly loop: EventLoop;

    constructor(
        readonly instanceId: string,
        private readonly deliverToPeer: (message: Message) => void,
        maximumConnections = defaultWireServerLimits.maximumConnections,
    ) {
        const post = (message: Message): void => {
            this.posted.push(message);
            this.post(message);
        };
        const limits = { ...defaultWireServerLimits, maximumConnections };
        this.server = new WireServer({ host: "127.0.0.1", port: 0, post, limits });
        this.client = new WireClient({ post: message => this.post(message) });
        const options = { instanceId, dataCentre: "dc1", rpcAddress: instanceId, seed: 1, maximumConnections };
        const [, session] = buildProxyPipes(options);
        const sinks: readonly Sink[] = [this, this.server, this.client];
        this.loop = new EventLoop({ clock: new SystemClock(), pipes: [session!], sinks });
    }

    post(message: Message): void {
        this.loop.post(message);
    }

    deliver(message: Message): void {
        if (message.kind === FleetKind.PolicyProofNeeded) {
            this.post({ kind: FleetKind.PolicyProved, provedAtMs: performance.now() } as Message);
        }
        else if (message.kind === PeerKind.Send || message.kind === PeerKind.Answer) {
            this.deliverToPeer(message);
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.loop[Symbol.asyncDispose]();
        await this.client[Symbol.asyncDispose]();
        await this.server[Symbol.asyncDispose]();
    }
}

/** Two proxies, of which one holds the links to the database and gets the statements of the other's callers. */
export class WireWorld implements AsyncDisposable {
    readonly database = new BoundaryDatabase();
    readonly proxies: readonly BoundaryProxy[];
    /** Statements that one proxy passed to the other. */
    passedTasks = 0;

    private constructor(maximumConnections?: number) {
        this.proxies = ["front1", "front2"].map(instanceId =>
            new BoundaryProxy(instanceId, message => this.pass(instanceId, message), maximumConnections)
        );
    }

    /** @param maximumConnections of the listener of each proxy */
    static async start(maximumConnections?: number): Promise<WireWorld> {
        const world = new WireWorld(maximumConnections);
        const address = await world.database.listen();
        const report = {
            databaseId: "d",
            service: "s",
            address,
            dataCentre: "dc1",
            slots: 20,
            state: ReportedState.Ready,
            leads: true,
            sequence: 1,
            bornUnixMs: 1,
        };
        const instances = world.proxies.map(({ instanceId }) => ({
            instanceId,
            address: instanceId,
            dataCentre: "dc1",
        }));
        const grants = [{ workspace: "w", count: 1e6, retryMs: 0, fallback: undefined }];
        const state = { confirmed: true, promoted: new Map(), ordered: new Map(), completedFences: new Map() };
        for (const proxy of world.proxies) {
            await proxy.server.listen();
            proxy.post({ kind: FleetKind.PolicyApplied, policy, ...state } as Message);
            proxy.post({ kind: FleetKind.PolicyProved, provedAtMs: performance.now() } as Message);
            proxy.post({ kind: FleetKind.PermitsGranted, grants, validUntilMs: Infinity } as Message);
            proxy.post({ kind: PeerKind.InstancesKnown, instances } as Message);
            proxy.post({ kind: FleetKind.DatabaseChanged, report } as Message);
        }
        return world;
    }

    /** Opens a session at each proxy. */
    async openCallers(): Promise<readonly BoundaryCaller[]> {
        const callers = this.proxies.map(({ server }) => new BoundaryCaller(server.port));
        await Promise.all(callers.map(caller => caller.ask("CONNECT orders k")));
        return callers;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.database.close();
        await Promise.all(this.proxies.map(proxy => proxy[Symbol.asyncDispose]()));
    }

    /** Passes messages between the proxies as the bytes that a stream would carry. */
    private pass(from: string, message: Message): void {
        const other = this.proxies.find(({ instanceId }) => instanceId !== from)!;
        if (message.kind === PeerKind.Send) {
            const question = decodeQuestion(encodeQuestion((message as PeerSend).question));
            this.passedTasks += Number(question.kind === "task");
            other.post({ kind: PeerKind.Asked, streamId: from, question } as Message);
        }
        else {
            const result = decodeResult(encodeResult((message as PeerAnswer).result));
            other.post({ kind: PeerKind.Answered, address: from, result } as Message);
        }
    }
}
