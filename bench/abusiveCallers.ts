/**
 * Latency of well-behaved callers beside abusive ones, on real sockets and in real time: the listener for callers and the
 * session pipe, with a database that answers after a fixed time. All of it and the callers share one process, so that the
 * figures include what the abusive callers spend on sending.
 */
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { loadavg } from "node:os";
import { setTimeout as delay } from "node:timers/promises";
import { FleetKind, ReportedState } from "../src/model/fleetMessages.ts";
import {
    type LinkCommand,
    LinkCommandKind,
    LinkKind,
    type LinkOpen,
    type LinkSend,
} from "../src/model/linkMessages.ts";
import { Pace } from "../src/model/pace.ts";
import { PeerKind } from "../src/model/peerMessages.ts";
import { SessionKind } from "../src/model/sessionMessages.ts";
import { TransactionState } from "../src/model/sessionStatement.ts";
import { RouteConsistency, type TrafficPolicy } from "../src/model/trafficPolicy.ts";
import { EventLoop } from "../src/pipeline/eventLoop.ts";
import type { Message } from "../src/pipeline/message.ts";
import { Pipe } from "../src/pipeline/pipe.ts";
import { SeededRandom } from "../src/pipeline/seededRandom.ts";
import type { Sink } from "../src/pipeline/sink.ts";
import { WireServer } from "../src/platform/wireServer.ts";
import { Admission } from "../src/session/admission.ts";
import { FloorExchange } from "../src/session/floorExchange.ts";
import { Forwarding } from "../src/session/forwarding.ts";
import { Links } from "../src/session/links.ts";
import { PassedTasks } from "../src/session/passedTasks.ts";
import { Routing } from "../src/session/routing.ts";
import { SessionAccess } from "../src/session/sessionAccess.ts";
import { defaultSessionLimits } from "../src/session/sessionLimits.ts";
import { Sessions } from "../src/session/sessions.ts";
import { SystemClock } from "../src/wiring/systemClock.ts";

export interface AbuseFigures {
    readonly abusive_callers: number;
    readonly answers: number;
    /** Answers other than COMPLETE. */
    readonly refused: number;
    readonly p50_ms: number;
    readonly p99_ms: number;
    /** Maximum during the run, as the sessions account for it. */
    readonly kept_bytes: number;
    readonly kept_bytes_limit: number;
    /** Messages that the listener refused, most of which ended their connection. */
    readonly refused_messages: number;
    /** Of the machine, over the last minute before the run. */
    readonly load_average: number;
}

const runMs = 8_000;
const wellBehavedCallers = 20;
const thinkingMs = 10;
const databaseMs = 2;
/** Interval of the messages of an abusive caller. */
const abuseIntervalMs = 500;
const connectMessage = "CONNECT orders k\r\n";

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
    workspaces: new Map([["w", { name: "w", keys: ["k"], ratePerSecond: 1e6, burst: 1e6 }]]),
    workspaceByKey: new Map([["k", "w"]]),
    transactionIdleMs: 3_000,
};

/** A proxy whose database runs one statement at a time on each link. */
class MeasuredProxy implements Sink, AsyncDisposable {
    readonly accepts: readonly string[] = [
        SessionKind.MessageRefused,
        SessionKind.AnswerRefused,
        ...Object.values(LinkKind).filter(kind => kind !== LinkKind.Opened && kind !== LinkKind.Replied),
        FleetKind.PermitsNeeded,
        FleetKind.DatabaseSuspected,
        FleetKind.SendFrame,
        FleetKind.PolicyProofNeeded,
        PeerKind.Send,
        PeerKind.Answer,
    ];
    readonly sessions = new Sessions();
    readonly server: WireServer;
    refusedMessages = 0;
    private readonly loop: EventLoop;
    private readonly workByLink = new Map<string, Promise<void>>();
    private readonly stateByLink = new Map<string, TransactionState>();
    private offset = 0;

    constructor() {
        this.server = new WireServer({ host: "127.0.0.1", port: 0, post: message => this.loop.post(message) });
        const session = new Pipe("session", [
            new FloorExchange({ instanceId: "front1", dataCentre: "dc1" }),
            new SessionAccess(),
            this.sessions,
            new Admission({ random: new SeededRandom(1) }),
            new PassedTasks(),
            new Routing({ dataCentre: "dc1" }),
            new Forwarding({ instanceId: "front1" }),
            new Links({ random: new SeededRandom(1), pace: Pace.Adaptive }),
        ]);
        this.loop = new EventLoop({ clock: new SystemClock(), pipes: [session], sinks: [this, this.server] });
    }

    async start(): Promise<void> {
        await this.server.listen();
        const state = { confirmed: true, promoted: new Map(), ordered: new Map(), completedFences: new Map() };
        const grants = [{ workspace: "w", count: 1e6, retryMs: 0, fallback: undefined }];
        const report = {
            databaseId: "d",
            service: "s",
            address: "d:1",
            dataCentre: "dc1",
            slots: 20,
            state: ReportedState.Ready,
            leads: true,
            sequence: 1,
            bornUnixMs: 1,
        };
        const instances = [{ instanceId: "front1", address: "front1", dataCentre: "dc1" }];
        this.loop.post({ kind: FleetKind.PolicyApplied, policy, ...state } as Message);
        this.provePolicy();
        this.loop.post({ kind: FleetKind.PermitsGranted, grants, validUntilMs: Infinity } as Message);
        this.loop.post({ kind: PeerKind.InstancesKnown, instances } as Message);
        this.loop.post({ kind: FleetKind.DatabaseChanged, report } as Message);
    }

    deliver(message: Message): void {
        switch (message.kind) {
            case SessionKind.MessageRefused:
                this.refusedMessages += 1;
                return;
            case FleetKind.PolicyProofNeeded:
                return this.provePolicy();
            case LinkKind.Open:
                this.loop.post({ kind: LinkKind.Opened, linkId: (message as LinkOpen).linkId } as Message);
                return;
            case LinkKind.Send: {
                const { linkId, commands } = message as LinkSend;
                const earlier = this.workByLink.get(linkId) ?? Promise.resolve();
                this.workByLink.set(linkId, earlier.then(() => this.run(linkId, commands)));
                return;
            }
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.loop[Symbol.asyncDispose]();
        await this.server[Symbol.asyncDispose]();
    }

    private provePolicy(): void {
        this.loop.post({ kind: FleetKind.PolicyProved, provedAtMs: performance.now() } as Message);
    }

    private async run(linkId: string, commands: readonly LinkCommand[]): Promise<void> {
        for (const { kind } of commands) {
            const isSigned = kind === LinkCommandKind.Run || kind === LinkCommandKind.Execute;
            if (isSigned) {
                await delay(databaseMs);
            }
            if (kind === LinkCommandKind.Begin || kind === LinkCommandKind.BeginRead) {
                this.stateByLink.set(linkId, TransactionState.Open);
            }
            else if (kind === LinkCommandKind.Rollback) {
                this.stateByLink.delete(linkId);
            }
            const offset = this.offset++;
            const reply = {
                rows: [],
                signature: isSigned ? `1.${offset}` : undefined,
                fault: undefined,
                detail: "",
                transaction: this.stateByLink.get(linkId) ?? TransactionState.None,
                position: { term: 1, offset },
                status: undefined,
            };
            this.loop.post({ kind: LinkKind.Replied, linkId, reply } as Message);
        }
    }
}

/** Ways to send without end; each returns the next bytes of a caller. */
const abuses: readonly ((index: number) => string)[] = [
    index => `QUERY ${index} SET v${index} ${"x".repeat(100_000)}\r\n`,
    index => (index === 0 ? "QUERY 0 READ " : "") + "x".repeat(65_536),
    index => `QUERY ${index} WRITE ${"x".repeat(1_000_000)}\r\n`.repeat(2),
];

/** Sends without reading the answers, and connects again when its connection ends. */
async function abuse(port: number, number: number, endMs: number): Promise<void> {
    await delay(number * abuseIntervalMs / 200);
    while (performance.now() < endMs) {
        const socket = connect({ host: "127.0.0.1", port });
        socket.on("error", () => socket.destroy());
        socket.on("data", () => undefined);
        socket.write(connectMessage);
        for (let index = 0; !socket.destroyed && performance.now() < endMs; index++) {
            if (!socket.writableNeedDrain) {
                socket.write(abuses[number % abuses.length]!(index));
            }
            await delay(abuseIntervalMs);
        }
        socket.destroy();
    }
}

async function askRepeatedly(port: number, endMs: number, timesMs: number[], refusals: string[]): Promise<void> {
    const socket = connect({ host: "127.0.0.1", port, noDelay: true });
    await ask(socket, connectMessage);
    for (let index = 0; performance.now() < endMs; index++) {
        const startMs = performance.now();
        const answer = await ask(socket, `QUERY r${index} READ a\r\n`);
        timesMs.push(performance.now() - startMs);
        if (!answer.startsWith("COMPLETE ")) {
            refusals.push(answer);
        }
        await delay(thinkingMs);
    }
    socket.destroy();
}

/** @throws Error if the connection ends before the answer */
async function ask(socket: Socket, message: string): Promise<string> {
    socket.write(message);
    let answer = "";
    while (!/(^|\r\n)READY [^\r]*\r\n$/.test(answer)) {
        const chunk = await Promise.race([once(socket, "data"), once(socket, "close").then(() => undefined)]);
        if (chunk === undefined) {
            throw new Error(`a well-behaved caller lost its connection after "${answer}"`);
        }
        answer += String(chunk[0]);
    }
    return answer;
}

/** Measures without abusive callers, then with 200. */
export async function measureAbuse(): Promise<readonly AbuseFigures[]> {
    return [await measureBeside(0), await measureBeside(200)];
}

async function measureBeside(abusiveCallers: number): Promise<AbuseFigures> {
    const [loadAverage] = loadavg();
    await using proxy = new MeasuredProxy();
    await proxy.start();
    const { port } = proxy.server;
    const endMs = performance.now() + runMs;
    const timesMs: number[] = [];
    const refusals: string[] = [];
    let keptBytes = 0;
    const sampling = setInterval(() => keptBytes = Math.max(keptBytes, proxy.sessions.keptBytes), 5);
    const abusers = Array.from({ length: abusiveCallers }, (_, number) => abuse(port, number, endMs));
    const callers = Array.from({ length: wellBehavedCallers }, () => askRepeatedly(port, endMs, timesMs, refusals));
    await Promise.all([...abusers, ...callers]);
    clearInterval(sampling);
    timesMs.sort((left, right) => left - right);
    const quantile = (share: number) => Math.round(100 * timesMs[Math.floor(share * timesMs.length)]!) / 100;
    return {
        abusive_callers: abusiveCallers,
        answers: timesMs.length,
        refused: refusals.length,
        p50_ms: quantile(0.5),
        p99_ms: quantile(0.99),
        kept_bytes: keptBytes,
        kept_bytes_limit: defaultSessionLimits.totalBytes,
        refused_messages: proxy.refusedMessages,
        load_average: Math.round(100 * loadAverage!) / 100,
    };
}
