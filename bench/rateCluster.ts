/** A cluster in virtual time: entry instances, permit homes and the control leader's division of rates. */
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
import { ClusterInstance, type InstanceEffects } from "./clusterInstance.ts";
import { type ClusterSize, firstConfiguration } from "./firstConfiguration.ts";
import { type Network, PermitNetwork } from "./permitNetwork.ts";
import { InstanceClock, Simulation } from "./simulation.ts";

export interface RateClusterOptions extends ClusterSize {
    readonly random: SeededRandom;
    readonly network: Network;
    /** Shares follow demand; otherwise every data centre keeps an equal part. */
    readonly movesShares: boolean;
    readonly clockSpeed?: (instanceIndex: number) => number;
    readonly refillShare?: number;
}

export interface Offered {
    readonly arrivalId: number;
    readonly workspace: string;
    readonly instanceIndex: number;
    readonly statementKind: StatementKind;
    readonly inTransaction: boolean;
    readonly waitingMs: number;
}

/** Time of the agreement on a change: one round trip to a majority and two syncs. */
const commitMs = 15;
const leaderDataCentre = 0;

export class RateCluster {
    readonly simulation = new Simulation();
    readonly admittedMs = new Map<number, number>();
    readonly refusedMs = new Map<number, number>();
    private demandReports = 0;
    private configurationChanges = 0;
    configuration: Configuration;
    private readonly options: RateClusterOptions;
    private readonly network: PermitNetwork;
    private readonly instances: ClusterInstance[] = [];
    private readonly lives: number[] = [];
    private readonly answeredMs = new Map<string, number>();
    private readonly cut = new Set<string>();
    private leader: EventLoop | undefined;
    private leaderTerm = 0;

    constructor(options: RateClusterOptions) {
        this.options = options;
        this.network = new PermitNetwork(options.network, this.simulation, options.random);
        this.configuration = firstConfiguration(options, !options.movesShares);
        for (let index = 0; index < options.dataCentres.length * options.instancesPerDataCentre; index++) {
            this.lives.push(0);
            this.instances.push(this.startInstance(index));
        }
        this.electLeader();
        this.simulation.after(heartbeatIntervalMs, () => this.reassignSilent());
    }

    get counters(): {
        readonly questions: number;
        readonly demandReports: number;
        readonly configurationChanges: number;
    } {
        const { demandReports, configurationChanges } = this;
        return { questions: this.network.questions, demandReports, configurationChanges };
    }

    offer(offered: Offered): void {
        const instance = this.reachableInstance(offered.instanceIndex);
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
        this.lives[index]!++;
        this.instances[index] = this.startInstance(index);
    }

    cutOff(dataCentreIndex: number): void {
        this.cut.add(this.options.dataCentres[dataCentreIndex]!);
    }

    /** Cuts one instance off from the leader; its neighbours still reach it. */
    isolate(index: number): void {
        this.cut.add(this.instances[index]!.id);
    }

    /** Ends the cuts of a data centre and of its instances. */
    heal(dataCentreIndex: number): void {
        const dataCentre = this.options.dataCentres[dataCentreIndex]!;
        this.cut.delete(dataCentre);
        this.instances.filter(instance => instance.dataCentre === dataCentre)
            .forEach(instance => this.cut.delete(instance.id));
        this.instances.forEach(instance => this.sendConfiguration(instance));
    }

    /** Starts a new leader that knows only the agreed configuration. */
    electLeader(): void {
        void this.leader?.[Symbol.asyncDispose]();
        this.leader = undefined;
        if (!this.options.movesShares) {
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
        this.change({
            workspaces: this.configuration.workspaces.map(workspace =>
                workspace.name === name
                    ? { ...workspace, ratePerSecond, burst, version: workspace.version + 1 }
                    : workspace
            ),
        });
    }

    private startInstance(index: number): ClusterInstance {
        const { instancesPerDataCentre, dataCentres, clockSpeed, refillShare } = this.options;
        const instance = new ClusterInstance({
            simulation: this.simulation,
            id: `instance${index}`,
            dataCentre: dataCentres[Math.floor(index / instancesPerDataCentre)]!,
            life: this.lives[index]!,
            clockSpeed: clockSpeed?.(index) ?? 1,
            refillShare,
            effects: this.effects(),
        });
        this.answeredMs.set(instance.id, this.simulation.nowMs);
        this.sendConfiguration(instance);
        this.simulation.after(this.network.localDelay(), () => this.heartbeat(instance));
        return instance;
    }

    private effects(): InstanceEffects {
        return {
            admitted: id => void this.admittedMs.set(id, this.simulation.nowMs),
            refused: id => void this.refusedMs.set(id, this.simulation.nowMs),
            forward: (from, message) =>
                this.network.forward(from, message, this.instances.find(({ id }) => id === message.homeAddress)),
            reply: (_, message) => this.network.reply(message),
            retire: (from, message) =>
                this.network.retire(from, message, this.instances.find(({ id }) => id === message.homeAddress)),
            retireReply: (_, message) => this.network.retireReply(message),
            demand: (from, message) => this.sendDemand(from, message),
        };
    }

    private sendDemand(from: ClusterInstance, message: RatesDemandMeasured): void {
        this.demandReports++;
        if (this.leaderReaches(from)) {
            this.simulation.after(
                this.delayToLeader(from),
                () =>
                    message.demands.forEach(demand =>
                        this.leader?.post({ ...demand, kind: RateKind.Demand } as Message)
                    ),
            );
        }
    }

    private heartbeat(instance: ClusterInstance): void {
        if (!instance.alive) {
            return;
        }
        const sentMs = this.simulation.nowMs;
        if (this.leaderReaches(instance)) {
            this.simulation.after(this.delayToLeader(instance), () => {
                this.answeredMs.set(instance.id, this.simulation.nowMs);
                const answer = this.configuration;
                this.simulation.after(
                    this.delayToLeader(instance),
                    () => instance.renewLeases(answer, sentMs),
                );
            });
        }
        this.simulation.after(heartbeatIntervalMs, () => this.heartbeat(instance));
    }

    /** Gives leases of silent instances to another instance of their data centre that answers. */
    private reassignSilent(): void {
        const isSilent = (id: string) => this.answeredMs.get(id)! + reassignAfterMs <= this.simulation.nowMs;
        let changed = false;
        const leases = this.configuration.leases.map(lease => {
            const heir = isSilent(lease.instanceId) ? this.heirOf(lease, isSilent) : undefined;
            changed ||= heir !== undefined;
            return heir === undefined
                ? lease
                : { ...lease, instanceId: heir.id, instanceAddress: heir.id, epoch: lease.epoch + 1 };
        });
        if (changed) {
            this.change({ leases });
        }
        this.simulation.after(heartbeatIntervalMs, () => this.reassignSilent());
    }

    private heirOf(lease: LeaseAssignment, isSilent: (id: string) => boolean): ClusterInstance | undefined {
        const holder = this.instances.find(instance => instance.id === lease.instanceId)!;
        return this.instances.find(instance => instance.dataCentre === holder.dataCentre && !isSilent(instance.id));
    }

    private commitProposal(proposal: ControlPropose, leader: EventLoop | undefined): void {
        const command = proposal.command as SetRateShares;
        this.simulation.after(commitMs, () => {
            if (command.kind !== CommandKind.SetRateShares || leader !== this.leader) {
                return;
            }
            const workspace = this.configuration.workspaces.find(candidate => candidate.name === command.workspace)!;
            const sum = command.shares.reduce((total, share) => total + share.ratePerSecond, 0);
            const accepted = workspace.version === command.workspaceVersion
                && sum <= workspace.ratePerSecond * (1 + 1e-9);
            if (accepted) {
                const others = this.configuration.rateShares.filter(share => share.workspace !== command.workspace);
                this.change({ rateShares: [...others, ...command.shares] });
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

    private change(changes: Partial<Configuration>): void {
        this.configurationChanges++;
        this.configuration = { ...this.configuration, ...changes, version: this.configuration.version + 1 };
        const applied: ConfigurationApplied = {
            kind: ClusterKind.ConfigurationApplied,
            configuration: this.configuration,
        };
        this.leader?.post(applied);
        this.instances.forEach(instance => this.sendConfiguration(instance));
    }

    private sendConfiguration(instance: ClusterInstance): void {
        if (this.leaderReaches(instance)) {
            const { configuration } = this;
            this.simulation.after(
                this.delayToLeader(instance),
                () => instance.applyConfiguration(configuration),
            );
        }
    }

    private reachableInstance(index: number): ClusterInstance {
        const wanted = this.instances[index]!;
        return wanted.alive
            ? wanted
            : this.instances.find(instance => instance.alive && instance.dataCentre === wanted.dataCentre) ?? wanted;
    }

    private leaderReaches(instance: ClusterInstance): boolean {
        return !this.cut.has(instance.dataCentre) && !this.cut.has(instance.id);
    }

    private delayToLeader(instance: ClusterInstance): number {
        const { betweenMs, jitterMs } = this.options.network;
        const isNear = instance.dataCentre === this.options.dataCentres[leaderDataCentre];
        return isNear ? this.network.localDelay() : betweenMs + this.options.random.nextFloat() * jitterMs;
    }
}
