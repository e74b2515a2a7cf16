/** Tests the configuration feed between control members and instances with a slow network link. */
import type { Server } from "@grpc/grpc-js";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Server as SocketServer, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { MemberKind } from "../../control/memberMessages.ts";
import { PublicationFilter } from "../../control/publicationFilter.ts";
import { SubscriptionFilter } from "../../control/subscriptionFilter.ts";
import { Attachments } from "../../fleet/attachments.ts";
import { ClusterKind, type ConfigurationApplied } from "../../model/clusterMessages.ts";
import { type Configuration, emptyConfiguration } from "../../model/configuration.ts";
import {
    FeedKind,
    type FeedLost,
    type FeedReceived,
    type FeedResubscribe,
    type FeedSend,
} from "../../model/feedMessages.ts";
import { type FleetFrame, FleetKind } from "../../model/fleetMessages.ts";
import { DeadlineKind, type DeadlineMessage } from "../../pipeline/deadlineQueue.ts";
import type { Message } from "../../pipeline/message.ts";
import { Pipe } from "../../pipeline/pipe.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { ConfigurationFeed } from "../configurationFeed.ts";
import { ConfigurationSubscriber } from "../configurationSubscriber.ts";
import { PeerAuthentication } from "../peerAuthentication.ts";
import { createPeerServer, listen } from "../peerChannel.ts";
import { PeerClientFactory } from "../peerClientFactory.ts";

/** 2 Mbit/s, the bandwidth of a slow link at a site of the users. */
const linkBytesPerSecond = 250_000;
const linkTickMs = 20;

const pollIntervalMs = 10;

/** Longer than the first timeout of an attempt. */
const lateAnswerMs = 450;

/** `config_apply_ms` of the users: time in which a new configuration must be applied. */
const applyTimeoutMs = 4_000;

/** An instance must switch from a stuck or lagging member well within `config_apply_ms`. */
const switchLimitMs = 2_000;

/** Distance between seeds; the first random numbers of all small seeds are close to 1. */
const seedStep = 123_456_789;

interface Chunk {
    readonly bytes: Buffer;
    readonly target: Socket;
    readonly isForwarding: () => boolean;
}

const cleanups: (() => void)[] = [];

afterEach(() => cleanups.splice(0).reverse().forEach(close => close()));

/** Simulates the link of one instance: all connections of the instance share its bandwidth. */
class SlowLink {
    private queue: Chunk[] = [];

    constructor() {
        const timer = setInterval(() => this.transmit(), linkTickMs);
        cleanups.push(() => clearInterval(timer));
    }

    /**
     * @param isForwarding while it returns false, bytes to the instance are lost
     * @param delayMs time by which bytes to the instance are late
     * @returns address of a proxy to the port, which sends its traffic to the instance over this link
     */
    async createProxyTo(port: number, isForwarding: () => boolean = () => true, delayMs = 0): Promise<string> {
        const server: SocketServer = createServer(near => {
            const far = connect(port, "127.0.0.1");
            near.on("data", bytes => far.write(bytes));
            far.on("data", bytes => {
                const chunk: Chunk = { bytes, target: near, isForwarding };
                const timer = setTimeout(() => this.queue.push(chunk), delayMs);
                cleanups.push(() => clearTimeout(timer));
            });
            for (const socket of [near, far]) {
                socket.on("error", () => undefined);
                socket.on("close", () => [near, far].forEach(other => other.destroy()));
                cleanups.push(() => socket.destroy());
            }
        }).listen(0, "127.0.0.1");
        await once(server, "listening");
        cleanups.push(() => server.close());
        return `127.0.0.1:${(server.address() as AddressInfo).port}`;
    }

    private transmit(): void {
        let remainingBytes = linkBytesPerSecond * linkTickMs / 1_000;
        while (remainingBytes > 0 && this.queue.length > 0) {
            const { bytes, target, isForwarding } = this.queue.shift()!;
            if (!target.destroyed && isForwarding()) {
                target.write(bytes.subarray(0, remainingBytes));
                if (bytes.length > remainingBytes) {
                    this.queue.unshift({ bytes: bytes.subarray(remainingBytes), target, isForwarding });
                }
                remainingBytes -= Math.min(remainingBytes, bytes.length);
            }
        }
    }
}

class Member {
    readonly feed: ConfigurationFeed;
    private readonly publication = new PublicationFilter();

    constructor() {
        this.feed = new ConfigurationFeed({ post: message => this.run(message) });
    }

    async serve(name: string): Promise<number> {
        const server: Server = createPeerServer(authenticationOf(name));
        this.feed.register(server);
        cleanups.push(() => server.forceShutdown());
        return await listen(server, "127.0.0.1:0");
    }

    publish(configuration: Configuration): void {
        this.run({ kind: MemberKind.ConfigurationChanged, configuration } as Message);
    }

    private run(message: Message): void {
        const outputs = this.publication.process(message as Parameters<PublicationFilter["process"]>[0]);
        outputs.filter(({ kind }) => kind === FeedKind.Send).forEach(send => this.feed.deliver(send as FeedSend));
    }
}

class Instance {
    readonly subscriber: ConfigurationSubscriber;
    version = 0;
    resubscriptions = 0;
    private readonly attachments = new Attachments({
        instanceId: "i",
        dataCentre: "z",
        address: "i:1",
        serves: true,
        followsConfiguration: true,
    });
    private readonly subscription = new Pipe("control", [new SubscriptionFilter()]);
    private readonly addresses: readonly string[];
    private timer: NodeJS.Timeout | undefined;

    constructor(addresses: readonly string[], firstSeed = seedStep) {
        this.addresses = addresses;
        this.subscriber = createSubscriber(
            addresses,
            firstSeed,
            message => this.subscription.process(message, 0).forEach(output => this.handleOutput(output)),
        );
        this.subscriber.start();
        cleanups.push(() => {
            clearTimeout(this.timer);
            void this.subscriber[Symbol.asyncDispose]();
        });
        addresses.forEach((address, index) =>
            this.run({ kind: FleetKind.Attached, attachmentId: `o${index}`, address } as Message)
        );
    }

    /** The member at this index of the addresses announces its configuration version. */
    announce(memberIndex: number, version: number): void {
        const frame: FleetFrame = {
            kind: "status",
            instanceId: `m${memberIndex}`,
            leading: memberIndex === 0,
            term: 1,
            members: this.addresses,
            configurationVersion: version,
            instanceCount: 1,
        };
        this.run({ kind: FleetKind.FrameReceived, attachmentId: `o${memberIndex}`, frame } as Message);
    }

    /** Waits until the version is applied, or for `limitMs` if it is not applied within this time. */
    async waitForVersion(version: number, limitMs: number): Promise<void> {
        for (let waitedMs = 0; this.version < version && waitedMs < limitMs;) {
            const startMs = performance.now();
            await pause(pollIntervalMs);
            // The members and the link run in this process too, and cannot act while it gets no processor time.
            waitedMs += Math.min(performance.now() - startMs, 2 * pollIntervalMs);
        }
    }

    private run(message: Message): void {
        const outputs = this.attachments.process(message as never, performance.now());
        outputs.forEach(output => this.handleOutput(output));
    }

    private handleOutput(output: Message): void {
        if (output.kind === FeedKind.Resubscribe) {
            this.resubscriptions += 1;
            this.subscriber.deliver(output as FeedResubscribe);
        }
        else if (output.kind === ClusterKind.ConfigurationApplied) {
            const { version } = (output as ConfigurationApplied).configuration;
            if (version > this.version) {
                this.version = version;
                this.run(output);
            }
        }
        else if (
            output.kind === DeadlineKind.Set && (output as DeadlineMessage & { key: string; }).key === "fleet.behind"
        ) {
            const { atMs, message } = output as Message & { atMs: number; message: Message; };
            clearTimeout(this.timer);
            this.timer = setTimeout(() => this.run(message), Math.max(0, atMs - performance.now()));
        }
    }
}

describe("configuration feed over a slow link", { timeout: 30_000 }, () => {
    it("does not restart the transfer of a large configuration", async () => {
        const { members, instance } = await start(2);
        members.forEach(member => member.publish(configurationOf(5, 1_400, 5)));
        members.forEach((_, memberIndex) => instance.announce(memberIndex, 5));
        await instance.waitForVersion(5, applyTimeoutMs);
        assert.equal(instance.version, 5);
    });

    it("applies the last of many configurations that are published in quick succession", async () => {
        const { members, instance } = await start(2);
        for (let version = 5; version <= 24; version++) {
            members.forEach(member => member.publish(configurationOf(version, 1_000, version)));
            members.forEach((_, memberIndex) => instance.announce(memberIndex, version));
            await pause(50);
        }
        await instance.waitForVersion(24, applyTimeoutMs);
        assert.equal(instance.version, 24);
    });

    it("switches from a lagging member to one that is up to date", async () => {
        const { members, instance } = await start(3);
        members[1]!.publish(configurationOf(5, 100, 5));
        instance.announce(1, 5);
        await instance.waitForVersion(5, switchLimitMs);
        assert.equal(instance.version, 5);
    });

    it("gives an up-to-date member that answers late more time, although a lagging member answers at once", async () => {
        const { members, instance } = await start(2, () => true, memberIndex => memberIndex === 1 ? lateAnswerMs : 0);
        members[1]!.publish(configurationOf(5, 100, 5));
        instance.announce(1, 5);
        await instance.waitForVersion(5, applyTimeoutMs);
        assert.equal(instance.version, 5);
    });

    it("does not attempt an unresponsive member again instead of the pending attempt at another one", async () => {
        const member = new Member();
        member.publish(configurationOf(5, 1, 5));
        const addresses = [await findRefusingAddress(), `127.0.0.1:${await member.serve("m")}`];
        const failedAddresses: string[] = [];
        const received = new Promise<FeedReceived>(resolve => {
            const subscriber = createSubscriber(addresses, seedStep, message => {
                if (message.kind === FeedKind.Received) {
                    resolve(message as FeedReceived);
                }
                else if (message.kind === FeedKind.Lost && failedAddresses.length < 5) {
                    failedAddresses.push((message as FeedLost).address);
                    setImmediate(() => subscriber.deliver({ kind: FeedKind.Resubscribe, version: 0, addresses }));
                }
            });
            subscriber.start();
            cleanups.push(() => void subscriber[Symbol.asyncDispose]());
        });
        assert.equal((await received).address, addresses[1]);
        assert.deepEqual(failedAddresses, [addresses[0]]);
    });

    it("switches from a member whose stream is stuck in the middle of a configuration", async () => {
        let isStuck = false;
        const { members, instance } = await start(2, memberIndex => memberIndex !== 0 || !isStuck);
        members.forEach(member => member.publish(configurationOf(5, 1_000, 5)));
        members.forEach((_, memberIndex) => instance.announce(memberIndex, 5));
        await pause(200);
        assert.equal(instance.version, 0);
        isStuck = true;
        await instance.waitForVersion(5, applyTimeoutMs);
        assert.equal(instance.version, 5);
    });

    it("spreads instances that switch members over all members that are up to date", async () => {
        const { members, addresses, instance } = await start(4);
        const instances = [instance];
        for (let seed = 2; instances.length < 16; seed++) {
            instances.push(new Instance(addresses, seed * 100 * seedStep));
            while (members.reduce((sum, { feed }) => sum + feed.subscriberCount, 0) < instances.length) {
                await pause(10);
            }
        }
        for (const memberIndex of [1, 2, 3]) {
            members[memberIndex]!.publish(configurationOf(5, 1, 5));
        }
        instances.forEach(each => [1, 2, 3].forEach(memberIndex => each.announce(memberIndex, 5)));
        await Promise.all(instances.map(each => each.waitForVersion(5, applyTimeoutMs)));
        const counts = members.map(({ feed }) => feed.subscriberCount);
        const most = instances.length * 2 / 3;
        assert.deepEqual(counts.map(count => count > 1 && count < most), [false, true, true, true], counts.join());
    });

    it("encodes an update once for all subscribers", async () => {
        const { members, addresses, instance } = await start(1);
        const instances = [instance, new Instance(addresses), new Instance(addresses)];
        while (members[0]!.feed.subscriberCount < instances.length) {
            await pause(10);
        }
        let encodings = 0;
        const configuration = configurationOf(5, 1, 5);
        const entry = { ...configuration.documentEntries[0]! };
        Object.defineProperty(entry, "toJSON", {
            value: () => {
                encodings += 1;
                return { ...entry };
            },
        });
        members[0]!.publish({ ...configuration, documentEntries: [entry] });
        await Promise.all(instances.map(each => each.waitForVersion(5, applyTimeoutMs)));
        assert.deepEqual(instances.map(({ version }) => version), [5, 5, 5]);
        const late = [new Instance(addresses), new Instance(addresses)];
        await Promise.all(late.map(each => each.waitForVersion(5, applyTimeoutMs)));
        assert.deepEqual(late.map(({ version }) => version), [5, 5]);
        assert.equal(encodings, 1);
    });
});

async function start(
    count: number,
    isForwarding: (memberIndex: number) => boolean = () => true,
    delayMsOf: (memberIndex: number) => number = () => 0,
) {
    const link = new SlowLink();
    // An instance whose first attempt times out on a busy machine returns to the first member.
    let isStarted = false;
    const members = Array.from({ length: count }, () => new Member());
    const addresses: string[] = [];
    for (const [memberIndex, member] of members.entries()) {
        const port = await member.serve(`m${memberIndex}`);
        addresses.push(
            await link.createProxyTo(
                port,
                () => (memberIndex === 0 || isStarted) && isForwarding(memberIndex),
                delayMsOf(memberIndex),
            ),
        );
    }
    const instance = new Instance(addresses);
    while (members[0]!.feed.subscriberCount === 0) {
        await pause(10);
    }
    isStarted = true;
    await pause(200);
    return { members, addresses, instance };
}

/** @param firstSeed start of the search for a seed with which the subscriber selects the first address */
function createSubscriber(
    addresses: readonly string[],
    firstSeed: number,
    post: (message: Message) => void,
): ConfigurationSubscriber {
    let seed = firstSeed;
    while (new SeededRandom(seed).nextInteger(addresses.length) !== 0) {
        seed += seedStep;
    }
    return new ConfigurationSubscriber({
        clientFactory: new PeerClientFactory({ authentication: authenticationOf("i") }),
        addresses,
        random: new SeededRandom(seed),
        post,
    });
}

/** Returns an address at which nothing listens. */
async function findRefusingAddress(): Promise<string> {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    return `127.0.0.1:${port}`;
}

/** @param changed value that is part of the first 50 routes, so that these differ between versions */
function configurationOf(version: number, routes: number, changed: number): Configuration {
    const documentEntries = Array.from({ length: routes }, (_, index) => routeOf(index, index < 50 ? changed : 0));
    return {
        ...emptyConfiguration,
        version,
        documentHeads: [{ documentVersion: version, sections: [] }],
        documentEntries,
    };
}

const routes = new Map<string, Configuration["documentEntries"][number]>();

function routeOf(index: number, changed: number): Configuration["documentEntries"][number] {
    const key = `${index} ${changed}`;
    const known = routes.get(key);
    if (known !== undefined) {
        return known;
    }
    const body = JSON.stringify({
        name: `route-${index}`,
        path: `/shop/${index}/${changed}`,
        service: "order-core-1",
        kind: "bounded",
        max_staleness_ms: 1_500,
        timeout_ms: 1_000,
        priority: 2,
    });
    const route = { entryId: `routes/r${index}`, place: index + 1, body };
    routes.set(key, route);
    return route;
}

function authenticationOf(instanceId: string): PeerAuthentication {
    return new PeerAuthentication({ cluster: "c", instanceId, secret: "0123456789abcdef" });
}

async function pause(ms: number): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, ms));
}
