/** Service-level record of one work class and workspace. */
import { LatencyHistogram } from "./latencyHistogram.ts";
import type { OutcomeClass } from "./outcomeCounts.ts";
import { type BucketCounts, OutcomeRingBuffer } from "./outcomeRingBuffer.ts";

export const fineBucketDurationMs = 60_000;
export const fineBucketCount = 60;
export const coarseBucketDurationMs = 1_800_000;
/** Three days. */
export const coarseBucketCount = 144;

/** Histograms are kept for the present and the previous period, so that they cover 36 to 72 hours. */
const histogramPeriodMs = 36 * 3_600_000;

export interface SeriesSnapshot {
    readonly workClass: string;
    readonly workspace: string;
    readonly objectiveShare: number;
    readonly waitingTargetMs: number;
    readonly fine: readonly BucketCounts[];
    readonly coarse: readonly BucketCounts[];
    /** Encoded histograms of the time until the start and until the answer. */
    readonly waiting: string;
    readonly total: string;
}

export interface SeriesTargets {
    readonly objectiveShare: number;
    readonly waitingMs: number;
}

interface Latencies {
    readonly waiting: LatencyHistogram;
    readonly total: LatencyHistogram;
}

/**
 * Memory: 60 minute buckets and 144 half-hour buckets of 24 bytes are 4,896 bytes; four histograms are 2,112 bytes
 * each by the library's estimate. Together 13,344 bytes for each pair of class and workspace, at any rate.
 */
export class ServiceLevelSeries {
    private readonly fine = new OutcomeRingBuffer(fineBucketDurationMs, fineBucketCount);
    private readonly coarse = new OutcomeRingBuffer(coarseBucketDurationMs, coarseBucketCount);
    private latencies: Latencies = emptyLatencies();
    private formerLatencies: Latencies = emptyLatencies();
    private periodStartMs: number;
    private targets: SeriesTargets;

    constructor(targets: SeriesTargets, nowMs: number) {
        this.targets = targets;
        this.periodStartMs = nowMs;
    }

    /** @param waitingMs undefined when the statement never started */
    record(
        outcome: OutcomeClass,
        waitingMs: number | undefined,
        totalMs: number,
        targets: SeriesTargets,
        nowMs: number,
    ): void {
        this.targets = targets;
        this.rotate(nowMs);
        this.fine.increment(outcome, nowMs);
        this.coarse.increment(outcome, nowMs);
        this.latencies.total.record(totalMs);
        if (waitingMs !== undefined) {
            this.latencies.waiting.record(waitingMs);
        }
    }

    snapshot(workClass: string, workspace: string, nowMs: number): SeriesSnapshot {
        this.rotate(nowMs);
        const both = emptyLatencies();
        for (const { waiting, total } of [this.latencies, this.formerLatencies]) {
            both.waiting.merge(waiting);
            both.total.merge(total);
        }
        return {
            workClass,
            workspace,
            objectiveShare: this.targets.objectiveShare,
            waitingTargetMs: this.targets.waitingMs,
            fine: this.fine.read(nowMs),
            coarse: this.coarse.read(nowMs),
            waiting: both.waiting.encode(),
            total: both.total.encode(),
        };
    }

    /** Takes over what a former process had recorded `elapsedMs` ago. */
    restore(snapshot: SeriesSnapshot, elapsedMs: number, nowMs: number): void {
        this.fine.restore(snapshot.fine, elapsedMs, nowMs);
        this.coarse.restore(snapshot.coarse, elapsedMs, nowMs);
        this.latencies.waiting.merge(LatencyHistogram.decode(snapshot.waiting));
        this.latencies.total.merge(LatencyHistogram.decode(snapshot.total));
    }

    /** Size of counters and histograms. */
    get byteLength(): number {
        const histograms = [this.latencies, this.formerLatencies].flatMap(({ waiting, total }) => [waiting, total]);
        return this.fine.byteLength + this.coarse.byteLength
            + histograms.reduce((sum, histogram) => sum + histogram.byteLength, 0);
    }

    private rotate(nowMs: number): void {
        if (nowMs - this.periodStartMs >= histogramPeriodMs) {
            const isAdjacent = nowMs - this.periodStartMs < 2 * histogramPeriodMs;
            this.formerLatencies = isAdjacent ? this.latencies : emptyLatencies();
            this.latencies = emptyLatencies();
            this.periodStartMs = nowMs;
        }
    }
}

function emptyLatencies(): Latencies {
    return { waiting: new LatencyHistogram(), total: new LatencyHistogram() };
}
