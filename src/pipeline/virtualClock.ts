/** Virtual time for tests, benchmarks and replays. */
import type { Clock } from "./eventLoop.ts";

/** A clock that advances only when told to. */
export class VirtualClock implements Clock {
    private timeMs = 0;
    private immediate: (() => void)[] = [];
    private wake: { readonly atMs: number; readonly run: () => void; } | undefined;

    nowMs(): number {
        return this.timeMs;
    }

    soon(run: () => void): void {
        this.immediate.push(run);
    }

    wakeAt(atMs: number, run: () => void): void {
        this.wake = { atMs, run };
    }

    cancelWake(): void {
        this.wake = undefined;
    }

    /** Runs everything that is due up to `untilMs`, in time order, and leaves the time at `untilMs`. */
    advanceTo(untilMs: number): void {
        this.runImmediate();
        for (let wake = this.wake; wake !== undefined && wake.atMs <= untilMs; wake = this.wake) {
            this.wake = undefined;
            this.timeMs = Math.max(this.timeMs, wake.atMs);
            wake.run();
            this.runImmediate();
        }
        this.timeMs = Math.max(this.timeMs, untilMs);
    }

    private runImmediate(): void {
        while (this.immediate.length > 0) {
            const batch = this.immediate;
            this.immediate = [];
            batch.forEach(run => run());
        }
    }
}
