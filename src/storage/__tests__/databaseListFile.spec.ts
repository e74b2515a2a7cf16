import assert from "node:assert/strict";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";
import { type DatabaseListChanged, type DatabaseReport, FleetKind, ReportedState } from "../../model/fleetMessages.ts";
import { DatabaseListFile } from "../databaseListFile.ts";

const report: DatabaseReport = {
    databaseId: "d1",
    service: "orders",
    address: "10.0.0.1:80",
    dataCentre: "dc",
    slots: 4,
    state: ReportedState.Ready,
    leads: true,
    sequence: 7,
    bornUnixMs: 1_000,
};

function listChanged(reports: readonly DatabaseReport[]): DatabaseListChanged {
    return { kind: FleetKind.DatabaseListChanged, reports };
}

describe("list of databases on a member's disk", () => {
    let folder = "";
    const failures: string[] = [];

    function open(): DatabaseListFile {
        return new DatabaseListFile({ folder, onFailure: reason => failures.push(reason) });
    }

    before(async () => {
        folder = await mkdtemp(join(tmpdir(), "database-list-"));
    });

    after(async () => {
        await rm(folder, { recursive: true });
    });

    it("is empty at first, and holds the newest list after a restart", async () => {
        assert.deepEqual(await open().read(), []);
        {
            await using file = open();
            file.deliver(listChanged([report]));
            file.deliver(listChanged([{ ...report, sequence: 8 }]));
            file.deliver(listChanged([{ ...report, sequence: 9 }]));
        }
        assert.deepEqual(await open().read(), [{ ...report, sequence: 9 }]);
        assert.deepEqual(failures, []);
    });

    it("counts as empty if it is damaged or of another form, with one line each", async () => {
        const path = join(folder, "databases");
        const stored = await readFile(path);
        await writeFile(path, stored.subarray(0, stored.length - 3));
        assert.deepEqual(await open().read(), []);
        {
            await using file = open();
            file.deliver(listChanged([{ ...report, slots: -1 }]));
        }
        assert.deepEqual(await open().read(), []);
        assert.equal(failures.length, 2);
    });

    it("goes on after a write that failed", async () => {
        failures.length = 0;
        const missing = new DatabaseListFile({
            folder: join(folder, "missing"),
            onFailure: reason => failures.push(reason),
        });
        missing.deliver(listChanged([report]));
        await missing[Symbol.asyncDispose]();
        assert.equal(failures.length, 1);
    });
});
