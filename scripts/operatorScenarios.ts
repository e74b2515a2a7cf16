/** Scenarios in which operators make changes under load. */
import { setTimeout as delay } from "node:timers/promises";
import type { ChangeResponse, ShowResponse } from "../src/rpc/generated/operator.ts";
import {
    type CallerConnection,
    type CallerIdentity,
    isConnection,
    MysqlConnector,
} from "../standins/load/connector.ts";
import { type Findings, LoadScenario } from "./loadScenario.ts";
import { services, type TestCluster } from "./testCluster.ts";

/** Key validity in a test cluster; a withdrawn key must not be accepted for longer than this. */
const keyValidityMs = 10_000;
/** Longer than the validity, so that a key that is accepted too long is detected. */
const observationMs = keyValidityMs + 3_000;
/** Time within which the primaries leave an evacuated data centre; two planned changes of one group are 10 s apart. */
const primariesMoveMs = 8_000;
const probeIntervalMs = 100;
const probeTimeoutMs = 2_000;
const probeSql = "SELECT value FROM registers WHERE id = 0";

/** A withdrawn key must stop working on new connections and on open ones, idle or inside a transaction. */
export class KeyWithdrawn extends LoadScenario {
    readonly name = "key-withdrawn";
    protected override readonly loadDurationMs = 25_000;

    protected async injectFault(cluster: TestCluster): Promise<Findings> {
        const { operator } = cluster;
        const workspace = cluster.files.callers.workspaces[0]!.name;
        const keyId = "withdrawn-key";
        const { secret } = await operator.runAndParse<{ secret: string; }>(["key", "issue", workspace, "--id", keyId]);
        const identity = { keyId, secret, workspace };
        const probes = cluster.entries.map((_entry, index) => new KeyProbe(cluster, identity, index));
        try {
            const keysAccepted = await Promise.all(probes.map(probe => probe.open()));
            await operator.runAndParse(["key", "withdraw", keyId]);
            const withdrawnAtMs = performance.now();
            const servedMs = await Promise.all(probes.map(probe => probe.measureLastServedMs(withdrawnAtMs)));
            const maximumServedMs = Math.round(Math.max(...servedMs));
            return {
                violations: [
                    ...keysAccepted.every(each => each) ? [] : ["key_not_usable_before"],
                    ...maximumServedMs > keyValidityMs ? ["withdrawn_key_served"] : [],
                ],
                figures: { key_served_ms: maximumServedMs },
            };
        }
        finally {
            probes.forEach(probe => probe.close());
        }
    }
}

/** Uses one key through one instance: on an idle connection, inside a transaction, and on new connections. */
class KeyProbe {
    private readonly connector: MysqlConnector;
    private readonly identity: CallerIdentity;
    private readonly entryIndex: number;
    private readonly openConnections: CallerConnection[] = [];

    constructor(cluster: TestCluster, identity: CallerIdentity, entryIndex: number) {
        this.connector = new MysqlConnector(cluster.entryAddresses, probeTimeoutMs);
        this.identity = identity;
        this.entryIndex = entryIndex;
    }

    /** Opens the connections once the instance accepts the key; returns false if it does not accept the key in time. */
    async open(): Promise<boolean> {
        const endMs = performance.now() + keyValidityMs;
        while (performance.now() < endMs) {
            const idle = await this.connect();
            const inTransaction = await this.connect();
            if (idle !== undefined && inTransaction !== undefined) {
                const served = await succeeds(idle, probeSql);
                if (served && await succeeds(inTransaction, "BEGIN") && await succeeds(inTransaction, probeSql)) {
                    this.openConnections.push(idle, inTransaction);
                    return true;
                }
            }
            idle?.close();
            inTransaction?.close();
            await delay(probeIntervalMs);
        }
        return false;
    }

    /** Time from the withdrawal to the sending of the last statement that was served; 0 if none was served. */
    async measureLastServedMs(withdrawnAtMs: number): Promise<number> {
        let lastServedMs = 0;
        while (performance.now() < withdrawnAtMs + observationMs) {
            const sentMs = performance.now() - withdrawnAtMs;
            if (await this.isAnyServed()) {
                lastServedMs = sentMs;
            }
            await delay(probeIntervalMs);
        }
        return lastServedMs;
    }

    close(): void {
        this.openConnections.forEach(connection => connection.close());
    }

    private async isAnyServed(): Promise<boolean> {
        const newConnection = await this.connect();
        const connections = newConnection === undefined
            ? this.openConnections
            : [...this.openConnections, newConnection];
        const served = await Promise.all(connections.map(connection => succeeds(connection, probeSql)));
        newConnection?.close();
        return served.includes(true);
    }

    private async connect(): Promise<CallerConnection | undefined> {
        const connection = await this.connector.connect(this.entryIndex, this.identity, services[0]);
        return isConnection(connection) ? connection : undefined;
    }
}

async function succeeds(connection: CallerConnection, sql: string): Promise<boolean> {
    return (await connection.query(sql)).kind === "done";
}

/**
 * Two operators change the same version of an object concurrently. Exactly one change must be applied, and a resend of
 * that change must return the first response without applying the change again.
 */
export class RacingOperators extends LoadScenario {
    readonly name = "racing-operators";

    protected async injectFault(cluster: TestCluster): Promise<Findings> {
        const { operator } = cluster;
        const version = await operator.readClassVersion("lookups");
        const changeClass = (operationId: string, waitingMs: number) =>
            operator.run([
                ...["class", "change", "lookups", "--waiting-ms", String(waitingMs)],
                ...["--expected-version", String(version), "--operation-id", operationId],
            ]);
        const results = await Promise.all([changeClass("race-a", 1_100), changeClass("race-b", 1_200)]);
        const codes = results.map(result => result.exitCode).sort();
        if (codes.join() !== "0,3") {
            return { violations: [`exit_codes_${codes.join("_")}`], figures: {} };
        }
        const winnerIndex = results[0]!.exitCode === 0 ? 0 : 1;
        const resendResult = await (winnerIndex === 0 ? changeClass("race-a", 1_100) : changeClass("race-b", 1_200));
        const firstResponse = JSON.parse(results[winnerIndex]!.lastLine) as ChangeResponse;
        const resendResponse = resendResult.exitCode === 0
            ? JSON.parse(resendResult.lastLine) as ChangeResponse
            : undefined;
        const isSameResponse = resendResponse?.version === firstResponse.version
            && resendResponse.configurationVersion === firstResponse.configurationVersion;
        const isUnchanged = await operator.readClassVersion("lookups") === firstResponse.version;
        return {
            violations: [
                ...isSameResponse ? [] : ["resend_got_another_answer"],
                ...isUnchanged ? [] : ["resend_applied_again"],
            ],
            figures: { version_before: version, version_after: firstResponse.version },
        };
    }
}

/** The databases of a data centre get no more work, and its primaries move; after the end it is as before. */
export class DataCentreEvacuated extends LoadScenario {
    readonly name = "data-centre-evacuated";
    protected override readonly loadDurationMs = 25_000;

    protected async injectFault(cluster: TestCluster): Promise<Findings> {
        const { operator } = cluster;
        const { dataCentre } = await cluster.findPrimaryOf("orders");
        const first = await operator.run(["evacuation", "begin", dataCentre]);
        const again = await operator.run(["evacuation", "begin", dataCentre]);
        const unknown = await operator.run(["evacuation", "begin", "nowhere"]);
        const { evacuations } = await operator.runAndParse<ShowResponse>(["evacuation", "show"]);
        await delay(primariesMoveMs);
        const primaries = await Promise.all(services.map(service => cluster.findPrimaryOf(service)));
        const end = await operator.run(["evacuation", "end", dataCentre]);
        const shownAfter = await operator.runAndParse<ShowResponse>(["evacuation", "show"]);
        const isListed = evacuations.length === 1 && evacuations[0]!.body!.dataCentre === dataCentre
            && evacuations[0]!.body!.orderedBy !== "";
        return {
            violations: [
                ...[first, again, end].every(({ exitCode }) => exitCode === 0) ? [] : ["order_not_acknowledged"],
                ...unknown.exitCode === 0 ? ["unknown_data_centre_accepted"] : [],
                ...isListed && shownAfter.evacuations.length === 0 ? [] : ["evacuation_not_shown"],
                ...primaries.some(primary => primary.dataCentre === dataCentre) ? ["primary_stayed"] : [],
            ],
            figures: {},
        };
    }
}
