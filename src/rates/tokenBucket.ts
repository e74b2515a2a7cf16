/** Token bucket that counts granted permits against its capacity for as long as they may still be used. */

/** Permits of one grant that may still be used. */
interface OutstandingGrant {
    readonly owner: string;
    readonly requestId: string;
    count: number;
    readonly expiresAtMs: number;
}

export interface TokenBucketOptions {
    /** Local monotonic time at which this bucket replaces the one of an earlier permit home. */
    readonly startMs: number;
    /** Time, on the local clock, for which any instance may still use a granted permit. */
    readonly permitValidityMs: number;
    /** Fraction of the rate at which tokens arrive; below 1 so that a fast clock does not exceed the rate. */
    readonly refillFraction: number;
    /**
     * Initial number of tokens. If set, the bucket refills from the start, and the caller accounts for permits of an
     * earlier home that may still be used.
     */
    readonly initialTokens?: number;
    /** Maximum time between two calls for which tokens arrive, so that a clock step does not fill the bucket. */
    readonly accrualLimitMs?: number;
}

/**
 * Keeps `tokens + outstandingPermits <= burst` at all times. The permits used in a window that starts at `a` are at
 * most the permits outstanding at `a`, the tokens at `a` and the tokens that arrive in the window; hence at most
 * burst + rate x time. Without `initialTokens` the bucket starts empty and refills only after `permitValidityMs`, when
 * all permits of an earlier home have expired.
 */
export class TokenBucket {
    private readonly permitValidityMs: number;
    private readonly accrualLimitMs: number;
    private refillFraction: number;
    private readonly grants: OutstandingGrant[] = [];
    private outstandingPermits = 0;
    private tokens = 0;
    private ratePerMs = 0;
    private burst = 0;
    private refilledAtMs: number;

    constructor(options: TokenBucketOptions) {
        this.permitValidityMs = options.permitValidityMs;
        this.accrualLimitMs = options.accrualLimitMs ?? Infinity;
        this.refillFraction = options.refillFraction;
        this.tokens = options.initialTokens ?? 0;
        this.refilledAtMs = options.initialTokens === undefined
            ? options.startMs + options.permitValidityMs
            : options.startMs;
    }

    /** Tokens above a lower burst are discarded; a higher burst fills at the rate. */
    setRate(ratePerSecond: number, burst: number, nowMs: number): void {
        this.refill(nowMs);
        this.ratePerMs = ratePerSecond / 1_000;
        this.burst = burst;
        this.tokens = Math.min(this.tokens, this.freeCapacity());
    }

    /** The smaller of the old and the new fraction applies to the time since the last call. */
    setRefillFraction(refillFraction: number, nowMs: number): void {
        this.refillFraction = Math.min(this.refillFraction, refillFraction);
        this.refill(nowMs);
        this.refillFraction = refillFraction;
    }

    /** Whole tokens, each of which can be granted as a permit now; negative after uses without a permit. */
    availableTokens(nowMs: number): number {
        this.refill(nowMs);
        return Math.floor(this.tokens + roundingTolerance);
    }

    /** Grants `count` permits, at most `availableTokens`, to `owner`. */
    grant(owner: string, requestId: string, count: number, nowMs: number): void {
        this.refill(nowMs);
        this.tokens = Math.max(0, this.tokens - count);
        this.outstandingPermits += count;
        this.grants.push({ owner, requestId, count, expiresAtMs: nowMs + this.permitValidityMs });
    }

    /**
     * Records that `owner` received its grant `requestId` and still holds `held` unused permits. Ignored unless this is
     * the last grant to `owner`: a delayed request does not reflect later grants.
     */
    settle(owner: string, requestId: string, held: number, nowMs: number): void {
        this.refill(nowMs);
        const ownGrants = this.grants.filter(grant => grant.owner === owner);
        if (ownGrants.at(-1)?.requestId !== requestId) {
            return;
        }
        let excess = ownGrants.reduce((sum, grant) => sum + grant.count, 0) - held;
        for (const grant of ownGrants) {
            const used = Math.max(0, Math.min(grant.count, excess));
            grant.count -= used;
            this.outstandingPermits -= used;
            excess -= used;
        }
    }

    /** Deducts uses that had no permit; the number of tokens may become negative. */
    charge(count: number, nowMs: number): void {
        this.refill(nowMs);
        this.tokens -= count;
    }

    /** Whether the current rate and burst alone bound the permits still usable; false for a time after a reduction. */
    isRateInForce(nowMs: number): boolean {
        this.refill(nowMs);
        return nowMs >= this.refilledAtMs && this.outstandingPermits <= this.burst;
    }

    /** Time until `count` whole tokens, or a full bucket, can be available; Infinity if the rate never allows it. */
    waitMs(count: number, nowMs: number): number {
        if (this.ratePerMs <= 0 || this.burst < 1) {
            return Infinity;
        }
        const startDelayMs = Math.max(0, this.refilledAtMs - nowMs);
        const missingTokens = Math.max(0, Math.min(count, this.burst) - this.tokens);
        return startDelayMs + missingTokens / (this.ratePerMs * this.refillFraction);
    }

    private freeCapacity(): number {
        return Math.max(0, this.burst - this.outstandingPermits);
    }

    private refill(nowMs: number): void {
        this.refilledAtMs = Math.max(this.refilledAtMs, nowMs - this.accrualLimitMs);
        while (this.grants.length > 0 && this.grants[0]!.expiresAtMs <= nowMs) {
            const expired = this.grants.shift()!;
            this.refillUntil(expired.expiresAtMs);
            this.outstandingPermits -= expired.count;
        }
        this.refillUntil(nowMs);
    }

    private refillUntil(untilMs: number): void {
        if (untilMs > this.refilledAtMs) {
            const arrivedTokens = (untilMs - this.refilledAtMs) * this.ratePerMs * this.refillFraction;
            this.tokens = Math.min(this.tokens + arrivedTokens, this.freeCapacity());
            this.refilledAtMs = untilMs;
        }
    }
}

/** The sum of many small refills may miss a whole token by a floating-point error. */
const roundingTolerance = 1e-9;
