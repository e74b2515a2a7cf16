import assert from "node:assert/strict";
import { mkdtemp, open, rm, stat } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { EntryKind } from "../../model/replicatedLog.ts";
import { LogSegments } from "../logSegments.ts";

describe("log segments", () => {
    it("are synced on recovery, because a killed process may have left them unsynced", async context => {
        // Guards against entries that a member counts as durable after a kill but that a later power loss removes.
        const folder = await mkdtemp(join(tmpdir(), "segments-"));
        const options = { folder, segmentBytes: 1_024 };
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
