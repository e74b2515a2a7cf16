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

describe("task streams", () => {
    it("deliver the last results of an instance before its end", async () => {
        // Guards against commits with an unknown outcome, because the holder ended before the answer was sent.
        const holder = createStreams("front1");
        const client = createStreams("front2");
        const server = createPeerServer(
            new PeerAuthentication({ cluster: "c", instanceId: "front1", secret: "0123456789abcdef" }),
        );
        holder.streams.register(server);
        const address = `127.0.0.1:${await listen(server, "127.0.0.1:0")}`;
        const asked = once(holder.posted, PeerKind.Asked);
        client.streams.deliver({
            kind: PeerKind.Send,
            address,
            question: { kind: "abandon", sessionId: "s1", taskId: undefined },
        });
        const [{ streamId }] = await asked as [PeerAsked];
        const received: string[] = [];
        client.posted.on(
            PeerKind.Answered,
            ({ result }: PeerAnswered) => received.push((result as PassedResult).taskId),
        );
        const lost = once(client.posted, PeerKind.Lost);
        const sent = Array.from({ length: resultCount }, (_, index) => `t${index}`);
        sent.forEach(taskId => holder.streams.deliver({ kind: PeerKind.Answer, streamId, result: resultOf(taskId) }));
        await holder.streams[Symbol.asyncDispose]();
        await shutDownServer(server);
        await lost;
        assert.deepEqual(received, sent);
        await client.streams[Symbol.asyncDispose]();
    });

    for (const drained of [true, false]) {
        it(`tell whether a question that crosses with the end of ${drained ? "a" : "no"} drained holder may run`, async () => {
            // Guards against writes in doubt that a stopping holder has never read.
            const holder = createStreams("front1");
            const client = createStreams("front2");
            const server = createPeerServer(
                new PeerAuthentication({ cluster: "c", instanceId: "front1", secret: "0123456789abcdef" }),
            );
            holder.streams.register(server);
            const address = `127.0.0.1:${await listen(server, "127.0.0.1:0")}`;
            const ask = (sessionId: string): void =>
                client.streams.deliver({
                    kind: PeerKind.Send,
                    address,
                    question: { kind: "abandon", sessionId, taskId: undefined },
                });
            const asked = once(holder.posted, PeerKind.Asked);
            ask("s1");
            const [{ streamId }] = await asked as [PeerAsked];
            const events: unknown[] = [];
            client.posted.on(
                PeerKind.Answered,
                ({ result }: PeerAnswered) => events.push((result as PassedResult).taskId),
            );
            const lost = once(client.posted, PeerKind.Lost);
            if (drained) {
                holder.streams.deliver({ kind: FleetKind.Drained });
            }
            holder.streams.deliver({ kind: PeerKind.Answer, streamId, result: resultOf("t1") });
            ask("s2");
            await holder.streams[Symbol.asyncDispose]();
            await shutDownServer(server);
            const [{ unansweredNotRun }] = await lost as [PeerLost];
            assert.deepEqual([events, unansweredNotRun], [["t1"], drained]);
            await client.streams[Symbol.asyncDispose]();
        });
    }

    it("tell that a question is not run whose stream opens while a drained holder ends", async () => {
        // Guards against writes in doubt that are the first of their instance to a holder whose server still accepts.
        const holder = createStreams("front1");
        const client = createStreams("front2");
        const server = createPeerServer(
            new PeerAuthentication({ cluster: "c", instanceId: "front1", secret: "0123456789abcdef" }),
        );
        holder.streams.register(server);
        const address = `127.0.0.1:${await listen(server, "127.0.0.1:0")}`;
        holder.streams.deliver({ kind: FleetKind.Drained });
        await holder.streams[Symbol.asyncDispose]();
        const asked = once(holder.posted, PeerKind.Asked);
        const lost = once(client.posted, PeerKind.Lost);
        const question = { kind: "abandon", sessionId: "s1", taskId: undefined } as const;
        client.streams.deliver({ kind: PeerKind.Send, address, question });
        await Promise.race([asked, lost]);
        await shutDownServer(server);
        const [{ unansweredNotRun }] = await lost as [PeerLost];
        assert.equal(unansweredNotRun, true);
        await client.streams[Symbol.asyncDispose]();
    });

    it("tell that a question may run whose holder has died after the answers of its drain", async () => {
        const holder = createStreams("front1");
        const client = createStreams("front2");
        const server = createPeerServer(
            new PeerAuthentication({ cluster: "c", instanceId: "front1", secret: "0123456789abcdef" }),
        );
        holder.streams.register(server);
        const address = `127.0.0.1:${await listen(server, "127.0.0.1:0")}`;
        const asked = once(holder.posted, PeerKind.Asked);
        const question = { kind: "abandon", sessionId: "s1", taskId: undefined } as const;
        client.streams.deliver({ kind: PeerKind.Send, address, question });
        await asked;
        holder.streams.deliver({ kind: FleetKind.Drained });
        const lost = once(client.posted, PeerKind.Lost);
        server.forceShutdown();
        const [{ unansweredNotRun }] = await lost as [PeerLost];
        assert.equal(unansweredNotRun, false);
        await client.streams[Symbol.asyncDispose]();
    });
});
