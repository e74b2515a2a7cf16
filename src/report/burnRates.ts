/**
 * Burn rates of the error budget, and multi-window alerts on them. The burn rate is the speed at which bad statements
 * spend the budget that the objective of a work class leaves.
 */
import { badCount, eligibleCount, type OutcomeCounts } from "./outcomeCounts.ts";
import { type BucketCounts, sumYoungerBuckets } from "./outcomeRingBuffer.ts";
import { coarseBucketDurationMs, fineBucketDurationMs } from "./serviceLevelSeries.ts";

export const BurnWindow = {
    FiveMinutes: "5m",
    HalfHour: "30m",
    Hour: "1h",
    SixHours: "6h",
    ThreeDays: "3d",
} as const;
export type BurnWindow = typeof BurnWindow[keyof typeof BurnWindow];

export const burnWindows: readonly BurnWindow[] = Object.values(BurnWindow);

const windowDurationMs: Readonly<Record<BurnWindow, number>> = {
    "5m": 5 * 60_000,
    "30m": 30 * 60_000,
    "1h": 3_600_000,
    "6h": 6 * 3_600_000,
    "3d": 72 * 3_600_000,
};

export const BurnAlert = {
    None: "none",
    Ticket: "ticket",
    Page: "page",
} as const;
export type BurnAlert = typeof BurnAlert[keyof typeof BurnAlert];

interface AlertRule {
    readonly alert: BurnAlert;
    readonly longWindow: BurnWindow;
    /** Must exceed the threshold too, so that the alert ends soon after its cause has ended. */
    readonly shortWindow: BurnWindow;
    readonly threshold: number;
}

/**
 * The usual pairs of windows and thresholds for a budget of 30 days: a burn rate of 14.4 spends 2% of the budget in one
 * hour, 6 spends 5% in six hours, and 1 spends 10% in three days. The most urgent rule comes first.
 */
export const alertRules: readonly AlertRule[] = [
    { alert: BurnAlert.Page, longWindow: BurnWindow.Hour, shortWindow: BurnWindow.FiveMinutes, threshold: 14.4 },
    { alert: BurnAlert.Page, longWindow: BurnWindow.SixHours, shortWindow: BurnWindow.HalfHour, threshold: 6 },
    { alert: BurnAlert.Ticket, longWindow: BurnWindow.ThreeDays, shortWindow: BurnWindow.SixHours, threshold: 1 },
];

/**
 * Sums the counts of a window: from the fine buckets up to one hour, which they cover, and else from the coarse ones.
 */
export function countsInWindow(
    window: BurnWindow,
    fine: readonly BucketCounts[],
    coarse: readonly BucketCounts[],
): OutcomeCounts {
    const durationMs = windowDurationMs[window];
    return durationMs <= windowDurationMs[BurnWindow.Hour]
        ? sumYoungerBuckets(fine, durationMs / fineBucketDurationMs)
        : sumYoungerBuckets(coarse, durationMs / coarseBucketDurationMs);
}

/**
 * Share of bad statements divided by the share that the objective allows; 1 spends the budget exactly in its period.
 */
export function burnRate(counts: OutcomeCounts, objectiveShare: number): number {
    const eligible = eligibleCount(counts);
    const allowedShare = Math.max(1e-9, 1 - objectiveShare);
    return eligible === 0 ? 0 : badCount(counts) / eligible / allowedShare;
}

/** Unspent share of the budget of three days; negative when the budget is overspent. */
export function budgetLeft(threeDays: OutcomeCounts, objectiveShare: number): number {
    return 1 - burnRate(threeDays, objectiveShare);
}

/** Returns the alert of the first rule whose long and short windows both exceed its threshold. */
export function mostUrgentAlert(rates: Readonly<Record<BurnWindow, number>>): BurnAlert {
    const rule = alertRules.find(({ longWindow, shortWindow, threshold }) =>
        rates[longWindow] > threshold && rates[shortWindow] > threshold
    );
    return rule?.alert ?? BurnAlert.None;
}
