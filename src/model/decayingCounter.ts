/** Counts events with exponential decay. */
export class DecayingCounter {
    private readonly timeConstantMs: number;
    private count = 0;
    private updatedAtMs = 0;

    /** @param timeConstantMs time in which the count decays to 1/e of its value */
    constructor(timeConstantMs: number) {
        this.timeConstantMs = timeConstantMs;
    }

    add(count: number, nowMs: number): void {
        this.count = this.value(nowMs) + count;
        this.updatedAtMs = nowMs;
    }

    value(nowMs: number): number {
        return this.count * decayFactor(nowMs - this.updatedAtMs, this.timeConstantMs);
    }

    /** Rate of events; accurate only after events were counted for longer than the time constant. */
    eventsPerSecond(nowMs: number): number {
        return 1_000 * this.value(nowMs) / this.timeConstantMs;
    }
}

/** Factor by which a count decays within `elapsedMs`. */
export function decayFactor(elapsedMs: number, timeConstantMs: number): number {
    return Math.exp(-Math.max(0, elapsedMs) / timeConstantMs);
}
