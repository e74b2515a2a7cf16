/** Figures of one run of the rate filters. */
import { countOverRate, markWithinRate } from "./admissionCheck.ts";
import { type Arrival, warmUpMs } from "./loadShapes.ts";
import type { RateCluster } from "./rateCluster.ts";
import type { User } from "./users.ts";

export interface Figures {
    readonly worstWorkspaceServedShare: number;
    readonly wrongfulRefusals: number;
    /** Wrongful refusals as a part of the statements within the rate. */
    readonly wrongfulShare: number;
    readonly overRateAdmissions: number;
    readonly waitingP50Ms: number;
    readonly waitingP99Ms: number;
    readonly configurationChanges: number;
}

export interface WorkspaceService {
    readonly within: number;
    readonly served: number;
    readonly wrongful: number;
    readonly over: number;
}

/**
 * Service of each workspace.
 * @param servedMs time at which a statement was served, by its id
 */
export function measureServices(
    servedMs: ReadonlyMap<number, number>,
    user: User,
    arrivals: readonly Arrival[],
): readonly WorkspaceService[] {
    return user.workspaces.map((_, index) => measureWorkspace(servedMs, user, arrivals, index));
}

/** @param arrivals in ascending order; the index of an arrival is its id in the cluster */
export function measureRates(cluster: RateCluster, user: User, arrivals: readonly Arrival[]): Figures {
    const services = measureServices(cluster.admittedMs, user, arrivals);
    const within = sum(services.map(service => service.within));
    const wrongful = sum(services.map(service => service.wrongful));
    const waits = arrivals.flatMap(({ atMs }, id) => atMs < warmUpMs ? [] : waitOf(cluster, id, atMs))
        .sort((left, right) => left - right);
    return {
        worstWorkspaceServedShare: Math.min(...services.map(({ served, within: all }) => Math.min(1, served / all))),
        wrongfulRefusals: wrongful,
        wrongfulShare: wrongful / within,
        overRateAdmissions: sum(services.map(service => service.over)),
        waitingP50Ms: percentile(waits, 0.5),
        waitingP99Ms: percentile(waits, 0.99),
        configurationChanges: cluster.counters.configurationChanges,
    };
}

/**
 * A workspace that sends more than its rate cannot say which of its statements are the excess. Its wrongful refusals
 * are therefore counted: statements within the rate, less those admitted, at most those not admitted.
 */
function measureWorkspace(
    servedMs: ReadonlyMap<number, number>,
    user: User,
    arrivals: readonly Arrival[],
    workspaceIndex: number,
): WorkspaceService {
    const own = arrivals.map((arrival, id) => ({ ...arrival, id }))
        .filter(arrival => arrival.workspaceIndex === workspaceIndex);
    const limit = { fromMs: 0, ...user.workspaces[workspaceIndex]! };
    const marks = markWithinRate(own.map(({ atMs }) => atMs), limit);
    const counted = own.map((arrival, index) => ({ ...arrival, within: marks[index]! }))
        .filter(({ atMs }) => atMs >= warmUpMs);
    const served = counted.filter(({ id }) => servedMs.has(id)).length;
    const within = counted.filter(arrival => arrival.within).length;
    const admittedMs = own.flatMap(({ id }) => servedMs.get(id) ?? []).sort((left, right) => left - right);
    return {
        within,
        served,
        wrongful: Math.max(0, Math.min(within, counted.length) - served),
        over: countOverRate(admittedMs, [limit]),
    };
}

function waitOf(cluster: RateCluster, id: number, atMs: number): readonly number[] {
    const admittedMs = cluster.admittedMs.get(id);
    return admittedMs === undefined ? [] : [admittedMs - atMs];
}

/** @param sorted ascending */
export function percentile(sorted: readonly number[], share: number): number {
    return sorted[Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)] ?? 0;
}

export function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
