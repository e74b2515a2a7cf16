import assert from "node:assert/strict";
import { EventEmitter, once } from "node:events";
import { describe, it } from "node:test";
import { FleetKind } from "../../model/fleetMessages.ts";
import {
    type PassedResult,
    type PeerAnswered,
    type PeerAsked,
    PeerKind,
    type PeerLost,
} from "../../model/peerMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { PeerAuthentication } from "../peerAuthentication.ts";
import { createPeerServer, listen, shutDownServer } from "../peerChannel.ts";
import { PeerClientFactory } from "../peerClientFactory.ts";
import { TaskStreams } from "../taskStreams.ts";
import { noopTraffic } from "./noopTraffic.ts";

const resultCount = 200;

function createStreams(instanceId: string): { streams: TaskStreams; posted: EventEmitter; } {
    const authentication = new PeerAuthentication({ cluster: "c", instanceId, secret: "0123456789abcdef" });
    const posted = new EventEmitter();
    const post = (message: Message): void => void posted.emit(message.kind, message);
    const clientFactory = new PeerClientFactory({ authentication });
    return { streams: new TaskStreams({ clientFactory, post, traffic: noopTraffic }), posted };
}

function resultOf(taskId: string): PassedResult {
    return { kind: "task", taskId, reply: undefined, fault: undefined, sent: false, leads: false, pinned: false };
}

/** A holder with its server, and another instance that asks it. */
class StreamsFixture implements AsyncDisposable {
    readonly holder = createStreams("front1");
    readonly client = createStreams("front2");
    readonly server = createPeerServer(
        new PeerAuthentication({ cluster: "c", instanceId: "front1", secret: "0123456789abcdef" }),
    );
    private address = "";

    static async start(): Promise<StreamsFixture> {
        const fixture = new StreamsFixture();
        fixture.holder.streams.register(fixture.server);
        fixture.address = `127.0.0.1:${await listen(fixture.server, "127.0.0.1:0")}`;
        return fixture;
    }

    ask(sessionId: string): void {
        const question = { kind: "abandon", sessionId, taskId: undefined } as const;
        this.client.streams.deliver({ kind: PeerKind.Send, address: this.address, question });
    }

    /** Asks, and returns the id of the stream on which the holder has received the question. */
    async openStream(): Promise<string> {
        const asked = once(this.holder.posted, PeerKind.Asked);
        this.ask("s1");
        const [{ streamId }] = await asked as [PeerAsked];
        return streamId;
    }

    /** Task ids of the answers that the client receives from now on. */
    recordAnswers(): readonly string[] {
        const taskIds: string[] = [];
        this.client.posted.on(
            PeerKind.Answered,
            ({ result }: PeerAnswered) => taskIds.push((result as PassedResult).taskId),
        );
        return taskIds;
    }

    async endHolder(): Promise<void> {
        await this.holder.streams[Symbol.asyncDispose]();
        await shutDownServer(this.server);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.client.streams[Symbol.asyncDispose]();
    }
}

describe("task streams", () => {
    it("deliver the last results of an instance before its end", async () => {
        // Guards against commits with an unknown outcome, because the holder ended before the answer was sent.
        await using fixture = await StreamsFixture.start();
        const { holder, client } = fixture;
        const streamId = await fixture.openStream();
        const received = fixture.recordAnswers();
        const lost = once(client.posted, PeerKind.Lost);
        const sent = Array.from({ length: resultCount }, (_, index) => `t${index}`);
        sent.forEach(taskId => holder.streams.deliver({ kind: PeerKind.Answer, streamId, result: resultOf(taskId) }));
        await fixture.endHolder();
        await lost;
        assert.deepEqual(received, sent);
    });

    for (const drained of [true, false]) {
        it(`tell whether a question that crosses with the end of ${drained ? "a" : "no"} drained holder may run`, async () => {
            // Guards against writes in doubt that a stopping holder has never read.
            await using fixture = await StreamsFixture.start();
            const { holder, client } = fixture;
            const streamId = await fixture.openStream();
            const events = fixture.recordAnswers();
            const lost = once(client.posted, PeerKind.Lost);
            if (drained) {
                holder.streams.deliver({ kind: FleetKind.Drained });
            }
            holder.streams.deliver({ kind: PeerKind.Answer, streamId, result: resultOf("t1") });
            fixture.ask("s2");
            await fixture.endHolder();
            const [{ unansweredNotRun }] = await lost as [PeerLost];
            assert.deepEqual([events, unansweredNotRun], [["t1"], drained]);
        });
    }

    it("tell that a question is not run whose stream opens while a drained holder ends", async () => {
        // Guards against writes in doubt that are the first of their instance to a holder whose server still accepts.
        await using fixture = await StreamsFixture.start();
        const { holder, client, server } = fixture;
        holder.streams.deliver({ kind: FleetKind.Drained });
        await holder.streams[Symbol.asyncDispose]();
        const asked = once(holder.posted, PeerKind.Asked);
        const lost = once(client.posted, PeerKind.Lost);
        fixture.ask("s1");
        await Promise.race([asked, lost]);
        await shutDownServer(server);
        const [{ unansweredNotRun }] = await lost as [PeerLost];
        assert.equal(unansweredNotRun, true);
    });

    it("tell that a question may run whose holder has died after the answers of its drain", async () => {
        await using fixture = await StreamsFixture.start();
        const { holder, client, server } = fixture;
        await fixture.openStream();
        holder.streams.deliver({ kind: FleetKind.Drained });
        const lost = once(client.posted, PeerKind.Lost);
        server.forceShutdown();
        const [{ unansweredNotRun }] = await lost as [PeerLost];
        assert.equal(unansweredNotRun, false);
    });
});
