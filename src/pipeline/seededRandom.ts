/** Pseudorandom numbers from a seed, so that the replay of a trace reproduces them. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

export class SeededRandom {
    private generator;

    /** @param seed any integer; equal seeds produce equal sequences */
    constructor(seed: number) {
        this.generator = xoroshiro128plus(seed);
    }

    /** Uniform in [0, 1). */
    nextFloat(): number {
        return uniformFloat64(this.generator);
    }

    /** Calls a function with the numbers that would be drawn next, and leaves the sequence as it was. */
    peek<Result>(look: () => Result): Result {
        const { generator } = this;
        this.generator = generator.clone();
        try {
            return look();
        }
        finally {
            this.generator = generator;
        }
    }

    /** Uniform integer in [0, bound). */
    nextInteger(bound: number): number {
        return Math.floor(this.nextFloat() * bound);
    }
}
