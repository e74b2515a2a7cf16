import assert from "node:assert/strict";
import { mkdtemp, open, readFile, rm, stat } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { EntryKind } from "../../model/replicatedLog.ts";
import { NodeFileSystem } from "../fileSystem.ts";
import { LogSegments } from "../logSegments.ts";
import { scanRecords } from "../recordCodec.ts";

describe("log segments", () => {
    it("hold one record per sync, also after a full segment", async () => {
        // Guards against a power loss that keeps the second record without the first, which reads as damage.
        const folder = await mkdtemp(join(tmpdir(), "segments-"));
        const options = { fileSystem: new NodeFileSystem(), folder, segmentBytes: 200 };
        const { log } = await LogSegments.open(options, 1, 0);
        const records = Array.from({ length: 5 }, (_, index) => ({
            fromIndex: index + 1,
            entries: [{ index: index + 1, term: 1, body: { kind: EntryKind.NoOp } }],
        }));
        await log.append(records.slice(0, 3));
        await log.sync();
        await log.append(records.slice(3, 5));
        const { payloads } = scanRecords(await readFile(join(folder, "log-00000002")));
        assert.equal(payloads.length, 1);
        await log[Symbol.asyncDispose]();
        await rm(folder, { recursive: true });
    });

    it("take large records whose bytes are more than their characters", async () => {
        // Guards against records above their limit, which end the writes of a member for good.
        const folder = await mkdtemp(join(tmpdir(), "segments-"));
        const options = { fileSystem: new NodeFileSystem(), folder, segmentBytes: 4 * 1_048_576 };
        const { log } = await LogSegments.open(options, 1, 0);
        const member = { memberId: "\u20ac".repeat(1_000_000), incarnation: "", address: "a:1" };
        const records = Array.from({ length: 4 }, (_, index) => ({
            fromIndex: index + 1,
            entries: [{ index: index + 1, term: 1, body: { kind: EntryKind.Members, members: [member] } }],
        }));
        await log.append(records);
        await log.sync();
        await log[Symbol.asyncDispose]();
        const { entries } = await LogSegments.open(options, 1, 0);
        assert.equal(entries.length, records.length);
        await rm(folder, { recursive: true });
    });

    it("are synced on recovery, because a killed process may have left them unsynced", async context => {
        // Guards against entries that a member counts as durable after a kill but that a later power loss removes.
        const folder = await mkdtemp(join(tmpdir(), "segments-"));
        const options = { fileSystem: new NodeFileSystem(), folder, segmentBytes: 1_024 };
        const { log: killedLog } = await LogSegments.open(options, 1, 0);
        const entry = { index: 1, term: 1, body: { kind: EntryKind.NoOp } };
        await killedLog.append([{ fromIndex: 1, entries: [entry] }]);
        await killedLog[Symbol.asyncDispose]();
        // The process was killed before any sync.
        const file = join(folder, "log-00000001");
        const syncedInodes: number[] = [];
        const handle = await open(file);
        for (const method of ["sync", "datasync"] as const) {
            const prototype = Object.getPrototypeOf(handle) as typeof handle;
            const original = prototype[method];
            context.mock.method(prototype, method, async function(this: typeof handle): Promise<void> {
                syncedInodes.push((await this.stat()).ino);
                await original.call(this);
            });
        }
        await handle.close();
        const { log, entries } = await LogSegments.open(options, 1, 0);
        assert.deepEqual(entries, [entry]);
        assert.ok(syncedInodes.includes((await stat(file)).ino), "the segment was not synced");
        await log[Symbol.asyncDispose]();
        await rm(folder, { recursive: true });
    });
});
