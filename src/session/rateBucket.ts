/** A token bucket of one instance. */

export interface RateBucketOptions {
    readonly ratePerSecond: number;
    /** Most tokens that are kept. */
    readonly burst: number;
    /** Tokens at the start. */
    readonly tokens: number;
    readonly startMs: number;
}

export class RateBucket {
    private readonly ratePerSecond: number;
    private readonly burst: number;
    private tokens: number;
    private filledMs: number;

    constructor({ ratePerSecond, burst, tokens, startMs }: RateBucketOptions) {
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.tokens = tokens;
        this.filledMs = startMs;
    }

    level(nowMs: number): number {
        const elapsedMs = nowMs - this.filledMs;
        this.filledMs = nowMs;
        this.tokens = Math.min(this.burst, this.tokens + elapsedMs / 1_000 * this.ratePerSecond);
        return this.tokens;
    }

    /** Takes one token if there is one. */
    take(nowMs: number): boolean {
        if (this.level(nowMs) < 1) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }

    /** Time until the next token is there; infinite without a rate. */
    waitMs(nowMs: number): number {
        const missing = 1 - this.level(nowMs);
        return missing <= 0 ? 0 : missing / this.ratePerSecond * 1_000;
    }
}
