/**
 * Cluster of the rate model in virtual time: entry instances, permit homes, and a control leader that divides the rate
 * of each workspace among the data centres.
 */
import { ClusterKind, type ConfigurationApplied } from "../src/model/clusterMessages.ts";
import type { Configuration } from "../src/model/configuration.ts";
import {
    CommandKind,
    ControlKind,
    type ControlProposalEnded,
    type ControlPropose,
    ProposalStatus,
    type SetRateShares,
} from "../src/model/controlMessages.ts";
import { heartbeatIntervalMs, type LeaseAssignment, reassignAfterMs } from "../src/model/lease.ts";
import { RateKind, type RatesDemandMeasured } from "../src/model/rateMessages.ts";
import type { StatementKind } from "../src/model/statement.ts";
import { EventLoop } from "../src/pipeline/eventLoop.ts";
import type { Message } from "../src/pipeline/message.ts";
import { Pipe } from "../src/pipeline/pipe.ts";
import type { SeededRandom } from "../src/pipeline/seededRandom.ts";
import { DivideRateFilter } from "../src/rates/divideRate.ts";
import { AdmitKind } from "../src/request/admit.ts";
import { type ClusterSize, createInitialConfiguration } from "./initialConfiguration.ts";
import { PermitNetwork, type PermitNetworkOptions } from "./permitNetwork.ts";
import { type InstanceEffects, RateInstance } from "./rateInstance.ts";
import { InstanceClock, Simulation } from "./simulation.ts";

export interface RateClusterOptions extends ClusterSize {
    readonly random: SeededRandom;
    readonly network: PermitNetworkOptions;
    /** Whether rate shares follow demand; otherwise every data centre has a fixed equal share. */
    readonly sharesFollowDemand: boolean;
    readonly clockSpeed?: (instanceIndex: number) => number;
    readonly refillFraction?: number;
}

export interface OfferedStatement {
    readonly arrivalId: number;
    readonly workspace: string;
    readonly instanceIndex: number;
    readonly statementKind: StatementKind;
    readonly inTransaction: boolean;
    readonly waitingMs: number;
}

/** Time to commit a change: one round trip to a majority and two disk syncs. */
const commitDelayMs = 15;
const leaderDataCentreIndex = 0;

export class RateCluster {
    readonly simulation = new Simulation();
    readonly admittedAtMs = new Map<number, number>();
    readonly refusedAtMs = new Map<number, number>();
    private demandReports = 0;
    private configurationChanges = 0;
    configuration: Configuration;
    private readonly options: RateClusterOptions;
    private readonly network: PermitNetwork;
    private readonly instances: RateInstance[] = [];
    private readonly restartCounts: number[] = [];
    private readonly lastHeartbeatAtMs = new Map<string, number>();
    private readonly cutOffIds = new Set<string>();
    private leader: EventLoop | undefined;
    private leaderTerm = 0;

    constructor(options: RateClusterOptions) {
        this.options = options;
        this.network = new PermitNetwork(options.network, this.simulation, options.random);
        this.configuration = createInitialConfiguration(options, !options.sharesFollowDemand);
        for (let index = 0; index < options.dataCentres.length * options.instancesPerDataCentre; index++) {
            this.restartCounts.push(0);
            this.instances.push(this.startInstance(index));
        }
        this.electLeader();
        this.simulation.after(heartbeatIntervalMs, () => this.reassignLeases());
    }

    get counters(): {
        readonly permitRequests: number;
        readonly demandReports: number;
        readonly configurationChanges: number;
    } {
        const { demandReports, configurationChanges } = this;
        return { permitRequests: this.network.requestCount, demandReports, configurationChanges };
    }

    offer(offered: OfferedStatement): void {
        const instance = this.liveInstanceFor(offered.instanceIndex);
        instance.post({
            kind: AdmitKind.Classified,
            connectionId: offered.arrivalId,
            sequence: 0,
            workspace: offered.workspace,
            statementKind: offered.statementKind,
            inTransaction: offered.inTransaction,
            deadlineMs: instance.clock.nowMs() + offered.waitingMs,
        } as Message);
    }

    kill(index: number): void {
        this.instances[index]!.kill();
    }

    restart(index: number): void {
        this.instances[index]!.kill();
        this.restartCounts[index]!++;
        this.instances[index] = this.startInstance(index);
    }

    cutOff(dataCentreIndex: number): void {
        this.cutOffIds.add(this.options.dataCentres[dataCentreIndex]!);
    }

    /** Cuts one instance off from the leader; other instances can still reach it. */
    isolate(index: number): void {
        this.cutOffIds.add(this.instances[index]!.id);
    }

    /** Reconnects a data centre and its instances to the leader. */
    heal(dataCentreIndex: number): void {
        const dataCentre = this.options.dataCentres[dataCentreIndex]!;
        this.cutOffIds.delete(dataCentre);
        this.instances.filter(instance => instance.dataCentre === dataCentre)
            .forEach(instance => this.cutOffIds.delete(instance.id));
        this.instances.forEach(instance => this.sendConfiguration(instance));
    }

    /** Starts a new leader that has only the committed configuration. */
    electLeader(): void {
        void this.leader?.[Symbol.asyncDispose]();
        this.leader = undefined;
        if (!this.options.sharesFollowDemand) {
            return;
        }
        const clock = new InstanceClock(this.simulation, 1, 0);
        this.leader = new EventLoop({
            clock,
            pipes: [new Pipe("divide", [new DivideRateFilter()])],
            sinks: [{
                accepts: [ControlKind.Propose],
                deliver: message => this.commitProposal(message as ControlPropose, this.leader),
            }],
        });
        this.leader.post({ kind: ClusterKind.ConfigurationApplied, configuration: this.configuration } as Message);
        this.leader.post({
            kind: ControlKind.LeaderChanged,
            leading: true,
            term: ++this.leaderTerm,
            leaderId: "leader",
            leaderAddress: "leader",
        } as Message);
    }

    /** An operator changes rate and burst of a workspace. */
    setRate(name: string, ratePerSecond: number, burst: number): void {
        this.changeConfiguration({
            workspaces: this.configuration.workspaces.map(workspace =>
                workspace.name === name
                    ? { ...workspace, ratePerSecond, burst, version: workspace.version + 1 }
                    : workspace
            ),
        });
    }

    private startInstance(index: number): RateInstance {
        const { instancesPerDataCentre, dataCentres, clockSpeed, refillFraction } = this.options;
        const instance = new RateInstance({
            simulation: this.simulation,
            id: `instance${index}`,
            dataCentre: dataCentres[Math.floor(index / instancesPerDataCentre)]!,
            restartCount: this.restartCounts[index]!,
            clockSpeed: clockSpeed?.(index) ?? 1,
            refillFraction,
            effects: this.effects(),
        });
        this.lastHeartbeatAtMs.set(instance.id, this.simulation.nowMs);
        this.sendConfiguration(instance);
        this.simulation.after(this.network.randomLocalLatencyMs(), () => this.heartbeat(instance));
        return instance;
    }

    private effects(): InstanceEffects {
        return {
            admitted: id => void this.admittedAtMs.set(id, this.simulation.nowMs),
            refused: id => void this.refusedAtMs.set(id, this.simulation.nowMs),
            forward: (from, message) =>
                this.network.forward(from, message, this.instances.find(({ id }) => id === message.homeAddress)),
            reply: (_, message) => this.network.reply(message),
            retire: (from, message) =>
                this.network.retire(from, message, this.instances.find(({ id }) => id === message.homeAddress)),
            retireReply: (_, message) => this.network.retireReply(message),
            demand: (from, message) => this.sendDemand(from, message),
        };
    }

    private sendDemand(from: RateInstance, message: RatesDemandMeasured): void {
        this.demandReports++;
        if (this.canReachLeader(from)) {
            this.simulation.after(
                this.randomLatencyToLeaderMs(from),
                () =>
                    message.demands.forEach(demand =>
                        this.leader?.post({ ...demand, kind: RateKind.Demand } as Message)
                    ),
            );
        }
    }

    private heartbeat(instance: RateInstance): void {
        if (!instance.isAlive) {
            return;
        }
        const sentMs = this.simulation.nowMs;
        if (this.canReachLeader(instance)) {
            this.simulation.after(this.randomLatencyToLeaderMs(instance), () => {
                this.lastHeartbeatAtMs.set(instance.id, this.simulation.nowMs);
                const answer = this.configuration;
                this.simulation.after(
                    this.randomLatencyToLeaderMs(instance),
                    () => instance.renewLeases(answer, sentMs),
                );
            });
        }
        this.simulation.after(heartbeatIntervalMs, () => this.heartbeat(instance));
    }

    /** Reassigns leases of unresponsive instances to a responsive instance of the same data centre. */
    private reassignLeases(): void {
        const isUnresponsive = (id: string) =>
            this.lastHeartbeatAtMs.get(id)! + reassignAfterMs <= this.simulation.nowMs;
        let changed = false;
        const leases = this.configuration.leases.map(lease => {
            const successor = isUnresponsive(lease.instanceId) ? this.findSuccessor(lease, isUnresponsive) : undefined;
            changed ||= successor !== undefined;
            return successor === undefined
                ? lease
                : { ...lease, instanceId: successor.id, instanceAddress: successor.id, epoch: lease.epoch + 1 };
        });
        if (changed) {
            this.changeConfiguration({ leases });
        }
        this.simulation.after(heartbeatIntervalMs, () => this.reassignLeases());
    }

    private findSuccessor(lease: LeaseAssignment, isUnresponsive: (id: string) => boolean): RateInstance | undefined {
        const holder = this.instances.find(instance => instance.id === lease.instanceId)!;
        return this.instances.find(instance =>
            instance.dataCentre === holder.dataCentre && !isUnresponsive(instance.id)
        );
    }

    private commitProposal(proposal: ControlPropose, leader: EventLoop | undefined): void {
        const command = proposal.command as SetRateShares;
        this.simulation.after(commitDelayMs, () => {
            if (command.kind !== CommandKind.SetRateShares || leader !== this.leader) {
                return;
            }
            const workspace = this.configuration.workspaces.find(candidate => candidate.name === command.workspace)!;
            const sum = command.shares.reduce((total, share) => total + share.ratePerSecond, 0);
            const accepted = workspace.version === command.workspaceVersion
                && sum <= workspace.ratePerSecond * (1 + 1e-9);
            if (accepted) {
                const others = this.configuration.rateShares.filter(share => share.workspace !== command.workspace);
                this.changeConfiguration({ rateShares: [...others, ...command.shares] });
            }
            const ended: ControlProposalEnded = {
                kind: ControlKind.ProposalEnded,
                proposalId: proposal.proposalId,
                status: accepted ? ProposalStatus.Applied : ProposalStatus.Conflict,
                version: workspace.version,
                configurationVersion: this.configuration.version,
                detail: "",
                leaderAddress: undefined,
            };
            this.leader?.post(ended);
        });
    }

    private changeConfiguration(changes: Partial<Configuration>): void {
        this.configurationChanges++;
        this.configuration = { ...this.configuration, ...changes, version: this.configuration.version + 1 };
        const applied: ConfigurationApplied = {
            kind: ClusterKind.ConfigurationApplied,
            configuration: this.configuration,
        };
        this.leader?.post(applied);
        this.instances.forEach(instance => this.sendConfiguration(instance));
    }

    private sendConfiguration(instance: RateInstance): void {
        if (this.canReachLeader(instance)) {
            const { configuration } = this;
            this.simulation.after(
                this.randomLatencyToLeaderMs(instance),
                () => instance.applyConfiguration(configuration),
            );
        }
    }

    private liveInstanceFor(index: number): RateInstance {
        const requestedInstance = this.instances[index]!;
        return requestedInstance.isAlive
            ? requestedInstance
            : this.instances.find(instance => instance.isAlive && instance.dataCentre === requestedInstance.dataCentre)
                ?? requestedInstance;
    }

    private canReachLeader(instance: RateInstance): boolean {
        return !this.cutOffIds.has(instance.dataCentre) && !this.cutOffIds.has(instance.id);
    }

    private randomLatencyToLeaderMs(instance: RateInstance): number {
        const { remoteLatencyMs, jitterMs } = this.options.network;
        const isInLeaderDataCentre = instance.dataCentre === this.options.dataCentres[leaderDataCentreIndex];
        return isInLeaderDataCentre
            ? this.network.randomLocalLatencyMs()
            : remoteLatencyMs + this.options.random.nextFloat() * jitterMs;
    }
}
