import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, it } from "node:test";
import { readEntrySettings } from "../../settings/entrySettings.ts";
import { startEntry } from "../entryProcess.ts";

const flags = "--instance-id i1 --data-centre north --mysql-listen 127.0.0.1:0 --rpc-listen 127.0.0.1:0 "
    + "--cluster-name c --cluster-secret-file unused --control-members i1=127.0.0.1:1 "
    + "--database-password-file unused --log-level error";

describe("an entry instance", () => {
    let folder = "";

    beforeEach(async () => {
        folder = await mkdtemp(join(tmpdir(), "entry-"));
    });

    afterEach(async () => {
        await rm(folder, { recursive: true });
    });

    for (const snapshot of [{ instanceId: "i1" }, { instanceId: "i1", series: [{ workClass: "orders" }] }]) {
        it(`starts although its burn report cannot be read: ${JSON.stringify(snapshot)}`, async () => {
            await writeFile(join(folder, "burn.json"), JSON.stringify({ savedAt: 1, snapshot }));
            const settings = readEntrySettings([...flags.split(" "), "--data-folder", folder], {});
            const inputs = { clusterSecret: "a secret of the tests", databasePassword: "p", initialCommands: [] };
            const entry = await startEntry(settings, inputs);
            await entry[Symbol.asyncDispose]();
        });
    }
});
