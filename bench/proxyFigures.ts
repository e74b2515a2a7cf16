/** Figures of one run of the proxy model. */
import { measureServices, percentile, sum } from "./figures.ts";
import { noisyWorkspace, warmUpMs } from "./loadShapes.ts";
import type { ProxyCluster } from "./proxyCluster.ts";
import type { ModelStatement, ProxyLoad } from "./runProxy.ts";
import type { User } from "./users.ts";

export interface ProxyFigures {
    /** Part of the reads that accept an age and were answered, which a replica answered. */
    readonly replicaReadShare: number;
    /**
     * Longest time, over all groups, from the loss of a primary to the first acknowledged write that was sent after it;
     * undefined in shapes that lose none.
     */
    readonly failoverGapMs: number | undefined;
    readonly worstWorkspaceServedShare: number;
    readonly wrongfulRefusals: number;
    readonly wrongfulShare: number;
    readonly overRateAdmissions: number | undefined;
    readonly staleReads: number;
    /** From arrival to the start on a database. */
    readonly waitingP50Ms: number;
    readonly waitingP99Ms: number;
    /** The same without the workspace that is noisy in one of the shapes. */
    readonly othersWaitingP99Ms: number;
    /** From arrival to the answer, of reads. */
    readonly readP50Ms: number;
    readonly readP99Ms: number;
    readonly outcomesUnknown: number;
    /** Groups whose primary lacks an acknowledged write at the end. */
    readonly lostGroups: number;
    /** Statements and connections beyond the limits of a database. */
    readonly overfullStarts: number;
    readonly overfullConnections: number;
}

export interface ProxyMeasurement {
    readonly user: User;
    readonly load: ProxyLoad;
    readonly statements: readonly ModelStatement[];
    readonly cluster: ProxyCluster;
    readonly lostGroups: number;
    /** Time at which a primary was lost; undefined in shapes that lose none. */
    readonly lossMs: number | undefined;
}

export function measureProxy(measurement: ProxyMeasurement): ProxyFigures {
    const { user, load, statements, cluster, lostGroups } = measurement;
    const servedMs = timesOf(statements, statement => statement.servedMs);
    const services = measureServices(servedMs, user, load.arrivals);
    // An unknown outcome is no refusal.
    const notRefused = timesOf(
        statements,
        statement => statement.servedMs ?? (statement.outcomeUnknown ? statement.arrival.atMs : undefined),
    );
    const wrongful = sum(measureServices(notRefused, user, load.arrivals).map(service => service.wrongful));
    const counted = statements.filter(({ arrival }) => arrival.atMs >= warmUpMs);
    const served = counted.filter(statement => statement.servedMs !== undefined);
    const eligible = served.filter(({ isWrite, targets }) => !isWrite && targets.maximumAgeMs > 0);
    const waits = ascending(served.map(({ startedMs, arrival }) => startedMs! - arrival.atMs));
    const others = served.filter(({ arrival }) => arrival.workspaceIndex !== noisyWorkspace);
    const otherWaits = ascending(others.map(({ startedMs, arrival }) => startedMs! - arrival.atMs));
    const reads = ascending(
        served.filter(({ isWrite }) => !isWrite).map(statement => statement.servedMs! - statement.arrival.atMs),
    );
    return {
        replicaReadShare: eligible.filter(({ onReplica }) => onReplica).length / eligible.length,
        failoverGapMs: failoverGapMs(measurement),
        worstWorkspaceServedShare: Math.min(...services.map(({ served: done, within }) => Math.min(1, done / within))),
        wrongfulRefusals: wrongful,
        wrongfulShare: wrongful / sum(services.map(service => service.within)),
        overRateAdmissions: load.overRateAdmissions,
        staleReads: statements.filter(({ stale, servedMs: atMs }) => stale && atMs !== undefined).length,
        waitingP50Ms: percentile(waits, 0.5),
        waitingP99Ms: percentile(waits, 0.99),
        othersWaitingP99Ms: percentile(otherWaits, 0.99),
        readP50Ms: percentile(reads, 0.5),
        readP99Ms: percentile(reads, 0.99),
        outcomesUnknown: statements.filter(({ outcomeUnknown }) => outcomeUnknown).length,
        lostGroups,
        overfullStarts: sum([...cluster.databases.values()].map(database => database.overfullStarts)),
        overfullConnections: sum(cluster.connections.map(connections => connections.refusedByLimit)),
    };
}

function timesOf(
    statements: readonly ModelStatement[],
    timeOf: (statement: ModelStatement) => number | undefined,
): ReadonlyMap<number, number> {
    return new Map(statements.flatMap((statement, id) => {
        const atMs = timeOf(statement);
        return atMs === undefined ? [] : [[id, atMs] as const];
    }));
}

function failoverGapMs({ statements, lossMs }: ProxyMeasurement): number | undefined {
    if (lossMs === undefined) {
        return undefined;
    }
    const firstMs = new Map<number, number>();
    for (const { isWrite, servedMs, arrival, group } of statements) {
        if (isWrite && servedMs !== undefined && arrival.atMs >= lossMs) {
            firstMs.set(group, Math.min(firstMs.get(group) ?? Infinity, servedMs));
        }
    }
    return Math.max(...firstMs.values()) - lossMs;
}

function ascending(values: readonly number[]): readonly number[] {
    return [...values].sort((left, right) => left - right);
}
