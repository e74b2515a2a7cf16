/** Output of the benchmark: a table for people, one JSON object for programs. */
import type { Figures } from "./figures.ts";
import type { RateRun } from "./runRates.ts";
import type { Slopes } from "./slopes.ts";
import type { SlotFigures } from "./slotModel.ts";

const notMeasured = [
    "replica_read_share, failover_gap_ms and stale_reads need the holder's filters and are not measured;",
    "until then the shapes with lagging replicas and a lost primary equal steady load;",
    "slot_baselines are baselines in a model of one group with 1 s lag, not the product",
].join(" ");

/** One line of JSON. Figures that were not measured are null. */
export function describeJson(
    runs: readonly RateRun[],
    slots: readonly SlotRun[],
    seed: number,
    slopes?: Slopes,
): string {
    const results = runs.map(({ user, shape, policy, figures }) => ({ user, shape, policy, ...named(figures) }));
    const report = {
        seed,
        note: notMeasured,
        results,
        slot_baselines: slots.map(nameSlots),
        ...(slopes === undefined ? {} : { slopes }),
    };
    return JSON.stringify(report, (_, value: unknown) => value === undefined ? notMeasuredInJson : value);
}

// JSON has no undefined, and a key that is left out would look like a figure that was forgotten.
// eslint-disable-next-line no-restricted-syntax
const notMeasuredInJson = null;

function named(figures: Figures): Record<string, number | undefined> {
    return {
        replica_read_share: figures.replicaReadShare,
        failover_gap_ms: figures.failoverGapMs,
        worst_workspace_served_share: figures.worstWorkspaceServedShare,
        wrongful_refusals: figures.wrongfulRefusals,
        wrongful_share: figures.wrongfulShare,
        over_rate_admissions: figures.overRateAdmissions,
        stale_reads: figures.staleReads,
        waiting_p50_ms: rounded(figures.waitingP50Ms),
        waiting_p99_ms: rounded(figures.waitingP99Ms),
        configuration_changes: figures.configurationChanges,
    };
}

export function describeTable(
    runs: readonly RateRun[],
    slots: readonly SlotRun[],
    seed: number,
    slopes?: Slopes,
): string {
    const header = ["user", "shape", "policy", "worst served", "wrongful", "over rate", "p50 ms", "p99 ms", "changes"];
    const rows = runs.map(({ user, shape, policy, figures }) => [
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
    const slopeLines = slopes === undefined ? [] : describeSlopes(slopes);
    return [`seed ${seed}; ${notMeasured}`, ...alignColumns([header, ...rows]), ...describeSlots(slots), ...slopeLines]
        .join("\n");
}

export interface SlotRun extends SlotFigures {
    readonly policy: string;
}

function nameSlots(run: SlotRun): Record<string, string | number> {
    return {
        policy: run.policy,
        replica_read_share: run.replicaReadShare,
        stale_reads: run.staleReads,
        missed_deadlines: run.missedDeadlines,
        waiting_p50_ms: rounded(run.waitingP50Ms),
        waiting_p99_ms: rounded(run.waitingP99Ms),
    };
}

function describeSlots(slots: readonly SlotRun[]): readonly string[] {
    const named = slots.map(nameSlots);
    return ["", ...alignColumns([Object.keys(named[0]!), ...named.map(run => Object.values(run).map(String))])];
}

function describeSlopes(slopes: Slopes): readonly string[] {
    const header = ["workspaces", "instances", "statements/s", "questions/s", "reports/s", "changes/s"];
    const rows = slopes.messages.map(slope => Object.values(slope).map(value => `${value}`));
    return [
        "",
        `bytes per workspace: home ${slopes.homeBytesPerWorkspace ?? "not measured"}, entry ${
            slopes.entryBytesPerWorkspace ?? "not measured"
        }`,
        `microseconds: admission ${slopes.admissionMicroseconds.toFixed(2)}, question at the home ${
            slopes.questionMicroseconds.toFixed(2)
        }`,
        "questions and reports per instance:",
        ...alignColumns([header, ...rows]),
    ];
}

function alignColumns(rows: readonly (readonly string[])[]): readonly string[] {
    const widths = rows[0]!.map((_, column) => Math.max(...rows.map(row => row[column]!.length)));
    return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join("  ").trimEnd());
}

function rounded(value: number): number {
    return Math.round(value * 100) / 100;
}
