/** Moving averages of the service times of statements on one database, by kind of statement. */

/** Weight of the newest sample; the average follows a change within about ten statements. */
const newestSampleWeight = 0.1;

/** Estimate before the first sample; low, so that admission refuses nothing after a cold start. */
const defaultInitialMs = 0.2;

/** Lower bound, so that a statement answered within the resolution of the clock does not cost nothing. */
const minimumEstimateMs = 0.05;

export class ServiceTimeEstimate {
    private readonly initialMs: number;
    private readonly meansMs = new Map<string, number>();

    /** @param initialMs estimate before the first sample of a key */
    constructor(initialMs = defaultInitialMs) {
        this.initialMs = initialMs;
    }

    /** @param key kind of statement; the number of keys must stay small */
    recordServiceTime(key: string, serviceMs: number): void {
        const meanMs = this.meansMs.get(key) ?? serviceMs;
        this.meansMs.set(key, Math.max(minimumEstimateMs, meanMs + newestSampleWeight * (serviceMs - meanMs)));
    }

    expectedMs(key: string): number {
        return this.meansMs.get(key) ?? this.initialMs;
    }
}
