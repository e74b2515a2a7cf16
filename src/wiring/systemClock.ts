/** Clock of the event loop that uses the monotonic clock and the timers of Node.js. */
import type { Clock } from "../pipeline/eventLoop.ts";

// Below the maximum delay of a timer (2^31 - 1 ms). For longer delays, the event loop sets another timer when it wakes
// up.
const maximumTimerMs = 2_000_000_000;

export class SystemClock implements Clock {
    private timer: NodeJS.Timeout | undefined;
    private wakeAtMs = Infinity;

    nowMs(): number {
        return performance.now();
    }

    runSoon(run: () => void): void {
        setImmediate(run);
    }

    scheduleWakeUp(atMs: number, run: () => void): void {
        if (this.timer !== undefined && this.wakeAtMs === atMs) {
            return;
        }
        this.cancelWakeUp();
        this.wakeAtMs = atMs;
        // Timers round down to whole milliseconds; a timer that fires early would only have to be set again.
        const delayMs = Math.min(maximumTimerMs, Math.max(0, Math.ceil(atMs - this.nowMs())));
        this.timer = setTimeout(() => {
            this.timer = undefined;
            run();
        }, delayMs);
    }

    cancelWakeUp(): void {
        clearTimeout(this.timer);
        this.timer = undefined;
        this.wakeAtMs = Infinity;
    }
}
