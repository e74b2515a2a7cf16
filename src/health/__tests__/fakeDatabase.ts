/** A database with a log, which replicates from the primary that it was told to follow. */
import { ClusterKind } from "../../model/clusterMessages.ts";
import { type DatabaseAnnouncement, DatabaseRole } from "../../model/database.ts";
import { type Order, OrderKind } from "../../model/healthMessages.ts";
import type { Position } from "../../model/position.ts";
import type { SimulatedCluster } from "./simulatedCluster.ts";

export class FakeDatabase {
    readonly groupId: string;
    readonly databaseId: string;
    readonly dataCentre: string;
    alive = true;
    partitioned = false;
    departing = false;
    role: DatabaseRole;
    term = 1;
    log: string[] = [];
    /** Time by which replication trails. */
    lagMs = 20;
    private primaryId: string | undefined;
    private readonly cluster: SimulatedCluster;

    constructor(cluster: SimulatedCluster, groupId: string, databaseId: string, dataCentre: string, primary: boolean) {
        this.cluster = cluster;
        this.groupId = groupId;
        this.databaseId = databaseId;
        this.dataCentre = dataCentre;
        this.role = primary ? DatabaseRole.Primary : DatabaseRole.Replica;
        this.primaryId = primary ? undefined : `${groupId}d0`;
        this.repeat(500, () => this.announce());
        this.repeat(10, () => this.replicate());
    }

    get reachable(): boolean {
        return this.alive && !this.partitioned;
    }

    get position(): Position {
        return { term: this.term, offset: this.log.length };
    }

    carryOut(order: Order): void {
        if (order.term < this.term) {
            return;
        }
        this.term = order.term;
        this.role = order.kind === OrderKind.Promote ? DatabaseRole.Primary : DatabaseRole.Replica;
        this.primaryId = order.kind === OrderKind.Promote ? undefined : order.primaryAddress;
    }

    private repeat(intervalMs: number, run: () => void): void {
        this.cluster.time.at(this.cluster.time.nowMs + intervalMs, () => {
            run();
            this.repeat(intervalMs, run);
        });
    }

    private announce(): void {
        const targets = this.cluster.processes.filter(process =>
            process.alive && process.partitioned === this.partitioned
            && process.frozenUntilMs <= this.cluster.time.nowMs
        );
        const target = targets[this.cluster.random.nextInteger(targets.length)];
        if (!this.alive || target === undefined) {
            return;
        }
        const announcement: DatabaseAnnouncement = {
            databaseId: this.databaseId,
            groupId: this.groupId,
            service: this.groupId,
            dataCentre: this.dataCentre,
            address: this.databaseId,
            slots: 3,
            connectionLimit: 20,
            role: this.role,
            position: this.position,
            groupSize: 3,
            departing: this.departing,
        };
        target.later(1, () => target.loop.post({ kind: ClusterKind.DatabaseAnnounced, announcement } as never));
    }

    private replicate(): void {
        const primary = this.primaryId === undefined ? undefined : this.cluster.database(this.primaryId);
        if (primary === undefined || !this.reachable || !primary.reachable || primary.role !== DatabaseRole.Primary) {
            return;
        }
        const log = [...primary.log];
        const term = primary.term;
        this.cluster.time.at(this.cluster.time.nowMs + this.lagMs, () => {
            // What has been shipped may arrive after the primary died, but not after another one is followed.
            if (this.alive && this.primaryId === primary.databaseId && this.term <= term) {
                const isBehind = log.length >= this.log.length || this.log.some((id, index) => log[index] !== id);
                this.log = isBehind ? log : this.log;
                this.term = term;
            }
        });
    }
}
