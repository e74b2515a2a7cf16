/** Exponential backoff with jitter for attempts to reach a peer that does not answer. */
import type { SeededRandom } from "../pipeline/seededRandom.ts";

/**
 * Initial delay between attempts, and the factor by which each further delay grows. After a power failure, an instance
 * is up some hundred milliseconds before the control members and cannot serve without them, so the first delays are
 * short.
 */
const initialDelayMs = 50;
const backoffFactor = 1.5;

/** Maximum delay; with it, 470 instances make about 60 attempts per second at each of 7 members. */
const maximumDelayMs = 750;

/**
 * Timeout for the first answer of an attempt; it grows like the delay. The machine of a peer may still be without
 * power; the kernel repeats an unanswered connection request only after a second, so a new attempt reaches the peer
 * sooner. The timeout exceeds several network delays between regions and the startup work of a process.
 */
const initialAttemptTimeoutMs = 350;
const maximumAttemptTimeoutMs = 1_500;

/** Maximum jitter as a share of the delay; spreads the attempts of instances that start at the same time. */
const maximumJitterShare = 1;

export class RetryBackoff {
    private readonly random: SeededRandom;
    private failures = 0;

    constructor(random: SeededRandom) {
        this.random = random;
    }

    /** Delay before the next attempt; counts one more failed attempt. */
    nextDelayMs(): number {
        const delayMs = Math.min(maximumDelayMs, initialDelayMs * backoffFactor ** this.failures);
        this.failures += 1;
        return Math.round(delayMs * (1 + maximumJitterShare * this.random.nextFloat()));
    }

    /** Timeout of the current attempt, after which an unresponsive peer is given up. */
    attemptTimeoutMs(): number {
        return Math.min(maximumAttemptTimeoutMs, initialAttemptTimeoutMs * backoffFactor ** this.failures);
    }

    /** Must be called when a peer has answered. */
    reset(): void {
        this.failures = 0;
    }
}
