import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { countAdmissionsOverRate, markWithinRate } from "../admissionCheck.ts";

const limit = { fromMs: 0, ratePerSecond: 100, burst: 5 };

describe("check of admissions", () => {
    it("finds an excess exactly when some window holds more than rate x length + burst", () => {
        const gaps = fc.array(fc.integer({ min: 0, max: 25 }), { maxLength: 60 });
        fc.assert(
            fc.property(gaps, chosen => {
                let nowMs = 0;
                const times = chosen.map(gapMs => nowMs += gapMs);
                assert.equal(countAdmissionsOverRate(times, [limit]) > 0, someWindowIsOver(times));
            }),
            { seed: 2, numRuns: 2_000 },
        );
    });

    it("applies a lower limit from its time on", () => {
        const times = [0, 0, 0, 0, 1_000, 1_000, 1_000];
        assert.equal(countAdmissionsOverRate(times, [{ ...limit, ratePerSecond: 1 }]), 1);
        assert.equal(countAdmissionsOverRate(times, [limit, { fromMs: 1_000, ratePerSecond: 1, burst: 2 }]), 1);
        assert.deepEqual(markWithinRate([0, 0, 0, 0, 0, 0, 20], limit), [true, true, true, true, true, false, true]);
    });
});

/** Tries every window that begins and ends with an admission. */
function someWindowIsOver(times: readonly number[]): boolean {
    return times.some((fromMs, first) =>
        times.slice(first).some((untilMs, offset) =>
            offset + 1 > limit.burst + (untilMs - fromMs) * limit.ratePerSecond / 1_000 + 1e-6
        )
    );
}
