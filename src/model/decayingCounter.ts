/** A count of events that fades with time. */
export class DecayingCounter {
    private readonly timeConstantMs: number;
    private count = 0;
    private updatedAtMs = 0;

    /** @param timeConstantMs time in which a count falls to 1/e */
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

    /** Events per second, for a count that has gone on for longer than the memory. */
    eventsPerSecond(nowMs: number): number {
        return 1_000 * this.value(nowMs) / this.timeConstantMs;
    }
}

/** Part of a count that is left after `elapsedMs`. */
export function decayFactor(elapsedMs: number, timeConstantMs: number): number {
    return Math.exp(-Math.max(0, elapsedMs) / timeConstantMs);
}
