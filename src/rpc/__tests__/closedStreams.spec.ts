import type { ServerDuplexStream } from "@grpc/grpc-js";
import assert from "node:assert/strict";
import { EventEmitter, once } from "node:events";
import { describe, it } from "node:test";
import { setImmediate as nextIteration, setTimeout as delay } from "node:timers/promises";
import { type FleetFrame, FleetKind } from "../../model/fleetMessages.ts";
import { type PassedResult, PeerKind, type PeerQuestion } from "../../model/peerMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { FleetAcceptor } from "../fleetAcceptor.ts";
import { encodeFrame } from "../fleetCodec.ts";
import { FleetConnector } from "../fleetConnector.ts";
import { FleetClient, type FleetFrameMessage, type FleetServer, FleetService } from "../generated/fleet.ts";
import { type TaskFrameMessage, TasksClient, type TasksServer, TasksService } from "../generated/tasks.ts";
import { PeerAuthentication } from "../peerAuthentication.ts";
import { createPeerServer, listen } from "../peerChannel.ts";
import { ConnectionMode, PeerClientFactory } from "../peerClientFactory.ts";
import { encodeQuestion, encodeResult } from "../taskCodec.ts";
import { TaskStreams } from "../taskStreams.ts";
import { noopTraffic } from "./noopTraffic.ts";

/** Longer than the delivery of a frame that has arrived. */
const settleMs = 100;

const malformed = { body: Buffer.from("[]") };
const status: FleetFrame = {
    kind: "status",
    instanceId: "core0",
    leading: true,
    term: 9,
    members: [],
    configurationVersion: 1,
    instanceCount: 0,
};
const abandon: PeerQuestion = { kind: "abandon", sessionId: "s1", taskId: undefined };
const result: PassedResult = {
    kind: "task",
    taskId: "t1",
    reply: undefined,
    fault: undefined,
    sent: false,
    leads: false,
    pinned: false,
};

function authenticationOf(instanceId: string): PeerAuthentication {
    return new PeerAuthentication({ cluster: "c", instanceId, secret: "0123456789abcdef" });
}

/** Records the kinds of the messages that one end posts. */
class PostRecorder {
    readonly kinds: string[] = [];
    private readonly posted = new EventEmitter();
    readonly post = (message: Message): void => {
        this.kinds.push(message.kind);
        this.posted.emit(message.kind);
    };

    async waitFor(kind: string): Promise<void> {
        if (!this.kinds.includes(kind)) {
            await once(this.posted, kind, { signal: AbortSignal.timeout(5_000) });
        }
    }
}

/** Kinds that were posted after `endKind`, once all frames that had arrived are delivered. */
async function kindsAfter({ kinds }: PostRecorder, endKind: string): Promise<readonly string[]> {
    await nextIteration();
    await delay(settleMs);
    return kinds.slice(kinds.indexOf(endKind) + 1);
}

describe("a stream that was closed because of a malformed frame", () => {
    // Guards against a leader that is gone for good and still counts as the one to ask.
    it("delivers no later frame of a control member", async () => {
        const server = createPeerServer(authenticationOf("core0"));
        server.addService(
            FleetService,
            {
                attach: (stream: ServerDuplexStream<FleetFrameMessage, FleetFrameMessage>) => {
                    stream.on("error", () => undefined);
                    stream.write(malformed);
                    stream.write(encodeFrame(status));
                },
            } satisfies FleetServer as FleetServer,
        );
        const address = `127.0.0.1:${await listen(server, "127.0.0.1:0")}`;
        const recorder = new PostRecorder();
        await using connector = new FleetConnector({
            clientFactory: new PeerClientFactory({ authentication: authenticationOf("front0") }),
            post: recorder.post,
            random: new SeededRandom(1),
            traffic: noopTraffic,
            ownAddress: "front0",
        });
        connector.deliver({ kind: FleetKind.MembersKnown, addresses: [address] });
        await recorder.waitFor(FleetKind.Detached);
        const after = await kindsAfter(recorder, FleetKind.Detached);
        server.forceShutdown();
        assert.deepEqual(after.filter(kind => kind === FleetKind.FrameReceived), []);
    });

    it("delivers no later frame of an attached instance", async () => {
        const recorder = new PostRecorder();
        await using acceptor = new FleetAcceptor({ post: recorder.post, traffic: noopTraffic });
        const server = createPeerServer(authenticationOf("core0"));
        acceptor.register(server);
        const address = `127.0.0.1:${await listen(server, "127.0.0.1:0")}`;
        const clientFactory = new PeerClientFactory({ authentication: authenticationOf("front0") });
        const client = clientFactory.createClient(FleetClient, address, ConnectionMode.Dedicated);
        const stream = client.attach();
        stream.on("error", () => undefined);
        stream.on("data", () => undefined);
        stream.write(malformed);
        stream.write(encodeFrame({ kind: "want", sequence: 1, heard: 0, term: 0, wants: [] }));
        await recorder.waitFor(FleetKind.Detached);
        const after = await kindsAfter(recorder, FleetKind.Detached);
        client.close();
        server.forceShutdown();
        assert.deepEqual(after, []);
    });

    // Guards against a transaction on a link that no stream's end will give back.
    it("delivers no later task of an instance", async () => {
        const recorder = new PostRecorder();
        const clientFactory = new PeerClientFactory({ authentication: authenticationOf("front0") });
        await using streams = new TaskStreams({ clientFactory, post: recorder.post, traffic: noopTraffic });
        const server = createPeerServer(authenticationOf("front1"));
        streams.register(server);
        const address = `127.0.0.1:${await listen(server, "127.0.0.1:0")}`;
        const client = clientFactory.createClient(TasksClient, address, ConnectionMode.Dedicated);
        const stream = client.pass();
        stream.on("error", () => undefined);
        stream.on("data", () => undefined);
        stream.write(malformed);
        stream.write(encodeQuestion(abandon));
        await recorder.waitFor(PeerKind.Gone);
        const after = await kindsAfter(recorder, PeerKind.Gone);
        client.close();
        server.forceShutdown();
        assert.deepEqual(after, []);
    });

    it("delivers no later result of a holder", async () => {
        const server = createPeerServer(authenticationOf("front1"));
        server.addService(
            TasksService,
            {
                pass: (stream: ServerDuplexStream<TaskFrameMessage, TaskFrameMessage>) => {
                    stream.on("error", () => undefined);
                    stream.once("data", () => {
                        stream.write(malformed);
                        stream.write(encodeResult(result));
                    });
                },
            } satisfies TasksServer as TasksServer,
        );
        const address = `127.0.0.1:${await listen(server, "127.0.0.1:0")}`;
        const recorder = new PostRecorder();
        const clientFactory = new PeerClientFactory({ authentication: authenticationOf("front0") });
        await using streams = new TaskStreams({ clientFactory, post: recorder.post, traffic: noopTraffic });
        streams.deliver({ kind: PeerKind.Send, address, question: abandon });
        await recorder.waitFor(PeerKind.Lost);
        const after = await kindsAfter(recorder, PeerKind.Lost);
        server.forceShutdown();
        assert.deepEqual(after, []);
    });
});
