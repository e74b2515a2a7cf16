/** Patterns of the replication lag of replicas. */
import type { SeededRandom } from "../src/pipeline/seededRandom.ts";

export interface LagPattern {
    /** Lag of a replica at `nowMs`; successive calls must not go back in time. */
    lagMs(replicaId: string, nowMs: number): number;
}

export class FixedLag implements LagPattern {
    private readonly fixedLagMs: number;

    constructor(fixedLagMs: number) {
        this.fixedLagMs = fixedLagMs;
    }

    lagMs(): number {
        return this.fixedLagMs;
    }
}

interface Stall {
    readonly startsAtMs: number;
    readonly endsAtMs: number;
}

const normalLagMs = 5;
const maximumTimeToStallMs = 4_000;
const maximumStallMs = 3_000;

/** A replica stops applying the log for up to 3 s, catches up, and stops again after up to 4 s. */
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
        const startsAtMs = fromMs + this.random.nextFloat() * maximumTimeToStallMs;
        return { startsAtMs, endsAtMs: startsAtMs + this.random.nextFloat() * maximumStallMs };
    }
}
