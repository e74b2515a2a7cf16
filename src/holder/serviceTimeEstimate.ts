/** Moving averages of the service times of statements on one database, per work class and workspace. */
import type { HolderRequest } from "../model/holderMessages.ts";

/** Weight of the newest sample; the average follows a change within about ten statements. */
const newestSampleWeight = 0.1;

/** Estimate before the first sample; low, so that admission refuses nothing after a cold start. */
const initialEstimateMs = 0.2;

/** Lower bound, so that a statement answered within the resolution of the clock does not cost nothing. */
const minimumEstimateMs = 0.05;

export class ServiceTimeEstimate {
    private readonly meansMs = new Map<string, number>();

    /** Records that `request` occupied its slot for `serviceMs`. */
    recordServiceTime(request: HolderRequest, serviceMs: number): void {
        const key = keyOf(request);
        const meanMs = this.meansMs.get(key) ?? serviceMs;
        this.meansMs.set(key, Math.max(minimumEstimateMs, meanMs + newestSampleWeight * (serviceMs - meanMs)));
    }

    expectedMs(request: HolderRequest): number {
        return this.meansMs.get(keyOf(request)) ?? initialEstimateMs;
    }
}

function keyOf(request: HolderRequest): string {
    return `${request.workClass}/${request.workspace}`;
}
