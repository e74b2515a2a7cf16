/** Grants the permits of one workspace on the control leader, for the duration of its term. */
import { DecayingCounter } from "../model/decayingCounter.ts";
import {
    demandTimeConstantMs,
    leaderPermitValidityMs,
    type RateTolerance,
    toleratedOperations,
} from "../model/rateLimits.ts";
import { FairAllocator } from "../rates/fairAllocator.ts";
import { TokenBucket } from "../rates/tokenBucket.ts";

export interface InstancePermitRequest {
    readonly instanceId: string;
    readonly requestId: string;
    /** Waiting operations. */
    readonly waiting: number;
    /** Permits wanted beyond those, for operations expected soon. */
    readonly prefetch: number;
}

export interface PermitDecision {
    readonly count: number;
    /**
     * Time after which the instance may request the permits that it did not get; 0 if all waiting operations got one.
     */
    readonly retryMs: number;
}

/** Rate and burst that an instance may use while it reaches no leader. */
export interface FallbackAllowance {
    /** Fraction of the workspace's rate. */
    readonly share: number;
    /** Operations that may run at once, in addition to the rate. */
    readonly burst: number;
}

export interface WorkspacePermitsOptions {
    readonly startMs: number;
    readonly tolerance: RateTolerance;
    readonly ratePerSecond: number;
    readonly burst: number;
}

/**
 * Fractions of the operations that a window tolerates beyond rate and burst: `outstandingFraction` extends the burst
 * for outstanding permits, `initialFraction` fills the bucket of a new leader, and `fallbackFraction` is the burst of
 * all fallback rates together. The remaining 0.3 covers the time until a former leader notices that it lost its
 * majority, and operations in flight to a database. `rates.spec.ts` counts windows in which these cases coincide.
 */
const outstandingFraction = 0.3;
const initialFraction = 0.2;
export const fallbackFraction = 0.2;

/**
 * Demand, in seconds of the workspace's rate, that is added to the measured one when fallback shares are computed, so
 * that the first instances to request permits do not get the whole rate. A tenth of the time constant of the demand.
 */
const priorDemandSeconds = 2;

/**
 * Longest time between two calls for which tokens accrue; a longer one is a clock step or a pause of the process. A
 * clock step thus adds at most 0.6 of the operations that a window of 5 s tolerates for a workspace without a burst, or
 * 0.9 together with the outstanding permits.
 */
export const accrualLimitMs = 300;

/** Bounds of the retry time. The upper bound also limits the requests for a workspace that exceeds its rate. */
const minimumRetryMs = 5;
export const maximumRetryMs = 400;

/**
 * One token bucket for all instances, at constant cost per request. The operations that run in a window are at most
 * those granted in the window and those outstanding at its start; the bucket keeps the sum of its level and the
 * outstanding permits within burst and tolerance.
 */
export class WorkspacePermits {
    private readonly tolerance: RateTolerance;
    private readonly bucket: TokenBucket;
    private readonly fairAllocator = new FairAllocator();
    private readonly demandByInstance = new Map<string, DecayingCounter>();
    private readonly totalDemand = new DecayingCounter(demandTimeConstantMs);
    private reservedShare = 0;
    private currentRatePerSecond = 0;
    private tolerated = 0;
    private capacity = 0;

    constructor({ startMs, tolerance, ratePerSecond, burst }: WorkspacePermitsOptions) {
        this.tolerance = tolerance;
        this.bucket = new TokenBucket({
            startMs,
            permitValidityMs: leaderPermitValidityMs,
            refillFraction: 1,
            accrualLimitMs,
            initialTokens: initialFraction * toleratedOperations(tolerance, ratePerSecond, burst),
        });
        this.setRate(ratePerSecond, burst, startMs);
    }

    get ratePerSecond(): number {
        return this.currentRatePerSecond;
    }

    setRate(ratePerSecond: number, burst: number, nowMs: number): void {
        this.currentRatePerSecond = ratePerSecond;
        this.tolerated = toleratedOperations(this.tolerance, ratePerSecond, burst);
        this.capacity = ratePerSecond > 0 ? Math.max(1, burst + outstandingFraction * this.tolerated) : 0;
        this.bucket.setRate(ratePerSecond, this.capacity, nowMs);
    }

    /** Adds the tokens that accrued; must be called more often than every `accrualLimitMs`. */
    refill(nowMs: number): void {
        this.bucket.availableTokens(nowMs);
    }

    /** Records how many permits of its last grant and earlier ones an instance still holds. */
    settle(instanceId: string, requestId: string, held: number, nowMs: number): void {
        this.bucket.settle(instanceId, requestId, held, nowMs);
    }

    /** Counts operations that ran without a permit. */
    charge(operations: number, nowMs: number): void {
        this.bucket.charge(operations, nowMs);
    }

    answer(
        { instanceId, requestId, waiting, prefetch }: InstancePermitRequest,
        nowMs: number,
    ): PermitDecision {
        const available = Math.max(0, this.bucket.availableTokens(nowMs));
        const allotted = this.fairAllocator.allocate(instanceId, waiting, available, nowMs);
        this.fairAllocator.recordGrant(instanceId, waiting, allotted, nowMs);
        // Prefetching leaves half of the bucket's capacity to operations that start to wait later.
        const spare = Math.max(0, Math.floor(available - allotted - this.capacity / 2));
        const count = allotted + Math.min(prefetch, spare);
        if (count > 0) {
            this.bucket.grant(instanceId, requestId, count, nowMs);
            this.demandOf(instanceId).add(count, nowMs);
            this.totalDemand.add(count, nowMs);
        }
        return { count, retryMs: allotted < waiting ? this.retryMs(nowMs) : 0 };
    }

    fallbackAllowance(instanceId: string, nowMs: number): FallbackAllowance {
        const own = this.demandByInstance.get(instanceId)?.value(nowMs) ?? 0;
        const share = own / (this.totalDemand.value(nowMs) + priorDemandSeconds * this.currentRatePerSecond + 1);
        // Fallback bursts come from the tolerance and not from the bucket: tokens promised to both could be spent twice
        // when a surge of requests finds the bucket full.
        return { share, burst: share * fallbackFraction * this.tolerated };
    }

    /**
     * Reserves a share of the rate that unreachable instances may be using at their fallback rate; a negative share
     * releases a reservation.
     */
    reserve(share: number, nowMs: number): void {
        this.reservedShare = Math.max(0, this.reservedShare + share);
        this.bucket.setRefillFraction(Math.max(0, 1 - this.reservedShare), nowMs);
    }

    private retryMs(nowMs: number): number {
        const delayMs = Math.ceil(this.bucket.waitMs(Math.max(1, this.fairAllocator.requesterCount), nowMs));
        return Math.min(maximumRetryMs, Math.max(minimumRetryMs, delayMs));
    }

    private demandOf(instanceId: string): DecayingCounter {
        const known = this.demandByInstance.get(instanceId);
        if (known !== undefined) {
            return known;
        }
        const demand = new DecayingCounter(demandTimeConstantMs);
        this.demandByInstance.set(instanceId, demand);
        return demand;
    }
}
