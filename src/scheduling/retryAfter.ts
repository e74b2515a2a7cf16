/** When a refused caller may come back. */
import type { SeededRandom } from "../pipeline/seededRandom.ts";

/** The refused statement, by the queue that refused it. */
export interface QueueWait {
    /** Time until the statement would have started. */
    readonly waitMs: number;
    /** Part of `waitMs` that is beyond the latest start. */
    readonly lateMs: number;
}

/** Shortest time; callers that return sooner meet the same queue. */
const minimumRetryMs = 20;

/**
 * Returns the time after which a refused caller may come back: uniform from the time after which a statement with the
 * same deadline could start until the queue ahead has drained, so that those who were refused together return apart.
 */
export function retryAfterMs({ waitMs, lateMs }: QueueWait, random: SeededRandom): number {
    const earliestMs = Math.max(minimumRetryMs, lateMs);
    return earliestMs + random.nextFloat() * Math.max(minimumRetryMs, waitMs - lateMs);
}
