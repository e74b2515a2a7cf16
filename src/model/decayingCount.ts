/** A count of events that fades with time. */
export class DecayingCount {
    private readonly memoryMs: number;
    private count = 0;
    private countedMs = 0;

    /** @param memoryMs time in which a count falls to 1/e */
    constructor(memoryMs: number) {
        this.memoryMs = memoryMs;
    }

    add(count: number, nowMs: number): void {
        this.count = this.value(nowMs) + count;
        this.countedMs = nowMs;
    }

    value(nowMs: number): number {
        return this.count * decay(nowMs - this.countedMs, this.memoryMs);
    }

    /** Events per second, for a count that has gone on for longer than the memory. */
    perSecond(nowMs: number): number {
        return 1_000 * this.value(nowMs) / this.memoryMs;
    }
}

/** Part of a count that is left after `elapsedMs`. */
export function decay(elapsedMs: number, memoryMs: number): number {
    return Math.exp(-Math.max(0, elapsedMs) / memoryMs);
}
