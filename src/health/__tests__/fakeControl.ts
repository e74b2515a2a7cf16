/** Fake of the replicated control state: applies proposals of the current leader after a delay, and elects leaders. */
import assert from "node:assert/strict";
import { ClusterKind } from "../../model/clusterMessages.ts";
import { type Configuration, emptyConfiguration } from "../../model/configuration.ts";
import { type Command, CommandKind, ControlKind, type ControlPropose } from "../../model/controlMessages.ts";
import type { DatabaseGroup } from "../../model/database.ts";
import type { LeaseAssignment } from "../../model/lease.ts";
import type { FakeProcess, SimulatedCluster } from "./simulatedCluster.ts";

const commitDelayMs = 20;
/** Time by its own clock after which a leader without a majority steps down. */
const quorumTimeoutMs = 1_000;
const electionDurationMs = 1_500;

export class FakeControl {
    configuration: Configuration = {
        ...emptyConfiguration,
        workspaces: [{ name: "shop", ratePerSecond: 10, burst: 10, keyValidityMs: 10_000, version: 1 }],
    };
    /** All accepted group states, oldest first. */
    readonly groupHistory: { readonly group: DatabaseGroup; readonly atMs: number; }[] = [];
    readonly leaseHistory: { readonly assignment: LeaseAssignment; readonly atMs: number; }[] = [];
    leader: FakeProcess | undefined;
    term = 0;
    private readonly cluster: SimulatedCluster;

    constructor(cluster: SimulatedCluster) {
        this.cluster = cluster;
        this.detectLeaderLoss();
    }

    propose(from: FakeProcess, { proposalId, operationId, command }: ControlPropose): void {
        // The control state rejects all other ids; a rejected promotion leaves its group without a primary.
        assert.match(operationId, /^[\w.-]{0,64}$/);
        const term = this.term;
        from.runAfter(commitDelayMs, () => {
            const leads = this.leader === from && this.term === term && !from.partitioned;
            const status = !leads ? "not_leader" : this.apply(command) ? "applied" : "conflict";
            if (status === "applied") {
                this.cluster.processes.forEach(process => this.publishTo(process, process === from ? 0 : undefined));
            }
            const configurationVersion = this.configuration.version;
            const ended = { proposalId, status, version: 0, configurationVersion, detail: "" };
            from.loop.post({ kind: ControlKind.ProposalEnded, ...ended, leaderAddress: undefined } as never);
        });
    }

    /** An operator orders the evacuation of these data centres, and of no others. */
    evacuate(...names: readonly string[]): void {
        const order = { orderedBy: "operator", orderedAtUnixMs: 1, version: 1 };
        const evacuations = names.map(dataCentre => ({ dataCentre, ...order }));
        this.configuration = { ...this.configuration, evacuations, version: this.configuration.version + 1 };
        this.cluster.processes.forEach(process => this.publishTo(process));
    }

    publishTo(process: FakeProcess, delayMs = this.cluster.latencyMs() * 3): void {
        const configuration = this.configuration;
        process.runAfter(delayMs, () => {
            const current = process.appliedVersion;
            if (!process.partitioned && (current === undefined || current < configuration.version)) {
                process.appliedVersion = configuration.version;
                process.holder.applyConfiguration(configuration);
                process.loop.post({ kind: ClusterKind.ConfigurationApplied, configuration } as never);
            }
        });
    }

    /** Elects a live, connected member as leader after `delayMs`. */
    elect(delayMs: number): void {
        this.cluster.scheduler.schedule(this.cluster.scheduler.nowMs + delayMs, () => {
            const isUp = (process: FakeProcess | undefined): boolean =>
                process !== undefined && !process.partitioned && process.frozenUntilMs <= this.cluster.scheduler.nowMs;
            const members = this.cluster.controlIds
                .map(id => this.cluster.liveProcess(id))
                .filter(isUp) as FakeProcess[];
            if (members.length < 2) {
                this.elect(electionDurationMs);
                return;
            }
            this.leader = members[this.cluster.random.nextInteger(members.length)]!;
            this.term++;
            this.publishTo(this.leader, 0);
            this.announceLeader();
        });
    }

    private announceLeader(): void {
        const leaderAddress = this.leader!.instanceId;
        for (const id of this.cluster.controlIds) {
            const member = this.cluster.liveProcess(id);
            const leading = member === this.leader;
            const changed = { kind: ControlKind.LeaderChanged, leading, term: this.term, leaderId: leaderAddress };
            member?.runAfter(0, () => member.partitioned || member.loop.post({ ...changed, leaderAddress } as never));
        }
    }

    // Detects a lost leader within 100 ms of virtual time. The lost leader steps down by its own check of the quorum.
    private detectLeaderLoss(): void {
        const now = this.cluster.scheduler.nowMs;
        const leader = this.leader;
        if (leader !== undefined && (!leader.alive || leader.partitioned || leader.frozenUntilMs > now + 500)) {
            this.leader = undefined;
            const lost = { kind: ControlKind.LeaderChanged, leading: false, term: this.term, leaderId: undefined };
            leader.runAfter(quorumTimeoutMs / leader.clockRate, () => {
                leader.loop.post({ ...lost, leaderAddress: undefined } as never);
            });
            this.elect(electionDurationMs);
        }
        this.cluster.scheduler.schedule(now + 100, () => this.detectLeaderLoss());
    }

    private apply(command: Command): boolean {
        const accepted = command.kind === CommandKind.SetGroup
            ? this.setGroup(command.expectedTerm, command.group)
            : command.kind === CommandKind.AssignLeases && this.assignLeases(command.assignments);
        if (accepted) {
            this.configuration = { ...this.configuration, version: this.configuration.version + 1 };
        }
        return accepted;
    }

    private setGroup(expectedTerm: number, group: DatabaseGroup): boolean {
        const others = this.configuration.groups.filter(({ groupId }) => groupId !== group.groupId);
        const before = this.configuration.groups.find(({ groupId }) => groupId === group.groupId);
        if ((before?.term ?? 0) !== expectedTerm) {
            return false;
        }
        this.configuration = { ...this.configuration, groups: [...others, group] };
        this.groupHistory.push({ group, atMs: this.cluster.scheduler.nowMs });
        return true;
    }

    private assignLeases(assignments: readonly LeaseAssignment[]): boolean {
        const keyOf = (lease: LeaseAssignment): string => `${lease.resource}/${lease.resourceId}`;
        const leases = new Map(this.configuration.leases.map(lease => [keyOf(lease), lease]));
        if (assignments.some(lease => (leases.get(keyOf(lease))?.epoch ?? 0) !== lease.epoch - 1)) {
            return false;
        }
        assignments.forEach(lease => leases.set(keyOf(lease), lease));
        this.configuration = { ...this.configuration, leases: [...leases.values()] };
        assignments.forEach(assignment => this.leaseHistory.push({ assignment, atMs: this.cluster.scheduler.nowMs }));
        return true;
    }
}
