/**
 * Control members and proxies of the users' platform as separate processes, each at a loopback address of its own. Faults
 * come from outside: signals, replaced machines, changed settings files.
 */
import { spawnSync } from "node:child_process";
import { randomInt } from "node:crypto";
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { settingsVariable } from "../src/platform/platformSettings.ts";
import { encodeMessage, MessageKind, MessageReader } from "../standins/platform/wireMessages.ts";
import { findFreePorts, type ManagedProcess, ProcessGroup } from "./processGroup.ts";

/** Interval between two attempts of an operator, and between two looks at a state that a test waits for. */
const retryIntervalMs = 100;

/** Time for which an operator waits for an answer. */
const callTimeoutMs = 1_000;

/** Time within which a caller gets an answer to its `CONNECT`. */
const connectTimeoutMs = 2_500;

/** Time within which a member joins or is removed. */
const memberChangeLimitMs = 20_000;

export const dataCentres = { "zone-a": "region-a", "zone-b": "region-a", "zone-c": "region-b" };

export interface Machine {
    readonly name: string;
    readonly host: string;
    readonly dataCentre: string;
    readonly isMember: boolean;
}

export interface PlatformClusterOptions {
    readonly members: number;
    readonly proxies: number;
    /** Region of each data centre; by default three data centres in two regions. */
    readonly regions?: Readonly<Record<string, string>>;
    /** Losses at once that the settings say must be borne; by default one machine. */
    readonly faultTolerance?: { readonly machines: number; readonly zones: number; readonly regions: number; };
    /** Folder for the output of each process; without it, the output is dropped. */
    readonly logFolder?: string;
}

export class PlatformCluster implements AsyncDisposable {
    readonly members: Machine[] = [];
    readonly proxies: Machine[] = [];
    /** Ends of processes that nobody has ordered. */
    readonly unexpectedEnds: string[] = [];
    private readonly folder = mkdtempSync(join(tmpdir(), "jasmineline-platform-"));
    private readonly group: ProcessGroup;
    private readonly regions: Readonly<Record<string, string>>;
    private readonly faultTolerance: NonNullable<PlatformClusterOptions["faultTolerance"]>;
    private readonly processes = new Map<string, ManagedProcess>();
    private readonly orderedEnds = new Set<ManagedProcess>();
    private readonly network = `127.${randomInt(20, 120)}.${randomInt(1, 250)}`;
    private readonly databaseNetwork = `127.${randomInt(120, 220)}.${randomInt(1, 250)}`;
    /** All machines use the same ports, as on the users' platform. */
    readonly ports: {
        readonly front: number;
        readonly ready: number;
        readonly control: number;
        readonly rpc: number;
        readonly database: number;
        readonly platform: number;
    };
    private nextHost = 11;
    private leaderName = "";
    // Also runs on exit, because an interrupted script exits without disposal.
    private readonly removeFolder = () => rmSync(this.folder, { recursive: true, force: true });

    private constructor(options: PlatformClusterOptions, ports: readonly number[]) {
        const { members, proxies, logFolder } = options;
        this.regions = options.regions ?? dataCentres;
        this.faultTolerance = options.faultTolerance ?? { machines: 1, zones: 0, regions: 0 };
        process.on("exit", this.removeFolder);
        this.group = new ProcessGroup(logFolder);
        const [front, ready, control, rpc, database, platform] = ports;
        this.ports = {
            front: front!,
            ready: ready!,
            control: control!,
            rpc: rpc!,
            database: database!,
            platform: platform!,
        };
        const program = spawnSync(
            process.execPath,
            ["--import", "tsx", "scripts/buildPlatform.ts", this.programFolder],
            { stdio: ["ignore", "ignore", "inherit"] },
        );
        if (program.status !== 0) {
            throw new Error(`the build of the programs failed with ${program.status ?? program.signal}`);
        }
        Array.from({ length: members }, () => this.addMachine(true));
        Array.from({ length: proxies }, () => this.addMachine(false));
    }

    /** Starts the machines, and waits until the members have acknowledged version 1 of the configuration. */
    static async open(options: PlatformClusterOptions, document: unknown): Promise<PlatformCluster> {
        const cluster = new PlatformCluster(options, await findFreePorts(6));
        [...cluster.members, ...cluster.proxies].forEach(machine => cluster.start(machine, { isFirstStart: true }));
        await cluster.putConfiguration(document);
        return cluster;
    }

    /**
     * Adds a machine, which does not run yet.
     * @param host an address that was used before; by default a new one
     */
    addMachine(isMember: boolean, host = `${this.network}.${this.nextHost}`): Machine {
        const number = this.nextHost - 10;
        const zones = Object.keys(this.regions);
        const list = isMember ? this.members : this.proxies;
        const machine: Machine = {
            name: `${isMember ? "core" : "front"}-${number}`,
            host,
            dataCentre: zones[list.length % zones.length]!,
            isMember,
        };
        this.nextHost += 1;
        list.push(machine);
        return machine;
    }

    /** `host:port` of the present members for operators and databases. */
    get controlAddresses(): readonly string[] {
        return this.members.map(({ host }) => `${host}:${this.ports.control}`);
    }

    /** The member that has become the leader last; it may be gone. */
    get leader(): Machine | undefined {
        return this.members.find(({ name }) => name === this.leaderName);
    }

    /** Address at which the members call the platform. */
    get platformHost(): string {
        return `${this.network}.2`;
    }

    /** Address of a database; `index` counts from 0. */
    databaseHost(index: number): string {
        return `${this.databaseNetwork}.${1 + index}`;
    }

    /** @param options.seeds members that the settings name; by default the present ones */
    start(
        machine: Machine,
        options: { readonly isFirstStart?: boolean; readonly seeds?: readonly Machine[]; } = {},
    ): void {
        this.writeSettings(machine, options.seeds ?? this.members, options.isFirstStart ?? false);
        const started = this.group.start({
            name: machine.name,
            program: process.execPath,
            commandArguments: ["--max-old-space-size=156", join(this.programFolder, "jasmineline.cjs")],
            environment: { [settingsVariable]: this.settingsFile(machine) },
        });
        this.processes.set(machine.name, started);
        started.onLine(line => {
            if (line.includes("\"event\":\"control.leader_changed\"") && line.includes("\"leading\":true")) {
                this.leaderName = machine.name;
            }
        });
        void started.ended.then(reason => {
            const endedBeforeProgramRan = reason === "SIGHUP" && !started.hasWrittenOutput;
            if (!this.orderedEnds.has(started) && !endedBeforeProgramRan) {
                this.unexpectedEnds.push(`${machine.name}: ${reason}`);
            }
        });
    }

    /** Writes the settings file of a machine; a running process gets no signal. */
    writeSettings(machine: Machine, seeds: readonly Machine[], isFirstStart = false): void {
        const { name, host, dataCentre, isMember } = machine;
        const { front, ready, control, rpc } = this.ports;
        const dataFolder = join(this.folder, name);
        if (isMember) {
            mkdirSync(dataFolder, { recursive: true });
        }
        const settings = {
            node: name,
            serves: [isMember ? "control" : "front"],
            ip: host,
            zone: dataCentre,
            region: this.regions[dataCentre],
            zones: this.regions,
            listen: isMember
                ? { control: `${host}:${control}` }
                : { front: `${host}:${front}`, ready: `${host}:${ready}` },
            port_range: [rpc, rpc],
            seeds: seeds.slice(-3).map(seed => `${seed.host}:${control}`),
            bootstrap: isFirstStart,
            ...isMember ? { data_dir: dataFolder } : {},
            heartbeat_interval_ms: 1_200,
            fault_tolerance: this.faultTolerance,
            bounds: { grace_s: 6, quota_window_s: 5, quota_tolerance: 0.1, quota_slack: 20 },
            cloud_api: { address: `${this.platformHost}:${this.ports.platform}` },
        };
        writeFileSync(this.settingsFile(machine), JSON.stringify(settings));
    }

    signal({ name }: Machine, signal: NodeJS.Signals): void {
        const target = this.processes.get(name)!;
        if (signal === "SIGKILL" || signal === "SIGTERM") {
            this.orderedEnds.add(target);
        }
        target.signal(signal);
    }

    /** Stops a process with SIGTERM and waits for its end; one that fails on the way has ended by itself. */
    async stop(machine: Machine): Promise<void> {
        const stopped = this.processes.get(machine.name)!;
        const { hasWrittenOutput } = stopped;
        this.signal(machine, "SIGTERM");
        const reason = await stopped.ended;
        const endedBeforeProgramRan = reason === "SIGTERM" && !hasWrittenOutput;
        if (reason !== 0 && reason !== "SIGKILL" && !endedBeforeProgramRan) {
            this.unexpectedEnds.push(`${machine.name}: ${reason} after SIGTERM`);
        }
    }

    /** Removes the data of a member that does not run. */
    eraseDisk({ name }: Machine): void {
        rmSync(join(this.folder, name), { recursive: true, force: true });
    }

    isRunning({ name }: Machine): boolean {
        return this.processes.get(name)?.isRunning ?? false;
    }

    /** Identifies the present process of a machine. */
    processOf({ name }: Machine): string {
        return `${name}/${this.processes.get(name)!.pid}`;
    }

    /** Kills a process and waits for its end. */
    async kill(machine: Machine): Promise<void> {
        this.signal(machine, "SIGKILL");
        await this.processes.get(machine.name)!.ended;
    }

    /**
     * Adds an empty member at another address, removes the old one for good once the new one belongs to the cluster, and
     * waits until the others have removed it from their list too.
     * @param remove ends or silences the old process
     */
    async replaceMember(old: Machine, remove: (machine: Machine) => Promise<void> | void): Promise<Machine> {
        const next = this.addMachine(true);
        this.members.splice(this.members.indexOf(old), 1);
        this.start(next);
        await this.waitForMembers(next, members => members.includes(next.host));
        await remove(old);
        await this.waitForMembers(next, members => !members.includes(old.host));
        return next;
    }

    /** Waits until a member reports a list of members that meets the condition. */
    private async waitForMembers(member: Machine, condition: (hosts: readonly string[]) => boolean): Promise<void> {
        await this.processes.get(member.name)!.waitForLine(line => {
            const list = /"event":"control\.members_agreed".*"members":"([^"]+)"/.exec(line)?.[1];
            return list !== undefined && condition(list.split(",").map(address => address.split(":")[0]!));
        }, memberChangeLimitMs);
    }

    /**
     * Sends a configuration to one member after the other until it is acknowledged.
     * @throws Error if no member acknowledges it within 15 s
     */
    async putConfiguration(document: unknown): Promise<void> {
        const body = JSON.stringify(document);
        const statuses: string[] = [];
        for (const startMs = performance.now(); performance.now() - startMs < 15_000;) {
            for (const { host } of [...this.members]) {
                const status = await this.postAt(host, "/-/Config.Put", body);
                if (status === 200) {
                    return;
                }
                statuses.push(`${host}: ${status}`);
            }
            await delay(retryIntervalMs);
        }
        throw new Error(`the configuration was not acknowledged: ${statuses.slice(-6).join(", ")}`);
    }

    /**
     * Sends an evacuation order to one member after the other until one acknowledges it, or refuses it for good.
     * @returns the HTTP status of the answer
     * @throws Error if there is none within 15 s
     */
    async orderEvacuation(action: "Begin" | "End", dataCentre: string): Promise<number> {
        const path = `/-/Evacuations.${action}/${encodeURIComponent(dataCentre)}`;
        for (const startMs = performance.now(); performance.now() - startMs < 15_000;) {
            for (const { host } of [...this.members]) {
                const status = await this.postAt(host, path, "");
                if (status >= 200 && status < 500) {
                    return status;
                }
            }
            await delay(retryIntervalMs);
        }
        throw new Error(`${action} of the evacuation of ${dataCentre} was not acknowledged`);
    }

    /**
     * Reads the version of the configuration from one member after the other until one answers.
     * @returns undefined if none does within 15 s
     */
    async readVersion(): Promise<number | undefined> {
        for (const startMs = performance.now(); performance.now() - startMs < 15_000;) {
            for (const { host } of [...this.members]) {
                const body = await this.getAt(host);
                if (body !== undefined) {
                    return (JSON.parse(body) as { readonly version: number; }).version;
                }
            }
            await delay(retryIntervalMs);
        }
        return undefined;
    }

    /**
     * Opens a session at a proxy.
     * @returns READY, the code of an error, or why there is no answer
     */
    async connect(proxy: Machine, database: string, key: string): Promise<string> {
        const socket = connect({ host: proxy.host, port: this.ports.front, timeout: connectTimeoutMs });
        const reader = new MessageReader();
        const answer = new Promise<string>((resolve, reject) => {
            socket.on("data", (data: Buffer) => {
                try {
                    for (const { kind, fields: [code] } of reader.read(data)) {
                        resolve(kind === MessageKind.Error ? code! : kind);
                    }
                }
                catch (error) {
                    reject(error as Error);
                }
            });
            socket.on("error", ({ message }) => resolve(message));
            socket.on("timeout", () => resolve("no answer"));
            socket.on("close", () => resolve("closed"));
        });
        socket.write(encodeMessage(MessageKind.Connect, database, key));
        try {
            return await answer;
        }
        finally {
            socket.destroy();
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.processes.forEach(running => {
            this.orderedEnds.add(running);
            running.signal("SIGKILL");
        });
        await this.group[Symbol.asyncDispose]();
        this.removeFolder();
        process.off("exit", this.removeFolder);
    }

    private get programFolder(): string {
        return join(this.folder, "program");
    }

    private settingsFile({ name }: Machine): string {
        return join(this.folder, `${name}.json`);
    }

    private async getAt(host: string): Promise<string | undefined> {
        try {
            const signal = AbortSignal.timeout(callTimeoutMs);
            const response = await fetch(`http://${host}:${this.ports.control}/-/Config.Get`, { signal });
            const body = await response.text();
            return response.status === 200 ? body : undefined;
        }
        catch {
            // Not listening yet, or silent; the caller goes on to the next member.
            return undefined;
        }
    }

    private async postAt(host: string, path: string, body: string): Promise<number> {
        try {
            const response = await fetch(`http://${host}:${this.ports.control}${path}`, {
                method: "POST",
                body,
                signal: AbortSignal.timeout(callTimeoutMs),
            });
            await response.arrayBuffer();
            return response.status;
        }
        catch {
            // Not listening yet, or silent; the caller goes on to the next member.
            return 0;
        }
    }
}

/** A configuration with one route and one key for each version up to this one. */
export function documentWithKeys(version: number): unknown {
    return {
        version,
        routes: [{ name: "orders", host: "orders", kind: "primary", timeout_ms: 1_000, service: "ledger" }],
        services: [{ name: "ledger" }],
        tenants: [{
            name: "tenant",
            api_keys: Array.from({ length: version }, (_, index) => `key${index + 1}`),
            rate_per_s: 100,
            burst: 100,
        }],
    };
}
