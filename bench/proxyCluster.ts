/**
 * Instances, databases and network of the proxy model. The model has no control leader, control log or heartbeats:
 * it posts database views, leases and changes of primary itself, with the delays that the specs of src/health measure.
 */
import type { CallerAnswer } from "../src/model/callerMessages.ts";
import { ClusterKind, type DatabaseView } from "../src/model/clusterMessages.ts";
import { announcementExpiryMs, DatabaseRole } from "../src/model/database.ts";
import { heartbeatIntervalMs, type LeaseAssignment, leaseDurationMs, ResourceKind } from "../src/model/lease.ts";
import { comparePositions } from "../src/model/position.ts";
import type { Message } from "../src/pipeline/message.ts";
import { SeededRandom } from "../src/pipeline/seededRandom.ts";
import { type AdmittedRequest, RequestKind } from "../src/request/requestMessages.ts";
import { DatabaseConnections, type StatementObserver } from "./databaseConnections.ts";
import { HolderStreams } from "./holderStreams.ts";
import type { LagPattern } from "./lagPattern.ts";
import { ModelDatabase } from "./modelDatabase.ts";
import { ProxyInstance } from "./proxyInstance.ts";
import { ProxyNetwork } from "./proxyNetwork.ts";
import { Simulation } from "./simulation.ts";
import type { User } from "./users.ts";

export interface ProxyClusterOptions {
    readonly user: User;
    readonly lag: LagPattern;
    readonly seed: number;
    readonly observer: StatementObserver;
    readonly onAnswer: (answer: CallerAnswer) => void;
}

/** Lease duration by the holder's own clock, shortened for clock drift; see section 4 of docs/design.md. */
const holderLeaseDurationMs = 0.9 * leaseDurationMs;

const replicationIntervalMs = 2;

/**
 * Time from the loss of a primary to the change of primary, from src/health/__tests__/failover.spec.ts: the maximum
 * over ten seeds while the holder is alive, and the time when the holder is lost with the primary.
 */
export const primaryChangeDelayMs = 920;
export const primaryChangeDelayAfterHolderLossMs = 4_780;

export const groupCount = 3;

export class ProxyCluster {
    readonly simulation = new Simulation();
    readonly databases = new Map<string, ModelDatabase>();
    readonly connections: readonly DatabaseConnections[];
    private readonly options: ProxyClusterOptions;
    private readonly network: ProxyNetwork;
    private readonly instances = new Map<string, ProxyInstance>();
    private readonly streams: HolderStreams;
    private readonly primaryIds: string[];
    private readonly unavailableDatabases = new Set<string>();
    private readonly databasesWithoutHolder = new Set<string>();
    private readonly leaseEpochs = new Map<string, number>();
    private term = 1;

    constructor(options: ProxyClusterOptions) {
        this.options = options;
        const { user, seed } = options;
        const random = new SeededRandom(seed);
        this.network = new ProxyNetwork({ simulation: this.simulation, random, remoteLatencyMs: user.remoteLatencyMs });
        this.primaryIds = Array.from({ length: groupCount }, (_, group) => databaseId(group, group));
        for (let group = 0; group < groupCount; group++) {
            user.dataCentres.forEach((_, dataCentre) => this.addDatabase(group, dataCentre));
        }
        this.connections = Array.from(
            { length: user.dataCentres.length * user.instancesPerDataCentre },
            (_, index) => this.addInstance(index, random),
        );
        this.streams = new HolderStreams(this.instances, this.network, this.simulation);
        this.publishDatabases(() => true);
        this.renewLeases();
        this.replicate();
    }

    primary(group: number): ModelDatabase {
        return this.databases.get(this.primaryIds[group]!)!;
    }

    offer(instanceIndex: number, request: AdmittedRequest): void {
        this.instance(instanceIndex).post(request);
    }

    endSession(instanceIndex: number, connectionId: number): void {
        this.instance(instanceIndex).post({ kind: RequestKind.SessionEnded, connectionId } as Message);
    }

    /** The primary of a group fails permanently. */
    killPrimary(group: number): void {
        const lostPrimary = this.primary(group);
        lostPrimary.isAlive = false;
        this.connections.forEach(connections => connections.closeConnectionsTo(lostPrimary));
        this.simulation.after(primaryChangeDelayMs, () => this.changePrimary(group));
        this.simulation.after(announcementExpiryMs, () => this.markUnavailable([lostPrimary]));
    }

    cutOff(dataCentre: number): void {
        this.network.cutOff(dataCentre);
        const databasesInside = [...this.databases.values()].filter(each => each.options.dataCentre === dataCentre);
        this.simulation.at(this.network.lossDetectedAtMs(), () => this.breakCutStreams());
        this.simulation.after(announcementExpiryMs, () => this.markUnavailable(databasesInside));
        this.simulation.after(primaryChangeDelayAfterHolderLossMs, () => {
            databasesInside.forEach(database => this.endLease(database));
            this.primaryIds.forEach((primaryId, group) => {
                if (databasesInside.some(database => database.options.databaseId === primaryId)) {
                    this.changePrimary(group);
                }
            });
        });
    }

    heal(dataCentre: number): void {
        this.network.heal();
        for (const database of this.databases.values()) {
            const { databaseId: id, groupId } = database.options;
            const group = Number(groupId.slice(1));
            if (database.options.dataCentre === dataCentre && id !== this.primaryIds[group]) {
                database.follow(this.primary(group));
            }
            this.unavailableDatabases.delete(id);
            this.databasesWithoutHolder.delete(id);
        }
        this.publishDatabases(() => true);
    }

    private addDatabase(group: number, dataCentre: number): void {
        const { slots, connectionLimit } = this.options.user;
        const id = databaseId(group, dataCentre);
        const role = id === this.primaryIds[group] ? DatabaseRole.Primary : DatabaseRole.Replica;
        const options = { databaseId: id, groupId: `g${group}`, dataCentre, slots, connectionLimit };
        this.databases.set(id, new ModelDatabase(options, role));
    }

    private addInstance(index: number, random: SeededRandom): DatabaseConnections {
        const { user, seed, observer, onAnswer } = this.options;
        const instanceId = instanceName(index);
        const dataCentre = Math.floor(index / user.instancesPerDataCentre);
        const { simulation, network, databases } = this;
        const connections = new DatabaseConnections({
            instanceId,
            dataCentre,
            databases,
            simulation,
            network,
            random,
            observer,
            post: message => this.instance(index).post(message),
        });
        const instance: ProxyInstance = new ProxyInstance({
            instanceId,
            dataCentre,
            dataCentreName: user.dataCentres[dataCentre]!,
            simulation,
            seed: seed + 10 * index,
            databases: connections,
            onForward: forward => this.streams.forward(instance, forward),
            onReply: reply => this.streams.deliverReply(instance, reply),
            onAnswer,
        });
        this.instances.set(instanceId, instance);
        return connections;
    }

    private changePrimary(group: number): void {
        const previousPrimary = this.primary(group);
        const members = [...this.databases.values()].filter(each =>
            each.options.groupId === previousPrimary.options.groupId
        );
        const promotionCandidates = members.filter(each => this.isReachable(each) && each !== previousPrimary)
            .sort((left, right) => comparePositions(right.position, left.position));
        const newPrimary = promotionCandidates[0]!;
        newPrimary.promote(++this.term, this.simulation.nowMs);
        this.primaryIds[group] = newPrimary.options.databaseId;
        promotionCandidates.slice(1).forEach(each => each.follow(newPrimary));
        this.publishDatabases(dataCentre => !this.network.isCutOff(dataCentre));
    }

    private isReachable({ isAlive, options }: ModelDatabase): boolean {
        return isAlive && !this.network.isCutOff(options.dataCentre);
    }

    private markUnavailable(databases: readonly ModelDatabase[]): void {
        databases.forEach(({ options }) => this.unavailableDatabases.add(options.databaseId));
        this.publishDatabases(dataCentre => !this.network.isCutOff(dataCentre));
    }

    private endLease({ options }: ModelDatabase): void {
        this.databasesWithoutHolder.add(options.databaseId);
        this.leaseEpochs.set(options.databaseId, this.epochOf(options.databaseId) + 1);
    }

    private epochOf(id: string): number {
        return this.leaseEpochs.get(id) ?? 1;
    }

    private publishDatabases(isReached: (dataCentre: number) => boolean): void {
        const databases = [...this.databases.values()].map(database => this.databaseView(database));
        this.postToEach(isReached, () => ({ kind: ClusterKind.DatabasesChanged, databases }) as Message);
    }

    private renewLeases(): void {
        const validUntilMs = this.simulation.nowMs + holderLeaseDurationMs;
        this.postToEach(dataCentre => !this.network.isCutOff(dataCentre), ({ options }) => {
            const leases = [...this.databases.values()].map(database => this.leaseOf(database))
                .filter(lease => lease.instanceId === options.instanceId);
            return { kind: ClusterKind.LeasesRenewed, leases, validUntilMs, permitsUntilMs: validUntilMs } as Message;
        });
        this.simulation.after(heartbeatIntervalMs, () => this.renewLeases());
    }

    private postToEach(isReached: (dataCentre: number) => boolean, create: (instance: ProxyInstance) => Message): void {
        for (const instance of this.instances.values()) {
            if (isReached(instance.options.dataCentre)) {
                instance.post(create(instance));
            }
        }
    }

    private breakCutStreams(): void {
        const all = [...this.instances.values()];
        all.forEach(entry =>
            all.filter(holder => !this.network.connects(entry.options.dataCentre, holder.options.dataCentre))
                .forEach(holder => this.streams.breakStream(entry, holder))
        );
    }

    private replicate(): void {
        const { nowMs } = this.simulation;
        for (const database of this.databases.values()) {
            const primary = this.primary(Number(database.options.groupId.slice(1)));
            const { dataCentre } = database.options;
            const isLinked = database.isAlive && primary.isAlive
                && this.network.connects(dataCentre, primary.options.dataCentre);
            if (database !== primary && isLinked && database.role === DatabaseRole.Replica) {
                const lagMs = this.options.lag.lagMs(database.options.databaseId, nowMs);
                database.replicate(primary, nowMs - Math.max(lagMs, this.options.user.remoteLatencyMs));
            }
        }
        this.simulation.after(replicationIntervalMs, () => this.replicate());
    }

    private databaseView(database: ModelDatabase): DatabaseView {
        const { databaseId: id, groupId, slots, connectionLimit, dataCentre } = database.options;
        const isPrimary = this.primaryIds.includes(id);
        return {
            databaseId: id,
            groupId,
            service: groupId,
            dataCentre: this.options.user.dataCentres[dataCentre]!,
            address: id,
            slots,
            connectionLimit,
            role: isPrimary ? DatabaseRole.Primary : DatabaseRole.Replica,
            position: database.position,
            groupSize: this.options.user.dataCentres.length,
            available: !this.unavailableDatabases.has(id),
            holder: this.databasesWithoutHolder.has(id) ? undefined : this.leaseOf(database),
        };
    }

    /** The holders of a data centre's databases are assigned round-robin to its instances. */
    private leaseOf({ options }: ModelDatabase): LeaseAssignment {
        const { user } = this.options;
        const group = Number(options.groupId.slice(1));
        const instanceId = instanceName(
            options.dataCentre * user.instancesPerDataCentre + group % user.instancesPerDataCentre,
        );
        return {
            resource: ResourceKind.Database,
            resourceId: options.databaseId,
            instanceId,
            instanceAddress: instanceId,
            epoch: this.epochOf(options.databaseId),
        };
    }

    private instance(index: number): ProxyInstance {
        return this.instances.get(instanceName(index))!;
    }
}

function databaseId(group: number, dataCentre: number): string {
    return `g${group}d${dataCentre}`;
}

function instanceName(index: number): string {
    return `i${index}`;
}
