import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { ReturnTimes } from "../returnTimes.ts";

/** Most callers that come back within 50 ms. */
function largestBurst(afterMs: readonly number[]): number {
    return Math.max(...afterMs.map(start => afterMs.filter(time => time >= start && time < start + 50).length));
}

describe("times to come back", () => {
    it("spread those who are refused together, in their order", () => {
        // Load: 40 callers of a workspace with 50 operations a second are refused when the answer of a leader is late.
        for (let seed = 0; seed < 50; seed++) {
            const times = new ReturnTimes(new SeededRandom(seed));
            const afterMs = Array.from({ length: 40 }, () => times.nextAfterMs(200, 20, 0));
            assert.equal(afterMs[0], 200);
            assert.deepEqual(afterMs, [...afterMs].sort((left, right) => left - right));
            // One time for all would bring 40 at once.
            assert.ok(largestBurst(afterMs) <= 6, `seed ${seed}: ${largestBurst(afterMs)} within 50 ms`);
        }
    });

    it("stay at the earliest time for callers that are refused one by one", () => {
        const times = new ReturnTimes(new SeededRandom(1));
        const afterMs = [0, 100, 200, 300].map(nowMs => times.nextAfterMs(400, 20, nowMs));
        assert.deepEqual(afterMs, [400, 400, 400, 400]);
    });

    it("are never before the earliest time, nor more than a second after it", () => {
        fc.assert(fc.property(
            fc.integer(),
            fc.array(fc.record({
                earliestMs: fc.integer({ min: 0, max: 2_000 }),
                intervalMs: fc.integer({ min: 0, max: 5_000 }),
                pauseMs: fc.integer({ min: 0, max: 500 }),
            })),
            (seed, refusals) => {
                const times = new ReturnTimes(new SeededRandom(seed));
                let nowMs = 0;
                for (const { earliestMs, intervalMs, pauseMs } of refusals) {
                    nowMs += pauseMs;
                    const afterMs = times.nextAfterMs(earliestMs, intervalMs, nowMs);
                    assert.ok(afterMs >= earliestMs && afterMs <= earliestMs + 1_000);
                }
            },
        ));
    });
});
