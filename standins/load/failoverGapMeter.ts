/** Measures, per service, the longest time in which writes were attempted but none was acknowledged. */

interface ServiceGap {
    /** Time of the last acknowledgement, or of the first attempt. */
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

    /** Ends open gaps at the end of the run, so that the gap of a service that never recovers is included. */
    finish(nowMs: number): void {
        this.gapByService.forEach((_state, service) => this.endGap(service, nowMs));
    }

    longestGapMs(): ReadonlyMap<string, number> {
        return new Map([...this.gapByService].map(([service, gap]) => [service, gap.longestGapMs]));
    }

    private endGap(service: string, nowMs: number): void {
        const gap = this.gapByService.get(service);
        if (gap === undefined) {
            return;
        }
        if (gap.writeAttempted) {
            gap.longestGapMs = Math.max(gap.longestGapMs, nowMs - gap.startedAtMs);
        }
        gap.startedAtMs = nowMs;
        gap.writeAttempted = false;
    }
}
