/** Longest time without an acknowledged write, per service, while writes were tried. */

interface ServiceGap {
    /** Last acknowledgement, or the first attempt. */
    startedAtMs: number;
    writeAttempted: boolean;
    longestGapMs: number;
}

export class FailoverGapMeter {
    private readonly gapByService = new Map<string, ServiceGap>();

    recordAttempt(service: string, nowMs: number): void {
        const gap = this.gapByService.get(service);
        if (gap === undefined) {
            this.gapByService.set(service, { startedAtMs: nowMs, writeAttempted: true, longestGapMs: 0 });
        }
        else {
            gap.writeAttempted = true;
        }
    }

    recordAcknowledgement(service: string, nowMs: number): void {
        this.endGap(service, nowMs);
    }

    /** Counts the time up to the end of the run, so that a service that never recovers shows. */
    finish(nowMs: number): void {
        this.gapByService.forEach((_state, service) => this.endGap(service, nowMs));
    }

    longestGapMs(): ReadonlyMap<string, number> {
        return new Map([...this.gapByService].map(([service, state]) => [service, state.longestGapMs]));
    }

    private endGap(service: string, nowMs: number): void {
        const state = this.gapByService.get(service);
        if (state === undefined) {
            return;
        }
        if (state.writeAttempted) {
            state.longestGapMs = Math.max(state.longestGapMs, nowMs - state.startedAtMs);
        }
        state.startedAtMs = nowMs;
        state.writeAttempted = false;
    }
}
