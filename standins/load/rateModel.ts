/** Expected rate limit of each workspace, for detecting wrongful rate refusals. */

export interface WorkspaceRate {
    readonly name: string;
    readonly ratePerSecond: number;
    readonly burst: number;
}

interface TokenBucket {
    readonly rate: WorkspaceRate;
    tokens: number;
    updatedAtMs: number;
}

/** One token bucket per workspace, shared by all callers, because the guaranteed rate applies to their sum. */
export class RateModel {
    private readonly buckets = new Map<string, TokenBucket>();

    constructor(rates: readonly WorkspaceRate[], nowMs: number) {
        rates.forEach(rate => this.buckets.set(rate.name, { rate, tokens: rate.burst, updatedAtMs: nowMs }));
    }

    /** Records one statement and returns whether it is within the rate; always true for a workspace without a rate. */
    recordStatement(workspace: string, nowMs: number): boolean {
        const bucket = this.buckets.get(workspace);
        if (bucket === undefined) {
            return true;
        }
        const refilledTokens = (nowMs - bucket.updatedAtMs) * bucket.rate.ratePerSecond / 1_000;
        bucket.tokens = Math.min(bucket.rate.burst, bucket.tokens + refilledTokens);
        bucket.updatedAtMs = nowMs;
        if (bucket.tokens < 1) {
            return false;
        }
        bucket.tokens -= 1;
        return true;
    }
}
