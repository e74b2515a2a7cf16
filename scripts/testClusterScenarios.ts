/** Failure scenarios of real processes under load. */
import { setTimeout as delay } from "node:timers/promises";
import { type Findings, killAndRestart, LoadScenario, noFindings, type Scenario } from "./loadScenario.ts";
import { DataCentreEvacuated, KeyWithdrawn, RacingOperators } from "./operatorScenarios.ts";
import type { TestCluster } from "./testCluster.ts";
import { awaitListening, type EntryHandle } from "./testClusterEntry.ts";
import { openTransaction, readBalance } from "./testClusterProbe.ts";

/** Time for which a killed instance stays down. */
const downtimeMs = 3_000;
const catchUpTimeoutMs = 12_000;
const catchUpIntervalMs = 200;
/** Time for the membership changes after which a member with a new incarnation votes again. */
const rejoinDelayMs = 4_000;

class PrimaryKilled extends LoadScenario {
    readonly name = "primary-killed";

    protected async injectFault(cluster: TestCluster): Promise<Findings> {
        const primary = await cluster.findPrimaryOf("orders");
        primary.process.signal("SIGKILL");
        return noFindings;
    }
}

/** The primary is partitioned from its replicas, but clients still reach it and it continues to accept writes. */
class PrimaryCutOff extends LoadScenario {
    readonly name = "primary-cut-off";

    protected async injectFault(cluster: TestCluster): Promise<Findings> {
        const primary = await cluster.findPrimaryOf("orders");
        await primary.admin.fault({ fault: "cut" });
        await delay(6_000);
        await primary.admin.fault({ fault: "restore" });
        return noFindings;
    }
}

/** The changes of an open transaction must be rolled back when its entry instance is killed. */
class EntryKilledInTransaction extends LoadScenario {
    readonly name = "entry-killed-in-transaction";

    protected async injectFault(cluster: TestCluster): Promise<Findings> {
        const entry = cluster.entries[1]!;
        const identity = cluster.files.callers.keys[0]!;
        // No other statement uses this token id, so the token must not exist afterwards.
        const connection = await openTransaction(entry.mysqlPort, identity, "tokens", -1);
        await killAndRestart(cluster, entry, 3_000);
        connection.destroy();
        const primary = await cluster.findPrimaryOf("tokens");
        const balance = await readBalance(primary.admin, -1);
        return balance === undefined ? noFindings : { violations: ["transaction_survived"], figures: {} };
    }
}

/** The holder of a primary is suspended for longer than its lease and then resumed. */
class HolderFrozen extends LoadScenario {
    readonly name = "holder-frozen";
    protected override readonly loadDurationMs = 18_000;

    protected async injectFault(cluster: TestCluster): Promise<Findings> {
        const primary = await cluster.findPrimaryOf("orders");
        const holder = cluster.entries.find(entry => entry.dataCentre === primary.dataCentre)!;
        holder.process!.signal("SIGSTOP");
        await delay(7_000);
        holder.process!.signal("SIGCONT");
        return noFindings;
    }
}

/** The control leader is killed and restarted; once it has caught up, the instance that leads then is killed. */
class ControlLeaderKilled extends LoadScenario {
    readonly name = "control-leader-killed";
    protected override readonly loadDurationMs = 32_000;

    protected async injectFault(cluster: TestCluster): Promise<Findings> {
        const firstLeader = await cluster.operator.findControlLeader();
        await killAndRestart(cluster, firstLeader, downtimeMs);
        await awaitCaughtUp(cluster, firstLeader);
        const secondLeader = await cluster.operator.findControlLeader();
        await killAndRestart(cluster, secondLeader, downtimeMs);
        return { violations: [], figures: { leader_changed: firstLeader === secondLeader ? 0 : 1 } };
    }
}

/** An instance is restarted with an empty disk; once it has caught up, another instance is killed. */
class DiskWiped extends LoadScenario {
    readonly name = "disk-wiped";
    protected override readonly loadDurationMs = 32_000;

    protected async injectFault(cluster: TestCluster): Promise<Findings> {
        const wipedEntry = cluster.entries[2]!;
        wipedEntry.process!.signal("SIGKILL");
        await wipedEntry.process!.ended;
        cluster.wipeDisk(wipedEntry);
        cluster.startEntry(wipedEntry);
        await awaitListening(wipedEntry);
        const caughtUpMs = await awaitCaughtUp(cluster, wipedEntry);
        await delay(rejoinDelayMs);
        const killedEntry = cluster.entries[1]!;
        killedEntry.process!.signal("SIGKILL");
        await killedEntry.process!.ended;
        // Two of three members are left, so a majority needs the vote of the member whose disk was wiped.
        const result = await cluster.operator.run(
            ["class", "change", "lookups", "--waiting-ms", "1100"],
            cluster.entries.filter(entry => entry !== killedEntry),
        );
        cluster.startEntry(killedEntry);
        await awaitListening(killedEntry);
        const violations = result.exitCode === 0 ? [] : [`no_majority_after_repair_${result.exitCode}`];
        return { violations, figures: { caught_up_ms: Math.round(caughtUpMs) } };
    }
}

class DataCentreCutOff extends LoadScenario {
    readonly name = "data-centre-cut-off";
    protected override readonly loadDurationMs = 20_000;

    protected async injectFault(cluster: TestCluster): Promise<Findings> {
        const { dataCentre } = await cluster.findPrimaryOf("orders");
        await cluster.disconnect(dataCentre);
        await delay(8_000);
        await cluster.reconnect(dataCentre);
        return noFindings;
    }
}

/** Waits until an instance has the same configuration version as another one; returns the time that this took. */
async function awaitCaughtUp(cluster: TestCluster, entry: EntryHandle): Promise<number> {
    const startMs = performance.now();
    const otherEntry = cluster.entries.find(each => each !== entry)!;
    while (performance.now() - startMs < catchUpTimeoutMs) {
        const versions = await Promise.all([entry, otherEntry].map(async each => {
            const { instance } = await cluster.operator.status(each);
            return instance!.configurationVersion;
        }));
        if (versions[0]! > 0 && versions[0] === versions[1]) {
            return performance.now() - startMs;
        }
        await delay(catchUpIntervalMs);
    }
    throw new Error(`${entry.id} did not catch up within ${catchUpTimeoutMs} ms`);
}

export const scenarios: readonly Scenario[] = [
    new PrimaryKilled(),
    new PrimaryCutOff(),
    new EntryKilledInTransaction(),
    new HolderFrozen(),
    new ControlLeaderKilled(),
    new DiskWiped(),
    new DataCentreCutOff(),
    new KeyWithdrawn(),
    new RacingOperators(),
    new DataCentreEvacuated(),
];
