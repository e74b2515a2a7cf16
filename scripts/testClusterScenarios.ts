/** Failures that real processes go through, each under load. */
import { setTimeout as delay } from "node:timers/promises";
import { MysqlConnector } from "../standins/load/connector.ts";
import { awaitReady } from "../standins/load/readiness.ts";
import type { LoadSummary } from "../standins/load/summary.ts";
import { services, type TestCluster } from "./testCluster.ts";
import { awaitListening, type EntryHandle } from "./testClusterEntry.ts";
import { openTransaction, readBalance } from "./testClusterProbe.ts";

export interface ScenarioResult {
    readonly summary: LoadSummary;
    /** Violations beyond those that the load counts. */
    readonly extraViolations: readonly string[];
}

export interface Scenario {
    readonly name: string;
    /** What the scenario still lacks; it is then reported as not run. Empty when it can run. */
    readonly blockedBy: string;
    run(cluster: TestCluster, seed: number): Promise<ScenarioResult>;
}

/** Time from the start of the load to the failure. */
const quietMs = 3_000;
const recoveryTimeoutMs = 15_000;

/** Runs `disturb` while the load flows, then waits until every service takes writes through every instance. */
abstract class LoadScenario implements Scenario {
    abstract readonly name: string;
    readonly blockedBy = "";
    protected readonly loadMs: number = 15_000;

    /** Causes the failure and repairs it; returns violations of its own. */
    protected abstract disturb(cluster: TestCluster): Promise<readonly string[]>;

    async run(cluster: TestCluster, seed: number): Promise<ScenarioResult> {
        const load = cluster.startLoad({ seed, durationMs: this.loadMs });
        await load.started;
        await delay(quietMs);
        const own = await this.disturb(cluster);
        const summary = await load.result;
        return { summary, extraViolations: [...own, ...await this.checkRecovery(cluster)] };
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

class PrimaryKilled extends LoadScenario {
    readonly name = "primary-killed";

    protected async disturb(cluster: TestCluster): Promise<readonly string[]> {
        const primary = await cluster.primaryOf("orders");
        primary.process.signal("SIGKILL");
        return [];
    }
}

/** The primary loses its replicas, while its clients still reach it and it goes on accepting writes. */
class PrimaryCutOff extends LoadScenario {
    readonly name = "primary-cut-off";

    protected async disturb(cluster: TestCluster): Promise<readonly string[]> {
        const primary = await cluster.primaryOf("orders");
        await primary.admin.fault({ fault: "cut" });
        await delay(6_000);
        await primary.admin.fault({ fault: "restore" });
        return [];
    }
}

/** The changes of a transaction whose entry instance dies must vanish. */
class EntryKilledInTransaction extends LoadScenario {
    readonly name = "entry-killed-in-transaction";

    protected async disturb(cluster: TestCluster): Promise<readonly string[]> {
        const entry = cluster.entries[1]!;
        const identity = cluster.files.callers.keys[0]!;
        // No other work uses this token, so it must not exist afterwards.
        const opened = await openTransaction(entry.mysqlPort, identity, "tokens", -1);
        await restart(cluster, entry, 3_000);
        opened.destroy();
        const primary = await cluster.primaryOf("tokens");
        const balance = await readBalance(primary.admin, -1);
        return balance === undefined ? [] : ["transaction_survived"];
    }
}

/** The instance that holds a primary stops for longer than its lease and then goes on. */
class HolderFrozen extends LoadScenario {
    readonly name = "holder-frozen";
    protected override readonly loadMs = 18_000;

    protected async disturb(cluster: TestCluster): Promise<readonly string[]> {
        const primary = await cluster.primaryOf("orders");
        const holder = cluster.entries.find(entry => entry.dataCentre === primary.dataCentre)!;
        holder.process!.signal("SIGSTOP");
        await delay(7_000);
        holder.process!.signal("SIGCONT");
        return [];
    }
}

/** Each instance is killed in turn, after the one before has come back; one of them is the control leader. */
class InstancesKilledInTurn extends LoadScenario {
    readonly name = "control-leader-killed";
    protected override readonly loadMs = 30_000;

    protected async disturb(cluster: TestCluster): Promise<readonly string[]> {
        for (const entry of cluster.entries) {
            await restart(cluster, entry, 3_000);
            await delay(4_000);
        }
        return [];
    }
}

class DiskWiped extends LoadScenario {
    readonly name = "disk-wiped";
    protected override readonly loadMs = 18_000;

    protected async disturb(cluster: TestCluster): Promise<readonly string[]> {
        const entry = cluster.entries[2]!;
        entry.process!.signal("SIGKILL");
        await entry.process!.ended;
        cluster.wipeDisk(entry);
        cluster.startEntry(entry);
        await awaitListening(entry);
        return [];
    }
}

class DataCentreCutOff extends LoadScenario {
    readonly name = "data-centre-cut-off";
    protected override readonly loadMs = 20_000;

    protected async disturb(cluster: TestCluster): Promise<readonly string[]> {
        const { dataCentre } = await cluster.primaryOf("orders");
        await cluster.disconnect(dataCentre);
        await delay(8_000);
        await cluster.reconnect(dataCentre);
        return [];
    }
}

/** Stands for a scenario that needs a part that does not exist yet. */
class BlockedScenario implements Scenario {
    readonly name: string;
    readonly blockedBy: string;

    constructor(name: string, blockedBy: string) {
        this.name = name;
        this.blockedBy = blockedBy;
    }

    async run(): Promise<ScenarioResult> {
        throw new Error(`scenario "${this.name}" cannot run: ${this.blockedBy}`);
    }
}

async function restart(cluster: TestCluster, entry: EntryHandle, downMs: number): Promise<void> {
    entry.process!.signal("SIGKILL");
    await entry.process!.ended;
    await delay(downMs);
    cluster.startEntry(entry);
    await awaitListening(entry);
}

export const scenarios: readonly Scenario[] = [
    new PrimaryKilled(),
    new PrimaryCutOff(),
    new EntryKilledInTransaction(),
    new HolderFrozen(),
    new InstancesKilledInTurn(),
    new DiskWiped(),
    new DataCentreCutOff(),
    new BlockedScenario("key-withdrawn", "the commands of the operators' client are not settled"),
    new BlockedScenario("racing-operators", "the commands of the operators' client are not settled"),
];
