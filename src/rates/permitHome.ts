/** Permits of one workspace in one data centre, from the takeover of its lease to the end of it. */
import { clockDriftFraction } from "../model/lease.ts";
import { permitValidityMs } from "../model/permitMessages.ts";
import { FairParts } from "./fairParts.ts";
import { noShare, type Share } from "./shareTable.ts";
import { TokenBucket } from "./tokenBucket.ts";

export interface PermitQuestion {
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
    readonly refillShare: number;
}

/** Bounds of the advised pause between two questions: enough to batch, short against the validity of a permit. */
const shortestRetryMs = 5;
const longestRetryMs = 250;

/** Work that an instance brings together before it asks again while permits are scarce. */
const batchMs = 20;

/** Time constant of the smoothed demand: short intervals see the chance of a few arrivals. */
export const demandMemoryMs = 4000;

export class PermitHome {
    readonly epoch: number;
    private readonly bucket: TokenBucket;
    private readonly askers = new FairParts();
    private share: Share = noShare;
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
            outstandingMs: permitValidityMs * (1 + clockDriftFraction),
            refillShare: options.refillShare,
        });
    }

    applyShare(share: Share, version: number, nowMs: number): void {
        this.share = share;
        this.bucket.setShare(share.ratePerSecond, share.burst, nowMs);
        this.latestVersion = version;
    }

    setRefillShare(refillShare: number, nowMs: number): void {
        this.bucket.setRefillShare(refillShare, nowMs);
    }

    /** Grants what the share and the turns of other instances allow. */
    answer(question: PermitQuestion, nowMs: number): { readonly granted: number; readonly retryAfterMs: number; } {
        const { instanceId, requestId, wanted } = question;
        this.bucket.settle(instanceId, question.settledRequestId, question.held, nowMs);
        const granted = this.askers.allot(instanceId, wanted, this.bucket.available(nowMs), nowMs);
        if (granted > 0) {
            this.bucket.grant(instanceId, requestId, granted, nowMs);
        }
        this.askers.record(instanceId, wanted, granted, nowMs);
        this.granted += granted - Math.min(question.returned, this.granted + granted);
        return {
            granted,
            retryAfterMs: granted === wanted ? 0 : this.retryAfterMs(wanted - granted, nowMs),
        };
    }

    /** Demand since the last call, and the version in force. */
    measure(nowMs: number): { readonly wantedPerSecond: number; readonly versionInForce: number; } {
        const elapsedMs = Math.max(1, nowMs - this.measuredMs);
        const weight = 1 - Math.exp(-elapsedMs / demandMemoryMs);
        this.grantedPerSecond += weight * (1_000 * this.granted / elapsedMs - this.grantedPerSecond);
        this.granted = 0;
        this.measuredMs = nowMs;
        if (this.bucket.shareInForce(nowMs)) {
            this.versionInForce = this.latestVersion;
        }
        // What was refused for lack of permits is not seen here; what waits now stands for one second of it.
        const wantedPerSecond = this.grantedPerSecond + this.askers.unmet(nowMs);
        return { wantedPerSecond, versionInForce: this.versionInForce };
    }

    private retryAfterMs(unmet: number, nowMs: number): number {
        const batch = Math.max(1, Math.min(unmet, Math.floor(this.share.ratePerSecond * batchMs / 1_000)));
        const needed = batch * Math.max(1, this.askers.size);
        return Math.min(longestRetryMs, Math.max(shortestRetryMs, Math.ceil(this.bucket.delayMs(needed, nowMs))));
    }
}
