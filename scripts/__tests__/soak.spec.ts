import "disposablestack/auto";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { noRuleBroken } from "../../standins/platform/ruleChecker.ts";
import { runSoak } from "../soakRun.ts";
import { drawSchedule, FaultKind, scales } from "../soakSchedule.ts";

/** Seeds that a short run plays; `npm run soak -- --seeds COUNT` plays more. */
const seeds = [2, 9];

describe("soak of the processes of the users' platform", { timeout: 240_000 }, () => {
    it("draws the same schedule for the same seed, and every kind of fault within some seeds", () => {
        assert.deepEqual(drawSchedule(7, scales["usual"]!), drawSchedule(7, scales["usual"]!));
        const kinds = Array.from({ length: 20 }, (_, seed) => drawSchedule(seed, scales["small"]!)).flat()
            .map(({ kind }) => kind);
        assert.deepEqual([...new Set(kinds)].sort(), Object.values(FaultKind).sort());
    });

    for (const seed of seeds) {
        it(`keeps what operators and callers were promised (seed ${seed})`, async () => {
            const scale = scales["small"]!;
            const report = await runSoak({ seed, scale, schedule: drawSchedule(seed, scale) });
            assert.deepEqual(report.broken, []);
            assert.deepEqual(report.rules, noRuleBroken);
            assert.ok(report.answers["READY"]! > 0);
            assert.ok(report.statements["served"]! > 0);
        });
    }
});
