import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { RetryBackoff } from "../retryBackoff.ts";

/** Times of the attempts in the first `untilMs` after a failure. */
function attemptTimes(seed: number, untilMs: number): readonly number[] {
    const delay = new RetryBackoff(new SeededRandom(seed));
    const times: number[] = [];
    for (let atMs = delay.nextDelayMs(); atMs < untilMs; atMs += delay.nextDelayMs()) {
        times.push(atMs);
    }
    return times;
}

describe("retry delay", () => {
    it("reaches a peer that is up some hundred milliseconds later without much loss of time", () => {
        // Guards against instances that wait for half a second after a loss of power although the members are up.
        for (let seed = 1; seed <= 50; seed++) {
            const times = attemptTimes(seed, 2_000);
            for (const upAtMs of [100, 200, 300, 400]) {
                const firstMs = times.find(atMs => atMs >= upAtMs)!;
                assert.ok(firstMs - upAtMs <= 350, `seed ${seed}: up at ${upAtMs} ms, asked at ${firstMs} ms`);
            }
        }
    });

    it("asks seldom after a while, and soon again after an answer", () => {
        const delay = new RetryBackoff(new SeededRandom(1));
        const late = Array.from({ length: 20 }, () => delay.nextDelayMs()).slice(10);
        assert.ok(Math.min(...late) >= 750 && Math.max(...late) <= 1_500);
        assert.equal(delay.attemptTimeoutMs(), 1_500);
        delay.reset();
        assert.equal(delay.attemptTimeoutMs(), 350);
        assert.ok(delay.nextDelayMs() <= 100);
    });
});
