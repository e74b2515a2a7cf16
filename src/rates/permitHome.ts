/** Permits of one workspace in one data centre, from the takeover of its lease to the end of it. */
import { clockDriftFraction } from "../model/lease.ts";
import { permitValidityMs } from "../model/permitMessages.ts";
import { FairAllocator } from "./fairAllocator.ts";
import { type Share, zeroShare } from "./shareTable.ts";
import { TokenBucket } from "./tokenBucket.ts";

export interface PermitHomeRequest {
    readonly instanceId: string;
    readonly requestId: string;
    readonly wanted: number;
    readonly returned: number;
    readonly settledRequestId: string;
    readonly held: number;
}

export interface PermitHomeOptions {
    readonly epoch: number;
    readonly startMs: number;
    readonly refillFraction: number;
}

/** Bounds of the advised pause between two questions: enough to batch, short against the validity of a permit. */
const shortestRetryMs = 5;
const longestRetryMs = 250;

/** Work that an instance brings together before it asks again while permits are scarce. */
const batchMs = 20;

/** Time constant of the smoothed demand: short intervals see the chance of a few arrivals. */
export const homeDemandTimeConstantMs = 4000;

export class PermitHome {
    readonly epoch: number;
    private readonly bucket: TokenBucket;
    private readonly askers = new FairAllocator();
    private share: Share = zeroShare;
    private latestVersion = 0;
    private versionInForce = 0;
    private granted = 0;
    private measuredMs: number;
    private grantedPerSecond = 0;

    constructor(options: PermitHomeOptions) {
        this.epoch = options.epoch;
        this.measuredMs = options.startMs;
        this.bucket = new TokenBucket({
            startMs: options.startMs,
            permitValidityMs: permitValidityMs * (1 + clockDriftFraction),
            refillFraction: options.refillFraction,
        });
    }

    applyShare(share: Share, version: number, nowMs: number): void {
        this.share = share;
        this.bucket.setRate(share.ratePerSecond, share.burst, nowMs);
        this.latestVersion = version;
    }

    setRefillFraction(refillFraction: number, nowMs: number): void {
        this.bucket.setRefillFraction(refillFraction, nowMs);
    }

    /** Grants what the share and the turns of other instances allow. */
    answer(question: PermitHomeRequest, nowMs: number): { readonly granted: number; readonly retryAfterMs: number; } {
        const { instanceId, requestId, wanted } = question;
        this.bucket.settle(instanceId, question.settledRequestId, question.held, nowMs);
        const granted = this.askers.allocate(instanceId, wanted, this.bucket.availableTokens(nowMs), nowMs);
        if (granted > 0) {
            this.bucket.grant(instanceId, requestId, granted, nowMs);
        }
        this.askers.recordGrant(instanceId, wanted, granted, nowMs);
        this.granted += granted - Math.min(question.returned, this.granted + granted);
        return {
            granted,
            retryAfterMs: granted === wanted ? 0 : this.retryAfterMs(wanted - granted, nowMs),
        };
    }

    /** Demand since the last call, and the version in force. */
    measureDemand(nowMs: number): { readonly wantedPerSecond: number; readonly versionInForce: number; } {
        const elapsedMs = Math.max(1, nowMs - this.measuredMs);
        const weight = 1 - Math.exp(-elapsedMs / homeDemandTimeConstantMs);
        this.grantedPerSecond += weight * (1_000 * this.granted / elapsedMs - this.grantedPerSecond);
        this.granted = 0;
        this.measuredMs = nowMs;
        if (this.bucket.isRateInForce(nowMs)) {
            this.versionInForce = this.latestVersion;
        }
        // What was refused for lack of permits is not seen here; what waits now stands for one second of it.
        const wantedPerSecond = this.grantedPerSecond + this.askers.unmetPermits(nowMs);
        return { wantedPerSecond, versionInForce: this.versionInForce };
    }

    private retryAfterMs(unmet: number, nowMs: number): number {
        const batch = Math.max(1, Math.min(unmet, Math.floor(this.share.ratePerSecond * batchMs / 1_000)));
        const needed = batch * Math.max(1, this.askers.requesterCount);
        return Math.min(longestRetryMs, Math.max(shortestRetryMs, Math.ceil(this.bucket.waitMs(needed, nowMs))));
    }
}
