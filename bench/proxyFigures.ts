/** Figures of one run of the proxy model. */
import { noisyWorkspaceIndex, warmUpDurationMs } from "./loadShapes.ts";
import type { ProxyCluster } from "./proxyCluster.ts";
import { measureWorkspaces, percentile, sum } from "./rateFigures.ts";
import type { ModelStatement, ProxyLoad } from "./runProxy.ts";
import type { User } from "./users.ts";

export interface ProxyFigures {
    /** Share of answered reads that a replica served, among reads with a maximum age above 0. */
    readonly replicaReadShare: number;
    /**
     * Maximum over all groups of the time from the loss of a primary to the acknowledgement of the first write that was
     * sent after the loss; undefined in shapes without such a loss.
     */
    readonly failoverGapMs: number | undefined;
    readonly worstWorkspaceServedShare: number;
    readonly wrongfulRefusals: number;
    readonly wrongfulShare: number;
    readonly overRateAdmissions: number | undefined;
    readonly staleReads: number;
    /** Time from arrival to the start on a database. */
    readonly waitingP50Ms: number;
    readonly waitingP99Ms: number;
    /** Waiting time without the workspace that is noisy in one of the shapes. */
    readonly othersWaitingP99Ms: number;
    /** Time from arrival to the answer, of reads. */
    readonly readP50Ms: number;
    readonly readP99Ms: number;
    readonly outcomesUnknown: number;
    /** Groups whose primary lacks an acknowledged write at the end. */
    readonly groupsWithLostWrites: number;
    /** Statements and connections that exceeded the limits of a database. */
    readonly startsBeyondSlots: number;
    readonly connectionsBeyondLimit: number;
}

export interface ProxyMeasurement {
    readonly user: User;
    readonly load: ProxyLoad;
    readonly statements: readonly ModelStatement[];
    readonly cluster: ProxyCluster;
    readonly groupsWithLostWrites: number;
    /** Time at which a primary was lost; undefined in shapes without such a loss. */
    readonly primaryLostAtMs: number | undefined;
}

export function measureProxy(measurement: ProxyMeasurement): ProxyFigures {
    const { user, load, statements, cluster, groupsWithLostWrites } = measurement;
    const servedAtMs = timesByStatementId(statements, statement => statement.servedAtMs);
    const workspaceCounts = measureWorkspaces(servedAtMs, user, load.arrivals);
    // A statement with an unknown outcome does not count as refused.
    const notRefusedAtMs = timesByStatementId(
        statements,
        statement => statement.servedAtMs ?? (statement.isOutcomeUnknown ? statement.arrival.atMs : undefined),
    );
    const wrongfulRefusals = sum(
        measureWorkspaces(notRefusedAtMs, user, load.arrivals).map(counts => counts.wrongfullyRefused),
    );
    const counted = statements.filter(({ arrival }) => arrival.atMs >= warmUpDurationMs);
    const served = counted.filter(statement => statement.servedAtMs !== undefined);
    const eligible = served.filter(({ isWrite, targets }) => !isWrite && targets.maximumAgeMs > 0);
    const waitingTimesMs = sortAscending(
        served.map(({ startedAtMs, arrival }) => startedAtMs! - arrival.atMs),
    );
    const others = served.filter(({ arrival }) => arrival.workspaceIndex !== noisyWorkspaceIndex);
    const othersWaitingTimesMs = sortAscending(
        others.map(({ startedAtMs, arrival }) => startedAtMs! - arrival.atMs),
    );
    const readDurationsMs = sortAscending(
        served.filter(({ isWrite }) => !isWrite).map(statement => statement.servedAtMs! - statement.arrival.atMs),
    );
    return {
        replicaReadShare: eligible.filter(({ ranOnReplica }) => ranOnReplica).length / eligible.length,
        failoverGapMs: failoverGapMs(measurement),
        worstWorkspaceServedShare: Math.min(
            ...workspaceCounts.map(({ served: servedCount, withinRate }) => Math.min(1, servedCount / withinRate)),
        ),
        wrongfulRefusals,
        wrongfulShare: wrongfulRefusals / sum(workspaceCounts.map(counts => counts.withinRate)),
        overRateAdmissions: load.overRateAdmissions,
        staleReads: statements.filter(({ isStale, servedAtMs: atMs }) => isStale && atMs !== undefined).length,
        waitingP50Ms: percentile(waitingTimesMs, 0.5),
        waitingP99Ms: percentile(waitingTimesMs, 0.99),
        othersWaitingP99Ms: percentile(othersWaitingTimesMs, 0.99),
        readP50Ms: percentile(readDurationsMs, 0.5),
        readP99Ms: percentile(readDurationsMs, 0.99),
        outcomesUnknown: statements.filter(({ isOutcomeUnknown }) => isOutcomeUnknown).length,
        groupsWithLostWrites,
        startsBeyondSlots: sum([...cluster.databases.values()].map(database => database.startsBeyondSlots)),
        connectionsBeyondLimit: sum(cluster.connections.map(connections => connections.connectionsBeyondLimit)),
    };
}

function timesByStatementId(
    statements: readonly ModelStatement[],
    timeOf: (statement: ModelStatement) => number | undefined,
): ReadonlyMap<number, number> {
    return new Map(statements.flatMap((statement, id) => {
        const atMs = timeOf(statement);
        return atMs === undefined ? [] : [[id, atMs] as const];
    }));
}

function failoverGapMs({ statements, primaryLostAtMs }: ProxyMeasurement): number | undefined {
    if (primaryLostAtMs === undefined) {
        return undefined;
    }
    const firstServedAtMs = new Map<number, number>();
    for (const { isWrite, servedAtMs, arrival, group } of statements) {
        if (isWrite && servedAtMs !== undefined && arrival.atMs >= primaryLostAtMs) {
            firstServedAtMs.set(group, Math.min(firstServedAtMs.get(group) ?? Infinity, servedAtMs));
        }
    }
    return Math.max(...firstServedAtMs.values()) - primaryLostAtMs;
}

function sortAscending(values: readonly number[]): readonly number[] {
    return [...values].sort((left, right) => left - right);
}
