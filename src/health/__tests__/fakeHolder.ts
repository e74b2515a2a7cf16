/** Fake of the holder pipe: probes databases, writes to primaries, and runs orders while its lease is valid. */
import { type Configuration, emptyConfiguration } from "../../model/configuration.ts";
import { DatabaseRole } from "../../model/database.ts";
import { HealthKind, HolderHealthKind, type HolderOrder, type ReleaseLease } from "../../model/healthMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import type { FakeDatabase } from "./fakeDatabase.ts";
import type { FakeProcess, SimulatedCluster } from "./simulatedCluster.ts";

const probeIntervalMs = 250;
const writeIntervalMs = 40;
const orderDelayMs = 30;

export class FakeHolder {
    /** Databases on which no new work starts. */
    readonly releasing = new Set<string>();
    private readonly failures = new Map<string, number>();
    private readonly runningWrites = new Map<string, number>();
    private configuration: Configuration = emptyConfiguration;
    private readonly cluster: SimulatedCluster;
    private readonly process: FakeProcess;
    private nextWriteId = 1;

    constructor(cluster: SimulatedCluster, process: FakeProcess) {
        this.cluster = cluster;
        this.process = process;
    }

    start(): void {
        this.runEvery(probeIntervalMs, () => this.databases().forEach(database => this.probe(database)));
        this.runEvery(writeIntervalMs, () => this.databases().forEach(database => this.write(database)));
    }

    applyConfiguration(configuration: Configuration): void {
        this.configuration = configuration;
    }

    deliver(message: Message): void {
        if (message.kind === HolderHealthKind.Order) {
            const { orderId, databaseId, order } = message as HolderOrder;
            this.process.runAfter(orderDelayMs, () => {
                const database = this.cluster.database(databaseId);
                const succeeds = this.holds(databaseId) && this.reaches(database);
                if (succeeds) {
                    database.execute(order);
                }
                const failure = succeeds ? undefined : "not reachable";
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
        if ((this.runningWrites.get(databaseId) ?? 0) > 0) {
            this.process.runAfter(10, () => this.release(databaseId));
            return;
        }
        this.process.loop.post({ kind: HolderHealthKind.LeaseIdle, databaseId } as Message);
    }

    private runEvery(intervalMs: number, run: () => void): void {
        this.process.runAfter(intervalMs, () => {
            run();
            this.runEvery(intervalMs, run);
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
        const startedAtMs = this.process.nowMs();
        this.process.runAfter(5, () => {
            const { databaseId } = database;
            const reachable = this.reaches(database);
            const consecutiveFailures = reachable ? 0 : (this.failures.get(databaseId) ?? 0) + 1;
            this.failures.set(databaseId, consecutiveFailures);
            const health = { databaseId, reachable, consecutiveFailures, lastPosition: database.position };
            const kind = HolderHealthKind.DatabaseHealth;
            this.process.loop.post({ kind, ...health, lastPositionAtMs: startedAtMs } as Message);
        });
    }

    private write(database: FakeDatabase): void {
        const { databaseId, groupId } = database;
        const group = this.configuration.groups.find(candidate => candidate.groupId === groupId);
        const mayWrite = group?.primaryId === databaseId && !this.releasing.has(databaseId) && this.reaches(database);
        if (!mayWrite || database.role !== DatabaseRole.Primary || database.term !== group.term) {
            return;
        }
        const id = `${databaseId}/${group.term}/${this.process.instanceId}/${this.nextWriteId++}`;
        database.log = [...database.log, id];
        this.runningWrites.set(databaseId, (this.runningWrites.get(databaseId) ?? 0) + 1);
        this.process.runAfter(80, () => this.confirm(database, id, 8));
    }

    /** Acknowledges a write once a majority has it, if the lease is valid at that moment. */
    private confirm(database: FakeDatabase, id: string, attemptsLeft: number): void {
        const { databaseId, groupId } = database;
        const copies = this.cluster.databases.filter(other => other.groupId === groupId && other.log.includes(id));
        if (copies.length < 2 && attemptsLeft > 0 && this.holds(databaseId)) {
            this.process.runAfter(20, () => this.confirm(database, id, attemptsLeft - 1));
            return;
        }
        this.runningWrites.set(databaseId, this.runningWrites.get(databaseId)! - 1);
        if (copies.length >= 2 && this.holds(databaseId)) {
            const writes = this.cluster.acknowledgedWrites.get(groupId) ?? [];
            writes.push({ id, atMs: this.cluster.scheduler.nowMs });
            this.cluster.acknowledgedWrites.set(groupId, writes);
        }
    }
}
