/**
 * Runs failure scenarios on real processes: `npm run faults -- [--only NAME] [--seed N] [--logs DIR]`. `--logs` writes
 * the output of each process to DIR/SCENARIO. The last line is one JSON object. The exit code is non-zero after a
 * violation, after an error, and when no scenario ran.
 */
import { join } from "node:path";
import { parseArgs } from "node:util";
import { type LoadSummary, violationsOf } from "../standins/load/summary.ts";
import type { Scenario, ScenarioFigures } from "./loadScenario.ts";
import { TestCluster } from "./testCluster.ts";
import { findEntryProgram } from "./testClusterEntry.ts";
import { scenarios } from "./testClusterScenarios.ts";

const ScenarioStatus = { Passed: "passed", Violated: "violated", NotRun: "not_run", Error: "error" } as const;
type ScenarioStatus = typeof ScenarioStatus[keyof typeof ScenarioStatus];

interface ScenarioReport {
    readonly name: string;
    readonly status: ScenarioStatus;
    readonly violations: readonly string[];
    /** Why the scenario did not run or was aborted; empty otherwise. */
    readonly reason: string;
    /** Figures of the load and of the scenario itself. */
    readonly figures?: LoadSummary & ScenarioFigures;
}

/** Upper bound of the failover gap; section 1.5 of docs/design.md. */
const failoverGapLimitMs = 13_000;

const { values } = parseArgs({
    options: { only: { type: "string" }, seed: { type: "string", default: "1" }, logs: { type: "string" } },
});
const selectedScenarios = scenarios.filter(scenario => values.only === undefined || scenario.name === values.only);
if (selectedScenarios.length === 0) {
    console.error(
        `no scenario "${values.only}"; allowed are ${scenarios.map(scenario => scenario.name).join(", ")}`,
    );
    process.exit(2);
}

const reports: ScenarioReport[] = [];
for (const scenario of selectedScenarios) {
    const report = await runScenario(scenario, Number(values.seed));
    reports.push(report);
    console.log([report.name.padEnd(30), report.status, ...report.violations, report.reason].join(" ").trimEnd());
}
printSummary(reports);

async function runScenario(scenario: Scenario, seed: number): Promise<ScenarioReport> {
    const { name } = scenario;
    if (findEntryProgram() === undefined) {
        return { name, status: ScenarioStatus.NotRun, violations: [], reason: "the entry program does not exist" };
    }
    try {
        await using cluster = await TestCluster.open(values.logs === undefined ? undefined : join(values.logs, name));
        const { summary, violations: scenarioViolations, figures } = await scenario.run(cluster, seed);
        const violations = [...violationsOf(summary), ...scenarioViolations, ...failoverGapViolations(summary)];
        const status = violations.length === 0 ? ScenarioStatus.Passed : ScenarioStatus.Violated;
        return {
            name,
            status,
            violations,
            reason: "",
            figures: { ...summary, ...figures },
        };
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        return { name, status: ScenarioStatus.Error, violations: [], reason };
    }
}

function failoverGapViolations(summary: LoadSummary): readonly string[] {
    return summary.failover_gap_ms > failoverGapLimitMs ? ["failover_gap"] : [];
}

function printSummary(reports: readonly ScenarioReport[]): void {
    const count = (status: ScenarioStatus) => reports.filter(report => report.status === status).length;
    const violations = reports.reduce((sum, report) => sum + report.violations.length, 0);
    const passed = count(ScenarioStatus.Passed);
    const errors = count(ScenarioStatus.Error);
    const notRun = count(ScenarioStatus.NotRun);
    console.log(
        JSON.stringify({ scenarios: reports.length, passed, not_run: notRun, errors, violations, results: reports }),
    );
    process.exitCode = violations > 0 || errors > 0 || notRun === reports.length ? 1 : 0;
}
