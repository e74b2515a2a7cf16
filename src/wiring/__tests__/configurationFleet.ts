/**
 * Simulates control members and proxies in virtual time, from the document that an operator sends to the sessions of
 * callers.
 */
import assert from "node:assert/strict";
import { FakeCluster, type ProcessParts } from "../../control/__tests__/fakeCluster.ts";
import { ClusterKind } from "../../model/clusterMessages.ts";
import { ControlKind } from "../../model/controlMessages.ts";
import {
    type ConfigurationDocument,
    type DocumentAnswered,
    DocumentKind,
    DocumentResult,
} from "../../model/document.ts";
import { FeedKind, type FeedResubscribe, type FeedSend, UpdateKind } from "../../model/feedMessages.ts";
import {
    type FleetFrame,
    FleetKind,
    type PermitAnswer,
    type PolicyIncomplete,
    type SendFrame,
} from "../../model/fleetMessages.ts";
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

/** Minimum and maximum one-way delay of a message. */
const delaysMs = [2, 12] as const;

/** Delay before a proxy tries another member, and before a caller that was refused as busy connects again. */
const retryIntervalMs = 50;
const callerRetryIntervalMs = 500;

/** Kinds of messages that leave the pipes of a process and are not simulated. */
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
    /** Number of members whose disks may be lost at the same time. */
    readonly tolerance: number;
    readonly proxies: number;
    readonly seed: number;
    /** Number of log entries between two snapshots. */
    readonly snapshotEntries?: number;
}

/** A caller that connects again until its session is accepted or refused permanently. */
export interface Caller {
    readonly proxyId: string;
    readonly key: string;
    readonly sinceMs: number;
    /** Undefined until the session is open or refused permanently. */
    outcome:
        | { readonly atMs: number; readonly fault: StatementFault | undefined; readonly detail: string; }
        | undefined;
}

interface Proxy {
    readonly proxyId: string;
    readonly clock: VirtualClock;
    readonly loop: EventLoop;
    readonly callers: Map<string, Caller>;
    /** The subscription to the configuration feed of a member. */
    subscription: Subscription | undefined;
    version: number;
}

interface Subscription {
    readonly memberId: string;
    readonly streamId: string;
    /** Number of updates that are being transferred. */
    inFlightUpdates: number;
}

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
    /** What the processes reported about documents that they could not decode. */
    readonly incompletePolicies: PolicyIncomplete[] = [];
    /** Permits that the members granted. */
    readonly permitAnswers: PermitAnswer[] = [];
    private scheduledEvents: { readonly atMs: number; readonly run: () => void; }[] = [];
    private readonly lastArrivalMs = new Map<string, number>();
    private readonly keys: string[] = [];
    /** `PROXY/MEMBER` of the links that are cut. */
    private readonly cutLinks = new Set<string>();
    private nextId = 0;
    /** Version of the latest document that was acknowledged. */
    acknowledgedVersion = 0;
    /** Transfer time of the parts of an update, in addition to the delay of a message. */
    updateTransferMs = 0;

    constructor(options: ConfigurationFleetOptions) {
        this.options = options;
        this.random = new SeededRandom(options.seed);
        const { members, tolerance, proxies, snapshotEntries = 1_024 } = options;
        this.memberIds = Array.from({ length: members }, (_, index) => `m${index}`);
        this.proxyIds = Array.from({ length: proxies }, (_, index) => `p${index}`);
        const processPartsOf = (memberId: string): ProcessParts => this.processPartsOf(memberId);
        this.cluster = new FakeCluster(members, options.seed, {
            faultTolerance: tolerance,
            snapshotEntries,
            processPartsOf,
        });
        this.cluster.runUntil("a first leader", () => this.cluster.leader() !== undefined);
        this.putKey();
        this.proxyIds.forEach(proxyId => this.startProxy(proxyId));
    }

    get nowMs(): number {
        return this.cluster.nowMs;
    }

    /** Adds a key in a new version of the document, which is sent until it is acknowledged. Returns the key. */
    putKey(): string {
        const version = this.acknowledgedVersion + 1;
        this.keys.push(keyOf(version));
        this.putDocument(decodeDocument(this.documentText(version)));
        return keyOf(version);
    }

    /** Stores a version whose change has passed a check that the processes here do not have. */
    putUnchecked(change: (document: ConfigurationDocument) => ConfigurationDocument): void {
        this.putDocument(change(decodeDocument(this.documentText(this.acknowledgedVersion + 1))));
    }

    /** Sends a document to the leader once, and returns the answer. */
    putOnce(document: ConfigurationDocument): DocumentResult {
        const leader = this.cluster.leader()!;
        const requestId = `r${this.nextId++}`;
        this.cluster.post(leader.memberId, { kind: DocumentKind.Put, requestId, document } as Message);
        this.runUntil("an answer", () => this.answers.has(requestId));
        return this.answers.get(requestId)!.result;
    }

    private putDocument(document: ConfigurationDocument): void {
        let requestId = "";
        this.runUntil("an acknowledgement", () => {
            const result = this.answers.get(requestId)?.result;
            if (result === DocumentResult.Accepted) {
                return true;
            }
            const leader = this.cluster.leader();
            if (leader !== undefined && (requestId === "" || result !== undefined)) {
                requestId = `r${this.nextId++}`;
                this.cluster.post(leader.memberId, { kind: DocumentKind.Put, requestId, document } as Message);
            }
            return false;
        });
        this.acknowledgedVersion = document.documentVersion;
    }

    /** Connects a caller, which connects again each time that it is refused as busy. */
    connectCaller(proxyId: string, key: string): Caller {
        const caller: Caller = { proxyId, key, sinceMs: this.nowMs, outcome: undefined };
        this.callers.push(caller);
        this.openSession(caller);
        return caller;
    }

    stopMember(memberId: string): void {
        this.cluster.losePower(memberId);
        [...this.attachments.values()].filter(attachment => attachment.memberId === memberId)
            .forEach(attachment => this.detach(attachment));
        [...this.proxies.values()].filter(({ subscription }) => subscription?.memberId === memberId)
            .forEach(proxy => {
                proxy.subscription = undefined;
                this.subscribeLater(proxy, this.randomMember());
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

    /** @param firstMemberId first member to which the proxy subscribes; random by default */
    startProxy(proxyId: string, firstMemberId = this.randomMember()): void {
        const clock = new VirtualClock();
        clock.advanceTo(this.nowMs);
        const seed = this.random.nextInteger(1 << 30);
        const pipes = buildProxyPipes({ instanceId: proxyId, dataCentre: "dc", rpcAddress: `${proxyId}:1`, seed });
        const sinks = [this.sinkOf(message => this.handleProxyOutput(proxy, message)), this.ignoreUnhandled(pipes)];
        const loop = new EventLoop({ clock, pipes, sinks });
        const proxy: Proxy = { proxyId, clock, loop, callers: new Map(), subscription: undefined, version: 0 };
        this.proxies.set(proxyId, proxy);
        this.memberIds.forEach(memberId => this.attachLater(proxy, memberId));
        this.subscribe(proxy, firstMemberId);
        this.callers.filter(caller => caller.proxyId === proxyId && caller.outcome === undefined)
            .forEach(caller => this.openSession(caller));
    }

    /** Cuts the links between a proxy and members, without a trace at the proxy but the end of its connections. */
    cutProxy(proxyId: string, memberIds: readonly string[] = this.memberIds): void {
        memberIds.forEach(memberId => this.cutLinks.add(`${proxyId}/${memberId}`));
        [...this.attachments.values()].filter(attachment => this.isCut(attachment.proxyId, attachment.memberId))
            .forEach(attachment => this.detach(attachment));
        const proxy = this.proxies.get(proxyId)!;
        if (proxy.subscription !== undefined && memberIds.includes(proxy.subscription.memberId)) {
            this.subscribeLater(proxy, this.randomMember());
        }
    }

    /** Ends all cuts of a proxy. */
    joinProxy(proxyId: string): void {
        this.memberIds.forEach(memberId => this.cutLinks.delete(`${proxyId}/${memberId}`));
        const proxy = this.proxies.get(proxyId)!;
        this.memberIds.forEach(memberId => this.attachLater(proxy, memberId));
    }

    run(durationMs: number): void {
        for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
            this.cluster.run(stepMs);
            const due = this.scheduledEvents.filter(({ atMs }) => atMs <= this.nowMs);
            this.scheduledEvents = this.scheduledEvents.filter(({ atMs }) => atMs > this.nowMs);
            due.sort((left, right) => left.atMs - right.atMs).forEach(({ run }) => run());
            this.proxies.forEach(({ clock }) => clock.advanceTo(this.nowMs));
        }
    }

    runUntil(description: string, done: () => boolean, limitMs = 30_000): void {
        for (const endMs = this.nowMs + limitMs; !done();) {
            assert.ok(this.nowMs < endMs, `not reached: ${description}`);
            this.run(stepMs);
        }
    }

    private documentText(version: number): string {
        const route = { name: "orders", host: "orders", kind: "primary", timeout_ms: 1_000, service: "s" };
        const tenant = { name: "t", api_keys: this.keys, rate_per_s: 100 };
        return JSON.stringify({ version, routes: [route], services: [{ name: "s" }], tenants: [tenant] });
    }

    private processPartsOf(memberId: string): ProcessParts {
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
        return {
            pipes,
            sinks: [this.sinkOf(message => this.handleMemberOutput(message)), this.ignoreUnhandled(pipes)],
        };
    }

    private sinkOf(deliver: (message: Message) => void): Sink {
        const accepts = [
            FleetKind.PolicyIncomplete,
            FleetKind.SendFrame,
            FeedKind.Send,
            FeedKind.Resubscribe,
            DocumentKind.Answered,
            SessionKind.Accept,
            SessionKind.Refuse,
        ];
        return {
            accepts,
            deliver: message =>
                message.kind === FleetKind.PolicyIncomplete
                    ? void this.incompletePolicies.push(message as PolicyIncomplete)
                    : deliver(message),
        };
    }

    private ignoreUnhandled(pipes: readonly Pipe[]): Sink {
        const handledKinds = new Set<string>(pipes.flatMap(pipe => [...pipe.accepts]));
        return { accepts: ignoredKinds.filter(kind => !handledKinds.has(kind)), deliver: () => undefined };
    }

    private handleMemberOutput(message: Message): void {
        if (message.kind === DocumentKind.Answered) {
            this.answers.set((message as DocumentAnswered).requestId, message as DocumentAnswered);
        }
        else if (message.kind === FleetKind.SendFrame) {
            const { attachmentId, frame } = message as SendFrame;
            this.permitAnswers.push(...frame.kind === "permits" ? frame.answers : []);
            this.deliverFrame(attachmentId, frame, attachment => this.proxies.get(attachment.proxyId)?.loop);
        }
        else if (message.kind === FeedKind.Send) {
            this.deliverUpdate(message as FeedSend);
        }
    }

    private handleProxyOutput(proxy: Proxy, message: Message): void {
        if (message.kind === FleetKind.SendFrame) {
            const { attachmentId, frame } = message as SendFrame;
            this.deliverFrame(attachmentId, frame, ({ memberId }) => this.cluster.nodes.get(memberId)?.loop);
        }
        else if (message.kind === FeedKind.Resubscribe) {
            const { addresses, version } = message as FeedResubscribe;
            proxy.version = version;
            this.resubscribe(proxy, addresses);
        }
        else if (message.kind === SessionKind.Accept) {
            this.handleSessionResult(proxy, (message as SessionRefuse).sessionId, undefined, "");
        }
        else if (message.kind === SessionKind.Refuse) {
            const { sessionId, fault, detail } = message as SessionRefuse;
            this.handleSessionResult(proxy, sessionId, fault, detail);
        }
    }

    private deliverFrame(
        attachmentId: string,
        frame: FleetFrame,
        receiver: (found: Attachment) => EventLoop | undefined,
    ): void {
        const attachment = this.attachments.get(attachmentId);
        if (attachment === undefined) {
            return;
        }
        const target = receiver(attachment);
        const decoded = decodeFrame(encodeFrame(frame))!;
        this.schedule(`${attachmentId}/${target === this.proxies.get(attachment.proxyId)?.loop}`, () => {
            if (this.attachments.get(attachmentId) === attachment) {
                target?.post({ kind: FleetKind.FrameReceived, attachmentId, frame: decoded } as Message);
            }
        });
    }

    private deliverUpdate({ streamId, update }: FeedSend): void {
        const proxy = [...this.proxies.values()].find(({ subscription }) => subscription?.streamId === streamId);
        const subscription = proxy?.subscription;
        if (proxy === undefined || subscription === undefined) {
            return;
        }
        const parts = encodeUpdate(update);
        const address = addressOf(subscription.memberId);
        subscription.inFlightUpdates += 1;
        this.schedule(
            streamId,
            () => {
                subscription.inFlightUpdates -= 1;
                if (proxy.subscription === subscription) {
                    const decoded = decodeUpdate(parts);
                    proxy.version = decoded.kind === UpdateKind.Snapshot
                        ? decoded.configuration.version
                        : decoded.toVersion;
                    proxy.loop.post({ kind: FeedKind.Received, address, update: decoded } as Message);
                }
            },
            this.updateTransferMs,
        );
    }

    /** Does not switch from a member that is transferring an update to one with a later version. */
    private resubscribe(proxy: Proxy, upToDateAddresses: readonly string[] | undefined): void {
        if (
            upToDateAddresses === undefined || proxy.subscription === undefined
            || proxy.subscription.inFlightUpdates === 0
        ) {
            const addresses = upToDateAddresses ?? this.memberIds.map(addressOf);
            this.subscribeLater(proxy, addresses[this.random.nextInteger(addresses.length)]!.split(":")[0]!);
        }
    }

    private subscribeLater(proxy: Proxy, memberId: string): void {
        proxy.subscription = undefined;
        this.scheduledEvents.push({
            atMs: this.nowMs + retryIntervalMs,
            run: () => {
                if (proxy.subscription === undefined && this.proxies.get(proxy.proxyId) === proxy) {
                    this.subscribe(proxy, memberId);
                }
            },
        });
    }

    private subscribe(proxy: Proxy, memberId: string): void {
        if (!this.cluster.isRunning(memberId) || this.isCut(proxy.proxyId, memberId)) {
            this.subscribeLater(proxy, this.randomMember());
            return;
        }
        const streamId = `f${this.nextId++}`;
        proxy.subscription = { memberId, streamId, inFlightUpdates: 0 };
        const { version } = proxy;
        this.schedule(
            streamId,
            () => this.cluster.post(memberId, { kind: FeedKind.Subscribe, streamId, version } as Message),
        );
    }

    private isCut(proxyId: string, memberId: string): boolean {
        return this.cutLinks.has(`${proxyId}/${memberId}`);
    }

    private attachLater(proxy: Proxy, memberId: string): void {
        this.schedule("", () => {
            const isRunning = this.proxies.get(proxy.proxyId) === proxy && this.cluster.isRunning(memberId);
            const isAttached = [...this.attachments.values()].some(attachment =>
                attachment.proxyId === proxy.proxyId && attachment.memberId === memberId
            );
            if (!isRunning || isAttached || this.isCut(proxy.proxyId, memberId)) {
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

    private openSession(caller: Caller): void {
        const proxy = this.proxies.get(caller.proxyId);
        if (proxy === undefined || caller.outcome !== undefined) {
            return;
        }
        const sessionId = `s${this.nextId++}`;
        proxy.callers.set(sessionId, caller);
        proxy.loop.post({ kind: SessionKind.Opened, sessionId, database: "orders", key: caller.key } as Message);
    }

    private handleSessionResult(
        proxy: Proxy,
        sessionId: string,
        fault: StatementFault | undefined,
        detail: string,
    ): void {
        const caller = proxy.callers.get(sessionId);
        if (caller === undefined) {
            return;
        }
        if (fault === StatementFault.Busy) {
            this.scheduledEvents.push({
                atMs: this.nowMs + callerRetryIntervalMs,
                run: () => this.openSession(caller),
            });
        }
        else {
            caller.outcome = { atMs: this.nowMs, fault, detail };
        }
    }

    private randomMember(): string {
        return this.memberIds[this.random.nextInteger(this.memberIds.length)]!;
    }

    /** Schedules the arrival of a message. Messages of one stream stay in order. */
    private schedule(stream: string, run: () => void, extraMs = 0): void {
        const [minimumMs, maximumMs] = delaysMs;
        const delayMs = minimumMs + extraMs + this.random.nextInteger(maximumMs - minimumMs + 1);
        const earliestMs = stream === "" ? 0 : this.lastArrivalMs.get(stream) ?? 0;
        const atMs = Math.max(earliestMs, this.nowMs + delayMs);
        this.lastArrivalMs.set(stream, atMs);
        this.scheduledEvents.push({ atMs, run });
    }
}

export function keyOf(version: number): string {
    return `key${version}`;
}

function addressOf(memberId: string): string {
    return `${memberId}:1`;
}
