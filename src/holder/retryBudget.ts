/** Bounds repeats to a share of first attempts, so that repeats cannot multiply an overload. */

/** Repeats that a quiet time may save up. */
const maximumTokens = 10;

export class RetryBudget {
    private readonly retryRatio: number;
    private tokens = maximumTokens;

    constructor(retryRatio: number) {
        this.retryRatio = retryRatio;
    }

    recordFirstAttempt(): void {
        this.tokens = Math.min(maximumTokens, this.tokens + this.retryRatio);
    }

    /** Takes one repeat if the budget has it. */
    tryConsume(): boolean {
        if (this.tokens < 1) {
            return false;
        }
        this.tokens--;
        return true;
    }
}
