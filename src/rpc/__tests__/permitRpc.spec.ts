import type { Server } from "@grpc/grpc-js";
import assert from "node:assert/strict";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { pipeline } from "node:stream";
import { afterEach, beforeEach, describe, it } from "node:test";
import {
    type PermitForward,
    type PermitGranted,
    PermitKind,
    type PermitRequest,
    type PermitRetired,
    type PermitRetireRequested,
    RetireOutcome,
} from "../../model/permitMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { PermitsService } from "../generated/permits.ts";
import { PeerAuthentication } from "../peerAuthentication.ts";
import { createPeerServer, listen } from "../peerChannel.ts";
import { PeerClientFactory } from "../peerClientFactory.ts";
import { PermitClient } from "../permitClient.ts";
import { PermitServer } from "../permitServer.ts";

function authenticationWith(word: string): PeerAuthentication {
    return new PeerAuthentication({ cluster: "c", instanceId: "a", secret: `the ${word} cluster secret` });
}

let server: Server;
let homeAddress: string;
let receivedRequests: PermitRequest[];
let retirements: unknown[];
/** Time that the permit home takes for an answer. */
let answerDelayMs: number;
let timers: NodeJS.Timeout[];

function answer(reply: () => void): void {
    if (answerDelayMs === 0) {
        reply();
    }
    else {
        timers.push(setTimeout(reply, answerDelayMs));
    }
}

describe("permits between instances", () => {
    beforeEach(async () => {
        receivedRequests = [];
        retirements = [];
        answerDelayMs = 0;
        timers = [];
        server = createPeerServer(authenticationWith("right"));
        const permitServer: PermitServer = new PermitServer({
            post: message => {
                if (message.kind === PermitKind.RetireRequested) {
                    const { origin, resourceId, epoch } = message as PermitRetireRequested;
                    retirements.push({ resourceId, epoch });
                    answer(() =>
                        permitServer.deliver({ kind: PermitKind.RetireReply, origin, known: true, waitMs: 40 })
                    );
                    return;
                }
                const request = message as PermitRequest;
                receivedRequests.push(request);
                const { origin, requestId, workspace, wanted } = request;
                const body = { origin, requestId, workspace, granted: wanted - 1, retryAfterMs: 7, answered: true };
                answer(() => permitServer.deliver({ kind: PermitKind.Reply, ...body }));
            },
        });
        server.addService(PermitsService, permitServer.handlers);
        homeAddress = `127.0.0.1:${await listen(server, "127.0.0.1:0")}`;
    });

    afterEach(() => {
        timers.forEach(timer => clearTimeout(timer));
        server.forceShutdown();
    });

    it("sends the questions of one iteration of the event loop in one call, and answers each of them", async () => {
        const granted = await requestPermits("right", ["shop", "desk"]);
        assert.deepEqual(granted.map(({ workspace, granted: count }) => [workspace, count]), [["shop", 2], [
            "desk",
            2,
        ]]);
        assert.equal(receivedRequests.length, 2);
        assert.equal(receivedRequests[0]!.origin, receivedRequests[1]!.origin);
        assert.equal(receivedRequests[0]!.instanceId, "a");
        assert.equal(receivedRequests[0]!.sentMs, 12.5);
        assert.equal(receivedRequests[0]!.settledRequestId, "a.1-4");
        assert.deepEqual(granted[0], {
            kind: PermitKind.Granted,
            requestId: "q0",
            workspace: "shop",
            granted: 2,
            retryAfterMs: 7,
            answered: true,
        });
    });

    it("counts the time limit of a call from its connection, which a starved process establishes late", async () => {
        await using relay = await startRelay(homeAddress, 250);
        const granted = await requestPermits("right", ["shop"], relay.address);
        assert.deepEqual(granted.map(({ answered, granted: count }) => [answered, count]), [[true, 2]]);
    });

    it("sends only the latest question of a workspace once a late connection is ready", async () => {
        // Guards against permits for questions that have expired at the instance that asked.
        await using relay = await startRelay(homeAddress, 250);
        const granted = await requestPermits("right", ["shop", "shop"], relay.address);
        assert.deepEqual(granted.map(({ requestId, answered }) => [requestId, answered]), [["q0", false], [
            "q1",
            true,
        ]]);
        assert.deepEqual(receivedRequests.map(({ requestId }) => requestId), ["q1"]);
    });

    it("answers a question to a permit home that accepts no connection in time", async () => {
        await using relay = await startRelay(homeAddress, 60_000);
        const [granted] = await requestPermits("right", ["shop"], relay.address);
        assert.equal(granted!.answered, false);
        assert.deepEqual(receivedRequests, []);
    });

    it("passes on an answer that a starved process reads late, for admission to judge its age", async () => {
        answerDelayMs = 250;
        const granted = await requestPermits("right", ["shop"]);
        assert.deepEqual(granted.map(({ answered, granted: count }) => [answered, count]), [[true, 2]]);
    });

    it("answers a question that a permit home never answers", async () => {
        answerDelayMs = 60_000;
        const [granted] = await requestPermits("right", ["shop"]);
        assert.equal(granted!.answered, false);
    });

    it("refuses an unauthenticated caller before its question reaches the permit home", async () => {
        const [granted] = await requestPermits("wrong", ["shop"]);
        assert.equal(granted!.answered, false);
        assert.deepEqual(receivedRequests, []);
    });

    it("answers a question to an unreachable permit home, so that the workspace can ask again", async () => {
        server.forceShutdown();
        const [granted] = await requestPermits("right", ["shop"]);
        assert.equal(granted!.answered, false);
        assert.equal(granted!.granted, 0);
    });

    it("distinguishes a former permit home that has ended from a process that is gone", async () => {
        assert.deepEqual(await requestRetirement("right"), { outcome: RetireOutcome.Ended, waitMs: 40 });
        assert.deepEqual(retirements, [{ resourceId: "shop@north", epoch: 7 }]);
        server.forceShutdown();
        assert.equal((await requestRetirement("right")).outcome, RetireOutcome.Gone);
    });

    it("takes the word of a former permit home that a starved process reads late", async () => {
        // Guards against a new home that waits for the whole lease although the former one has ended.
        answerDelayMs = 250;
        await using relay = await startRelay(homeAddress, 250);
        const retired = await requestRetirement("right", relay.address);
        assert.deepEqual(retired, { outcome: RetireOutcome.Ended, waitMs: 40 });
    });

    it("reports a former permit home that never answers as unresponsive", async () => {
        answerDelayMs = 60_000;
        assert.equal((await requestRetirement("right")).outcome, RetireOutcome.Unresponsive);
    });

    it("reports a refused call as no answer, since the former home may still grant permits", async () => {
        assert.equal((await requestRetirement("wrong")).outcome, RetireOutcome.Unresponsive);
    });
});

async function requestRetirement(
    word: string,
    address: string = homeAddress,
): Promise<Pick<PermitRetired, "outcome" | "waitMs">> {
    const retired = await new Promise<PermitRetired>(resolve => {
        const client = new PermitClient({
            instanceId: "a",
            clientFactory: new PeerClientFactory({ authentication: authenticationWith(word) }),
            post: (message: Message) => resolve(message as PermitRetired),
        });
        client.deliver({ kind: PermitKind.Retire, homeAddress: address, resourceId: "shop@north", epoch: 7 });
    });
    return { outcome: retired.outcome, waitMs: retired.waitMs };
}

interface Relay extends AsyncDisposable {
    readonly address: string;
}

/** Forwards connections to a server on loopback, the first bytes of each after a delay. */
async function startRelay(targetAddress: string, delayMs: number): Promise<Relay> {
    const sockets = new Set<Socket>();
    const timers = new Set<NodeJS.Timeout>();
    const relay = createServer(incoming => {
        sockets.add(incoming);
        timers.add(setTimeout(() => {
            const outgoing = connect(Number(targetAddress.split(":")[1]), "127.0.0.1");
            sockets.add(outgoing);
            pipeline(incoming, outgoing, incoming, () => {});
        }, delayMs));
    });
    await new Promise<void>(resolve => relay.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(relay.address() as AddressInfo).port}`,
        async [Symbol.asyncDispose]() {
            timers.forEach(timer => clearTimeout(timer));
            sockets.forEach(socket => socket.destroy());
            await new Promise(resolve => relay.close(resolve));
        },
    };
}

async function requestPermits(
    word: string,
    workspaces: readonly string[],
    address: string = homeAddress,
): Promise<readonly PermitGranted[]> {
    const received: PermitGranted[] = [];
    return await new Promise(resolve => {
        const client = new PermitClient({
            instanceId: "a",
            clientFactory: new PeerClientFactory({ authentication: authenticationWith(word) }),
            post: (message: Message) => {
                received.push(message as PermitGranted);
                if (received.length === workspaces.length) {
                    void client[Symbol.asyncDispose]().then(() => resolve(received));
                }
            },
        });
        workspaces.forEach((workspace, index) => client.deliver(forwardOf(`q${index}`, workspace, address)));
    });
}

function forwardOf(requestId: string, workspace: string, address: string): PermitForward {
    return {
        kind: PermitKind.Forward,
        homeAddress: address,
        requestId,
        instanceId: "a",
        workspace,
        wanted: 3,
        returned: 0,
        settledRequestId: "a.1-4",
        held: 0,
        sentMs: 12.5,
    };
}
