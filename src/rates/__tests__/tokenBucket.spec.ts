import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { countAdmissionsOverRate } from "../../../bench/admissionCheck.ts";
import { TokenBucket } from "../tokenBucket.ts";

const permitValidityMs = 220;
const ratePerSecond = 50;
const burst = 10;

const steps = fc.array(
    fc.record({
        waitMs: fc.oneof(fc.integer({ min: 0, max: 30 }), fc.constantFrom(219, 220, 221, 400)),
        wanted: fc.integer({ min: 0, max: 12 }),
        /** Fraction of a permit's validity after which it is used. */
        useFraction: fc.constantFrom(0, 0.5, 0.99),
        reportsLastGrant: fc.boolean(),
        reportsEarlierGrant: fc.boolean(),
        changesHome: fc.integer({ min: 0, max: 11 }).map(number => number === 0),
    }),
    { minLength: 10, maxLength: 120 },
);

describe("token bucket", () => {
    it("keeps uses within rate x time + burst, also when permits are used just before they expire", () => {
        fc.assert(
            fc.property(steps, chosenSteps => assert.equal(countAdmissionsOverRate(runSteps(chosenSteps), [limit]), 0)),
            { seed: 3, numRuns: 1_500 },
        );
    });

    it("starts with the given tokens and refills at once when the caller accounts for earlier permits", () => {
        const bucket = new TokenBucket({
            startMs: 0,
            permitValidityMs,
            refillFraction: 1,
            initialTokens: 3,
        });
        bucket.setRate(ratePerSecond, burst, 0);
        assert.equal(bucket.availableTokens(0), 3);
        assert.equal(bucket.availableTokens(20), 4);
    });

    it("deducts uses that had no permit from later tokens", () => {
        const bucket = startedBucket(0);
        bucket.charge(burst + 2, 1_000);
        assert.equal(bucket.availableTokens(1_000), -2);
        assert.equal(bucket.availableTokens(1_060), 1);
    });

    it("ignores the settlement of a grant that is not the last", () => {
        const bucket = startedBucket(0);
        bucket.grant("a", "1", 5, 1_000);
        bucket.grant("a", "2", 5, 1_010);
        bucket.settle("a", "1", 0, 1_020);
        assert.equal(bucket.availableTokens(1_200), 0);
        bucket.settle("a", "2", 0, 1_200);
        assert.equal(bucket.availableTokens(1_210), 0);
        assert.equal(bucket.availableTokens(1_221), 1);
    });

    it("reports a lower rate as in force only once the older permits are within its burst", () => {
        const bucket = startedBucket(0);
        bucket.grant("a", "1", 10, 1_000);
        bucket.setRate(5, 2, 1_000);
        assert.equal(bucket.isRateInForce(1_219), false);
        assert.equal(bucket.isRateInForce(1_220), true);
    });
});

const limit = { fromMs: 0, ratePerSecond, burst };

function startedBucket(startMs: number): TokenBucket {
    const bucket = new TokenBucket({ startMs, permitValidityMs, refillFraction: 1 });
    bucket.setRate(ratePerSecond, burst, startMs);
    return bucket;
}

interface HeldPermits {
    readonly usedAtMs: number;
    count: number;
}

/** Runs the steps with one entry instance; returns the times at which permits were used, in ascending order. */
function runSteps(
    chosenSteps: readonly (typeof steps extends fc.Arbitrary<(infer Step)[]> ? Step : never)[],
): readonly number[] {
    let nowMs = 0;
    let bucket = startedBucket(nowMs);
    let latestGrant = "";
    let previousGrant = "";
    let held: HeldPermits[] = [];
    const uses: number[] = [];
    for (const [index, step] of chosenSteps.entries()) {
        nowMs += step.waitMs;
        if (step.changesHome) {
            bucket = startedBucket(nowMs);
        }
        const due = held.filter(permits => permits.usedAtMs <= nowMs);
        due.forEach(permits => uses.push(...Array.from({ length: permits.count }, () => permits.usedAtMs)));
        held = held.filter(permits => permits.usedAtMs > nowMs);
        if (step.reportsLastGrant) {
            bucket.settle("entry", latestGrant, held.reduce((sum, permits) => sum + permits.count, 0), nowMs);
        }
        if (step.reportsEarlierGrant) {
            bucket.settle("entry", previousGrant, 0, nowMs);
        }
        const granted = Math.min(step.wanted, bucket.availableTokens(nowMs));
        if (granted > 0) {
            previousGrant = latestGrant;
            latestGrant = `${index}`;
            bucket.grant("entry", latestGrant, granted, nowMs);
            held.push({ usedAtMs: nowMs + step.useFraction * permitValidityMs, count: granted });
        }
    }
    held.forEach(permits => uses.push(...Array.from({ length: permits.count }, () => permits.usedAtMs)));
    return uses.sort((left, right) => left - right);
}
