/** When a statement is tried again, and after how long. */
import { type Refusal, RefusalCode } from "../model/refusal.ts";
import type { SeededRandom } from "../pipeline/seededRandom.ts";

const firstBackoffMs = 10;
const maximumBackoffMs = 400;

/** Part of the first attempts that may be repeated after an unknown outcome; keeps a failure from multiplying load. */
const repeatsPerFirstAttempt = 0.1;
const maximumAvailableRepeats = 20;

/** Nothing was run and another attempt may succeed soon, on another database or after a failover. */
const retryableCodes: ReadonlySet<RefusalCode> = new Set([
    RefusalCode.HolderUnavailable,
    RefusalCode.ConnectFailed,
    RefusalCode.NoPrimary,
    RefusalCode.NoFreshReplica,
    RefusalCode.ShuttingDown,
]);

/** Backoff with jitter, and a budget for repeating work that may already have run. */
export class RetryPolicy {
    private readonly random: SeededRandom;
    private availableRepeats = maximumAvailableRepeats;

    constructor(random: SeededRandom) {
        this.random = random;
    }

    recordFirstAttempt(): void {
        this.availableRepeats = Math.min(maximumAvailableRepeats, this.availableRepeats + repeatsPerFirstAttempt);
    }

    /** Tells whether a refusal says that nothing ran and that trying again is sensible. */
    isRetryable(refusal: Refusal): boolean {
        return retryableCodes.has(refusal.code);
    }

    /** Takes one repeat from the budget. */
    consumeRepeat(): boolean {
        if (this.availableRepeats < 1) {
            return false;
        }
        this.availableRepeats -= 1;
        return true;
    }

    /** Half of the exponential step is fixed and half random, so that retries of many callers spread out. */
    backoffMs(attempts: number): number {
        const stepMs = Math.min(maximumBackoffMs, firstBackoffMs * 2 ** Math.max(0, attempts - 1));
        return stepMs / 2 + this.random.nextFloat() * stepMs / 2;
    }
}
