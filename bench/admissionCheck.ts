/** Counts admissions above a workspace's rate. Uses only the admission times and none of the proxy's code. */

/** A rate and burst that apply from `fromMs` on. */
export interface RateLimit {
    readonly fromMs: number;
    readonly ratePerSecond: number;
    readonly burst: number;
}

/**
 * Counts the admissions above the rate: the minimum number that would have to be refused so that every time window
 * contains at most `rate x length + burst`. For a constant rate, a token bucket that starts full refuses exactly this
 * number, because it lacks a token exactly when some window that ends now exceeds its limit.
 * @param timesMs times of admission in ascending order
 * @param limits in ascending order of `fromMs`; the first applies from the beginning
 */
export function countAdmissionsOverRate(timesMs: readonly number[], limits: readonly RateLimit[]): number {
    let limitIndex = 0;
    let tokens = limits[0]!.burst;
    let refilledAtMs = timesMs[0] ?? 0;
    let overRateCount = 0;
    for (const timeMs of timesMs) {
        while (limitIndex + 1 < limits.length && limits[limitIndex + 1]!.fromMs <= timeMs) {
            const nextLimit = limits[limitIndex + 1]!;
            tokens = Math.min(nextLimit.burst, refill(tokens, limits[limitIndex]!, nextLimit.fromMs - refilledAtMs));
            refilledAtMs = Math.max(refilledAtMs, nextLimit.fromMs);
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

/** Returns for each arrival whether it is within rate and burst, as a token bucket decides in order of arrival. */
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
