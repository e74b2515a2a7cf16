/** Permits of this instance for one workspace: granted by the leader, or taken from a local bucket without a leader. */
import { decayFactor, DecayingCounter } from "../model/decayingCounter.ts";
import type { PermitGrant } from "../model/fleetMessages.ts";
import { demandTimeConstantMs, fallbackLimitMs } from "../model/rateLimits.ts";
import { LocalTokenBucket } from "./localTokenBucket.ts";

/** Time constant of the demand estimate from which the number of prefetched permits follows. */
const prefetchTimeConstantMs = 2_000;

/** Time whose demand prefetched permits cover; below the validity of a permit, so that few expire unused. */
const prefetchMs = 600;

interface Permits {
    count: number;
    readonly validUntilMs: number;
}

/** Limits for the time without a leader, as last granted by one. */
interface Fallback {
    readonly share: number;
    readonly burst: number;
    readonly receivedMs: number;
}

export class LocalPermits {
    /** Time before which the leader grants no more permits to this instance. */
    earliestRequestMs = -Infinity;
    /** Number of operations admitted at the fallback rate. */
    fallbackUsed = 0;
    private permits: Permits[] = [];
    private readonly demand = new DecayingCounter(prefetchTimeConstantMs);
    private fallback: Fallback = { share: 0, burst: 0, receivedMs: 0 };
    /** Set while no leader answers. */
    private bucket: LocalTokenBucket | undefined;
    private remainingTokens = 0;
    private fallbackStartedMs = -Infinity;

    recordDemand(nowMs: number): void {
        this.demand.add(1, nowMs);
    }

    heldPermits(nowMs: number): number {
        return this.validPermits(nowMs).reduce((sum, { count }) => sum + count, 0);
    }

    /** Number of whole operations that the fallback rate allows now. */
    fallbackTokens(nowMs: number): number {
        return Math.floor(this.bucket?.availableTokens(nowMs) ?? 0);
    }

    /** Number of permits to request beyond those for waiting operations. */
    prefetchCount(nowMs: number): number {
        const target = Math.floor(this.demand.eventsPerSecond(nowMs) * prefetchMs / 1_000);
        const held = this.heldPermits(nowMs);
        return held <= target / 2 ? target - held : 0;
    }

    addGrant({ count, retryMs, fallback }: PermitGrant, validUntilMs: number, nowMs: number): void {
        this.permits = [...this.validPermits(nowMs), ...count > 0 ? [{ count, validUntilMs }] : []];
        this.earliestRequestMs = retryMs > 0 ? nowMs + retryMs : -Infinity;
        if (fallback !== undefined) {
            this.fallback = { ...fallback, receivedMs: nowMs };
        }
    }

    tryAcquire(nowMs: number): boolean {
        this.permits = this.validPermits(nowMs);
        const [oldest] = this.permits;
        if (oldest !== undefined) {
            oldest.count -= 1;
            return true;
        }
        const taken = this.bucket?.tryTake(nowMs) ?? false;
        this.fallbackUsed += taken ? 1 : 0;
        return taken;
    }

    /**
     * Starts to admit operations at the fallback rate. An instance's share of a small workspace is far below one
     * operation, so each instance starts with a random part of a token; over all instances these parts add up. A
     * fallback that follows soon after another one continues with the tokens left from it, because both may count in
     * one window of the rate.
     * @param randomShare uniform in [0, 1)
     */
    startFallback(ratePerSecond: number, randomShare: number, nowMs: number): void {
        const { share, burst, receivedMs } = this.fallback;
        const factor = decayFactor(nowMs - receivedMs, demandTimeConstantMs);
        const isNewFallback = nowMs - this.fallbackStartedMs >= fallbackLimitMs;
        this.fallbackStartedMs = isNewFallback ? nowMs : this.fallbackStartedMs;
        this.bucket = new LocalTokenBucket({
            ratePerSecond: ratePerSecond * share * factor,
            burst: 1 + burst * factor,
            tokens: isNewFallback ? burst * factor + randomShare : this.remainingTokens,
            startMs: nowMs,
        });
        this.earliestRequestMs = -Infinity;
    }

    endFallback(nowMs: number): void {
        this.remainingTokens = this.bucket?.availableTokens(nowMs) ?? this.remainingTokens;
        this.bucket = undefined;
    }

    /** Time until the next permit may be available; not above 0 when only the next answer of the leader can tell. */
    waitMs(nowMs: number): number {
        return this.bucket === undefined ? this.earliestRequestMs - nowMs : this.bucket.waitMs(nowMs);
    }

    private validPermits(nowMs: number): Permits[] {
        return this.permits.filter(({ count, validUntilMs }) => count > 0 && validUntilMs > nowMs);
    }
}
