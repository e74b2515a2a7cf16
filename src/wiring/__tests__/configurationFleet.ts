/** Control members and proxies in virtual time: from an operator's document to the session of a caller. */
import assert from "node:assert/strict";
import { FakeCluster, type ProcessParts } from "../../control/__tests__/fakeCluster.ts";
import { ClusterKind } from "../../model/clusterMessages.ts";
import { ControlKind } from "../../model/controlMessages.ts";
import { type DocumentAnswered, DocumentKind, DocumentResult } from "../../model/document.ts";
import { FeedKind, type FeedResubscribe, type FeedSend, UpdateKind } from "../../model/feedMessages.ts";
import { type FleetFrame, FleetKind, type SendFrame } from "../../model/fleetMessages.ts";
import { LinkKind } from "../../model/linkMessages.ts";
import { PeerKind } from "../../model/peerMessages.ts";
import { PromotionKind } from "../../model/promotionMessages.ts";
import { SessionKind, type SessionRefuse } from "../../model/sessionMessages.ts";
import { StatementFault } from "../../model/sessionStatement.ts";
import { EventLoop } from "../../pipeline/eventLoop.ts";
import type { Message } from "../../pipeline/message.ts";
import type { Pipe } from "../../pipeline/pipe.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import type { Sink } from "../../pipeline/sink.ts";
import { VirtualClock } from "../../pipeline/virtualClock.ts";
import { decodeDocument } from "../../platform/documentCodec.ts";
import { decodeUpdate, encodeUpdate } from "../../rpc/configurationCodec.ts";
import { decodeFrame, encodeFrame } from "../../rpc/fleetCodec.ts";
import { buildMemberPipes, buildProxyPipes } from "../platformPipes.ts";

const stepMs = 10;

/** Least and greatest delay of a message, one way. */
const delaysMs = [2, 12] as const;

/** Pause of a proxy before it tries another member, and of a caller that was told to come back. */
const retryMs = 50;
const callerRetryMs = 500;

/** Every kind that leaves a process and that this network does not carry. */
const ignoredKinds = [
    ...Object.values(LinkKind),
    ...Object.values(PeerKind),
    ...Object.values(PromotionKind),
    ...Object.values(FleetKind),
    ...Object.values(SessionKind),
    ...Object.values(ControlKind),
    ClusterKind.ConfigurationApplied,
];

export interface ConfigurationFleetOptions {
    readonly members: number;
    /** Disks that may be lost at one moment. */
    readonly tolerance: number;
    readonly proxies: number;
    readonly seed: number;
    /** Entries between two snapshots. */
    readonly snapshotEntries?: number;
}

/** A caller that asks until it is accepted, or refused for good. */
export interface Caller {
    readonly proxyId: string;
    readonly key: string;
    readonly sinceMs: number;
    /** Undefined until the session is open or refused for another reason than that it has to come back. */
    outcome:
        | { readonly atMs: number; readonly fault: StatementFault | undefined; readonly detail: string; }
        | undefined;
}

interface Proxy {
    readonly proxyId: string;
    readonly clock: VirtualClock;
    readonly loop: EventLoop;
    readonly callers: Map<string, Caller>;
    /** Member that it reads the configuration from, and the stream. */
    feed: Feed | undefined;
    version: number;
}

interface Feed {
    readonly memberId: string;
    readonly streamId: string;
    /** Updates of which parts are on their way. */
    arriving: number;
}

/** One attachment; ids by side. */
interface Attachment {
    readonly proxyId: string;
    readonly memberId: string;
    readonly attachmentId: string;
}

export class ConfigurationFleet {
    readonly cluster: FakeCluster;
    readonly memberIds: readonly string[];
    readonly proxyIds: readonly string[];
    readonly callers: Caller[] = [];
    private readonly options: ConfigurationFleetOptions;
    private readonly random: SeededRandom;
    private readonly proxies = new Map<string, Proxy>();
    private readonly attachments = new Map<string, Attachment>();
    private readonly answers = new Map<string, DocumentAnswered>();
    private network: { readonly atMs: number; readonly act: () => void; }[] = [];
    private readonly lastArrivalMs = new Map<string, number>();
    private readonly keys: string[] = [];
    private nextId = 0;
    /** Version of the newest document that was acknowledged. */
    acknowledged = 0;
    /** Time that the parts of an update take beside the way of a message. */
    partsMs = 0;

    constructor(options: ConfigurationFleetOptions) {
        this.options = options;
        this.random = new SeededRandom(options.seed);
        const { members, tolerance, proxies, snapshotEntries = 1_024 } = options;
        this.memberIds = Array.from({ length: members }, (_, index) => `m${index}`);
        this.proxyIds = Array.from({ length: proxies }, (_, index) => `p${index}`);
        const partsOf = (memberId: string): ProcessParts => this.partsOf(memberId);
        this.cluster = new FakeCluster(members, options.seed, {
            faultTolerance: tolerance,
            snapshotEntries,
            processPartsOf: partsOf,
        });
        this.cluster.runUntil("a first leader", () => this.cluster.leader() !== undefined);
        this.putKey();
        this.proxyIds.forEach(proxyId => this.startProxy(proxyId));
    }

    get nowMs(): number {
        return this.cluster.nowMs;
    }

    /** An operator adds a key, named after the version of the document, and sends it until it is acknowledged. */
    putKey(): string {
        const version = this.acknowledged + 1;
        this.keys.push(keyOf(version));
        let requestId = "";
        this.runUntil("an acknowledgement", () => {
            const result = this.answers.get(requestId)?.result;
            if (result === DocumentResult.Accepted) {
                return true;
            }
            const leader = this.cluster.leader();
            if (leader !== undefined && (requestId === "" || result !== undefined)) {
                requestId = `r${this.nextId++}`;
                const document = decodeDocument(this.documentText(version));
                this.cluster.post(leader.memberId, { kind: DocumentKind.Put, requestId, document } as Message);
            }
            return false;
        });
        this.acknowledged = version;
        return keyOf(version);
    }

    /** A caller connects, and comes back for as long as it is told to. */
    connect(proxyId: string, key: string): Caller {
        const caller: Caller = { proxyId, key, sinceMs: this.nowMs, outcome: undefined };
        this.callers.push(caller);
        this.ask(caller);
        return caller;
    }

    stopMember(memberId: string): void {
        this.cluster.losePower(memberId);
        [...this.attachments.values()].filter(attachment => attachment.memberId === memberId)
            .forEach(attachment => this.detach(attachment));
        [...this.proxies.values()].filter(({ feed }) => feed?.memberId === memberId).forEach(proxy => {
            proxy.feed = undefined;
            this.subscribeLater(proxy, this.drawMember());
        });
    }

    startMember(memberId: string): void {
        this.cluster.start(memberId);
        this.proxies.forEach(proxy => this.attachLater(proxy, memberId));
    }

    stopProxy(proxyId: string): void {
        this.proxies.delete(proxyId);
        [...this.attachments.values()].filter(attachment => attachment.proxyId === proxyId)
            .forEach(attachment => this.detach(attachment));
    }

    /** @param follows the member that it reads the configuration from at first; drawn unless set */
    startProxy(proxyId: string, follows = this.drawMember()): void {
        const clock = new VirtualClock();
        clock.advanceTo(this.nowMs);
        const seed = this.random.nextInteger(1 << 30);
        const pipes = buildProxyPipes({ instanceId: proxyId, dataCentre: "dc", rpcAddress: `${proxyId}:1`, seed });
        const sinks = [this.sinkOf(message => this.takeFromProxy(proxy, message)), this.ignore(pipes)];
        const loop = new EventLoop({ clock, pipes, sinks });
        const proxy: Proxy = { proxyId, clock, loop, callers: new Map(), feed: undefined, version: 0 };
        this.proxies.set(proxyId, proxy);
        this.memberIds.forEach(memberId => this.attachLater(proxy, memberId));
        this.subscribe(proxy, follows);
        this.callers.filter(caller => caller.proxyId === proxyId && caller.outcome === undefined)
            .forEach(caller => this.ask(caller));
    }

    run(durationMs: number): void {
        for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
            this.cluster.run(stepMs);
            const due = this.network.filter(({ atMs }) => atMs <= this.nowMs);
            this.network = this.network.filter(({ atMs }) => atMs > this.nowMs);
            due.sort((left, right) => left.atMs - right.atMs).forEach(({ act }) => act());
            this.proxies.forEach(({ clock }) => clock.advanceTo(this.nowMs));
        }
    }

    runUntil(what: string, done: () => boolean, limitMs = 30_000): void {
        for (const endMs = this.nowMs + limitMs; !done();) {
            assert.ok(this.nowMs < endMs, `not reached: ${what}`);
            this.run(stepMs);
        }
    }

    private documentText(version: number): string {
        const route = { name: "orders", host: "orders", kind: "primary", timeout_ms: 1_000, service: "s" };
        const tenant = { name: "t", api_keys: this.keys, rate_per_s: 100 };
        return JSON.stringify({ version, routes: [route], services: [{ name: "s" }], tenants: [tenant] });
    }

    private partsOf(memberId: string): ProcessParts {
        const [, fleet] = buildMemberPipes({
            self: { memberId, address: addressOf(memberId), incarnation: "" },
            initialMembers: [],
            dataCentre: "dc",
            canFormCluster: false,
            faultTolerance: this.options.tolerance,
            rateTolerance: { windowMs: 5_000, share: 0.1, operations: 20 },
            reportIntervalMs: 1_000,
            seed: 1,
        });
        const pipes = [fleet!];
        return { pipes, sinks: [this.sinkOf(message => this.takeFromMember(message)), this.ignore(pipes)] };
    }

    private sinkOf(deliver: (message: Message) => void): Sink {
        const accepts = [
            FleetKind.SendFrame,
            FeedKind.Send,
            FeedKind.Resubscribe,
            DocumentKind.Answered,
            SessionKind.Accept,
            SessionKind.Refuse,
        ];
        return { accepts, deliver };
    }

    private ignore(pipes: readonly Pipe[]): Sink {
        const taken = new Set<string>(pipes.flatMap(pipe => [...pipe.accepts]));
        return { accepts: ignoredKinds.filter(kind => !taken.has(kind)), deliver: () => undefined };
    }

    private takeFromMember(message: Message): void {
        if (message.kind === DocumentKind.Answered) {
            this.answers.set((message as DocumentAnswered).requestId, message as DocumentAnswered);
        }
        else if (message.kind === FleetKind.SendFrame) {
            const { attachmentId, frame } = message as SendFrame;
            this.carry(attachmentId, frame, attachment => this.proxies.get(attachment.proxyId)?.loop);
        }
        else if (message.kind === FeedKind.Send) {
            this.publish(message as FeedSend);
        }
    }

    private takeFromProxy(proxy: Proxy, message: Message): void {
        if (message.kind === FleetKind.SendFrame) {
            const { attachmentId, frame } = message as SendFrame;
            this.carry(attachmentId, frame, ({ memberId }) => this.cluster.nodes.get(memberId)?.loop);
        }
        else if (message.kind === FeedKind.Resubscribe) {
            const { addresses, version } = message as FeedResubscribe;
            proxy.version = version;
            this.resubscribe(proxy, addresses);
        }
        else if (message.kind === SessionKind.Accept) {
            this.settle(proxy, (message as SessionRefuse).sessionId, undefined, "");
        }
        else if (message.kind === SessionKind.Refuse) {
            const { sessionId, fault, detail } = message as SessionRefuse;
            this.settle(proxy, sessionId, fault, detail);
        }
    }

    private carry(
        attachmentId: string,
        frame: FleetFrame,
        receiver: (found: Attachment) => EventLoop | undefined,
    ): void {
        const attachment = this.attachments.get(attachmentId);
        if (attachment === undefined) {
            return;
        }
        const target = receiver(attachment);
        const copy = decodeFrame(encodeFrame(frame))!;
        this.after(`${attachmentId}/${target === this.proxies.get(attachment.proxyId)?.loop}`, () => {
            if (this.attachments.get(attachmentId) === attachment) {
                target?.post({ kind: FleetKind.FrameReceived, attachmentId, frame: copy } as Message);
            }
        });
    }

    private publish({ streamId, update }: FeedSend): void {
        const proxy = [...this.proxies.values()].find(({ feed }) => feed?.streamId === streamId);
        const feed = proxy?.feed;
        if (proxy === undefined || feed === undefined) {
            return;
        }
        const parts = encodeUpdate(update);
        const address = addressOf(feed.memberId);
        feed.arriving += 1;
        this.after(
            streamId,
            () => {
                feed.arriving -= 1;
                if (proxy.feed === feed) {
                    const copy = decodeUpdate(parts);
                    proxy.version = copy.kind === UpdateKind.Snapshot ? copy.configuration.version : copy.toVersion;
                    proxy.loop.post({ kind: FeedKind.Received, address, update: copy } as Message);
                }
            },
            this.partsMs,
        );
    }

    /** A member that is sending is not left for one that is ahead. */
    private resubscribe(proxy: Proxy, ahead: readonly string[] | undefined): void {
        if (ahead === undefined || proxy.feed === undefined || proxy.feed.arriving === 0) {
            const addresses = ahead ?? this.memberIds.map(addressOf);
            this.subscribeLater(proxy, addresses[this.random.nextInteger(addresses.length)]!.split(":")[0]!);
        }
    }

    private subscribeLater(proxy: Proxy, memberId: string): void {
        proxy.feed = undefined;
        this.network.push({
            atMs: this.nowMs + retryMs,
            act: () => {
                if (proxy.feed === undefined && this.proxies.get(proxy.proxyId) === proxy) {
                    this.subscribe(proxy, memberId);
                }
            },
        });
    }

    private subscribe(proxy: Proxy, memberId: string): void {
        if (!this.cluster.isRunning(memberId)) {
            this.subscribeLater(proxy, this.drawMember());
            return;
        }
        const streamId = `f${this.nextId++}`;
        proxy.feed = { memberId, streamId, arriving: 0 };
        const { version } = proxy;
        this.after(
            streamId,
            () => this.cluster.post(memberId, { kind: FeedKind.Subscribe, streamId, version } as Message),
        );
    }

    private attachLater(proxy: Proxy, memberId: string): void {
        this.after("", () => {
            const running = this.proxies.get(proxy.proxyId) === proxy && this.cluster.isRunning(memberId);
            const attached = [...this.attachments.values()].some(attachment =>
                attachment.proxyId === proxy.proxyId && attachment.memberId === memberId
            );
            if (!running || attached) {
                return;
            }
            const attachmentId = `a${this.nextId++}`;
            this.attachments.set(attachmentId, { proxyId: proxy.proxyId, memberId, attachmentId });
            const kind = FleetKind.Attached;
            this.cluster.post(memberId, { kind, attachmentId, address: undefined } as Message);
            proxy.loop.post({ kind, attachmentId, address: addressOf(memberId) } as Message);
        });
    }

    private detach({ proxyId, memberId, attachmentId }: Attachment): void {
        this.attachments.delete(attachmentId);
        const detached = { kind: FleetKind.Detached, attachmentId } as Message;
        this.proxies.get(proxyId)?.loop.post(detached);
        this.cluster.post(memberId, detached);
    }

    private ask(caller: Caller): void {
        const proxy = this.proxies.get(caller.proxyId);
        if (proxy === undefined || caller.outcome !== undefined) {
            return;
        }
        const sessionId = `s${this.nextId++}`;
        proxy.callers.set(sessionId, caller);
        proxy.loop.post({ kind: SessionKind.Opened, sessionId, database: "orders", key: caller.key } as Message);
    }

    private settle(proxy: Proxy, sessionId: string, fault: StatementFault | undefined, detail: string): void {
        const caller = proxy.callers.get(sessionId);
        if (caller === undefined) {
            return;
        }
        if (fault === StatementFault.Busy) {
            this.network.push({ atMs: this.nowMs + callerRetryMs, act: () => this.ask(caller) });
        }
        else {
            caller.outcome = { atMs: this.nowMs, fault, detail };
        }
    }

    private drawMember(): string {
        return this.memberIds[this.random.nextInteger(this.memberIds.length)]!;
    }

    /** Messages of one stream keep their order. */
    private after(stream: string, act: () => void, extraMs = 0): void {
        const [least, greatest] = delaysMs;
        const delayMs = least + extraMs + this.random.nextInteger(greatest - least + 1);
        const earliestMs = stream === "" ? 0 : this.lastArrivalMs.get(stream) ?? 0;
        const atMs = Math.max(earliestMs, this.nowMs + delayMs);
        this.lastArrivalMs.set(stream, atMs);
        this.network.push({ atMs, act });
    }
}

export function keyOf(version: number): string {
    return `key${version}`;
}

function addressOf(memberId: string): string {
    return `${memberId}:1`;
}
