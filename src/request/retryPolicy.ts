/** Decides whether and after which backoff a statement is sent again. */
import { type Refusal, RefusalCode } from "../model/refusal.ts";
import type { SeededRandom } from "../pipeline/seededRandom.ts";

const firstBackoffMs = 10;
const maximumBackoffMs = 400;

/**
 * Budget for repeats after an unknown outcome, per first attempt. The limit keeps a failure from multiplying the load.
 */
const repeatsPerFirstAttempt = 0.1;
const maximumAvailableRepeats = 20;

/** Refusals of statements that were not run and may soon succeed on another database or after a failover. */
const retryableCodes: ReadonlySet<RefusalCode> = new Set([
    RefusalCode.HolderUnavailable,
    RefusalCode.ConnectFailed,
    RefusalCode.NoPrimary,
    RefusalCode.NoFreshReplica,
    RefusalCode.ShuttingDown,
]);

/** Exponential backoff with jitter, and a budget for repeating statements that may already have run. */
export class RetryPolicy {
    private readonly random: SeededRandom;
    private availableRepeats = maximumAvailableRepeats;

    constructor(random: SeededRandom) {
        this.random = random;
    }

    recordFirstAttempt(): void {
        this.availableRepeats = Math.min(maximumAvailableRepeats, this.availableRepeats + repeatsPerFirstAttempt);
    }

    /** Returns whether a refused statement was not run and may succeed in another attempt. */
    isRetryable(refusal: Refusal): boolean {
        return retryableCodes.has(refusal.code);
    }

    /** Consumes one repeat of the budget; returns false when none is available. */
    consumeRepeat(): boolean {
        if (this.availableRepeats < 1) {
            return false;
        }
        this.availableRepeats -= 1;
        return true;
    }

    /** Returns a backoff that is half fixed and half random, so that the retries of many callers spread out. */
    backoffMs(attempts: number): number {
        const stepMs = Math.min(maximumBackoffMs, firstBackoffMs * 2 ** Math.max(0, attempts - 1));
        return stepMs / 2 + this.random.nextFloat() * stepMs / 2;
    }
}
