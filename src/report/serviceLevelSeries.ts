/** Outcomes and latencies of the statements of one work class and workspace over the last three days. */
import { LatencyHistogram } from "./latencyHistogram.ts";
import type { OutcomeClass } from "./outcomeCounts.ts";
import { type BucketCounts, OutcomeRingBuffer } from "./outcomeRingBuffer.ts";

export const fineBucketDurationMs = 60_000;
export const fineBucketCount = 60;
export const coarseBucketDurationMs = 1_800_000;
/** Half-hour buckets of three days. */
export const coarseBucketCount = 144;

/** A series has histograms of the current and the previous period, which together cover 36 to 72 hours. */
const histogramPeriodDurationMs = 36 * 3_600_000;

export interface SeriesSnapshot {
    readonly workClass: string;
    readonly workspace: string;
    readonly objectiveShare: number;
    readonly waitingTargetMs: number;
    readonly fine: readonly BucketCounts[];
    readonly coarse: readonly BucketCounts[];
    /** Encoded histogram of the time from the arrival of a statement until it was sent to a database. */
    readonly waiting: string;
    /** Encoded histogram of the time from the arrival of a statement until its answer. */
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
 * Memory: 60 buckets of one minute and 144 of half an hour with 24 bytes each are 4,896 bytes; four histograms are
 * 2,112 bytes each by the library's estimate. Together 13,344 bytes for a pair of work class and workspace, at any
 * statement rate.
 */
export class ServiceLevelSeries {
    private readonly fine = new OutcomeRingBuffer(fineBucketDurationMs, fineBucketCount);
    private readonly coarse = new OutcomeRingBuffer(coarseBucketDurationMs, coarseBucketCount);
    private currentLatencies: Latencies = createLatencies();
    private previousLatencies: Latencies = createLatencies();
    private periodStartMs: number;
    private targets: SeriesTargets;

    constructor(targets: SeriesTargets, nowMs: number) {
        this.targets = targets;
        this.periodStartMs = nowMs;
    }

    /** @param waitingMs undefined when the statement was not sent to a database */
    record(
        outcome: OutcomeClass,
        waitingMs: number | undefined,
        totalMs: number,
        targets: SeriesTargets,
        nowMs: number,
    ): void {
        this.targets = targets;
        this.rotateHistograms(nowMs);
        this.fine.increment(outcome, nowMs);
        this.coarse.increment(outcome, nowMs);
        this.currentLatencies.total.record(totalMs);
        if (waitingMs !== undefined) {
            this.currentLatencies.waiting.record(waitingMs);
        }
    }

    snapshot(workClass: string, workspace: string, nowMs: number): SeriesSnapshot {
        this.rotateHistograms(nowMs);
        const merged = createLatencies();
        for (const { waiting, total } of [this.currentLatencies, this.previousLatencies]) {
            merged.waiting.merge(waiting);
            merged.total.merge(total);
        }
        return {
            workClass,
            workspace,
            objectiveShare: this.targets.objectiveShare,
            waitingTargetMs: this.targets.waitingMs,
            fine: this.fine.read(nowMs),
            coarse: this.coarse.read(nowMs),
            waiting: merged.waiting.encode(),
            total: merged.total.encode(),
        };
    }

    /**
     * Adds a snapshot that a previous process took `elapsedMs` ago. Its histograms count as recorded in the current
     * period.
     */
    restore(snapshot: SeriesSnapshot, elapsedMs: number, nowMs: number): void {
        this.fine.restore(snapshot.fine, elapsedMs, nowMs);
        this.coarse.restore(snapshot.coarse, elapsedMs, nowMs);
        this.currentLatencies.waiting.merge(LatencyHistogram.decode(snapshot.waiting));
        this.currentLatencies.total.merge(LatencyHistogram.decode(snapshot.total));
    }

    /** Memory of the counters and histograms. */
    get byteLength(): number {
        const histograms = [this.currentLatencies, this.previousLatencies].flatMap((
            { waiting, total },
        ) => [waiting, total]);
        return this.fine.byteLength + this.coarse.byteLength
            + histograms.reduce((sum, histogram) => sum + histogram.byteLength, 0);
    }

    private rotateHistograms(nowMs: number): void {
        if (nowMs - this.periodStartMs >= histogramPeriodDurationMs) {
            const isAdjacent = nowMs - this.periodStartMs < 2 * histogramPeriodDurationMs;
            this.previousLatencies = isAdjacent ? this.currentLatencies : createLatencies();
            this.currentLatencies = createLatencies();
            this.periodStartMs = nowMs;
        }
    }
}

function createLatencies(): Latencies {
    return { waiting: new LatencyHistogram(), total: new LatencyHistogram() };
}
