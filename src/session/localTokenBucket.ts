/** A token bucket with which one instance limits a rate by itself. */

export interface LocalTokenBucketOptions {
    readonly ratePerSecond: number;
    /** Capacity in tokens. */
    readonly burst: number;
    /** Initial number of tokens. */
    readonly tokens: number;
    readonly startMs: number;
}

export class LocalTokenBucket {
    private readonly ratePerSecond: number;
    private readonly burst: number;
    private tokens: number;
    private refilledMs: number;

    constructor({ ratePerSecond, burst, tokens, startMs }: LocalTokenBucketOptions) {
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.tokens = tokens;
        this.refilledMs = startMs;
    }

    availableTokens(nowMs: number): number {
        const elapsedMs = nowMs - this.refilledMs;
        return Math.min(this.burst, this.tokens + elapsedMs / 1_000 * this.ratePerSecond);
    }

    /** Takes one token if one is available. */
    tryTake(nowMs: number): boolean {
        const available = this.availableTokens(nowMs);
        if (available < 1) {
            return false;
        }
        this.tokens = available - 1;
        this.refilledMs = nowMs;
        return true;
    }

    /** Time until the next token is available; infinite at a rate of 0. */
    waitMs(nowMs: number): number {
        const missing = 1 - this.availableTokens(nowMs);
        return missing <= 0 ? 0 : missing / this.ratePerSecond * 1_000;
    }
}
