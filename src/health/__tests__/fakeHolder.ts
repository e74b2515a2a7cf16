/** Stands for the holder pipe: probes databases, writes to primaries, and carries out orders while its lease is valid. */
import { type Configuration, emptyConfiguration } from "../../model/configuration.ts";
import { DatabaseRole } from "../../model/database.ts";
import { HealthKind, HolderHealthKind, type HolderOrder, type ReleaseLease } from "../../model/healthMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import type { FakeDatabase } from "./fakeDatabase.ts";
import type { FakeProcess, SimulatedCluster } from "./simulatedCluster.ts";

const probeIntervalMs = 250;
const writeIntervalMs = 40;
const orderMs = 30;

export class FakeHolder {
    /** Databases on which nothing new starts. */
    readonly releasing = new Set<string>();
    private readonly failures = new Map<string, number>();
    private readonly running = new Map<string, number>();
    private configuration: Configuration = emptyConfiguration;
    private readonly cluster: SimulatedCluster;
    private readonly process: FakeProcess;
    private nextWrite = 1;

    constructor(cluster: SimulatedCluster, process: FakeProcess) {
        this.cluster = cluster;
        this.process = process;
    }

    start(): void {
        this.repeat(probeIntervalMs, () => this.databases().forEach(database => this.probe(database)));
        this.repeat(writeIntervalMs, () => this.databases().forEach(database => this.write(database)));
    }

    useConfiguration(configuration: Configuration): void {
        this.configuration = configuration;
    }

    deliver(message: Message): void {
        if (message.kind === HolderHealthKind.Order) {
            const { orderId, databaseId, order } = message as HolderOrder;
            this.process.later(orderMs, () => {
                const database = this.cluster.database(databaseId);
                const works = this.holds(databaseId) && this.reaches(database);
                if (works) {
                    database.carryOut(order);
                }
                const failure = works ? undefined : "not reachable";
                this.process.loop.post({ kind: HolderHealthKind.OrderDone, orderId, failure } as Message);
            });
        }
        else if (message.kind === HealthKind.ReleaseLease) {
            this.release((message as ReleaseLease).databaseId);
        }
    }

    drain(): void {
        this.databases().forEach(database => this.release(database.databaseId));
    }

    private release(databaseId: string): void {
        this.releasing.add(databaseId);
        if ((this.running.get(databaseId) ?? 0) > 0) {
            this.process.later(10, () => this.release(databaseId));
            return;
        }
        this.process.loop.post({ kind: HolderHealthKind.LeaseIdle, databaseId } as Message);
    }

    private repeat(intervalMs: number, run: () => void): void {
        this.process.later(intervalMs, () => {
            run();
            this.repeat(intervalMs, run);
        });
    }

    private databases(): FakeDatabase[] {
        return this.cluster.databases.filter(database => this.holds(database.databaseId));
    }

    private holds(databaseId: string): boolean {
        const holds = this.process.validLeases().has(`database/${databaseId}`);
        if (!holds) {
            this.releasing.delete(databaseId);
        }
        return holds;
    }

    private reaches(database: FakeDatabase): boolean {
        return database.reachable && !this.process.partitioned
            || database.alive && database.partitioned && this.process.partitioned;
    }

    private probe(database: FakeDatabase): void {
        const askedAtMs = this.process.nowMs();
        this.process.later(5, () => {
            const { databaseId } = database;
            const reachable = this.reaches(database);
            const consecutiveFailures = reachable ? 0 : (this.failures.get(databaseId) ?? 0) + 1;
            this.failures.set(databaseId, consecutiveFailures);
            const health = { databaseId, reachable, consecutiveFailures, lastPosition: database.position };
            const kind = HolderHealthKind.DatabaseHealth;
            this.process.loop.post({ kind, ...health, lastPositionAtMs: askedAtMs } as Message);
        });
    }

    private write(database: FakeDatabase): void {
        const { databaseId, groupId } = database;
        const group = this.configuration.groups.find(candidate => candidate.groupId === groupId);
        const mayWrite = group?.primaryId === databaseId && !this.releasing.has(databaseId) && this.reaches(database);
        if (!mayWrite || database.role !== DatabaseRole.Primary || database.term !== group.term) {
            return;
        }
        const id = `${databaseId}/${group.term}/${this.process.instanceId}/${this.nextWrite++}`;
        database.log = [...database.log, id];
        this.running.set(databaseId, (this.running.get(databaseId) ?? 0) + 1);
        this.process.later(80, () => this.confirm(database, id, 8));
    }

    /** Acknowledges a write that is on a majority, if the lease is valid at that moment. */
    private confirm(database: FakeDatabase, id: string, triesLeft: number): void {
        const { databaseId, groupId } = database;
        const copies = this.cluster.databases.filter(other => other.groupId === groupId && other.log.includes(id));
        if (copies.length < 2 && triesLeft > 0 && this.holds(databaseId)) {
            this.process.later(20, () => this.confirm(database, id, triesLeft - 1));
            return;
        }
        this.running.set(databaseId, this.running.get(databaseId)! - 1);
        if (copies.length >= 2 && this.holds(databaseId)) {
            const writes = this.cluster.acknowledged.get(groupId) ?? [];
            writes.push({ id, atMs: this.cluster.time.nowMs });
            this.cluster.acknowledged.set(groupId, writes);
        }
    }
}
