/** Token bucket that limits retries to a ratio of first attempts, so that retries cannot amplify an overload. */

/** Number of retries that the budget can accumulate. */
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

    /** Consumes one retry; returns false when the budget is exhausted. */
    tryConsume(): boolean {
        if (this.tokens < 1) {
            return false;
        }
        this.tokens--;
        return true;
    }
}
