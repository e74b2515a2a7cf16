/** Times at which refused callers are told to come back: not before they can be served, and not all at once. */
import type { SeededRandom } from "../pipeline/seededRandom.ts";

/** Longest time by which a caller is told to come back after the first one of those refused together. */
const maximumSpreadMs = 1_000;

/**
 * Callers that are refused together come back in the order of their refusals, spaced as the shortage lets them in. A single
 * caller is told the earliest time.
 */
export class ReturnTimes {
    private readonly random: SeededRandom;
    /** Time at which the last refused caller comes back. */
    private lastMs = -Infinity;

    constructor(random: SeededRandom) {
        this.random = random;
    }

    /**
     * Returns the time after which the caller should come back.
     * @param earliestMs time until the shortage may end
     * @param intervalMs mean time between two callers that can be served afterwards
     */
    nextAfterMs(earliestMs: number, intervalMs: number, nowMs: number): number {
        const spacingMs = intervalMs * (0.5 + this.random.nextFloat());
        const afterMs = Math.max(earliestMs, this.lastMs + spacingMs - nowMs);
        const limitMs = earliestMs + maximumSpreadMs;
        if (afterMs > limitMs) {
            // More callers than the spread has room for; the last one named stays the end of their order.
            return earliestMs + maximumSpreadMs * this.random.nextFloat();
        }
        this.lastMs = nowMs + afterMs;
        return afterMs;
    }
}
