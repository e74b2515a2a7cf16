/** A clock that includes the time for which the machine was suspended. */
import { SystemClock } from "./systemClock.ts";

/** Smaller differences between the two clocks are regarded as jitter. */
const minimumSuspensionMs = 20;

/**
 * While the machine is suspended, the monotonic clock stops and the wall clock continues, so the time by which the wall
 * clock advances further is added to the monotonic time. A forward step of the wall clock has the same effect: leases
 * and timeouts then expire early, and components that accrue with time, such as the token buckets of the leader, must
 * limit what a single step adds. Backward steps are ignored.
 */
export class SuspendAwareClock extends SystemClock {
    private suspendedMs = 0;
    private lastMonotonicMs = performance.now();
    private lastWallClockMs = Date.now();

    override nowMs(): number {
        const monotonicMs = performance.now();
        const wallClockMs = Date.now();
        const divergenceMs = (wallClockMs - this.lastWallClockMs) - (monotonicMs - this.lastMonotonicMs);
        if (divergenceMs > minimumSuspensionMs) {
            this.suspendedMs += divergenceMs;
        }
        this.lastMonotonicMs = monotonicMs;
        this.lastWallClockMs = wallClockMs;
        return monotonicMs + this.suspendedMs;
    }
}
