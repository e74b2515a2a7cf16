/** Permits of one workspace at the leader, from the start of its term. */
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
    /** Operations that wait. */
    readonly waiting: number;
    /** Permits wanted beyond those, for operations that are expected soon. */
    readonly prefetch: number;
}

export interface PermitDecision {
    readonly count: number;
    /** Time after which the asker may ask again for what it did not get; 0 when it got all. */
    readonly retryMs: number;
}

/** What an instance may spend while it reaches no leader. */
export interface FallbackAllowance {
    /** Part of the rate. */
    readonly share: number;
    /** Operations at once, beside what the rate brings. */
    readonly burst: number;
}

export interface WorkspacePermitsOptions {
    readonly startMs: number;
    readonly tolerance: RateTolerance;
    readonly ratePerSecond: number;
    readonly burst: number;
}

/**
 * Parts of what a window tolerates beyond rate and burst. Permits that are out count against the burst and the first;
 * the second is what a new leader starts with, the third what all fallbacks may begin with. The rest is for the time in
 * which a former leader has not noticed yet that it lost its majority, and for operations on their way to a database.
 * The three are choices, not measured; together they leave 0.3. `rates.spec.ts` counts windows in which they meet.
 */
const outstandingPart = 0.3;
const startPart = 0.2;
export const fallbackFraction = 0.2;

/**
 * Demand that fallback shares count beside what was seen, so that the first askers are not given all; seconds of rate. A
 * tenth of the memory of the demand, not measured.
 */
const priorDemandSeconds = 2;

/**
 * Longest time between two calls that counts; the rest is a step of the clock or a pause of the process. A step brings this
 * much of the rate at most: 0.6 of what a window of 5 s tolerates where a workspace has no burst. With what may be out, 0.9.
 */
export const accrualLimitMs = 300;

/** Bounds of the time until an instance may ask again; the longest bounds the questions of a workspace beyond its rate. */
const shortestRetryMs = 5;
export const maximumRetryMs = 400;

/**
 * A single bucket for the fleet, at constant cost for each question. What runs in a window is at most what was granted in
 * it and what was out at its start; the bucket keeps its level and what is out within burst and tolerance together.
 */
export class WorkspacePermits {
    private readonly tolerance: RateTolerance;
    private readonly bucket: TokenBucket;
    private readonly askers = new FairAllocator();
    private readonly demands = new Map<string, DecayingCounter>();
    private readonly demand = new DecayingCounter(demandTimeConstantMs);
    private reservedShare = 0;
    private perSecond = 0;
    private tolerated = 0;
    private capacity = 0;

    constructor({ startMs, tolerance, ratePerSecond, burst }: WorkspacePermitsOptions) {
        this.tolerance = tolerance;
        this.bucket = new TokenBucket({
            startMs,
            permitValidityMs: leaderPermitValidityMs,
            refillFraction: 1,
            accrualLimitMs,
            initialTokens: startPart * toleratedOperations(tolerance, ratePerSecond, burst),
        });
        this.setRate(ratePerSecond, burst, startMs);
    }

    get ratePerSecond(): number {
        return this.perSecond;
    }

    setRate(ratePerSecond: number, burst: number, nowMs: number): void {
        this.perSecond = ratePerSecond;
        this.tolerated = toleratedOperations(this.tolerance, ratePerSecond, burst);
        this.capacity = ratePerSecond > 0 ? Math.max(1, burst + outstandingPart * this.tolerated) : 0;
        this.bucket.setRate(ratePerSecond, this.capacity, nowMs);
    }

    /** Lets the rate arrive; called more often than the limit of accrual. */
    refill(nowMs: number): void {
        this.bucket.availableTokens(nowMs);
    }

    /** Takes note of the permits that an instance holds of its last grant, and before. */
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
        const due = this.askers.allocate(instanceId, waiting, available, nowMs);
        this.askers.recordGrant(instanceId, waiting, due, nowMs);
        // What nobody waits for yet leaves half of the bucket to those who will.
        const spare = Math.max(0, Math.floor(available - due - this.capacity / 2));
        const count = due + Math.min(prefetch, spare);
        if (count > 0) {
            this.bucket.grant(instanceId, requestId, count, nowMs);
            this.demandOf(instanceId).add(count, nowMs);
            this.demand.add(count, nowMs);
        }
        return { count, retryMs: due < waiting ? this.retryMs(nowMs) : 0 };
    }

    fallbackAllowance(instanceId: string, nowMs: number): FallbackAllowance {
        const own = this.demands.get(instanceId)?.value(nowMs) ?? 0;
        const share = own / (this.demand.value(nowMs) + priorDemandSeconds * this.perSecond + 1);
        // The level is for permits alone: what is promised to fallbacks too would run twice when a flood finds it full.
        return { share, burst: share * fallbackFraction * this.tolerated };
    }

    /** Sets a part of the rate aside, or back where it is negative, that instances which are not heard may be spending. */
    reserve(share: number, nowMs: number): void {
        this.reservedShare = Math.max(0, this.reservedShare + share);
        this.bucket.setRefillFraction(Math.max(0, 1 - this.reservedShare), nowMs);
    }

    private retryMs(nowMs: number): number {
        const delayMs = Math.ceil(this.bucket.waitMs(Math.max(1, this.askers.requesterCount), nowMs));
        return Math.min(maximumRetryMs, Math.max(shortestRetryMs, delayMs));
    }

    private demandOf(instanceId: string): DecayingCounter {
        const known = this.demands.get(instanceId);
        if (known !== undefined) {
            return known;
        }
        const demand = new DecayingCounter(demandTimeConstantMs);
        this.demands.set(instanceId, demand);
        return demand;
    }
}
