import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { countAdmissionsOverRate, markWithinRate } from "../admissionCheck.ts";

const limit = { fromMs: 0, ratePerSecond: 100, burst: 5 };

describe("count of admissions over the rate", () => {
    it("is above 0 exactly when some time window contains more than rate x length + burst", () => {
        const gaps = fc.array(fc.integer({ min: 0, max: 25 }), { maxLength: 60 });
        fc.assert(
            fc.property(gaps, chosenGapsMs => {
                let nowMs = 0;
                const timesMs = chosenGapsMs.map(gapMs => nowMs += gapMs);
                assert.equal(countAdmissionsOverRate(timesMs, [limit]) > 0, hasWindowOverRate(timesMs));
            }),
            { seed: 2, numRuns: 2_000 },
        );
    });

    it("applies a changed limit from its start time on", () => {
        const timesMs = [0, 0, 0, 0, 1_000, 1_000, 1_000];
        assert.equal(countAdmissionsOverRate(timesMs, [{ ...limit, ratePerSecond: 1 }]), 1);
        assert.equal(countAdmissionsOverRate(timesMs, [limit, { fromMs: 1_000, ratePerSecond: 1, burst: 2 }]), 1);
        assert.deepEqual(markWithinRate([0, 0, 0, 0, 0, 0, 20], limit), [true, true, true, true, true, false, true]);
    });
});

/** Checks every window that begins and ends with an admission. */
function hasWindowOverRate(timesMs: readonly number[]): boolean {
    return timesMs.some((fromMs, first) =>
        timesMs.slice(first).some((untilMs, offset) =>
            offset + 1 > limit.burst + (untilMs - fromMs) * limit.ratePerSecond / 1_000 + 1e-6
        )
    );
}
