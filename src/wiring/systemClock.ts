/** The platform's clock for the event loop. */
import type { Clock } from "../pipeline/eventLoop.ts";

// Longer waits than a timer can hold are split; the loop sets the next one when it wakes.
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
        // Timers round down to whole milliseconds; waking early would only sleep again.
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
