import { type Server, type ServiceError, status } from "@grpc/grpc-js";
import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { DatabaseRole } from "../../model/database.ts";
import {
    HealthKind,
    type Heartbeat,
    type HeartbeatAnswer,
    type HeartbeatAnswered,
    type HeartbeatReceived,
    OrderKind,
} from "../../model/healthMessages.ts";
import { ResourceKind } from "../../model/lease.ts";
import type { Message } from "../../pipeline/message.ts";
import { encodeAnnouncement } from "../announcementCodec.ts";
import { AnnouncementRpcServer } from "../announcementRpcServer.ts";
import { AnnouncementClient, type AnnounceRequest } from "../generated/announcement.ts";
import { HeartbeatRpcClient } from "../heartbeatRpcClient.ts";
import { HeartbeatRpcServer } from "../heartbeatRpcServer.ts";
import { PeerAuthentication } from "../peerAuthentication.ts";
import { createPeerServer, listen } from "../peerChannel.ts";
import { PeerClientFactory } from "../peerClientFactory.ts";

const announcement = {
    databaseId: "d1",
    groupId: "g1",
    service: "orders",
    dataCentre: "north",
    address: "127.0.0.1:3306",
    slots: 3,
    connectionLimit: 20,
    role: DatabaseRole.Replica,
    position: { term: 2, offset: 70 },
    groupSize: 3,
    departing: false,
};

const lease = { resource: ResourceKind.Database, resourceId: "d1", epoch: 4 };

const heartbeat: Heartbeat = {
    instanceId: "i1",
    address: "127.0.0.1:7000",
    dataCentre: "north",
    incarnation: "a1",
    configurationVersion: 9,
    directoryTerm: 3,
    directoryRevision: 12,
    draining: true,
    heard: [{ announcement, ageMs: 40 }],
    heardUnchanged: [{ databaseId: "d2", ageMs: 30 }],
    leases: [lease],
    givenBack: [{ ...lease, resource: ResourceKind.Permits, resourceId: "shop@north" }],
    held: [{ databaseId: "d1", reachable: false, consecutiveFailures: 2, position: announcement.position, askId: "q" }],
    demands: [{ workspace: "shop", dataCentre: "north", wantedPerSecond: 2.5, versionInForce: 7 }],
    orderResults: [{ orderId: "o1", failure: "refused" }, { orderId: "o2", failure: undefined }],
};

const answer: HeartbeatAnswer = {
    leading: true,
    leaderAddress: undefined,
    leaderTerm: 3,
    configurationVersion: 9,
    renewed: [lease],
    directoryRevision: 13,
    directory: [{ announcement, available: true }],
    asks: [{ databaseId: "d1", askId: "q2" }],
    releases: [{ databaseId: "d1", atOnce: true }],
    orders: [
        { orderId: "o3", databaseId: "d1", order: { kind: OrderKind.Promote, term: 5 } },
        { orderId: "o4", databaseId: "d2", order: { kind: OrderKind.Follow, term: 5, primaryAddress: "127.0.0.1:1" } },
    ],
    resend: ["d2"],
    nextHeartbeatMs: 50,
};

const servers: Server[] = [];

afterEach(() => servers.splice(0).forEach(server => server.forceShutdown()));

function authenticationWith(word: string): PeerAuthentication {
    return new PeerAuthentication({ cluster: "c", instanceId: "i1", secret: `the ${word} cluster secret` });
}

function clientFactoryWith(word: string): PeerClientFactory {
    return new PeerClientFactory({ authentication: authenticationWith(word) });
}

/** Starts a server with both services on loopback; all heartbeats are answered with `answer`. */
async function startServer(posted: Message[]): Promise<{ readonly address: string; readonly server: Server; }> {
    const announcements = new AnnouncementRpcServer({
        cluster: "c",
        post: message => posted.push(message),
    });
    const heartbeats = new HeartbeatRpcServer({
        post: message => {
            posted.push(message);
            const { callId } = message as HeartbeatReceived;
            heartbeats.deliver({ kind: HealthKind.HeartbeatReply, callId, answer });
        },
    });
    const server = createPeerServer(authenticationWith("right"));
    servers.push(server);
    server.addService(announcements.service, announcements.implementation);
    server.addService(heartbeats.service, heartbeats.implementation);
    return { address: `127.0.0.1:${await listen(server, "127.0.0.1:0")}`, server };
}

async function announce(address: string, secret: string, request: AnnounceRequest): Promise<ServiceError | undefined> {
    const client = clientFactoryWith(secret).createClient(AnnouncementClient, address);
    const error = await new Promise<ServiceError | undefined>(resolve => {
        client.announce(request, failure => resolve(failure ?? undefined));
    });
    client.close();
    return error;
}

async function sendHeartbeat(
    address: string,
    secret: string,
    parts: Partial<Heartbeat> = {},
): Promise<HeartbeatAnswered> {
    let resolveMessage: (message: Message) => void = () => {};
    const result = new Promise<Message>(resolve => resolveMessage = resolve);
    await using sink = new HeartbeatRpcClient({
        clientFactory: clientFactoryWith(secret),
        post: message => resolveMessage(message),
    });
    sink.deliver({
        kind: HealthKind.HeartbeatSend,
        heartbeatId: 1,
        peerAddress: address,
        timeoutMs: 5_000,
        heartbeat: { ...heartbeat, ...parts },
    });
    return await result as HeartbeatAnswered;
}

describe("health services", () => {
    it("refuses an invalid announcement with a status that names the field", async () => {
        const posted: Message[] = [];
        const { address } = await startServer(posted);
        const request = { ...encodeAnnouncement(announcement), cluster: "c" };
        const faults: [Partial<AnnounceRequest>, RegExp][] = [
            [{ cluster: "other" }, /cluster/],
            [{ databaseId: "" }, /database_id/],
            [{ databaseId: "d 1" }, /database_id/],
            [{ groupId: "g/1" }, /group_id/],
            [{ service: "orders\n" }, /service/],
            [{ address: "10.0.0.1:99999" }, /address/],
            [{ address: "10.0.0.1:0" }, /address/],
            [{ slots: 4_294_967_295 }, /slots/],
            [{ address: "nowhere" }, /address/],
            // The address becomes a part of an order to the other databases of the group.
            [{ address: "10.0.0.1' TERM 99; -- :3306" }, /address/],
            [{ address: "10.0.0.1\n:3306" }, /address/],
            [{ connectionLimit: 0 }, /connection_limit/],
            [{ role: "leader" }, /role/],
            [{ position: undefined }, /position/],
        ];
        for (const [fault, field] of faults) {
            const error = await announce(address, "right", { ...request, ...fault });
            assert.equal(error?.code, status.INVALID_ARGUMENT);
            assert.match(error.details, field);
        }
        assert.equal((await announce(address, "wrong", request))?.code, status.UNAUTHENTICATED);
        assert.deepEqual(posted, []);
        assert.equal(await announce(address, "right", request), undefined);
        assert.deepEqual(posted, [{ kind: "cluster.database_announced", announcement }]);
    });

    it("transfers a heartbeat and its answer unchanged", async () => {
        const posted: Message[] = [];
        const { address } = await startServer(posted);
        assert.deepEqual((await sendHeartbeat(address, "right")).answer, answer);
        assert.deepEqual((posted[0] as HeartbeatReceived).heartbeat, heartbeat);
    });

    it("refuses a heartbeat with an odd name or amount, which would block the leader's changes for all instances", async () => {
        const posted: Message[] = [];
        const { address } = await startServer(posted);
        const [demand] = heartbeat.demands;
        const faults: Partial<Heartbeat>[] = [
            { instanceId: "i/1" },
            { dataCentre: "north@x" },
            { incarnation: "a/1" },
            { demands: [{ ...demand!, wantedPerSecond: NaN }] },
            { demands: [{ ...demand!, wantedPerSecond: Infinity }] },
            { demands: [{ ...demand!, wantedPerSecond: -1 }] },
        ];
        for (const fault of faults) {
            assert.equal((await sendHeartbeat(address, "right", fault)).answer, undefined, JSON.stringify(fault));
        }
        assert.deepEqual(posted, []);
    });

    it("takes a heartbeat without the announcement that an earlier release should have refused", async () => {
        const posted: Message[] = [];
        const { address } = await startServer(posted);
        const heard = [{ announcement: { ...announcement, databaseId: "d 1" }, ageMs: 5 }, ...heartbeat.heard];
        assert.deepEqual((await sendHeartbeat(address, "right", { heard })).answer, answer);
        assert.deepEqual((posted[0] as HeartbeatReceived).heartbeat.heard, heartbeat.heard);
    });

    it("reports a heartbeat without an answer for an unauthenticated or unreachable peer", async () => {
        const { address, server } = await startServer([]);
        assert.equal((await sendHeartbeat(address, "wrong")).answer, undefined);
        server.forceShutdown();
        assert.equal((await sendHeartbeat(address, "right")).answer, undefined);
    });
});
