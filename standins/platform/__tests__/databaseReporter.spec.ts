import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { json } from "node:stream/consumers";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { DatabaseReporter } from "../databaseReporter.ts";

interface Received {
    readonly seq: number;
    readonly db_role: string;
}

const pollMs = 10;

describe("reports of databases of the users' platform", { timeout: 20_000 }, () => {
    let server: Server;
    let reporter: DatabaseReporter;
    let received: Received[];
    let role: string;

    beforeEach(async () => {
        received = [];
        role = "primary";
        server = createServer(async (request, response) => {
            received.push(await json(request) as Received);
            response.end();
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const { port } = server.address() as AddressInfo;
        const controls = (): readonly string[] => [`127.0.0.1:${port}`];
        reporter = new DatabaseReporter("i-1", controls, () => ({
            service: "ledger",
            address: "127.0.0.1:1",
            zone: "zone-a",
            state: "ready",
            db_role: role,
        }));
    });

    afterEach(() => {
        reporter.stop();
        server.close();
    });

    it("arrive after a cut as they were before a change, and later ones follow", async () => {
        assert.ok(await reporter.report());
        reporter.isCutOff = true;
        assert.equal(await reporter.report(), false);
        role = "replica";
        assert.equal(await reporter.report(), false);
        reporter.isCutOff = false;
        while (received.length < 2) {
            await delay(pollMs);
        }
        assert.ok(await reporter.report());
        const told = received.map(({ seq, db_role }) => `${seq} ${db_role}`);
        assert.deepEqual(told, ["1 primary", "2 primary", "4 replica"]);
    });

    it("come less often after failures", async () => {
        reporter.isCutOff = true;
        reporter.start();
        await delay(1_000);
        reporter.isCutOff = false;
        await delay(1_000);
        // The delayed one alone: the next one is due after twice the usual interval.
        assert.deepEqual(received.map(({ seq }) => seq), [1]);
    });
});
