/** Counts admissions above a workspace's rate, from the times alone and without any code of the product. */

/** A rate and burst in force from `fromMs` on. */
export interface RateLimit {
    readonly fromMs: number;
    readonly ratePerSecond: number;
    readonly burst: number;
}

/**
 * Number of admissions that lie above the rate: the fewest that would have to be left out so that every window holds
 * at most `rate x length + burst`. For a constant rate that is what a full token bucket refuses, which is exact: the
 * bucket is short of a token exactly when some window that ends now is over its bound.
 * @param timesMs times of admission in ascending order
 * @param limits in ascending order of `fromMs`; the first is in force from the beginning
 */
export function countAdmissionsOverRate(timesMs: readonly number[], limits: readonly RateLimit[]): number {
    let limitIndex = 0;
    let tokens = limits[0]!.burst;
    let refilledAtMs = timesMs[0] ?? 0;
    let overRateCount = 0;
    for (const timeMs of timesMs) {
        while (limitIndex + 1 < limits.length && limits[limitIndex + 1]!.fromMs <= timeMs) {
            const next = limits[limitIndex + 1]!;
            tokens = Math.min(next.burst, refill(tokens, limits[limitIndex]!, next.fromMs - refilledAtMs));
            refilledAtMs = Math.max(refilledAtMs, next.fromMs);
            limitIndex++;
        }
        tokens = refill(tokens, limits[limitIndex]!, timeMs - refilledAtMs);
        refilledAtMs = Math.max(refilledAtMs, timeMs);
        if (tokens >= 1 - tolerance) {
            tokens -= 1;
        }
        else {
            overRateCount++;
        }
    }
    return overRateCount;
}

const tolerance = 1e-6;

function refill(tokens: number, limit: RateLimit, elapsedMs: number): number {
    return Math.min(limit.burst, tokens + Math.max(0, elapsedMs) * limit.ratePerSecond / 1_000);
}

/** Marks the arrivals that lie within rate and burst, taken in their order. */
export function markWithinRate(timesMs: readonly number[], limit: RateLimit): readonly boolean[] {
    let tokens = limit.burst;
    let refilledAtMs = 0;
    return timesMs.map(timeMs => {
        tokens = refill(tokens, limit, timeMs - refilledAtMs);
        refilledAtMs = timeMs;
        const within = tokens >= 1 - tolerance;
        tokens -= within ? 1 : 0;
        return within;
    });
}
