import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { FleetKind } from "../../model/fleetMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { WireWorld } from "./wireWorld.ts";

const stop = { kind: FleetKind.DrainStarted, transactionsUntilMs: Infinity, answersUntilMs: Infinity, final: true };
const notRun = "ERROR BUSY the instance stops; not run, connect again";

/** Lines that a caller receives, whatever it sends meanwhile. */
class Received {
    private text = "";

    constructor(private readonly socket: Socket) {
        socket.setEncoding("latin1").on("data", (chunk: string) => this.text += chunk);
    }

    get lines(): readonly string[] {
        return this.text.split("\r\n").slice(0, -1);
    }

    async waitForLines(count: number): Promise<readonly string[]> {
        while (this.lines.length < count && !this.socket.readableEnded) {
            await Promise.race([once(this.socket, "data"), once(this.socket, "end")]);
        }
        return this.lines;
    }
}

describe("a statement that crosses the end of its session in a stop", () => {
    let world: WireWorld;
    let socket: Socket;
    let received: Received;

    beforeEach(async () => {
        world = await WireWorld.start();
        socket = connect({ host: "127.0.0.1", port: world.proxies[0]!.server.port, allowHalfOpen: true });
        received = new Received(socket);
        socket.write("CONNECT orders k\r\n");
        await received.waitForLines(1);
    });

    afterEach(async () => {
        socket.destroy();
        await world[Symbol.asyncDispose]();
    });

    it("is answered as not run when it arrives after the last step", async () => {
        // Guards against connections that close while a request is on its way, or waits in the buffers of the system.
        world.proxies[0]!.post(stop as Message);
        await Promise.race([once(socket, "data"), once(socket, "end")]);
        socket.write("QUERY q1 READ a\r\nQUERY q2 READ a\r\n");
        const [, ...lines] = await received.waitForLines(6);
        assert.deepEqual(lines, [notRun, "READY I -", notRun, "READY I -", notRun]);
        assert.deepEqual(world.database.run, []);
    });

    it("is answered as not run when it was read in the turn of the last step", async () => {
        // Guards against requests that stand behind the last step in the queue of the event loop.
        world.proxies[0]!.post(stop as Message);
        world.proxies[0]!.post({
            kind: "session.requested",
            sessionId: "s0",
            statement: { id: "q1", kind: "read", text: "READ a" },
        } as Message);
        const [, ...lines] = await received.waitForLines(4);
        assert.deepEqual(lines, [notRun, "READY I -", notRun]);
        assert.deepEqual(world.database.run, []);
    });
});
