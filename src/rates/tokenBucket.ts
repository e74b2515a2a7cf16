/** Token bucket whose capacity is shared with permits that were granted and may still be used. */

/** Permits of one grant that may still be used. */
interface OutstandingGrant {
    readonly owner: string;
    readonly requestId: string;
    count: number;
    readonly expiresMs: number;
}

export interface TokenBucketOptions {
    /** Local monotonic time of the takeover. */
    readonly startMs: number;
    /** Local time for which a granted permit may still be used anywhere. */
    readonly permitValidityMs: number;
    /** Part of the rate at which tokens arrive, so that a clock that runs fast does not exceed the rate. */
    readonly refillFraction: number;
    /**
     * Tokens to start with. When it is given, the bucket fills from the start, and the caller answers for permits of an
     * earlier home that are still out.
     */
    readonly initialTokens?: number;
    /** Longest time between two calls for which tokens arrive, so that a step of the clock does not fill the bucket. */
    readonly accrualLimitMs?: number;
}

/**
 * Keeps `level + outstanding <= burst` at all times. The uses in a window that starts at `a` are at most the permits
 * outstanding at `a`, the level at `a` and the tokens that arrive in the window; hence at most burst + rate x time.
 * Without a start level it starts empty and fills only after `outstandingMs`, when permits of an earlier home expired.
 */
export class TokenBucket {
    private readonly permitValidityMs: number;
    private readonly accrualLimitMs: number;
    private refillFraction: number;
    private readonly grants: OutstandingGrant[] = [];
    private outstanding = 0;
    private level = 0;
    private ratePerMs = 0;
    private burst = 0;
    private refilledMs: number;

    constructor(options: TokenBucketOptions) {
        this.permitValidityMs = options.permitValidityMs;
        this.accrualLimitMs = options.accrualLimitMs ?? Infinity;
        this.refillFraction = options.refillFraction;
        this.level = options.initialTokens ?? 0;
        this.refilledMs = options.initialTokens === undefined
            ? options.startMs + options.permitValidityMs
            : options.startMs;
    }

    /** Changes rate (per second) and burst. Tokens above a lower burst are lost; a higher burst fills at the rate. */
    setRate(ratePerSecond: number, burst: number, nowMs: number): void {
        this.refill(nowMs);
        this.ratePerMs = ratePerSecond / 1_000;
        this.burst = burst;
        this.level = Math.min(this.level, this.room());
    }

    /** Changes the part of the rate that arrives; the time since the last call counts with the smaller of the two. */
    setRefillFraction(refillFraction: number, nowMs: number): void {
        this.refillFraction = Math.min(this.refillFraction, refillFraction);
        this.refill(nowMs);
        this.refillFraction = refillFraction;
    }

    /** Whole permits that can be granted now; below zero after uses without a permit. */
    availableTokens(nowMs: number): number {
        this.refill(nowMs);
        return Math.floor(this.level + roundingSlack);
    }

    /** Takes `count` permits, at most `available`, out for `owner`. */
    grant(owner: string, requestId: string, count: number, nowMs: number): void {
        this.refill(nowMs);
        this.level = Math.max(0, this.level - count);
        this.outstanding += count;
        this.grants.push({ owner, requestId, count, expiresMs: nowMs + this.permitValidityMs });
    }

    /**
     * Takes note that `owner` received its grant `requestId` and still holds `held` permits. Ignored unless that is
     * the last grant to `owner`: a question that was delayed on its way knows nothing of later grants.
     */
    settle(owner: string, requestId: string, held: number, nowMs: number): void {
        this.refill(nowMs);
        const own = this.grants.filter(grant => grant.owner === owner);
        if (own.at(-1)?.requestId !== requestId) {
            return;
        }
        let excess = own.reduce((sum, grant) => sum + grant.count, 0) - held;
        for (const grant of own) {
            const used = Math.max(0, Math.min(grant.count, excess));
            grant.count -= used;
            this.outstanding -= used;
            excess -= used;
        }
    }

    /** Counts uses without a permit; the level may fall below zero. */
    charge(count: number, nowMs: number): void {
        this.refill(nowMs);
        this.level -= count;
    }

    /** Tells whether the present share alone bounds what permits still allow; false for a time after a reduction. */
    isRateInForce(nowMs: number): boolean {
        this.refill(nowMs);
        return nowMs >= this.refilledMs && this.outstanding <= this.burst;
    }

    /** Milliseconds until `count` whole tokens could be there; Infinity when the share never allows it. */
    waitMs(count: number, nowMs: number): number {
        if (this.ratePerMs <= 0 || this.burst < 1) {
            return Infinity;
        }
        const started = Math.max(0, this.refilledMs - nowMs);
        const missing = Math.max(0, Math.min(count, this.burst) - this.level);
        return started + missing / (this.ratePerMs * this.refillFraction);
    }

    private room(): number {
        return Math.max(0, this.burst - this.outstanding);
    }

    private refill(nowMs: number): void {
        this.refilledMs = Math.max(this.refilledMs, nowMs - this.accrualLimitMs);
        while (this.grants.length > 0 && this.grants[0]!.expiresMs <= nowMs) {
            const expired = this.grants.shift()!;
            this.refillUntil(expired.expiresMs);
            this.outstanding -= expired.count;
        }
        this.refillUntil(nowMs);
    }

    private refillUntil(untilMs: number): void {
        if (untilMs > this.refilledMs) {
            const arrived = (untilMs - this.refilledMs) * this.ratePerMs * this.refillFraction;
            this.level = Math.min(this.level + arrived, this.room());
            this.refilledMs = untilMs;
        }
    }
}

/** Sums of many small refills may miss a whole token by the error of floating point. */
const roundingSlack = 1e-9;
