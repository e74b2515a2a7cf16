/** Real members and proxies between clients and the databases of one service, with the checker that watches both. */
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { DatabaseRole } from "../src/model/database.ts";
import { type AnswerFaultRates, AnswerFaults, noAnswerFaults } from "../standins/platform/answerFaults.ts";
import { ClientLoad, type Route, writeOnce } from "../standins/platform/clientLoad.ts";
import { Database } from "../standins/platform/database.ts";
import { DatabaseGroup } from "../standins/platform/databaseGroup.ts";
import { EventLog } from "../standins/platform/eventLog.ts";
import { OddTexts } from "../standins/platform/oddTexts.ts";
import { PromotionServer } from "../standins/platform/promotionServer.ts";
import { RuleChecker, type RuleReport } from "../standins/platform/ruleChecker.ts";
import { dataCentres, type Machine, PlatformCluster, type PlatformClusterOptions } from "./platformCluster.ts";

const service = "ledger";
const key = "clients-key";
const firstDatabases = 3;

/** Time within which the proxies know the databases. */
const settleMs = 2_000;

/** Time for which clients go on until enough statements are served. */
const playLimitMs = 20_000;

/** Time within which a write at a proxy is served when no fault is active. */
const writeLimitMs = 4_000;

/** Time for statements under way to end after the last client. */
const quietMs = 500;

const routes: readonly Route[] = [
    { database: "all", kind: { name: "primary" } },
    { database: "recent", kind: { name: "bounded", maximumAgeMs: 1_500 } },
    { database: "mine", kind: { name: "own", maximumAgeMs: 2_500 } },
];

export interface PlatformDocument {
    readonly version: number;
    readonly routes: readonly unknown[];
    readonly services: readonly unknown[];
    readonly limits: unknown;
    readonly tenants: readonly unknown[];
}

export interface StatementWorldOptions extends PlatformClusterOptions {
    readonly sessions: number;
    readonly seed: number;
    /** Share of the texts and rows that are odd, from 0 to 1; 0 by default. */
    readonly oddShare?: number;
}

export class StatementWorld implements AsyncDisposable {
    readonly cluster: PlatformCluster;
    readonly checker = new RuleChecker();
    readonly group: DatabaseGroup;
    readonly platform: PromotionServer;
    readonly faults: AnswerFaults;
    private readonly options: StatementWorldOptions;
    /** What databases send. */
    private readonly texts: OddTexts;
    private load: ClientLoad | undefined;
    private databaseCount = 0;

    private constructor(cluster: PlatformCluster, options: StatementWorldOptions) {
        this.cluster = cluster;
        this.options = options;
        const { logFolder } = options;
        const eventFile = logFolder === undefined ? undefined : join(logFolder, "databases.log");
        this.group = new DatabaseGroup(service, new EventLog(eventFile));
        this.platform = new PromotionServer(this.group, this.checker);
        this.faults = new AnswerFaults(options.seed);
        this.texts = new OddTexts({ seed: options.seed, share: options.oddShare ?? 0 });
    }

    /** Number of odd texts and rows that clients and databases have sent. */
    get oddCount(): number {
        return this.texts.count + (this.load?.oddCount ?? 0);
    }

    /** Starts the processes and the databases, and waits until statements are served. */
    static async open(options: StatementWorldOptions, document = statementDocument(1)): Promise<StatementWorld> {
        const cluster = await PlatformCluster.open(options, document);
        const world = new StatementWorld(cluster, options);
        await world.platform.listen(cluster.platformHost, cluster.ports.platform);
        for (let index = 0; index < firstDatabases; index++) {
            await world.startDatabase(index === 0 ? DatabaseRole.Primary : DatabaseRole.Replica);
        }
        await delay(settleMs);
        return world;
    }

    /**
     * Lets clients ask statements, and checks the rules on all of them.
     * @param minimumServed on a busy machine, it takes longer until so many are served, but not above `playLimitMs`
     */
    async play(durationMs: number, minimumServed: number, rates: Partial<AnswerFaultRates>): Promise<RuleReport> {
        this.startClients();
        this.faults.rates = { ...noAnswerFaults, ...rates };
        await delay(durationMs);
        for (const startMs = performance.now(); performance.now() - startMs < playLimitMs;) {
            if (this.checker.servedCount > minimumServed) {
                break;
            }
            await delay(quietMs);
        }
        this.faults.rates = noAnswerFaults;
        return this.finish();
    }

    startClients(): void {
        const { cluster, checker, options: { seed, sessions, oddShare = 0 } } = this;
        this.load = new ClientLoad({
            seed,
            oddShare,
            sessions,
            routes,
            port: cluster.ports.front,
            proxies: () => cluster.proxies.map(({ host }) => host),
            key,
            checker,
        });
    }

    /** Lets the clients end, and checks what is kept. */
    async finish(): Promise<RuleReport> {
        await this.load?.stop();
        await delay(quietMs);
        return this.checker.finish(this.group.leader!.log);
    }

    /** Writes at a proxy until it is served or a time has passed; returns `served` or the last answer. */
    async writeAt({ host }: Machine): Promise<string> {
        const client = { host, port: this.cluster.ports.front, database: routes[0]!.database, key };
        let answer = "";
        for (const startMs = performance.now(); answer !== "served" && performance.now() - startMs < writeLimitMs;) {
            answer = await writeOnce(client, routes[0]!.kind, this.checker);
        }
        return answer;
    }

    /** Starts an empty database at a new address. */
    async startDatabase(role: DatabaseRole): Promise<void> {
        const zones = Object.keys(dataCentres);
        const index = this.databaseCount;
        const database = new Database({
            id: this.nextDatabaseId(),
            host: this.cluster.databaseHost(index),
            port: this.cluster.ports.database,
            dataCentre: zones[index % zones.length]!,
            role,
            group: this.group,
            controls: () => this.cluster.controlAddresses,
            faults: this.faults,
            checker: this.checker,
            texts: this.texts,
        });
        await database.start();
    }

    /** Starts a database at the address of one that has ended: under a new id with its log, or under its id without. */
    async startSuccessor(predecessor: Database, keepsLog: boolean): Promise<void> {
        const changes = keepsLog
            ? { id: this.nextDatabaseId(), role: predecessor.role }
            : { role: DatabaseRole.Replica };
        const successor = new Database({ ...predecessor.options, ...changes }, predecessor, keepsLog);
        await successor.start();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.load?.stop();
        await this.cluster[Symbol.asyncDispose]();
        await this.platform[Symbol.asyncDispose]();
        await Promise.all(this.group.members.map(member => member.stop()));
    }

    private nextDatabaseId(): string {
        this.databaseCount += 1;
        return `i-${this.databaseCount}`;
    }
}

/** A configuration with the routes of the clients. */
export function statementDocument(version: number): PlatformDocument {
    return {
        version,
        routes: routes.map(({ database, kind }) => ({
            name: database,
            host: database,
            path_prefix: "/",
            kind: kind.name,
            timeout_ms: 1_000,
            target_latency_ms: 400,
            priority: 1,
            service,
            max_attempts: 2,
            ...kind.name === "primary" ? {} : { max_staleness_ms: kind.maximumAgeMs },
        })),
        services: [{ name: service, max_conns: 50, sync_replicas: 1 }],
        limits: { tx_idle_ms: 3_000 },
        tenants: [{ name: "clients", api_keys: [key], rate_per_s: 5_000, burst: 5_000 }],
    };
}
