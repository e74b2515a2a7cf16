/**
 * Demonstrates a failover: two services with three databases each, three entry instances, a load of orders and
 * redemptions, and a primary that is killed under load. `npm run demo -- [--logs DIR]`; `--logs` writes the output of
 * each process to DIR. The last line is one JSON object; a violation gives a non-zero exit code.
 */
import { setTimeout as delay } from "node:timers/promises";
import { parseArgs } from "node:util";
import { type LoadSummary, violationsOf } from "../standins/load/summary.ts";
import { TestCluster } from "./testCluster.ts";

const loadDurationMs = 15_000;
const killDelayMs = 4_000;
/** The demo must end within 40 s. */
const demoTimeoutMs = 38_000;

const { values } = parseArgs({ options: { logs: { type: "string" } } });

const watchdog = setTimeout(() => {
    console.error(`the demo did not end within ${demoTimeoutMs} ms`);
    process.exit(1);
}, demoTimeoutMs);

try {
    printReport(await runDemo());
}
catch (error) {
    console.error(error instanceof Error ? error.message : error);
    process.exitCode = 1;
}
clearTimeout(watchdog);

async function runDemo(): Promise<LoadSummary> {
    console.log("starting 6 databases and 3 entry instances");
    await using cluster = await TestCluster.open(values.logs);
    const load = cluster.startLoad({ seed: 1, durationMs: loadDurationMs });
    await load.waitForStart();
    console.log("the load of orders and redemptions has started");
    await delay(killDelayMs);
    const primary = await cluster.findPrimaryOf("orders");
    console.log(`killing ${primary.id}, the primary of "orders"`);
    primary.process.signal("SIGKILL");
    // Awaited here, because leaving the function disposes of the cluster.
    return await load.waitForResult();
}

function printReport(summary: LoadSummary): void {
    const figures = {
        statements: summary.statements,
        acknowledged: summary.acknowledged,
        lost: summary.lost,
        doubled: summary.doubled,
        stale_reads: summary.stale_reads,
        mixed_transactions: summary.mixed_transactions,
        replica_read_share: summary.replica_read_share,
        failover_gap_ms: summary.failover_gap_ms,
        wrongful_refusals: summary.wrongful_refusals,
    };
    Object.entries(figures).forEach(([name, value]) => console.log(`${name.padEnd(24)}${value}`));
    console.log(`${"refused".padEnd(24)}${JSON.stringify(summary.refused)}`);
    const violations = violationsOf(summary);
    if (violations.length > 0) {
        console.log(`violations: ${violations.join(", ")}`);
        process.exitCode = 1;
    }
    console.log(JSON.stringify(figures));
}
