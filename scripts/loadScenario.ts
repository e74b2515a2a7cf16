/** A failure under load, and the check that the system recovers from it. */
import { setTimeout as delay } from "node:timers/promises";
import { MysqlConnector } from "../standins/load/connector.ts";
import { awaitReady } from "../standins/load/readiness.ts";
import type { LoadSummary } from "../standins/load/summary.ts";
import { services, type TestCluster } from "./testCluster.ts";
import { awaitListening, type EntryHandle } from "./testClusterEntry.ts";

/** A scenario's own figures; each is there only when its scenario ran. */
export interface ScenarioFigures {
    /** Time after the withdrawal of a key at which it was last served. */
    readonly key_served_ms?: number;
    readonly version_before?: number;
    readonly version_after?: number;
    /** 1 when another instance led after the first kill. */
    readonly leader_changed?: number;
    /** Time after the restart with a wiped disk until the configuration was complete. */
    readonly caught_up_ms?: number;
}

/** What a scenario found beside the figures of the load. */
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

/** Time from the start of the load to the failure. */
const faultDelayMs = 3_000;
const recoveryTimeoutMs = 15_000;

/** Runs `disturb` while the load flows, then waits until every service takes writes through every instance. */
export abstract class LoadScenario implements Scenario {
    abstract readonly name: string;
    protected readonly loadDurationMs: number = 15_000;

    /** Causes the failure and repairs it. */
    protected abstract injectFault(cluster: TestCluster): Promise<Findings>;

    async run(cluster: TestCluster, seed: number): Promise<ScenarioResult> {
        const load = cluster.startLoad({ seed, durationMs: this.loadDurationMs });
        await load.started;
        await delay(faultDelayMs);
        const { violations, figures } = await this.injectFault(cluster);
        const summary = await load.result;
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

/** Kills an instance and starts it again after `downMs`. */
export async function killAndRestart(cluster: TestCluster, entry: EntryHandle, downtimeMs: number): Promise<void> {
    entry.process!.signal("SIGKILL");
    await entry.process!.ended;
    await delay(downtimeMs);
    cluster.startEntry(entry);
    await awaitListening(entry);
}
