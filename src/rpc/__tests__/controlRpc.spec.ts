import type { Server } from "@grpc/grpc-js";
import assert from "node:assert/strict";
import { EventEmitter, once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { emptyConfiguration } from "../../model/configuration.ts";
import { FeedKind, type FeedReceived, type FeedSubscribe, UpdateKind } from "../../model/feedMessages.ts";
import { LogKind, type PeerMessage } from "../../model/logMessages.ts";
import { EntryKind, ObjectList, RecordKind } from "../../model/replicatedLog.ts";
import type { Message } from "../../pipeline/message.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { ConfigurationFeed } from "../configurationFeed.ts";
import { ConfigurationSubscriber } from "../configurationSubscriber.ts";
import { LogTransport } from "../logTransport.ts";
import { PeerAuthentication } from "../peerAuthentication.ts";
import { createPeerServer, listen } from "../peerChannel.ts";
import { PeerClientFactory } from "../peerClientFactory.ts";

const servers: Server[] = [];

afterEach(() => servers.splice(0).forEach(server => server.forceShutdown()));

function authenticationOf(instanceId: string): PeerAuthentication {
    return new PeerAuthentication({ cluster: "c", instanceId, secret: "0123456789abcdef" });
}

function clientFactoryOf(instanceId: string): PeerClientFactory {
    return new PeerClientFactory({ authentication: authenticationOf(instanceId) });
}

/** Queues posted messages; `next` removes the first one and waits for it if necessary. */
class Inbox {
    private readonly emitter = new EventEmitter();
    private readonly messages: Message[] = [];

    readonly post = (message: Message): void => {
        this.messages.push(message);
        this.emitter.emit("message");
    };

    get size(): number {
        return this.messages.length;
    }

    async next<Found extends Message>(): Promise<Found> {
        while (this.messages.length === 0) {
            await once(this.emitter, "message");
        }
        return this.messages.shift() as Found;
    }
}

async function startServer(instanceId: string, part: { register(server: Server): void; }): Promise<string> {
    const server = createPeerServer(authenticationOf(instanceId));
    part.register(server);
    servers.push(server);
    return `127.0.0.1:${await listen(server, "127.0.0.1:0")}`;
}

describe("log transport", () => {
    it("delivers a request to a member that listens only after it was sent", async () => {
        // Guards against a follower that hears of its leader a heartbeat late, because both have just started.
        const inbox = new Inbox();
        await using peersA = new LogTransport({ clientFactory: clientFactoryOf("a"), post: () => undefined });
        await using peersB = new LogTransport({ clientFactory: clientFactoryOf("b"), post: inbox.post });
        const reservation = createServer().listen(0, "127.0.0.1");
        await once(reservation, "listening");
        const { port } = reservation.address() as AddressInfo;
        reservation.close();
        await once(reservation, "close");
        const a = { memberId: "a", incarnation: "1", address: "127.0.0.1:1" };
        const b = { memberId: "b", incarnation: "2", address: `127.0.0.1:${port}` };
        peersA.deliver({
            kind: LogKind.Send,
            body: { kind: LogKind.JoinRequest, from: a, to: b, term: 0, callId: "" },
        });
        await new Promise(resolve => setTimeout(resolve, 150));
        const server = createPeerServer(authenticationOf("b"));
        peersB.register(server);
        servers.push(server);
        await listen(server, b.address);
        const received = await inbox.next<PeerMessage>();
        assert.equal(received.kind, LogKind.JoinRequest);
        assert.equal(peersA.failedCallCount, 0);
    });

    it("transfers every request and its answer unchanged between two members", async () => {
        const [inboxA, inboxB] = [new Inbox(), new Inbox()];
        await using peersA = new LogTransport({ clientFactory: clientFactoryOf("a"), post: inboxA.post });
        await using peersB = new LogTransport({ clientFactory: clientFactoryOf("b"), post: inboxB.post });
        const address = await startServer("b", peersB);
        const a = { memberId: "a", incarnation: "1", address: "127.0.0.1:1" };
        const b = { memberId: "b", incarnation: "2", address };
        const head = { from: a, to: b, term: 3, callId: "" };
        const answerHead = { from: b, to: a, term: 4 };
        const entries = [{ index: 8, term: 2, body: { kind: EntryKind.Members, members: [a, b] } }];
        const records = [{ kind: RecordKind.Retired, objectId: "keys/k", version: 1 }];
        const logPosition = { lastIndex: 9, lastTerm: 2 };
        const pairs: readonly [PeerMessage, object][] = [
            [{ ...head, ...logPosition, kind: LogKind.VoteRequest, preVote: true }, {
                kind: LogKind.VoteAnswer,
                preVote: true,
                granted: true,
                requestTerm: 3,
            }],
            [{ ...head, kind: LogKind.AppendRequest, previousIndex: 7, previousTerm: 1, entries, commitIndex: 6 }, {
                kind: LogKind.AppendAnswer,
                accepted: true,
                index: 8,
                knowsEvacuations: true,
            }],
            [
                {
                    ...head,
                    ...logPosition,
                    kind: LogKind.SnapshotRequest,
                    members: [a],
                    version: 5,
                    offset: 2,
                    records,
                    last: true,
                },
                { kind: LogKind.SnapshotAnswer, lastIndex: 9, nextOffset: 3, installed: true },
            ],
            [{ ...head, kind: LogKind.JoinRequest }, { kind: LogKind.JoinAnswer, formed: true, members: [a, b] }],
        ];
        for (const [request, answer] of pairs) {
            peersA.deliver({ kind: LogKind.Send, body: request });
            const received = await inboxB.next<PeerMessage>();
            assert.deepEqual({ ...received, callId: "" }, request);
            peersB.deliver({
                kind: LogKind.Send,
                body: { ...answerHead, ...answer, callId: received.callId } as PeerMessage,
            });
            assert.deepEqual(await inboxA.next(), { ...answerHead, ...answer, callId: "" });
        }
    });

    it("refuses a message whose sender is not the authenticated instance", async () => {
        const inbox = new Inbox();
        await using peersB = new LogTransport({ clientFactory: clientFactoryOf("b"), post: inbox.post });
        const address = await startServer("b", peersB);
        await using impostor = new LogTransport({ clientFactory: clientFactoryOf("x"), post: () => undefined });
        const from = { memberId: "a", incarnation: "1", address: "" };
        const to = { memberId: "b", incarnation: "2", address };
        impostor.deliver({ kind: LogKind.Send, body: { kind: LogKind.JoinRequest, from, to, term: 0, callId: "" } });
        while (impostor.failedCallCount === 0) {
            await new Promise(resolve => setImmediate(resolve));
        }
        const authenticMember = new LogTransport({ clientFactory: clientFactoryOf("a"), post: () => undefined });
        authenticMember.deliver({
            kind: LogKind.Send,
            body: { kind: LogKind.JoinRequest, from, to, term: 7, callId: "" },
        });
        assert.equal((await inbox.next<PeerMessage>()).term, 7);
        await authenticMember[Symbol.asyncDispose]();
    });
});

describe("configuration feed over gRPC", () => {
    it("delivers snapshots and deltas, and subscribes to another member when one fails", async () => {
        const memberInboxes = [new Inbox(), new Inbox()];
        const feeds = memberInboxes.map(({ post }) => new ConfigurationFeed({ post }));
        const addresses = [await startServer("m0", feeds[0]!), await startServer("m1", feeds[1]!)];
        const inbox = new Inbox();
        const random = new SeededRandom(1);
        await using subscriber = new ConfigurationSubscriber({
            clientFactory: clientFactoryOf("i"),
            addresses,
            post: inbox.post,
            random,
        });
        const first = new SeededRandom(1).nextInteger(2);
        subscriber.start();
        const subscription = await memberInboxes[first]!.next<FeedSubscribe>();
        assert.equal(subscription.version, 0);
        assert.deepEqual(await inbox.next(), { kind: FeedKind.Opened, address: addresses[first], version: 0 });
        const workspace = { name: "w", ratePerSecond: 1.5, burst: 2, keyValidityMs: 3, version: 1 };
        const configuration = { ...emptyConfiguration, version: 4, workspaces: [workspace] };
        const updates = [
            { kind: UpdateKind.Snapshot, configuration },
            {
                kind: UpdateKind.Delta,
                fromVersion: 4,
                toVersion: 6,
                upserts: [{ list: ObjectList.Workspaces, value: { ...workspace, version: 2 } }],
                removals: [{ list: ObjectList.Keys, objectId: "k" }],
            },
        ];
        for (const update of updates) {
            feeds[first]!.deliver({ kind: FeedKind.Send, streamId: subscription.streamId, update });
            assert.deepEqual((await inbox.next<FeedReceived>()).update, update);
        }
        servers[first]!.forceShutdown();
        assert.equal((await memberInboxes[1 - first]!.next<FeedSubscribe>()).version, 6);
        subscriber.deliver({ kind: FeedKind.Resubscribe, version: 5 });
        const messages = [
            await memberInboxes[1 - first]!.next(),
            await memberInboxes[1 - first]!.next<FeedSubscribe>(),
        ];
        assert.deepEqual(messages.map(({ kind }) => kind), [FeedKind.Unsubscribe, FeedKind.Subscribe]);
        assert.equal((messages[1] as FeedSubscribe).version, 5);
        await feeds[1]![Symbol.asyncDispose]();
    });

    it("switches from an unresponsive member to another one, and stays subscribed without updates", {
        timeout: 15_000,
    }, async () => {
        // Guards against an instance that waits a second for a machine without power although other members are up.
        const sockets: Socket[] = [];
        const unresponsiveServer = createServer(socket => void sockets.push(socket.on("error", () => undefined)))
            .listen(0, "127.0.0.1");
        await once(unresponsiveServer, "listening");
        const memberInbox = new Inbox();
        const feed = new ConfigurationFeed({ post: memberInbox.post });
        const unresponsiveAddress = `127.0.0.1:${(unresponsiveServer.address() as AddressInfo).port}`;
        let seed = 1;
        while (new SeededRandom(seed).nextInteger(2) !== 0) {
            seed += 1;
        }
        await using subscriber = new ConfigurationSubscriber({
            clientFactory: clientFactoryOf("i"),
            addresses: [unresponsiveAddress, await startServer("m0", feed)],
            post: () => undefined,
            random: new SeededRandom(seed),
        });
        const startMs = performance.now();
        subscriber.start();
        assert.equal((await memberInbox.next<FeedSubscribe>()).version, 0);
        // Without the timeout of the subscriber, gRPC would give up the connection after 20 s.
        assert.ok(performance.now() - startMs < 2_500, "the attempt at the unresponsive member took too long");
        await new Promise(resolve => setTimeout(resolve, 700));
        assert.equal(feed.subscriberCount, 1);
        assert.equal(memberInbox.size, 0);
        await feed[Symbol.asyncDispose]();
        sockets.forEach(socket => socket.destroy());
        unresponsiveServer.close();
    });
});
