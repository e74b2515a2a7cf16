/** Merges the snapshots of all instances into the burn report. */
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

/** Bad statements of one workspace and outcome in the last three days. */
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
    /** Sorted by descending count. */
    readonly causes: readonly BurnCause[];
    /** Half-hour buckets, for the plot. */
    readonly coarse: readonly BucketCounts[];
}

/** Service levels of all work classes, merged from the instances that answered. */
export interface BurnReport {
    /** Wall-clock time of the report, as ISO 8601 text. */
    readonly createdAt: string;
    readonly instances: readonly string[];
    /** Expected instances whose snapshots are not part of the report. */
    readonly missing: readonly string[];
    readonly classes: readonly WorkClassReport[];
}

/**
 * Builds the report from the snapshots of the instances that answered.
 * @param expectedInstances ids of all instances of the cluster
 */
export function buildBurnReport(
    snapshots: readonly InstanceSnapshot[],
    expectedInstances: readonly string[],
    createdAt: string,
): BurnReport {
    const reportingInstances = new Set(snapshots.map(snapshot => snapshot.instanceId));
    const seriesByWorkClass = new Map<string, SeriesSnapshot[]>();
    for (const series of snapshots.flatMap(snapshot => snapshot.series)) {
        seriesByWorkClass.set(series.workClass, [...seriesByWorkClass.get(series.workClass) ?? [], series]);
    }
    return {
        createdAt,
        instances: [...reportingInstances].sort(),
        missing: expectedInstances.filter(id => !reportingInstances.has(id)).sort(),
        classes: [...seriesByWorkClass.keys()].sort().map(name =>
            buildWorkClassReport(name, seriesByWorkClass.get(name)!)
        ),
    };
}

function buildWorkClassReport(workClass: string, series: readonly SeriesSnapshot[]): WorkClassReport {
    // Instances apply a changed target within seconds of each other; until then the report has the strictest one.
    const objectiveShare = Math.max(...series.map(each => each.objectiveShare));
    const fine = mergeBuckets(series.map(each => each.fine));
    const coarse = mergeBuckets(series.map(each => each.coarse));
    const threeDays = countsInWindow("3d", fine, coarse);
    const burn = Object.fromEntries(
        burnWindows.map(window => [window, burnRate(countsInWindow(window, fine, coarse), objectiveShare)]),
    ) as Record<BurnWindow, number>;
    return {
        workClass,
        objectiveShare,
        waitingTargetMs: Math.min(...series.map(each => each.waitingTargetMs)),
        burn,
        budgetLeft: budgetLeft(threeDays, objectiveShare),
        alert: mostUrgentAlert(burn),
        threeDays,
        waiting: mergePercentiles(series.map(each => each.waiting)),
        total: mergePercentiles(series.map(each => each.total)),
        causes: findBurnCauses(series),
        coarse,
    };
}

/**
 * Adds up the buckets of equal age. Instances start their buckets at different times, so the merged ages are exact to
 * one bucket.
 */
function mergeBuckets(bucketLists: readonly (readonly BucketCounts[])[]): readonly BucketCounts[] {
    const countsByAge = new Map<number, OutcomeCounts>();
    for (const { age, counts } of bucketLists.flat()) {
        countsByAge.set(age, addCounts(countsByAge.get(age) ?? zeroOutcomeCounts, counts));
    }
    return [...countsByAge].map(([age, counts]) => ({ age, counts })).sort((left, right) => left.age - right.age);
}

function mergePercentiles(encodedHistograms: readonly string[]): LatencyPercentiles {
    const merged = new LatencyHistogram();
    encodedHistograms.forEach(text => merged.merge(LatencyHistogram.decode(text)));
    return { p50Ms: merged.percentileMs(0.5), p90Ms: merged.percentileMs(0.9), p99Ms: merged.percentileMs(0.99) };
}

function findBurnCauses(series: readonly SeriesSnapshot[]): readonly BurnCause[] {
    const countsByWorkspace = new Map<string, OutcomeCounts>();
    for (const each of series) {
        const counts = countsInWindow("3d", each.fine, each.coarse);
        countsByWorkspace.set(
            each.workspace,
            addCounts(countsByWorkspace.get(each.workspace) ?? zeroOutcomeCounts, counts),
        );
    }
    return [...countsByWorkspace]
        .flatMap(([workspace, counts]) =>
            badOutcomeClasses.map(outcome => ({ workspace, outcome, count: counts[outcome] }))
        )
        .filter(({ count }) => count > 0)
        .sort((left, right) => right.count - left.count || left.workspace.localeCompare(right.workspace));
}
