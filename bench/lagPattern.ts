/** How far replicas lag behind their primary. */
import type { SeededRandom } from "../src/pipeline/seededRandom.ts";

export interface LagPattern {
    /** Lag of one replica at a time; asked with times that do not fall. */
    lagMs(replicaId: string, nowMs: number): number;
}

export class FixedLag implements LagPattern {
    private readonly fixedMs: number;

    constructor(fixedMs: number) {
        this.fixedMs = fixedMs;
    }

    lagMs(): number {
        return this.fixedMs;
    }
}

interface Stall {
    readonly startsAtMs: number;
    readonly endsAtMs: number;
}

const normalLagMs = 5;
const maximumPauseMs = 4_000;
const maximumStallMs = 3_000;

/** A replica applies nothing for a stretch of up to 3 s, catches up, and stops again after up to 4 s. */
export class RandomStalls implements LagPattern {
    private readonly random: SeededRandom;
    private readonly stalls = new Map<string, Stall>();

    constructor(random: SeededRandom) {
        this.random = random;
    }

    lagMs(replicaId: string, nowMs: number): number {
        let stall = this.stalls.get(replicaId) ?? this.createStall(nowMs);
        while (nowMs >= stall.endsAtMs) {
            stall = this.createStall(stall.endsAtMs);
        }
        this.stalls.set(replicaId, stall);
        return normalLagMs + Math.max(0, nowMs - stall.startsAtMs);
    }

    private createStall(fromMs: number): Stall {
        const startsAtMs = fromMs + this.random.nextFloat() * maximumPauseMs;
        return { startsAtMs, endsAtMs: startsAtMs + this.random.nextFloat() * maximumStallMs };
    }
}
