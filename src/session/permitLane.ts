/** What this instance may spend of one workspace: permits of the leader, and a fallback without one. */
import { decayFactor, DecayingCounter } from "../model/decayingCounter.ts";
import type { PermitGrant } from "../model/fleetMessages.ts";
import { demandTimeConstantMs, fallbackLimitMs } from "../model/rateLimits.ts";
import { RateBucket } from "./rateBucket.ts";

/** Time constant of the demand that permits are asked for ahead of. */
const aheadMemoryMs = 2_000;

/** Demand that permits are asked for ahead of, below the validity of a permit, so that few expire unused. */
const aheadMs = 600;

interface Fallback {
    readonly share: number;
    readonly burst: number;
    readonly toldMs: number;
}

export class PermitLane {
    /** Time before which the leader has nothing more for this instance. */
    retryAtMs = -Infinity;
    /** Operations that ran at the fallback rate. */
    fallbackUsed = 0;
    private permits: { count: number; readonly untilMs: number; }[] = [];
    private readonly demand = new DecayingCounter(aheadMemoryMs);
    private fallback: Fallback = { share: 0, burst: 0, toldMs: 0 };
    /** In use while no leader answers. */
    private bucket: RateBucket | undefined;
    private leftTokens = 0;
    private bucketStartedMs = -Infinity;

    noteDemand(nowMs: number): void {
        this.demand.add(1, nowMs);
    }

    held(nowMs: number): number {
        this.permits = this.permits.filter(({ untilMs }) => untilMs > nowMs);
        return this.permits.reduce((sum, { count }) => sum + count, 0);
    }

    /** Permits to ask for beyond those for operations that wait. */
    ahead(nowMs: number): number {
        const target = Math.floor(this.demand.eventsPerSecond(nowMs) * aheadMs / 1_000);
        const held = this.held(nowMs);
        return held <= target / 2 ? target - held : 0;
    }

    add({ count, retryMs, fallback }: PermitGrant, validUntilMs: number, nowMs: number): void {
        if (count > 0) {
            this.permits.push({ count, untilMs: validUntilMs });
        }
        this.retryAtMs = retryMs > 0 ? nowMs + retryMs : -Infinity;
        if (fallback !== undefined) {
            this.fallback = { ...fallback, toldMs: nowMs };
        }
    }

    take(nowMs: number): boolean {
        if (this.held(nowMs) > 0) {
            const [oldest] = this.permits;
            oldest!.count -= 1;
            this.permits = this.permits.filter(({ count }) => count > 0);
            return true;
        }
        const taken = this.bucket?.take(nowMs) ?? false;
        this.fallbackUsed += taken ? 1 : 0;
        return taken;
    }

    /**
     * Begins to spend at the fallback rate. The shares of a small workspace are far below one operation; a random part of
     * one to start with makes them add up over all instances. Tokens that were left the last time go on for as long as
     * a window of the rate may still see that time.
     * @param draw uniform in [0, 1)
     */
    startFallback(ratePerSecond: number, draw: number, nowMs: number): void {
        const { share, burst, toldMs } = this.fallback;
        const part = decayFactor(nowMs - toldMs, demandTimeConstantMs);
        const isFresh = nowMs - this.bucketStartedMs >= fallbackLimitMs;
        this.bucketStartedMs = isFresh ? nowMs : this.bucketStartedMs;
        this.bucket = new RateBucket({
            ratePerSecond: ratePerSecond * share * part,
            burst: 1 + burst * part,
            tokens: isFresh ? burst * part + draw : this.leftTokens,
            startMs: nowMs,
        });
        this.retryAtMs = -Infinity;
    }

    endFallback(nowMs: number): void {
        this.leftTokens = this.bucket?.level(nowMs) ?? this.leftTokens;
        this.bucket = undefined;
    }

    /** Time until an operation may run that finds none now; infinite when only an answer of the leader can tell. */
    waitMs(nowMs: number): number {
        return this.bucket === undefined ? this.retryAtMs - nowMs : this.bucket.waitMs(nowMs);
    }
}
