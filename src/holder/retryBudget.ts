/** Bounds repeats to a share of first attempts, so that repeats cannot multiply an overload. */

/** Repeats that a quiet time may save up. */
const savedRepeats = 10;

export class RetryBudget {
    private readonly share: number;
    private tokens = savedRepeats;

    constructor(share: number) {
        this.share = share;
    }

    noteFirstAttempt(): void {
        this.tokens = Math.min(savedRepeats, this.tokens + this.share);
    }

    /** Takes one repeat if the budget has it. */
    take(): boolean {
        if (this.tokens < 1) {
            return false;
        }
        this.tokens--;
        return true;
    }
}
