import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { text } from "node:stream/consumers";
import { describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { MessageDefect, SessionKind, type SessionMessageRefused } from "../../model/sessionMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { WireServer } from "../wireServer.ts";
import { defaultWireServerLimits, type WireServerLimits } from "../wireServerLimits.ts";

/** Maximum of the wait for what must happen. */
const waitMs = 10_000;

class Listener implements AsyncDisposable {
    readonly posted: Message[] = [];
    private readonly server: WireServer;
    private readonly sockets: Socket[] = [];

    constructor(limits: Partial<WireServerLimits>) {
        const post = (message: Message): void => void this.posted.push(message);
        this.server = new WireServer({
            host: "127.0.0.1",
            port: 0,
            post,
            limits: { ...defaultWireServerLimits, ...limits },
        });
    }

    get defects(): readonly [string, MessageDefect][] {
        return this.posted
            .filter(({ kind }) => kind === SessionKind.MessageRefused)
            .map(message => message as SessionMessageRefused)
            .map(({ sessionId, defect }) => [sessionId, defect]);
    }

    get connectionCount(): number {
        return this.server.connectionCount;
    }

    listen(): Promise<void> {
        return this.server.listen();
    }

    /** Connects a caller and waits until the listener has accepted it. */
    async connect(sent = "", allowHalfOpen = false): Promise<Socket> {
        const socket = connect({ host: "127.0.0.1", port: this.server.port, allowHalfOpen });
        this.sockets.push(socket);
        socket.on("error", () => socket.destroy());
        await once(socket, "connect");
        socket.write(sent);
        await delay(20);
        return socket;
    }

    async waitFor(isMet: () => boolean): Promise<void> {
        const endMs = performance.now() + waitMs;
        while (!isMet()) {
            assert.ok(performance.now() < endMs, `not met; defects: ${JSON.stringify(this.defects)}`);
            await delay(5);
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.sockets.forEach(socket => socket.destroy());
        await this.server[Symbol.asyncDispose]();
    }
}

/** Sends a byte at a time until the other side closes; ends by itself after the maximum wait. */
async function trickle(socket: Socket): Promise<void> {
    const endMs = performance.now() + waitMs;
    while (!socket.destroyed && performance.now() < endMs) {
        socket.write("x");
        await delay(20);
    }
}

describe("a caller that takes up connections or memory of the listener", () => {
    it("is ended when it sends bytes without end in place of CONNECT", async () => {
        await using listener = new Listener({ openingTimeoutMs: 200 });
        await listener.listen();
        const socket = await listener.connect();
        socket.resume();
        await trickle(socket);
        assert.deepEqual(listener.defects, [["s0", MessageDefect.NotOpened]]);
    });

    it("is ended when a message that has begun does not end, and no idle session is", async () => {
        await using listener = new Listener({ messageTimeoutMs: 200 });
        await listener.listen();
        await listener.connect("CONNECT orders k\r\n");
        const socket = await listener.connect("CONNECT orders k\r\nQUERY 1 READ ");
        socket.resume();
        await trickle(socket);
        assert.deepEqual(listener.defects, [["s1", MessageDefect.Incomplete]]);
        assert.equal(listener.connectionCount, 1);
        assert.equal(listener.posted.at(-1)!.kind, SessionKind.Closed);
    });

    it("keeps its session while each message of many is complete in time", async () => {
        await using listener = new Listener({ messageTimeoutMs: 400 });
        await listener.listen();
        const socket = await listener.connect("CONNECT orders k\r\nQUERY 0 READ ");
        for (let index = 1; index <= 8; index++) {
            await delay(100);
            socket.write(`x\r\nQUERY ${index} READ `);
        }
        socket.write("x\r\n");
        await listener.waitFor(() => listener.posted.filter(({ kind }) => kind === SessionKind.Requested).length === 9);
        await delay(500);
        assert.deepEqual([listener.defects, listener.connectionCount], [[], 1]);
    });

    it("is not ended for bytes that arrived in time while the process stood still", async () => {
        await using listener = new Listener({ openingTimeoutMs: 100, messageTimeoutMs: 100 });
        await listener.listen();
        const unopened = await listener.connect();
        const opened = await listener.connect("CONNECT orders k\r\nQUERY 1 READ ");
        unopened.write("CONNECT orders k\r\n");
        opened.write("x\r\n");
        Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 300);
        await listener.waitFor(() => listener.posted.length > 2);
        assert.deepEqual([listener.defects, listener.connectionCount], [[], 2]);
    });

    it("loses the oldest connection without CONNECT when it opens too many, and others still connect", async () => {
        await using listener = new Listener({ maximumUnopened: 2 });
        await listener.listen();
        const oldest = await listener.connect();
        const told = text(oldest);
        await listener.connect();
        await listener.connect("CONNECT orders k\r\n");
        await listener.connect();
        await listener.waitFor(() => listener.defects.length > 0);
        assert.deepEqual(listener.defects, [["s0", MessageDefect.NotOpened]]);
        assert.equal(await told, "ERROR BUSY too many connections without CONNECT\r\n");
        assert.equal(listener.connectionCount, 3);
    });

    it("is told at once that the listener keeps no more connections, and may connect when one has ended", async () => {
        await using listener = new Listener({ maximumConnections: 1 });
        await listener.listen();
        const first = await listener.connect("CONNECT orders k\r\n");
        const refused = await listener.connect("CONNECT orders k\r\n");
        await listener.waitFor(() => listener.defects.length > 0);
        assert.equal(await text(refused), "ERROR BUSY too many connections\r\n");
        assert.deepEqual(listener.defects, [["s1", MessageDefect.TooManyConnections]]);
        first.destroy();
        await listener.waitFor(() => listener.connectionCount === 0);
        await listener.connect("CONNECT orders k\r\n");
        await listener.waitFor(() => listener.posted.filter(({ kind }) => kind === SessionKind.Opened).length === 2);
    });

    it("cannot keep connections that were ended", async () => {
        await using listener = new Listener({ maximumConnections: 0, maximumEnded: 1 });
        await listener.listen();
        const socket = await listener.connect("", true);
        socket.resume();
        await delay(100);
        assert.equal(socket.destroyed, false);
        await listener.connect();
        await trickle(socket);
        assert.equal(socket.destroyed, true);
    });

    it("is ended first when its incomplete message is the largest and all exceed their memory", async () => {
        await using listener = new Listener({ incompleteBytes: 10_000 });
        await listener.listen();
        const start = "CONNECT orders k\r\n";
        await listener.connect(start + "x".repeat(3_000));
        await listener.connect(start + "x".repeat(6_000));
        assert.equal(listener.connectionCount, 2);
        await listener.connect(start + "x".repeat(2_000));
        await listener.waitFor(() => listener.defects.length > 0);
        assert.deepEqual(listener.defects, [["s1", MessageDefect.MemoryExceeded]]);
        const last = await listener.connect(start + "x".repeat(4_000));
        last.write("\r\n");
        await listener.waitFor(() => listener.defects.length > 1);
        assert.deepEqual(listener.defects.at(-1), ["s3", MessageDefect.UnknownKind]);
        assert.equal(listener.connectionCount, 3);
    });
});
