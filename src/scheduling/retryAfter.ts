/** When a refused caller may come back. */
import type { SeededRandom } from "../pipeline/seededRandom.ts";

/** Shortest time; callers that return sooner meet the same queue. */
const minimumRetryMs = 20;

/**
 * Returns the time after which a refused caller may come back, so that it finds a queue which has drained by half or more.
 * Uniform, so that those who were refused together return apart.
 * @param drainMs time in which the statements drain that go before a new one of the caller
 */
export function retryAfterMs(drainMs: number, random: SeededRandom): number {
    return Math.max(minimumRetryMs, drainMs) * (0.5 + random.nextFloat());
}
