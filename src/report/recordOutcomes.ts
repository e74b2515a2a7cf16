/** Filter that records the outcomes and latencies of statements for the burn report. */
import { OutcomeKind } from "../model/outcome.ts";
import { Execution, RefusalCode, refusalTable } from "../model/refusal.ts";
import { ReportKind, type StatementEnded } from "../model/reportMessages.ts";
import type { Filter } from "../pipeline/filter.ts";
import { OutcomeClass } from "./outcomeCounts.ts";
import { type SeriesSnapshot, type SeriesTargets, ServiceLevelSeries } from "./serviceLevelSeries.ts";

/** Recorded data of one instance, to be merged into a report or restored after a restart. */
export interface InstanceSnapshot {
    readonly instanceId: string;
    readonly series: readonly SeriesSnapshot[];
}

/**
 * Maximum number of pairs of work class and workspace with a series of their own; further pairs share one series.
 * Limits the memory to 6.9 MB.
 */
const maximumSeriesCount = 512;
const sharedSeriesName = "other";

/** Refusals that are the fault of the caller and do not burn the budget. */
const callerFaultCodes: ReadonlySet<RefusalCode> = new Set([
    RefusalCode.AccessDenied,
    RefusalCode.KeyWithdrawn,
    RefusalCode.UnknownService,
    RefusalCode.UnknownClass,
    RefusalCode.MalformedAttribute,
    RefusalCode.PreparedUnsupported,
    RefusalCode.StatementUnsupported,
    RefusalCode.StatementTooLarge,
]);

interface NamedSeries {
    readonly workClass: string;
    readonly workspace: string;
    readonly levels: ServiceLevelSeries;
}

export class RecordOutcomesFilter implements Filter<StatementEnded, never> {
    readonly step = "recordOutcomes";
    readonly accepts = [ReportKind.StatementEnded];
    private readonly series = new Map<string, NamedSeries>();

    process(statement: StatementEnded, nowMs: number): readonly never[] {
        const { workClass, workspace, arrivedAtMs, startedAtMs, targets } = statement;
        const waitingMs = startedAtMs === undefined ? undefined : startedAtMs - arrivedAtMs;
        this.findOrCreateSeries(workClass, workspace, targets, nowMs)
            .record(classify(statement), waitingMs, nowMs - arrivedAtMs, targets, nowMs);
        return [];
    }

    snapshot(instanceId: string, nowMs: number): InstanceSnapshot {
        const series = [...this.series.values()]
            .map(({ workClass, workspace, levels }) => levels.snapshot(workClass, workspace, nowMs));
        return { instanceId, series };
    }

    /** @param elapsedMs wall-clock time since the snapshot, because the monotonic clock restarts with the process */
    restore(snapshot: InstanceSnapshot, elapsedMs: number, nowMs: number): void {
        for (const saved of snapshot.series) {
            const targets = { objectiveShare: saved.objectiveShare, waitingMs: saved.waitingTargetMs };
            this.findOrCreateSeries(saved.workClass, saved.workspace, targets, nowMs).restore(saved, elapsedMs, nowMs);
        }
    }

    private findOrCreateSeries(
        workClass: string,
        workspace: string,
        targets: SeriesTargets,
        nowMs: number,
    ): ServiceLevelSeries {
        const key = JSON.stringify([workClass, workspace]);
        const existing = this.series.get(key);
        if (existing !== undefined) {
            return existing.levels;
        }
        if (this.series.size >= maximumSeriesCount && workClass !== sharedSeriesName) {
            return this.findOrCreateSeries(sharedSeriesName, sharedSeriesName, targets, nowMs);
        }
        const levels = new ServiceLevelSeries(targets, nowMs);
        this.series.set(key, { workClass, workspace, levels });
        return levels;
    }
}

function classify(statement: StatementEnded): OutcomeClass {
    const { outcome, startedAtMs, arrivedAtMs, targets, dataAgeMs } = statement;
    const refusalClass = outcome.kind === OutcomeKind.Refused
        ? classifyRefusal(outcome.refusal.code, statement.withinRate)
        : undefined;
    if (refusalClass !== undefined) {
        return refusalClass;
    }
    if (dataAgeMs !== undefined && dataAgeMs > targets.maximumAgeMs) {
        return OutcomeClass.Stale;
    }
    const isLate = startedAtMs !== undefined && startedAtMs - arrivedAtMs > targets.waitingMs;
    return isLate ? OutcomeClass.Late : OutcomeClass.Good;
}

/**
 * Returns undefined for an error that the database reported: the proxy served the statement, so it can still be good.
 */
function classifyRefusal(code: RefusalCode, withinRate: boolean): OutcomeClass | undefined {
    if (code === RefusalCode.DatabaseFailed) {
        return undefined;
    }
    if (refusalTable[code].execution === Execution.Unknown) {
        return OutcomeClass.Unknown;
    }
    return !withinRate || callerFaultCodes.has(code) ? OutcomeClass.Excluded : OutcomeClass.Refused;
}
