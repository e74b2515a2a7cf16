/** A clock that counts the time for which the machine was suspended. */
import { SystemClock } from "./systemClock.ts";

/** Differences below this are the clocks' own unevenness. */
const minimumGapMs = 20;

/**
 * The monotonic clock of the platform stands still while the machine is suspended, and the time of day goes on. What the
 * time of day gains is added; a step forward of the time of day does the same. Things then expire early, and what arrives
 * with time, as the leader's buckets do, has to bound what one step brings. A step back is ignored.
 */
export class SuspendAwareClock extends SystemClock {
    private addedMs = 0;
    private lastSteadyMs = performance.now();
    private lastDayMs = Date.now();

    override nowMs(): number {
        const steadyMs = performance.now();
        const dayMs = Date.now();
        const gainedMs = (dayMs - this.lastDayMs) - (steadyMs - this.lastSteadyMs);
        if (gainedMs > minimumGapMs) {
            this.addedMs += gainedMs;
        }
        this.lastSteadyMs = steadyMs;
        this.lastDayMs = dayMs;
        return steadyMs + this.addedMs;
    }
}
