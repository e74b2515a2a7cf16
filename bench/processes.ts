/** Overhead of the proxy in real processes: direct access to a database compared with access through an instance. */
import { setTimeout as delay } from "node:timers/promises";
import { findFreePorts, ProcessGroup, scriptCommand } from "../scripts/processGroup.ts";
import { clusterName, TestCluster } from "../scripts/testCluster.ts";
import { TestClusterFiles } from "../scripts/testClusterFiles.ts";
import {
    type CallerConnection,
    type CallerIdentity,
    type Connector,
    isConnection,
    MysqlConnector,
} from "../standins/load/connector.ts";
import { DatabaseAdmin } from "../standins/load/databaseAdmin.ts";
import { awaitReady } from "../standins/load/readiness.ts";
import { schemaStatements } from "../standins/load/schema.ts";
import { readCpuMs, readResidentBytes } from "../standins/measure/processUsage.ts";

/** Figures that could not be measured are -1. */
export interface ProcessFigures {
    readonly proxy_to_direct_throughput_ratio: number;
    readonly added_latency_p50_ms: number;
    readonly added_latency_p99_ms: number;
    readonly bytes_per_idle_connection: number;
    readonly idle_connections: number;
    /** Bytes sent and received between instances, per second and instance. */
    readonly control_bytes_per_second_per_instance: number;
    /** CPU time of an instance without callers, as a share of one core. */
    readonly control_cpu_share: number;
}

export interface ProcessBenchOptions {
    readonly statements: number;
    readonly callers: number;
    readonly idleConnections: number;
    readonly idleDurationMs: number;
    /** Time limit of one series of statements. */
    readonly maximumSeriesMs: number;
}

export const defaultProcessBenchOptions: ProcessBenchOptions = {
    statements: 4_000,
    callers: 8,
    idleConnections: 6_000,
    idleDurationMs: 5_000,
    maximumSeriesMs: 10_000,
};

const readyTimeoutMs = 20_000;
const answerTimeoutMs = 5_000;
const connectionBatchSize = 50;
const statementText = "SELECT id, value FROM registers WHERE id = 1";
const service = "orders";

interface Series {
    readonly perSecond: number;
    readonly p50Ms: number;
    readonly p99Ms: number;
}

/** Runs the whole measurement. All processes that it starts are stopped at the end. */
export async function measureProcesses(options = defaultProcessBenchOptions): Promise<ProcessFigures> {
    const direct = await measureDirect(options);
    await using cluster = await TestCluster.open();
    const identity = cluster.files.callers.keys[0]!;
    const connector = new MysqlConnector(cluster.entryAddresses, answerTimeoutMs);
    await awaitReady({ connector, entryCount: 1, services: [service], identity, timeoutMs: readyTimeoutMs });
    const idle = await measureIdle(cluster, options.idleDurationMs);
    const proxied = await measureSeries(connector, identity, options);
    const connections = await measureConnections(cluster, connector, options.idleConnections);
    return {
        proxy_to_direct_throughput_ratio: proxied.perSecond / direct.perSecond,
        added_latency_p50_ms: proxied.p50Ms - direct.p50Ms,
        added_latency_p99_ms: proxied.p99Ms - direct.p99Ms,
        ...connections,
        ...idle,
    };
}

/** Measures the same series directly against a separate database with the settings of the cluster's databases. */
async function measureDirect(options: ProcessBenchOptions): Promise<Series> {
    using files = new TestClusterFiles();
    await using group = new ProcessGroup();
    const [listenPort, adminPort] = await findFreePorts(2) as [number, number];
    const database = group.start(scriptCommand("direct", "standins/database/main.ts", {
        "database-id": "direct",
        "group-id": service,
        service,
        "data-centre": "flanders",
        listen: `127.0.0.1:${listenPort}`,
        "password-file": files.databasePasswordFile,
        cluster: clusterName,
        "cluster-secret-file": files.clusterSecretFile,
        "admin-port": adminPort,
    }));
    await database.waitForLine("ready", readyTimeoutMs);
    const admin = new DatabaseAdmin(adminPort);
    for (const statement of schemaStatements()) {
        await admin.sql(statement);
    }
    const connector = new MysqlConnector([`127.0.0.1:${listenPort}`], answerTimeoutMs);
    const identity = { keyId: "jasmineline", secret: files.databasePassword, workspace: "" };
    return await measureSeries(connector, identity, options);
}

/** Measures throughput with several callers, then latency with one, so that latency includes no wait for slots. */
async function measureSeries(
    connector: Connector,
    identity: CallerIdentity,
    options: ProcessBenchOptions,
): Promise<Series> {
    const connections = await openConnections(connector, identity, options.callers);
    try {
        const startMs = performance.now();
        const statementsPerCaller = Math.ceil(options.statements / connections.length);
        const latencies = await Promise.all(
            connections.map(connection => timeStatements(connection, statementsPerCaller, options.maximumSeriesMs)),
        );
        const perSecond = latencies.flat().length * 1_000 / (performance.now() - startMs);
        const singleCallerLatencies = await timeStatements(
            connections[0]!,
            options.statements / 4,
            options.maximumSeriesMs,
        );
        singleCallerLatencies.sort((left, right) => left - right);
        return {
            perSecond,
            p50Ms: percentile(singleCallerLatencies, 0.5),
            p99Ms: percentile(singleCallerLatencies, 0.99),
        };
    }
    finally {
        connections.forEach(connection => connection.close());
    }
}

async function timeStatements(connection: CallerConnection, count: number, limitMs: number): Promise<number[]> {
    const latencies: number[] = [];
    const endMs = performance.now() + limitMs;
    while (latencies.length < count && performance.now() < endMs) {
        const startMs = performance.now();
        const outcome = await connection.query(statementText);
        if (outcome.kind !== "done") {
            throw new Error(`a statement of the measurement was refused: ${outcome.code}`);
        }
        latencies.push(performance.now() - startMs);
    }
    return latencies;
}

function percentile(sorted: readonly number[], share: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? -1;
}

async function openConnections(
    connector: Connector,
    identity: CallerIdentity,
    count: number,
): Promise<CallerConnection[]> {
    const opened: CallerConnection[] = [];
    while (opened.length < count) {
        const batchSize = Math.min(connectionBatchSize, count - opened.length);
        const batch = await Promise.all(
            Array.from({ length: batchSize }, () => connector.connect(0, identity, service)),
        );
        opened.push(...batch.filter(isConnection));
        const refusal = batch.find(result => !isConnection(result));
        if (refusal !== undefined) {
            opened.forEach(connection => connection.close());
            throw new Error(`connection ${opened.length + 1} was refused: ${JSON.stringify(refusal)}`);
        }
    }
    return opened;
}

async function measureIdle(
    cluster: TestCluster,
    idleDurationMs: number,
): Promise<Pick<ProcessFigures, "control_bytes_per_second_per_instance" | "control_cpu_share">> {
    const pids = cluster.entries.map(entry => entry.process!.pid);
    const startMs = performance.now();
    const startBytes = cluster.relays.bytes;
    const startCpuMs = sum(pids.map(readCpuMs));
    await delay(idleDurationMs);
    const elapsedMs = performance.now() - startMs;
    const bytes = cluster.relays.bytes - startBytes;
    // Each byte is sent by one instance and received by another.
    const perInstance = 2 * bytes * 1_000 / elapsedMs / pids.length;
    return {
        control_bytes_per_second_per_instance: bytes === 0 ? -1 : perInstance,
        control_cpu_share: (sum(pids.map(readCpuMs)) - startCpuMs) / elapsedMs / pids.length,
    };
}

/** Growth of an instance's resident set per open connection; a garbage collection in between adds noise. */
async function measureConnections(
    cluster: TestCluster,
    connector: Connector,
    count: number,
): Promise<Pick<ProcessFigures, "bytes_per_idle_connection" | "idle_connections">> {
    const { pid } = cluster.entries[0]!.process!;
    const before = readResidentBytes(pid);
    const connections = await openConnections(connector, cluster.files.callers.keys[0]!, count);
    try {
        await delay(1_000);
        return {
            bytes_per_idle_connection: (readResidentBytes(pid) - before) / count,
            idle_connections: connections.length,
        };
    }
    finally {
        connections.forEach(connection => connection.close());
    }
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
