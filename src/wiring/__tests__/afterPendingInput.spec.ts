import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { describe, it } from "node:test";
import { afterPendingInput } from "../afterPendingInput.ts";

describe("a step that waits for pending input", () => {
    it("runs after a request that arrived while the process was stalled", async () => {
        // Guards against idle sessions that are closed in a stop although their request has arrived.
        const server = createServer().listen(0, "127.0.0.1");
        await once(server, "listening");
        const client = connect((server.address() as AddressInfo).port, "127.0.0.1");
        const [accepted] = await once(server, "connection") as [Socket];
        const events: string[] = [];
        accepted.on("data", data => events.push(String(data)));
        const done = new Promise<void>(resolve =>
            afterPendingInput(20, () => {
                events.push("step");
                resolve();
            })
        );
        client.write("request");
        const stalledUntilMs = performance.now() + 60;
        while (performance.now() < stalledUntilMs) {
            // The process does not return to its event loop.
        }
        await done;
        client.destroy();
        accepted.destroy();
        server.close();
        assert.deepEqual(events, ["request", "step"]);
    });
});
