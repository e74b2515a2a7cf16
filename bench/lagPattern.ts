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

interface Stretch {
    readonly stopsAtMs: number;
    readonly endsAtMs: number;
}

const usualLagMs = 5;
const longestPauseMs = 4_000;
const longestStopMs = 3_000;

/** A replica applies nothing for a stretch of up to 3 s, catches up, and stops again after up to 4 s. */
export class UnknownStretches implements LagPattern {
    private readonly random: SeededRandom;
    private readonly stretches = new Map<string, Stretch>();

    constructor(random: SeededRandom) {
        this.random = random;
    }

    lagMs(replicaId: string, nowMs: number): number {
        let stretch = this.stretches.get(replicaId) ?? this.next(nowMs);
        while (nowMs >= stretch.endsAtMs) {
            stretch = this.next(stretch.endsAtMs);
        }
        this.stretches.set(replicaId, stretch);
        return usualLagMs + Math.max(0, nowMs - stretch.stopsAtMs);
    }

    private next(fromMs: number): Stretch {
        const stopsAtMs = fromMs + this.random.nextFloat() * longestPauseMs;
        return { stopsAtMs, endsAtMs: stopsAtMs + this.random.nextFloat() * longestStopMs };
    }
}
