import { assert as check, constantFrom, jsonValue, oneof, property } from "fast-check";
import assert from "node:assert/strict";
import { mkdir, mkdtemp, rm, rmdir, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, beforeEach, describe, it } from "node:test";
import { OutcomeKind } from "../../model/outcome.ts";
import { ReportKind, type StatementEnded } from "../../model/reportMessages.ts";
import { instanceSnapshotSchema } from "../../report/instanceSnapshotSchema.ts";
import { type InstanceSnapshot, RecordOutcomesFilter } from "../../report/recordOutcomes.ts";
import { BurnReportFile } from "../burnReportFile.ts";

const statement: StatementEnded = {
    kind: ReportKind.StatementEnded,
    workspace: "shop",
    workClass: "orders",
    arrivedAtMs: 0,
    startedAtMs: 5,
    outcome: { kind: OutcomeKind.Done, affectedRows: 1, insertId: 0 },
    withinRate: true,
    targets: { objectiveShare: 0.99, waitingMs: 100, maximumAgeMs: 1_000 },
};

const saved = (): InstanceSnapshot => {
    const recorder = new RecordOutcomesFilter();
    recorder.process(statement, 10);
    return recorder.snapshot("i1", 10);
};

/** Paths of all values of a document. */
function pathsOf(value: unknown, path: readonly string[] = []): readonly (readonly string[])[] {
    return typeof value === "object"
        ? [path, ...Object.entries(value!).flatMap(([name, part]) => pathsOf(part, [...path, name]))]
        : [path];
}

function replaceAt(value: unknown, [name, ...rest]: readonly string[], replacement: unknown): unknown {
    if (name === undefined) {
        return replacement;
    }
    const part = replaceAt((value as Record<string, unknown>)[name], rest, replacement);
    return Array.isArray(value)
        ? value.map((each, index) => `${index}` === name ? part : each)
        : { ...value as object, [name]: part };
}

describe("file of the burn report", () => {
    let folder = "";
    const failures: string[] = [];

    function open(): BurnReportFile<InstanceSnapshot> {
        return new BurnReportFile({
            folder,
            createSnapshot: saved,
            parseSnapshot: value => instanceSnapshotSchema.parse(value),
            onFailure: reason => failures.push(reason),
        });
    }

    before(async () => {
        folder = await mkdtemp(join(tmpdir(), "burn-report-"));
    });

    after(async () => {
        await rm(folder, { recursive: true });
    });

    beforeEach(() => failures.splice(0));

    it("is missing at first, and holds the last snapshot after a restart", async () => {
        assert.equal(await open().read(), undefined);
        await open()[Symbol.asyncDispose]();
        assert.deepEqual((await open().read())?.snapshot, saved());
        assert.deepEqual(failures, []);
    });

    it("tells why it cannot be saved, and is saved once it can be", async () => {
        // Guards against a report that is lost at each restart because no save succeeds, of which no line tells.
        const temporary = join(folder, "burn.json.new");
        await mkdir(temporary);
        await open()[Symbol.asyncDispose]();
        assert.equal(failures.length, 1);
        assert.match(failures[0]!, /^the burn report cannot be saved: .*EISDIR/);
        await rmdir(temporary);
        await open()[Symbol.asyncDispose]();
        assert.equal(failures.length, 1);
        assert.deepEqual((await open().read())?.snapshot, saved());
    });

    for (const text of ["", "{}", "5", JSON.stringify({ savedAt: "x", snapshot: saved() }), "{\"savedAt\":1}"]) {
        it(`counts as missing, with a reason, when it holds ${text.slice(0, 20) || "nothing"}`, async () => {
            await writeFile(join(folder, "burn.json"), text);
            assert.equal(await open().read(), undefined);
            assert.equal(failures.length, 1);
            assert.match(failures[0]!, /^the burn report cannot be read and starts anew: /);
        });
    }

    it("gives no snapshot that ends the instance when it is restored", () => {
        const snapshot = JSON.parse(JSON.stringify(saved())) as unknown;
        const values = oneof(jsonValue(), constantFrom(undefined, -1, 0.5, 1e300, "", "x", [], {}));
        check(
            property(constantFrom(...pathsOf(snapshot)), values, (path, value) => {
                const parsed = instanceSnapshotSchema.safeParse(replaceAt(snapshot, path, value));
                const recorder = new RecordOutcomesFilter();
                if (parsed.success) {
                    recorder.restore(parsed.data, 1_000, 20);
                }
                recorder.snapshot("i1", 20);
            }),
            { seed: 20261207, numRuns: 1_000 },
        );
    });
});
