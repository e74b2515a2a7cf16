/** Merges the snapshots of instances into one report. */
import {
    budgetLeft,
    type BurnAlert,
    burnRate,
    type BurnWindow,
    burnWindows,
    countsInWindow,
    mostUrgentAlert,
} from "./burnRates.ts";
import { LatencyHistogram } from "./latencyHistogram.ts";
import {
    addCounts,
    badOutcomeClasses,
    type OutcomeClass,
    type OutcomeCounts,
    zeroOutcomeCounts,
} from "./outcomeCounts.ts";
import type { BucketCounts } from "./outcomeRingBuffer.ts";
import type { InstanceSnapshot } from "./recordOutcomes.ts";
import type { SeriesSnapshot } from "./serviceLevelSeries.ts";

export interface LatencyPercentiles {
    readonly p50Ms: number;
    readonly p90Ms: number;
    readonly p99Ms: number;
}

/** Part of what burned the budget in three days. */
export interface BurnCause {
    readonly workspace: string;
    readonly outcome: OutcomeClass;
    readonly count: number;
}

export interface WorkClassReport {
    readonly workClass: string;
    readonly objectiveShare: number;
    readonly waitingTargetMs: number;
    readonly burn: Readonly<Record<BurnWindow, number>>;
    readonly budgetLeft: number;
    readonly alert: BurnAlert;
    readonly threeDays: OutcomeCounts;
    readonly waiting: LatencyPercentiles;
    readonly total: LatencyPercentiles;
    /** Largest first. */
    readonly causes: readonly BurnCause[];
    /** Half-hour buckets, for plots. */
    readonly coarse: readonly BucketCounts[];
}

export interface BurnReport {
    /** Wall-clock time of the report, as ISO 8601 text. */
    readonly createdAt: string;
    readonly instances: readonly string[];
    /** Instances whose figures are not part of this report. */
    readonly missing: readonly string[];
    readonly classes: readonly WorkClassReport[];
}

/** @param expectedInstances ids of all instances of the cluster */
export function buildBurnReport(
    snapshots: readonly InstanceSnapshot[],
    expectedInstances: readonly string[],
    createdAt: string,
): BurnReport {
    const present = new Set(snapshots.map(snapshot => snapshot.instanceId));
    const byClass = new Map<string, SeriesSnapshot[]>();
    for (const series of snapshots.flatMap(snapshot => snapshot.series)) {
        byClass.set(series.workClass, [...byClass.get(series.workClass) ?? [], series]);
    }
    return {
        createdAt,
        instances: [...present].sort(),
        missing: expectedInstances.filter(id => !present.has(id)).sort(),
        classes: [...byClass.keys()].sort().map(name => reportClass(name, byClass.get(name)!)),
    };
}

function reportClass(workClass: string, series: readonly SeriesSnapshot[]): WorkClassReport {
    // Instances apply a changed target within seconds of each other; the strictest one is shown meanwhile.
    const objectiveShare = Math.max(...series.map(one => one.objectiveShare));
    const fine = mergeBuckets(series.map(one => one.fine));
    const coarse = mergeBuckets(series.map(one => one.coarse));
    const threeDays = countsInWindow("3d", fine, coarse);
    const burn = Object.fromEntries(
        burnWindows.map(window => [window, burnRate(countsInWindow(window, fine, coarse), objectiveShare)]),
    ) as Record<BurnWindow, number>;
    return {
        workClass,
        objectiveShare,
        waitingTargetMs: Math.min(...series.map(one => one.waitingTargetMs)),
        burn,
        budgetLeft: budgetLeft(threeDays, objectiveShare),
        alert: mostUrgentAlert(burn),
        threeDays,
        waiting: percentiles(series.map(one => one.waiting)),
        total: percentiles(series.map(one => one.total)),
        causes: causesOf(series),
        coarse,
    };
}

/** Adds buckets of equal age. Instances begin a bucket at different times, so that ages agree to one bucket. */
function mergeBuckets(all: readonly (readonly BucketCounts[])[]): readonly BucketCounts[] {
    const byAge = new Map<number, OutcomeCounts>();
    for (const { age, counts } of all.flat()) {
        byAge.set(age, addCounts(byAge.get(age) ?? zeroOutcomeCounts, counts));
    }
    return [...byAge].map(([age, counts]) => ({ age, counts })).sort((left, right) => left.age - right.age);
}

function percentiles(encoded: readonly string[]): LatencyPercentiles {
    const merged = new LatencyHistogram();
    encoded.forEach(text => merged.merge(LatencyHistogram.decode(text)));
    return { p50Ms: merged.percentileMs(0.5), p90Ms: merged.percentileMs(0.9), p99Ms: merged.percentileMs(0.99) };
}

function causesOf(series: readonly SeriesSnapshot[]): readonly BurnCause[] {
    const byWorkspace = new Map<string, OutcomeCounts>();
    for (const one of series) {
        const counts = countsInWindow("3d", one.fine, one.coarse);
        byWorkspace.set(one.workspace, addCounts(byWorkspace.get(one.workspace) ?? zeroOutcomeCounts, counts));
    }
    return [...byWorkspace]
        .flatMap(([workspace, counts]) =>
            badOutcomeClasses.map(outcome => ({ workspace, outcome, count: counts[outcome] }))
        )
        .filter(({ count }) => count > 0)
        .sort((left, right) => right.count - left.count || left.workspace.localeCompare(right.workspace));
}
