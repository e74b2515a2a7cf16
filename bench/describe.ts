/** Formats the results of the benchmark as tables or as one JSON object. */
import type { AbuseFigures } from "./abusiveCallers.ts";
import type { ProcessFigures } from "./processes.ts";
import type { ProxyFigures } from "./proxyFigures.ts";
import type { RateFigures } from "./rateFigures.ts";
import type { ProxyRun } from "./runProxy.ts";
import type { RateRun } from "./runRates.ts";
import type { Slopes } from "./slopes.ts";
import type { SlotFigures } from "./slotModel.ts";

const note = [
    "results: statements that the product's rate filters admitted, through its request and holder filters;",
    "a change of primary is posted 920 ms after the loss of a primary and 4,780 ms after the loss of its data centre,",
    "which are the times measured by the specs of src/health, so failover_gap_ms adds only routing and holders to them;",
    "admission_results: the rate filters alone;",
    "slot_baselines: baselines in a model of one group with 1 s lag, not the product",
].join(" ");

export interface BenchReport {
    readonly proxyRuns: readonly ProxyRun[];
    readonly rateRuns: readonly RateRun[];
    readonly slots: readonly SlotRun[];
    readonly seed: number;
    readonly slopes: Slopes | undefined;
    readonly processes: ProcessFigures | undefined;
    readonly abuse: readonly AbuseFigures[] | undefined;
}

/** Formats a report as one line of JSON. Figures that were not measured are null. */
export function formatJson({ proxyRuns, rateRuns, slots, seed, slopes, processes, abuse }: BenchReport): string {
    const report = {
        seed,
        note,
        results: proxyRuns.map(({ user, shape, policy, figures }) => ({
            user,
            shape,
            policy,
            ...proxyFiguresByKey(figures),
        })),
        admission_results: rateRuns.map(({ user, shape, policy, figures }) => ({
            user,
            shape,
            policy,
            ...rateFiguresByKey(figures),
        })),
        slot_baselines: slots.map(slotFiguresByKey),
        ...(slopes === undefined ? {} : { slopes }),
        ...(processes === undefined ? {} : { processes }),
        ...(abuse === undefined ? {} : { abuse }),
    };
    return JSON.stringify(report, (_, value: unknown) => value === undefined ? notMeasuredInJson : value);
}

// JSON has no undefined, and an omitted key would look like a figure that is missing by mistake.
// eslint-disable-next-line no-restricted-syntax
const notMeasuredInJson = null;

function rateFiguresByKey(figures: RateFigures): Record<string, number | undefined> {
    return {
        worst_workspace_served_share: figures.worstWorkspaceServedShare,
        wrongful_refusals: figures.wrongfulRefusals,
        wrongful_share: figures.wrongfulShare,
        over_rate_admissions: figures.overRateAdmissions,
        waiting_p50_ms: roundToHundredths(figures.waitingP50Ms),
        waiting_p99_ms: roundToHundredths(figures.waitingP99Ms),
        configuration_changes: figures.configurationChanges,
    };
}

function proxyFiguresByKey(figures: ProxyFigures): Record<string, number | undefined> {
    return {
        replica_read_share: roundToFourDecimals(figures.replicaReadShare),
        failover_gap_ms: figures.failoverGapMs === undefined ? undefined : roundToHundredths(figures.failoverGapMs),
        worst_workspace_served_share: roundToFourDecimals(figures.worstWorkspaceServedShare),
        wrongful_refusals: figures.wrongfulRefusals,
        wrongful_share: roundToFourDecimals(figures.wrongfulShare),
        over_rate_admissions: figures.overRateAdmissions,
        stale_reads: figures.staleReads,
        waiting_p50_ms: roundToHundredths(figures.waitingP50Ms),
        waiting_p99_ms: roundToHundredths(figures.waitingP99Ms),
        others_waiting_p99_ms: roundToHundredths(figures.othersWaitingP99Ms),
        read_p50_ms: roundToHundredths(figures.readP50Ms),
        read_p99_ms: roundToHundredths(figures.readP99Ms),
        outcomes_unknown: figures.outcomesUnknown,
        groups_with_lost_writes: figures.groupsWithLostWrites,
        starts_beyond_slots: figures.startsBeyondSlots,
        connections_beyond_limit: figures.connectionsBeyondLimit,
    };
}

function formatProxyRuns(runs: readonly ProxyRun[]): readonly string[] {
    if (runs.length === 0) {
        return [];
    }
    const rows = runs.map(({ user, shape, policy, figures }) => ({
        user,
        shape,
        policy,
        ...proxyFiguresByKey(figures),
    }));
    return alignColumns([
        Object.keys(rows[0]!),
        ...rows.map(run => Object.values(run).map(value => `${value ?? "-"}`)),
    ]);
}

export function formatTable({ proxyRuns, rateRuns, slots, seed, slopes, processes, abuse }: BenchReport): string {
    const header = ["user", "shape", "policy", "worst served", "wrongful", "over rate", "p50 ms", "p99 ms", "changes"];
    const rows = rateRuns.map(({ user, shape, policy, figures }) => [
        user,
        shape,
        policy,
        figures.worstWorkspaceServedShare.toFixed(4),
        `${figures.wrongfulRefusals} (${(100 * figures.wrongfulShare).toFixed(2)}%)`,
        `${figures.overRateAdmissions}`,
        figures.waitingP50Ms.toFixed(1),
        figures.waitingP99Ms.toFixed(1),
        `${figures.configurationChanges}`,
    ]);
    const slopeLines = slopes === undefined ? [] : formatSlopes(slopes);
    return [
        `seed ${seed}; ${note}`,
        ...formatProxyRuns(proxyRuns),
        "",
        ...alignColumns([header, ...rows]),
        ...formatSlotRuns(slots),
        ...slopeLines,
        ...(processes === undefined ? [] : ["", JSON.stringify(processes)]),
        ...(abuse === undefined ? [] : ["", ...formatRows(abuse)]),
    ].join("\n");
}

export interface SlotRun extends SlotFigures {
    readonly policy: string;
}

function slotFiguresByKey(run: SlotRun): Record<string, string | number> {
    return {
        policy: run.policy,
        replica_read_share: run.replicaReadShare,
        stale_reads: run.staleReads,
        missed_deadlines: run.missedDeadlines,
        waiting_p50_ms: roundToHundredths(run.waitingP50Ms),
        waiting_p99_ms: roundToHundredths(run.waitingP99Ms),
    };
}

function formatSlotRuns(slots: readonly SlotRun[]): readonly string[] {
    const rows = slots.map(slotFiguresByKey);
    const [firstRow] = rows;
    if (firstRow === undefined) {
        return [];
    }
    return [
        "",
        ...alignColumns([
            Object.keys(firstRow),
            ...rows.map(run => Object.values(run).map(String)),
        ]),
    ];
}

function formatSlopes(slopes: Slopes): readonly string[] {
    const header = ["workspaces", "instances", "statements/s", "questions/s", "reports/s", "changes/s"];
    const rows = slopes.messages.map(slope => Object.values(slope).map(value => `${value}`));
    return [
        "",
        `bytes per workspace: permit home ${slopes.homeBytesPerWorkspace ?? "not measured"}, entry ${
            slopes.entryBytesPerWorkspace ?? "not measured"
        }`,
        `microseconds: admission ${slopes.admissionMicroseconds.toFixed(2)}, request at the permit home ${
            slopes.questionMicroseconds.toFixed(2)
        }`,
        `microseconds of a read on the primary: request pipe ${
            slopes.requestPipeMicroseconds.toFixed(2)
        }, holder pipe ${slopes.holderPipeMicroseconds.toFixed(2)} (50,000 statements)`,
        `bytes in the request pipe: session ${
            slopes.bytesPerSession ?? "not measured"
        }, pending statement with session ${slopes.bytesPerPendingStatement ?? "not measured"} (20,000 of each)`,
        "permit requests and demand reports per instance:",
        ...alignColumns([header, ...rows]),
        "",
        ...formatRows(slopes.heartbeats),
        "",
        ...formatRows(slopes.deltas),
        "",
        ...formatRows(slopes.wire),
        ...formatRows(slopes.scheduling),
    ];
}

function formatRows(slopes: readonly object[]): readonly string[] {
    const values = slopes.map(slope => Object.values(slope).map(value => `${roundToHundredths(value as number)}`));
    return alignColumns([Object.keys(slopes[0]!), ...values]);
}

function alignColumns(rows: readonly (readonly string[])[]): readonly string[] {
    const widths = rows[0]!.map((_, column) => Math.max(...rows.map(row => row[column]!.length)));
    return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join("  ").trimEnd());
}

function roundToHundredths(value: number): number {
    return Math.round(value * 100) / 100;
}

function roundToFourDecimals(value: number): number {
    return Math.round(value * 10_000) / 10_000;
}
