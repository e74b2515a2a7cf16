/** Real members and proxies between clients and the databases of one service, with the checker that watches both. */
import { setTimeout as delay } from "node:timers/promises";
import { DatabaseRole } from "../src/model/database.ts";
import { type AnswerFaultRates, AnswerFaults, noAnswerFaults } from "../standins/platform/answerFaults.ts";
import { ClientLoad, type Route } from "../standins/platform/clientLoad.ts";
import { Database } from "../standins/platform/database.ts";
import { DatabaseGroup } from "../standins/platform/databaseGroup.ts";
import { RuleChecker, type RuleReport } from "../standins/platform/ruleChecker.ts";
import { dataCentres, PlatformCluster, type PlatformClusterOptions } from "./platformCluster.ts";

const service = "ledger";
const key = "key1";
const databaseCount = 3;

/** Time within which the proxies know the databases. */
const settleMs = 2_000;

/** Time for statements under way to end after the last client. */
const quietMs = 500;

const routes: readonly Route[] = [
    { database: "all", kind: { name: "primary" } },
    { database: "recent", kind: { name: "bounded", maximumAgeMs: 1_500 } },
    { database: "mine", kind: { name: "own", maximumAgeMs: 2_500 } },
];

export interface StatementWorldOptions extends PlatformClusterOptions {
    readonly sessions: number;
    readonly seed: number;
}

export class StatementWorld implements AsyncDisposable {
    readonly cluster: PlatformCluster;
    readonly checker = new RuleChecker();
    readonly group = new DatabaseGroup(service);
    readonly faults: AnswerFaults;
    private readonly options: StatementWorldOptions;
    private load: ClientLoad | undefined;

    private constructor(cluster: PlatformCluster, options: StatementWorldOptions) {
        this.cluster = cluster;
        this.options = options;
        this.faults = new AnswerFaults(options.seed);
    }

    /** Starts the processes and the databases, and waits until statements are served. */
    static async open(options: StatementWorldOptions): Promise<StatementWorld> {
        const cluster = await PlatformCluster.open(options, documentWithRoutes());
        const world = new StatementWorld(cluster, options);
        await world.startDatabases();
        await delay(settleMs);
        return world;
    }

    /** Lets clients ask statements for a time, and checks the rules on all of them. */
    async play(durationMs: number, rates: Partial<AnswerFaultRates>): Promise<RuleReport> {
        this.startClients();
        this.faults.rates = { ...noAnswerFaults, ...rates };
        await delay(durationMs);
        this.faults.rates = noAnswerFaults;
        return this.finish();
    }

    startClients(): void {
        const { cluster, checker, options: { seed, sessions } } = this;
        this.load = new ClientLoad({
            seed,
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
        return this.checker.finish(this.group.lastLeader!.log);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.load?.stop();
        await this.cluster[Symbol.asyncDispose]();
        await Promise.all(this.group.members.map(member => member.stop()));
    }

    private async startDatabases(): Promise<void> {
        const zones = Object.keys(dataCentres);
        for (let index = 0; index < databaseCount; index++) {
            const database = new Database({
                id: `i-${index + 1}`,
                host: this.cluster.databaseHost(index),
                port: this.cluster.ports.database,
                dataCentre: zones[index % zones.length]!,
                role: index === 0 ? DatabaseRole.Primary : DatabaseRole.Replica,
                group: this.group,
                controls: () => this.cluster.controlAddresses,
                faults: this.faults,
                checker: this.checker,
            });
            await database.start();
        }
    }
}

function documentWithRoutes(): unknown {
    return {
        version: 1,
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
        tenants: [{ name: "tenant", api_keys: [key], rate_per_s: 5_000, burst: 5_000 }],
    };
}
