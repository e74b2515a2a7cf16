/** Longest time without an acknowledged write, per service, while writes were tried. */

interface Service {
    /** Last acknowledgement, or the first attempt. */
    sinceMs: number;
    triedSince: boolean;
    longestMs: number;
}

export class GapMeter {
    private readonly services = new Map<string, Service>();

    tried(service: string, nowMs: number): void {
        const known = this.services.get(service);
        if (known === undefined) {
            this.services.set(service, { sinceMs: nowMs, triedSince: true, longestMs: 0 });
        }
        else {
            known.triedSince = true;
        }
    }

    acknowledged(service: string, nowMs: number): void {
        this.close(service, nowMs);
    }

    /** Counts the time up to the end of the run, so that a service that never recovers shows. */
    end(nowMs: number): void {
        this.services.forEach((_state, service) => this.close(service, nowMs));
    }

    longestMs(): ReadonlyMap<string, number> {
        return new Map([...this.services].map(([service, state]) => [service, state.longestMs]));
    }

    private close(service: string, nowMs: number): void {
        const state = this.services.get(service);
        if (state === undefined) {
            return;
        }
        if (state.triedSince) {
            state.longestMs = Math.max(state.longestMs, nowMs - state.sinceMs);
        }
        state.sinceMs = nowMs;
        state.triedSince = false;
    }
}
