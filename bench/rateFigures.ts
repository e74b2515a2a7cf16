/** Figures of one run of the rate model. */
import { countAdmissionsOverRate, markWithinRate } from "./admissionCheck.ts";
import { type Arrival, warmUpDurationMs } from "./loadShapes.ts";
import type { RateCluster } from "./rateCluster.ts";
import type { User } from "./users.ts";

export interface RateFigures {
    readonly worstWorkspaceServedShare: number;
    readonly wrongfulRefusals: number;
    /** Wrongful refusals as a share of the statements within the rate. */
    readonly wrongfulShare: number;
    readonly overRateAdmissions: number;
    readonly waitingP50Ms: number;
    readonly waitingP99Ms: number;
    readonly configurationChanges: number;
}

/** Numbers of statements of one workspace, counted after the warm-up except for `overRate`. */
export interface WorkspaceCounts {
    readonly withinRate: number;
    readonly served: number;
    readonly wrongfullyRefused: number;
    readonly overRate: number;
}

/**
 * Counts the statements of each workspace.
 * @param servedAtMs time at which a statement was served, by its id
 */
export function measureWorkspaces(
    servedAtMs: ReadonlyMap<number, number>,
    user: User,
    arrivals: readonly Arrival[],
): readonly WorkspaceCounts[] {
    return user.workspaces.map((_, index) => measureWorkspace(servedAtMs, user, arrivals, index));
}

/** @param arrivals in ascending order; the index of an arrival is its id in the cluster */
export function measureRates(cluster: RateCluster, user: User, arrivals: readonly Arrival[]): RateFigures {
    const workspaceCounts = measureWorkspaces(cluster.admittedAtMs, user, arrivals);
    const withinRate = sum(workspaceCounts.map(counts => counts.withinRate));
    const wrongfullyRefused = sum(workspaceCounts.map(counts => counts.wrongfullyRefused));
    const waitingTimesMs = arrivals.flatMap(({ atMs }, id) =>
        atMs < warmUpDurationMs ? [] : waitingTimeMs(cluster, id, atMs)
    )
        .sort((left, right) => left - right);
    return {
        worstWorkspaceServedShare: Math.min(
            ...workspaceCounts.map(({ served, withinRate: withinRateCount }) => Math.min(1, served / withinRateCount)),
        ),
        wrongfulRefusals: wrongfullyRefused,
        wrongfulShare: wrongfullyRefused / withinRate,
        overRateAdmissions: sum(workspaceCounts.map(counts => counts.overRate)),
        waitingP50Ms: percentile(waitingTimesMs, 0.5),
        waitingP99Ms: percentile(waitingTimesMs, 0.99),
        configurationChanges: cluster.counters.configurationChanges,
    };
}

/**
 * Which statements of a workspace above its rate are the excess is undefined. Wrongful refusals are therefore computed
 * from totals: the number of statements within the rate minus the number of served statements, and at least 0.
 */
function measureWorkspace(
    servedAtMs: ReadonlyMap<number, number>,
    user: User,
    arrivals: readonly Arrival[],
    workspaceIndex: number,
): WorkspaceCounts {
    const own = arrivals.map((arrival, id) => ({ ...arrival, id }))
        .filter(arrival => arrival.workspaceIndex === workspaceIndex);
    const limit = { fromMs: 0, ...user.workspaces[workspaceIndex]! };
    const withinRateMarks = markWithinRate(own.map(({ atMs }) => atMs), limit);
    const counted = own.map((arrival, index) => ({ ...arrival, withinRate: withinRateMarks[index]! }))
        .filter(({ atMs }) => atMs >= warmUpDurationMs);
    const served = counted.filter(({ id }) => servedAtMs.has(id)).length;
    const withinRate = counted.filter(arrival => arrival.withinRate).length;
    const admittedAtMs = own.flatMap(({ id }) => servedAtMs.get(id) ?? []).sort((left, right) => left - right);
    return {
        withinRate,
        served,
        wrongfullyRefused: Math.max(0, Math.min(withinRate, counted.length) - served),
        overRate: countAdmissionsOverRate(admittedAtMs, [limit]),
    };
}

function waitingTimeMs(cluster: RateCluster, id: number, atMs: number): readonly number[] {
    const admittedAtMs = cluster.admittedAtMs.get(id);
    return admittedAtMs === undefined ? [] : [admittedAtMs - atMs];
}

/** @param sorted ascending */
export function percentile(sorted: readonly number[], share: number): number {
    return sorted[Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)] ?? 0;
}

export function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
