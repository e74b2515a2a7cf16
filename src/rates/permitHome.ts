/** Grants the permits of one workspace in one data centre, from the takeover of the lease until its end. */
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

/** Bounds of the retry delay sent to instances: long enough to batch, short compared with a permit's validity. */
const minimumRetryMs = 5;
const maximumRetryMs = 250;

/** Time for which an instance collects statements before it requests again while permits are scarce. */
const batchIntervalMs = 20;

/** Time constant of the smoothed demand; over short intervals the random arrivals of a few statements dominate. */
export const homeDemandTimeConstantMs = 4000;

/**
 * The permit home is the one place that grants a workspace's permits in a data centre; it runs on the instance that
 * holds the permit lease. A permit lets an entry instance admit one statement.
 */
export class PermitHome {
    readonly epoch: number;
    private readonly bucket: TokenBucket;
    private readonly allocator = new FairAllocator();
    private share: Share = zeroShare;
    private latestVersion = 0;
    private versionInForce = 0;
    private grantedSinceMeasurement = 0;
    private measuredAtMs: number;
    private grantedPerSecond = 0;

    constructor(options: PermitHomeOptions) {
        this.epoch = options.epoch;
        this.measuredAtMs = options.startMs;
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

    /** Grants what the share and the claims of other instances allow. */
    answer(request: PermitHomeRequest, nowMs: number): { readonly granted: number; readonly retryAfterMs: number; } {
        const { instanceId, requestId, wanted } = request;
        this.bucket.settle(instanceId, request.settledRequestId, request.held, nowMs);
        const granted = this.allocator.allocate(instanceId, wanted, this.bucket.availableTokens(nowMs), nowMs);
        if (granted > 0) {
            this.bucket.grant(instanceId, requestId, granted, nowMs);
        }
        this.allocator.recordGrant(instanceId, wanted, granted, nowMs);
        this.grantedSinceMeasurement += granted - Math.min(request.returned, this.grantedSinceMeasurement + granted);
        return {
            granted,
            retryAfterMs: granted === wanted ? 0 : this.retryAfterMs(wanted - granted, nowMs),
        };
    }

    /** Demand since the last call, and the configuration version whose share is in force. */
    measureDemand(nowMs: number): { readonly wantedPerSecond: number; readonly versionInForce: number; } {
        const elapsedMs = Math.max(1, nowMs - this.measuredAtMs);
        const weight = 1 - Math.exp(-elapsedMs / homeDemandTimeConstantMs);
        this.grantedPerSecond += weight * (1_000 * this.grantedSinceMeasurement / elapsedMs - this.grantedPerSecond);
        this.grantedSinceMeasurement = 0;
        this.measuredAtMs = nowMs;
        if (this.bucket.isRateInForce(nowMs)) {
            this.versionInForce = this.latestVersion;
        }
        // Refused statements are not counted here; the permits that are lacking now stand for one second of them.
        const wantedPerSecond = this.grantedPerSecond + this.allocator.unmetPermits(nowMs);
        return { wantedPerSecond, versionInForce: this.versionInForce };
    }

    private retryAfterMs(unmet: number, nowMs: number): number {
        const batchSize = Math.max(1, Math.min(unmet, Math.floor(this.share.ratePerSecond * batchIntervalMs / 1_000)));
        const neededTokens = batchSize * Math.max(1, this.allocator.requesterCount);
        return Math.min(maximumRetryMs, Math.max(minimumRetryMs, Math.ceil(this.bucket.waitMs(neededTokens, nowMs))));
    }
}
