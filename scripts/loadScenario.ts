/** Scenarios that inject a fault under load and check that the system recovers. */
import { setTimeout as delay } from "node:timers/promises";
import { MysqlConnector } from "../standins/load/connector.ts";
import { awaitReady } from "../standins/load/readiness.ts";
import type { LoadSummary } from "../standins/load/summary.ts";
import { services, type TestCluster } from "./testCluster.ts";
import { awaitListening, type EntryHandle } from "./testClusterEntry.ts";

/** Figures that a scenario measures itself; each is present only if its scenario ran. */
export interface ScenarioFigures {
    /** Time from the withdrawal of a key to the last statement that was served with it. */
    readonly key_served_ms?: number;
    /** Version of a work class before and after a change. */
    readonly version_before?: number;
    readonly version_after?: number;
    /** 1 if another instance became leader after the first kill, otherwise 0. */
    readonly leader_changed?: number;
    /** Time from the restart with a wiped disk until the instance had the current configuration. */
    readonly caught_up_ms?: number;
}

/** Results of a scenario, beside the figures of the load. */
export interface Findings {
    readonly violations: readonly string[];
    readonly figures: ScenarioFigures;
}

export const noFindings: Findings = { violations: [], figures: {} };

export interface ScenarioResult extends Findings {
    readonly summary: LoadSummary;
}

export interface Scenario {
    readonly name: string;
    run(cluster: TestCluster, seed: number): Promise<ScenarioResult>;
}

/** Time from the start of the load to the fault. */
const faultDelayMs = 3_000;
const recoveryTimeoutMs = 15_000;

/** Runs `injectFault` under load, then waits until every service accepts writes through every instance. */
export abstract class LoadScenario implements Scenario {
    abstract readonly name: string;
    protected readonly loadDurationMs: number = 15_000;

    /** Causes a failure or makes a change, and repairs the failure. */
    protected abstract injectFault(cluster: TestCluster): Promise<Findings>;

    async run(cluster: TestCluster, seed: number): Promise<ScenarioResult> {
        const load = cluster.startLoad({ seed, durationMs: this.loadDurationMs });
        await load.waitForStart();
        await delay(faultDelayMs);
        const { violations, figures } = await this.injectFault(cluster);
        const summary = await load.waitForResult();
        return { summary, violations: [...violations, ...await this.checkRecovery(cluster)], figures };
    }

    private async checkRecovery(cluster: TestCluster): Promise<readonly string[]> {
        const options = {
            connector: new MysqlConnector(cluster.entryAddresses, 2_000),
            entryCount: cluster.entries.length,
            services,
            identity: cluster.files.callers.keys[0]!,
            timeoutMs: recoveryTimeoutMs,
        };
        try {
            await awaitReady(options);
            return [];
        }
        catch (error) {
            return [`not_recovered: ${(error as Error).message}`];
        }
    }
}

/** Kills an instance, and restarts it after `downtimeMs`. */
export async function killAndRestart(cluster: TestCluster, entry: EntryHandle, downtimeMs: number): Promise<void> {
    entry.process!.signal("SIGKILL");
    await entry.process!.ended;
    await delay(downtimeMs);
    cluster.startEntry(entry);
    await awaitListening(entry);
}
