import assert from "node:assert/strict";
import { EventEmitter, once } from "node:events";
import { describe, it } from "node:test";
import { type PassedResult, type PeerAnswered, type PeerAsked, PeerKind } from "../../model/peerMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { PeerAuthentication } from "../peerAuthentication.ts";
import { createPeerServer, listen, shutDownServer } from "../peerChannel.ts";
import { PeerClientFactory } from "../peerClientFactory.ts";
import { TaskStreams } from "../taskStreams.ts";
import { noopTraffic } from "./noopTraffic.ts";

const answers = 200;

function streamsOf(instanceId: string): { streams: TaskStreams; posted: EventEmitter; } {
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
        // Guards against commits that ran and are in doubt because the holder ended right behind its answer.
        const holder = streamsOf("front1");
        const asker = streamsOf("front2");
        const server = createPeerServer(
            new PeerAuthentication({ cluster: "c", instanceId: "front1", secret: "0123456789abcdef" }),
        );
        holder.streams.register(server);
        const address = `127.0.0.1:${await listen(server, "127.0.0.1:0")}`;
        const asked = once(holder.posted, PeerKind.Asked);
        asker.streams.deliver({
            kind: PeerKind.Send,
            address,
            question: { kind: "abandon", sessionId: "s1", taskId: undefined },
        });
        const [{ streamId }] = await asked as [PeerAsked];
        const received: string[] = [];
        asker.posted.on(
            PeerKind.Answered,
            ({ result }: PeerAnswered) => received.push((result as PassedResult).taskId),
        );
        const lost = once(asker.posted, PeerKind.Lost);
        const sent = Array.from({ length: answers }, (_, index) => `t${index}`);
        sent.forEach(taskId => holder.streams.deliver({ kind: PeerKind.Answer, streamId, result: resultOf(taskId) }));
        await holder.streams[Symbol.asyncDispose]();
        await shutDownServer(server);
        await lost;
        assert.deepEqual(received, sent);
        await asker.streams[Symbol.asyncDispose]();
    });
});
