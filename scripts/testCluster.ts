/** A complete system of real processes: databases, entry instances and a load generator. */
import "disposablestack/auto";
import { mkdirSync, rmSync } from "node:fs";
import { DatabaseAdmin, findPrimary } from "../standins/load/databaseAdmin.ts";
import { schemaStatements } from "../standins/load/schema.ts";
import type { LoadSummary } from "../standins/load/summary.ts";
import { RelayMatrix } from "../standins/relay/relayMatrix.ts";
import { findFreePorts, type ManagedProcess, ProcessGroup, scriptCommand, toFlags } from "./processGroup.ts";
import { awaitListening, type EntryHandle, requireEntryProgram } from "./testClusterEntry.ts";
import { TestClusterFiles } from "./testClusterFiles.ts";
import { TestClusterOperator } from "./testClusterOperator.ts";

export const clusterName = "demo";
export const dataCentres = ["flanders", "wallonia", "brussels"] as const;
export const services = ["orders", "tokens"] as const;

const startTimeoutMs = 12_000;
const databasesPerService = dataCentres.length;

export interface DatabaseHandle {
    readonly id: string;
    readonly service: string;
    readonly dataCentre: string;
    readonly address: string;
    readonly admin: DatabaseAdmin;
    process: ManagedProcess;
}

export interface LoadHandle {
    readonly process: ManagedProcess;
    /** Resolves when the load generator has found the system ready and starts to send statements. */
    readonly waitForStart: () => Promise<void>;
    /** Resolves to the figures, or rejects with an error that has the last output. */
    readonly waitForResult: () => Promise<LoadSummary>;
}

export class TestCluster implements AsyncDisposable {
    readonly files: TestClusterFiles;
    readonly databases: DatabaseHandle[] = [];
    readonly entries: readonly EntryHandle[];
    readonly operator: TestClusterOperator;
    /** Relays on the connections between instances of different data centres. */
    readonly relays: RelayMatrix;
    private readonly announcementRelays: RelayMatrix;
    private readonly group: ProcessGroup;
    private readonly resources: AsyncDisposableStack;

    private constructor(parts: {
        readonly files: TestClusterFiles;
        readonly entries: readonly EntryHandle[];
        readonly relays: RelayMatrix;
        readonly announcementRelays: RelayMatrix;
        readonly group: ProcessGroup;
        readonly resources: AsyncDisposableStack;
    }) {
        this.files = parts.files;
        this.entries = parts.entries;
        this.relays = parts.relays;
        this.announcementRelays = parts.announcementRelays;
        this.group = parts.group;
        this.resources = parts.resources;
        this.operator = new TestClusterOperator({
            group: parts.group,
            entries: parts.entries,
            clusterName,
            clusterSecretFile: parts.files.clusterSecretFile,
        });
    }

    /**
     * Starts one entry instance per data centre, and one database per data centre and service.
     * @param logFolder folder for the output of each process; without it, the output is not written to files
     */
    static async open(logFolder?: string): Promise<TestCluster> {
        // Checked before anything is started, so that a missing build is reported immediately.
        requireEntryProgram();
        const resources = new AsyncDisposableStack();
        try {
            const files = resources.use(new TestClusterFiles());
            const entries = await createEntryHandles();
            const relays = resources.use(await RelayMatrix.open(dataCentres, entries));
            const announcementRelays = resources.use(await RelayMatrix.open(dataCentres, entries));
            const group = resources.use(new ProcessGroup(logFolder));
            const cluster = new TestCluster({ files, entries, relays, announcementRelays, group, resources });
            await cluster.startDatabases();
            entries.forEach(entry => cluster.startEntry(entry));
            await Promise.all(entries.map(entry => awaitListening(entry)));
            return cluster;
        }
        catch (error) {
            await resources.disposeAsync();
            throw error;
        }
    }

    get entryAddresses(): readonly string[] {
        return this.entries.map(entry => `127.0.0.1:${entry.mysqlPort}`);
    }

    /** Finds the current primary of a service. */
    async findPrimaryOf(service: string): Promise<DatabaseHandle> {
        const members = this.databases.filter(database => database.service === service);
        const admin = await findPrimary(members.map(database => database.admin), service);
        return members.find(database => database.admin === admin)!;
    }

    startEntry(entry: EntryHandle): void {
        const folder = this.files.dataFolder(entry.id);
        mkdirSync(folder, { recursive: true });
        const flags = {
            "instance-id": entry.id,
            "data-centre": entry.dataCentre,
            "mysql-listen": `127.0.0.1:${entry.mysqlPort}`,
            "rpc-listen": `127.0.0.1:${entry.rpcPort}`,
            "cluster-name": clusterName,
            "cluster-secret-file": this.files.clusterSecretFile,
            "database-password-file": this.files.databasePasswordFile,
            "control-members": this.entries.map(({ id, rpcPort }) => `${id}=127.0.0.1:${rpcPort}`).join(","),
            "peer-addresses": this.peerAddressesFrom(entry.dataCentre),
            "data-folder": folder,
            "initial-configuration": this.files.initialConfigurationFile,
            "log-format": "json",
        };
        const { program, commandArguments } = requireEntryProgram();
        entry.process = this.group.start({
            name: entry.id,
            program,
            commandArguments: [...commandArguments, "entry", ...toFlags(flags)],
        });
    }

    /** Removes the data folder of an instance that is not running. */
    wipeDisk(entry: EntryHandle): void {
        rmSync(this.files.dataFolder(entry.id), { recursive: true, force: true });
    }

    startLoad(options: { readonly seed: number; readonly durationMs: number; }): LoadHandle {
        const load = this.group.start(scriptCommand("load", "standins/load/main.ts", {
            entries: this.entryAddresses.join(","),
            services: services.join(","),
            "callers-file": this.files.callersFile,
            "duration-ms": options.durationMs,
            seed: options.seed,
            "admin-ports": this.databases.map(database => database.admin.port).join(","),
        }));
        return {
            process: load,
            waitForStart: async () => {
                await load.waitForLine("load_started", startTimeoutMs);
            },
            waitForResult: async () => readSummary(load, await load.ended),
        };
    }

    /** Partitions a data centre: cuts the connections of its instances and the replication of its databases. */
    async disconnect(dataCentre: string): Promise<void> {
        this.relays.disconnect(dataCentre);
        this.announcementRelays.disconnect(dataCentre);
        await this.injectDatabaseFault(dataCentre, { fault: "cut", announcements: false });
    }

    async reconnect(dataCentre: string): Promise<void> {
        this.relays.reconnect(dataCentre);
        this.announcementRelays.reconnect(dataCentre);
        await this.injectDatabaseFault(dataCentre, { fault: "restore" });
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.resources.disposeAsync();
    }

    private async injectDatabaseFault(
        dataCentre: string,
        request: Parameters<DatabaseAdmin["fault"]>[0],
    ): Promise<void> {
        const members = this.databases.filter(database => database.dataCentre === dataCentre);
        await Promise.all(members.map(database => database.admin.fault(request)));
    }

    /** Address translation that routes all traffic to instances of other data centres through the relays. */
    private peerAddressesFrom(dataCentre: string): string {
        return this.entries
            .filter(entry => entry.dataCentre !== dataCentre)
            .map(entry => {
                const relayPort = this.relays.portFor(dataCentre, entry.dataCentre, entry.rpcPort);
                return `127.0.0.1:${entry.rpcPort}=127.0.0.1:${relayPort}`;
            })
            .join(",");
    }

    private async startDatabases(): Promise<void> {
        const ports = [...await findFreePorts(2 * services.length * databasesPerService)];
        for (const [serviceIndex, service] of services.entries()) {
            const listenPorts = ports.splice(0, databasesPerService);
            for (const [index, dataCentre] of dataCentres.entries()) {
                // The initial primaries of the services are in different data centres.
                const primaryIndex = serviceIndex % databasesPerService;
                this.databases.push(this.startDatabase({
                    service,
                    dataCentre,
                    index,
                    listenPort: listenPorts[index]!,
                    primaryPort: listenPorts[primaryIndex]!,
                    adminPort: ports.shift()!,
                }));
            }
        }
        await Promise.all(this.databases.map(database => database.process.waitForLine("ready", startTimeoutMs)));
        for (const service of services) {
            const primary = await this.findPrimaryOf(service);
            for (const statement of schemaStatements()) {
                await primary.admin.sql(statement);
            }
        }
    }

    private startDatabase(options: {
        readonly service: string;
        readonly dataCentre: string;
        readonly index: number;
        readonly listenPort: number;
        readonly primaryPort: number;
        readonly adminPort: number;
    }): DatabaseHandle {
        const id = `${options.service}-${options.index + 1}`;
        const address = `127.0.0.1:${options.listenPort}`;
        const announce = this.entries.map(entry =>
            `127.0.0.1:${this.announcementRelays.portFor(options.dataCentre, entry.dataCentre, entry.rpcPort)}`
        );
        const command = scriptCommand(id, "standins/database/main.ts", {
            "database-id": id,
            "group-id": options.service,
            service: options.service,
            "data-centre": options.dataCentre,
            listen: address,
            announce: announce.join(","),
            "group-size": databasesPerService,
            role: options.listenPort === options.primaryPort ? "primary" : "replica",
            primary: `127.0.0.1:${options.primaryPort}`,
            cluster: clusterName,
            "cluster-secret-file": this.files.clusterSecretFile,
            "password-file": this.files.databasePasswordFile,
            "admin-port": options.adminPort,
        });
        const admin = new DatabaseAdmin(options.adminPort);
        const { service, dataCentre } = options;
        return { id, service, dataCentre, address, admin, process: this.group.start(command) };
    }
}

async function createEntryHandles(): Promise<readonly EntryHandle[]> {
    const ports = await findFreePorts(2 * dataCentres.length);
    return dataCentres.map((dataCentre, index) => ({
        id: `e${index + 1}`,
        dataCentre,
        mysqlPort: ports[2 * index]!,
        rpcPort: ports[2 * index + 1]!,
        process: undefined,
    }));
}

function readSummary(load: ManagedProcess, reason: number | string): LoadSummary {
    const last = load.recentLines.at(-1) ?? "";
    if (!last.startsWith("{") || !last.includes("acknowledged")) {
        throw new Error(`the load ended without figures (${reason}):\n${load.recentLines.join("\n")}`);
    }
    return JSON.parse(last) as LoadSummary;
}
