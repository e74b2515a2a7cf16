import assert from "node:assert/strict";
import { EventEmitter, once } from "node:events";
import { connect, type Socket } from "node:net";
import { describe, it } from "node:test";
import { type SessionAnswer, SessionKind } from "../../model/sessionMessages.ts";
import { TransactionState } from "../../model/sessionStatement.ts";
import type { Message } from "../../pipeline/message.ts";
import { WireServer } from "../wireServer.ts";

/** More than the buffers of the system take at once. */
const answerBytes = 3 * 1_048_576;

function largeAnswer(sessionId: string): SessionAnswer {
    const answer = {
        rows: ["x".repeat(answerBytes)],
        signature: "signature",
        fault: undefined,
        detail: "",
        transaction: TransactionState.None,
        position: undefined,
    };
    return { kind: SessionKind.Answer, sessionId, answer };
}

/** A caller who connects and reads nothing yet. */
async function startCaller(port: number, posted: EventEmitter): Promise<{ socket: Socket; sessionId: string; }> {
    const socket = connect({ host: "127.0.0.1", port });
    const opened = once(posted, SessionKind.Opened);
    socket.write("CONNECT orders k\r\n");
    const [message] = await opened as [{ readonly sessionId: string; }];
    return { socket, sessionId: message.sessionId };
}

describe("connections of callers", () => {
    for (const isClosed of [true, false]) {
        it(`deliver the last answer before the end, with a session that is ${isClosed ? "closed" : "open"}`, async () => {
            // Guards against answers that still wait behind a slow connection when the process ends.
            const posted = new EventEmitter();
            const post = (message: Message): void => void posted.emit(message.kind, message);
            const server = new WireServer({ host: "127.0.0.1", port: 0, post });
            await server.listen();
            const { socket, sessionId } = await startCaller(server.port, posted);
            server.deliver(largeAnswer(sessionId));
            if (isClosed) {
                server.deliver({ kind: SessionKind.Close, sessionId });
            }
            let receivedBytes = 0;
            setTimeout(() => socket.on("data", chunk => receivedBytes += chunk.length), 20);
            await server[Symbol.asyncDispose]();
            assert.equal(receivedBytes > answerBytes, true);
            socket.destroy();
        });
    }

    it("do not hold up the end when callers never read or close", async () => {
        const posted = new EventEmitter();
        const post = (message: Message): void => void posted.emit(message.kind, message);
        const server = new WireServer({ host: "127.0.0.1", port: 0, post });
        await server.listen();
        const { socket, sessionId } = await startCaller(server.port, posted);
        server.deliver(largeAnswer(sessionId));
        const limit = AbortSignal.timeout(400);
        await server[Symbol.asyncDispose]();
        assert.equal(limit.aborted, false);
        socket.destroy();
    });
});
