/** The rate of each workspace as its callers understand it. */

export interface WorkspaceRate {
    readonly name: string;
    readonly ratePerSecond: number;
    readonly burst: number;
}

interface Bucket {
    readonly rate: WorkspaceRate;
    tokens: number;
    updatedMs: number;
}

/** One token bucket per workspace over all callers, which is what the guarantee counts. */
export class RateModel {
    private readonly buckets = new Map<string, Bucket>();

    constructor(rates: readonly WorkspaceRate[], nowMs: number) {
        rates.forEach(rate => this.buckets.set(rate.name, { rate, tokens: rate.burst, updatedMs: nowMs }));
    }

    /** Counts one statement and tells whether it was within the rate; a workspace without a rate always is. */
    send(workspace: string, nowMs: number): boolean {
        const bucket = this.buckets.get(workspace);
        if (bucket === undefined) {
            return true;
        }
        const gained = (nowMs - bucket.updatedMs) * bucket.rate.ratePerSecond / 1_000;
        bucket.tokens = Math.min(bucket.rate.burst, bucket.tokens + gained);
        bucket.updatedMs = nowMs;
        if (bucket.tokens < 1) {
            return false;
        }
        bucket.tokens -= 1;
        return true;
    }
}
