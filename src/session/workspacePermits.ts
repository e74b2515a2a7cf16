/** What this instance may spend of one workspace: permits of the leader, and a fallback without one. */
import { decay, DecayingCount } from "../model/decayingCount.ts";
import type { PermitGrant } from "../model/fleetMessages.ts";
import { demandMemoryMs, fallbackLimitMs } from "../model/rateLimits.ts";
import { LocalTokenBucket } from "./localTokenBucket.ts";

/** Time constant of the demand that permits are asked for ahead of. */
const prefetchDemandMemoryMs = 2_000;

/** Demand that permits are asked for ahead of, below the validity of a permit, so that few expire unused. */
const prefetchMs = 600;

interface Fallback {
    readonly share: number;
    readonly stored: number;
    readonly receivedMs: number;
}

export class WorkspacePermits {
    /** Time before which the leader has nothing more for this instance. */
    earliestRequestMs = -Infinity;
    /** Operations that ran at the fallback rate. */
    fallbackUsed = 0;
    private permits: { count: number; readonly untilMs: number; }[] = [];
    private readonly demand = new DecayingCount(prefetchDemandMemoryMs);
    private fallback: Fallback = { share: 0, stored: 0, receivedMs: 0 };
    /** In use while no leader answers. */
    private bucket: LocalTokenBucket | undefined;
    private remainingTokens = 0;
    private fallbackStartedMs = -Infinity;

    recordDemand(nowMs: number): void {
        this.demand.add(1, nowMs);
    }

    heldPermits(nowMs: number): number {
        this.permits = this.permits.filter(({ untilMs }) => untilMs > nowMs);
        return this.permits.reduce((sum, { count }) => sum + count, 0);
    }

    /** Permits to ask for beyond those for operations that wait. */
    prefetchCount(nowMs: number): number {
        const target = Math.floor(this.demand.perSecond(nowMs) * prefetchMs / 1_000);
        const heldPermits = this.heldPermits(nowMs);
        return heldPermits <= target / 2 ? target - heldPermits : 0;
    }

    addGrant({ count, retryMs, fallback }: PermitGrant, validUntilMs: number, nowMs: number): void {
        if (count > 0) {
            this.permits.push({ count, untilMs: validUntilMs });
        }
        this.earliestRequestMs = retryMs > 0 ? nowMs + retryMs : -Infinity;
        if (fallback !== undefined) {
            this.fallback = { ...fallback, receivedMs: nowMs };
        }
    }

    tryAcquire(nowMs: number): boolean {
        if (this.heldPermits(nowMs) > 0) {
            const [oldest] = this.permits;
            oldest!.count -= 1;
            this.permits = this.permits.filter(({ count }) => count > 0);
            return true;
        }
        const taken = this.bucket?.tryTake(nowMs) ?? false;
        this.fallbackUsed += taken ? 1 : 0;
        return taken;
    }

    /**
     * Begins to spend at the fallback rate. The shares of a small workspace are far below one operation; a random part of
     * one to start with makes them add up over all instances. Tokens that were left the last time go on for as long as
     * a window of the rate may still see that time.
     * @param randomShare uniform in [0, 1)
     */
    startFallback(ratePerSecond: number, randomShare: number, nowMs: number): void {
        const { share, stored, receivedMs } = this.fallback;
        const decayFactor = decay(nowMs - receivedMs, demandMemoryMs);
        const isNewFallback = nowMs - this.fallbackStartedMs >= fallbackLimitMs;
        this.fallbackStartedMs = isNewFallback ? nowMs : this.fallbackStartedMs;
        this.bucket = new LocalTokenBucket({
            ratePerSecond: ratePerSecond * share * decayFactor,
            burst: 1 + stored * decayFactor,
            tokens: isNewFallback ? stored * decayFactor + randomShare : this.remainingTokens,
            startMs: nowMs,
        });
        this.earliestRequestMs = -Infinity;
    }

    endFallback(nowMs: number): void {
        this.remainingTokens = this.bucket?.availableTokens(nowMs) ?? this.remainingTokens;
        this.bucket = undefined;
    }

    /** Time until an operation may run that finds none now; infinite when only an answer of the leader can tell. */
    waitMs(nowMs: number): number {
        return this.bucket === undefined ? this.earliestRequestMs - nowMs : this.bucket.waitMs(nowMs);
    }
}
