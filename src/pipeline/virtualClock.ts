/** Virtual time for tests, benchmarks and replays. */
import type { Clock } from "./eventLoop.ts";

/** A clock whose time changes only with calls of `advanceTo`. */
export class VirtualClock implements Clock {
    private timeMs = 0;
    private deferredCallbacks: (() => void)[] = [];
    private wakeUp: { readonly atMs: number; readonly callback: () => void; } | undefined;

    nowMs(): number {
        return this.timeMs;
    }

    runSoon(callback: () => void): void {
        this.deferredCallbacks.push(callback);
    }

    scheduleWakeUp(atMs: number, callback: () => void): void {
        this.wakeUp = { atMs, callback };
    }

    cancelWakeUp(): void {
        this.wakeUp = undefined;
    }

    /** Runs all callbacks that are due until `untilMs` in time order, then sets the time to `untilMs`. */
    advanceTo(untilMs: number): void {
        this.runDeferredCallbacks();
        for (let wakeUp = this.wakeUp; wakeUp !== undefined && wakeUp.atMs <= untilMs; wakeUp = this.wakeUp) {
            this.wakeUp = undefined;
            this.timeMs = Math.max(this.timeMs, wakeUp.atMs);
            wakeUp.callback();
            this.runDeferredCallbacks();
        }
        this.timeMs = Math.max(this.timeMs, untilMs);
    }

    /** Sets the time and only then runs what is due, as in a process that was stopped until then. */
    jumpTo(untilMs: number): void {
        this.timeMs = Math.max(this.timeMs, untilMs);
        this.advanceTo(untilMs);
    }

    private runDeferredCallbacks(): void {
        while (this.deferredCallbacks.length > 0) {
            const batch = this.deferredCallbacks;
            this.deferredCallbacks = [];
            batch.forEach(callback => callback());
        }
    }
}
