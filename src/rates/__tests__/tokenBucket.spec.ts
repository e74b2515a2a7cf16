import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { countAdmissionsOverRate } from "../../../bench/admissionCheck.ts";
import { TokenBucket } from "../tokenBucket.ts";

const outstandingMs = 220;
const ratePerSecond = 50;
const burst = 10;

const steps = fc.array(
    fc.record({
        waitMs: fc.oneof(fc.integer({ min: 0, max: 30 }), fc.constantFrom(219, 220, 221, 400)),
        wanted: fc.integer({ min: 0, max: 12 }),
        /** Part of the permit's life after which it is used. */
        useAt: fc.constantFrom(0, 0.5, 0.99),
        settles: fc.boolean(),
        asksWithOldSettlement: fc.boolean(),
        takesOver: fc.integer({ min: 0, max: 11 }).map(number => number === 0),
    }),
    { minLength: 10, maxLength: 120 },
);

describe("token bucket", () => {
    it("keeps uses within rate x time + burst when permits are used as late as they may be", () => {
        fc.assert(
            fc.property(steps, chosen => assert.equal(countAdmissionsOverRate(useAll(chosen), [limit]), 0)),
            { seed: 3, numRuns: 1_500 },
        );
    });

    it("starts with the given level and fills at once when the caller answers for earlier permits", () => {
        const bucket = new TokenBucket({
            startMs: 0,
            permitValidityMs: outstandingMs,
            refillFraction: 1,
            initialTokens: 3,
        });
        bucket.setRate(ratePerSecond, burst, 0);
        assert.equal(bucket.availableTokens(0), 3);
        assert.equal(bucket.availableTokens(20), 4);
    });

    it("owes uses that had no permit", () => {
        const bucket = startedBucket(0);
        bucket.charge(burst + 2, 1_000);
        assert.equal(bucket.availableTokens(1_000), -2);
        assert.equal(bucket.availableTokens(1_060), 1);
    });

    it("never fills from a settlement that an earlier question carried", () => {
        const bucket = startedBucket(0);
        bucket.grant("a", "1", 5, 1_000);
        bucket.grant("a", "2", 5, 1_010);
        bucket.settle("a", "1", 0, 1_020);
        assert.equal(bucket.availableTokens(1_200), 0);
        bucket.settle("a", "2", 0, 1_200);
        assert.equal(bucket.availableTokens(1_210), 0);
        assert.equal(bucket.availableTokens(1_221), 1);
    });

    it("reports a lower share in force only once older permits are within it", () => {
        const bucket = startedBucket(0);
        bucket.grant("a", "1", 10, 1_000);
        bucket.setRate(5, 2, 1_000);
        assert.equal(bucket.isRateInForce(1_219), false);
        assert.equal(bucket.isRateInForce(1_220), true);
    });
});

const limit = { fromMs: 0, ratePerSecond, burst };

function startedBucket(startMs: number): TokenBucket {
    const bucket = new TokenBucket({ startMs, permitValidityMs: outstandingMs, refillFraction: 1 });
    bucket.setRate(ratePerSecond, burst, startMs);
    return bucket;
}

interface Held {
    readonly useMs: number;
    count: number;
}

/** Plays the steps with one entry instance; returns the ascending times at which permits were used. */
function useAll(
    chosen: readonly (typeof steps extends fc.Arbitrary<(infer Step)[]> ? Step : never)[],
): readonly number[] {
    let nowMs = 0;
    let bucket = startedBucket(nowMs);
    let lastGrant = "";
    let formerGrant = "";
    let held: Held[] = [];
    const uses: number[] = [];
    for (const [index, step] of chosen.entries()) {
        nowMs += step.waitMs;
        if (step.takesOver) {
            bucket = startedBucket(nowMs);
        }
        const due = held.filter(lot => lot.useMs <= nowMs);
        due.forEach(lot => uses.push(...Array.from({ length: lot.count }, () => lot.useMs)));
        held = held.filter(lot => lot.useMs > nowMs);
        if (step.settles) {
            bucket.settle("entry", lastGrant, held.reduce((sum, lot) => sum + lot.count, 0), nowMs);
        }
        if (step.asksWithOldSettlement) {
            bucket.settle("entry", formerGrant, 0, nowMs);
        }
        const granted = Math.min(step.wanted, bucket.availableTokens(nowMs));
        if (granted > 0) {
            formerGrant = lastGrant;
            lastGrant = `${index}`;
            bucket.grant("entry", lastGrant, granted, nowMs);
            held.push({ useMs: nowMs + step.useAt * outstandingMs, count: granted });
        }
    }
    held.forEach(lot => uses.push(...Array.from({ length: lot.count }, () => lot.useMs)));
    return uses.sort((left, right) => left - right);
}
