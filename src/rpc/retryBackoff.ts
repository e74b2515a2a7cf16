/** Pauses between attempts to reach peers that do not answer. */
import type { SeededRandom } from "../pipeline/seededRandom.ts";

/**
 * First pause, and what each further one grows by. After a loss of power an instance is up some hundred milliseconds
 * before the control members and serves nobody without them, so the first attempts are close together.
 */
const firstMs = 50;
const growth = 1.5;

/** Longest pause; 470 instances then make about 60 attempts a second at each of 7 members. */
const longestMs = 750;

/**
 * Time for the first answer of an attempt, growing like the pauses. A peer whose machine has no power yet does not answer,
 * and the kernel asks again only a second later; another attempt finds it sooner. Above several ways between regions and
 * the first work of a process that has just started.
 */
const firstAttemptMs = 350;
const longestAttemptMs = 1_500;

/** Each pause is longer by up to this part of itself, so that instances that start together spread. */
const jitterShare = 1;

export class RetryBackoff {
    private readonly random: SeededRandom;
    private failures = 0;

    constructor(random: SeededRandom) {
        this.random = random;
    }

    /** Pause before the next attempt, in ms. */
    nextDelayMs(): number {
        const pauseMs = Math.min(longestMs, firstMs * growth ** this.failures);
        this.failures += 1;
        return Math.round(pauseMs * (1 + jitterShare * this.random.nextFloat()));
    }

    /** Time after which an attempt without an answer is given up for another one, in ms. */
    attemptTimeoutMs(): number {
        return Math.min(longestAttemptMs, firstAttemptMs * growth ** this.failures);
    }

    /** A peer has answered. */
    reset(): void {
        this.failures = 0;
    }
}
