/** The time by which a process that was told to stop is killed. */
import type { Clock } from "../pipeline/eventLoop.ts";

export class StopDeadline {
    private readonly clock: Clock;
    private killedAtMs = Infinity;

    constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Starts the grace period; a second signal does not extend it. */
    start(gracePeriodMs: number): void {
        this.killedAtMs = Math.min(this.killedAtMs, this.clock.nowMs() + gracePeriodMs);
    }

    /**
     * Time that a step of the stop may take, in milliseconds.
     * @param longestMs limit if the process is not killed before
     * @param reservedMs time that the steps after it need
     */
    limitMs(longestMs: number, reservedMs: number): number {
        return Math.max(0, Math.min(longestMs, this.killedAtMs - this.clock.nowMs() - reservedMs));
    }
}
