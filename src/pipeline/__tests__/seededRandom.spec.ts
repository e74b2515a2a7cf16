import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SeededRandom } from "../seededRandom.ts";

function draw(random: SeededRandom, count: number): readonly number[] {
    return Array.from({ length: count }, () => random.nextFloat());
}

describe("a look at the next random numbers", () => {
    it("shows those that are drawn next, and leaves the sequence as it was, also if it fails", () => {
        fc.assert(
            fc.property(fc.integer(), fc.nat(20), fc.nat(20), (seed, before, count) => {
                const [looked, other] = [new SeededRandom(seed), new SeededRandom(seed)];
                assert.deepEqual(draw(looked, before), draw(other, before));
                const seen = looked.peek(() => draw(looked, count));
                assert.throws(() =>
                    looked.peek(() => {
                        throw new Error(`after ${looked.nextFloat()}`);
                    }), /after/);
                assert.deepEqual(seen, draw(looked, count));
                assert.deepEqual(seen, draw(other, count));
                assert.equal(looked.nextInteger(1_000), other.nextInteger(1_000));
            }),
            { seed: 3, numRuns: 100 },
        );
    });
});
