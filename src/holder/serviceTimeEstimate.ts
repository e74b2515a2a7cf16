/** Expected service times of statements on one database. */
import type { HolderRequest } from "../model/holderMessages.ts";

/** Weight of the newest sample: the estimate follows a change within about ten statements. */
const newestSampleWeight = 0.1;

/** Assumed before the first sample. Low, so that a cold start refuses nothing. */
const initialEstimateMs = 0.2;

/** Keeps a statement that was answered within the clock's resolution from being free. */
const minimumEstimateMs = 0.05;

export class ServiceTimeEstimate {
    private readonly meansMs = new Map<string, number>();

    /** Records that `request` kept its slot for `serviceMs`. */
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
