/** Control state that applies proposals of the current leader after a short time, and elects leaders. */
import { ClusterKind } from "../../model/clusterMessages.ts";
import { type Configuration, emptyConfiguration } from "../../model/configuration.ts";
import { type Command, CommandKind, ControlKind, type ControlPropose } from "../../model/controlMessages.ts";
import type { DatabaseGroup } from "../../model/database.ts";
import type { LeaseAssignment } from "../../model/lease.ts";
import type { FakeProcess, World } from "./world.ts";

const commitMs = 20;
/** A leader without a majority steps down after this time by its own clock. */
const checkQuorumMs = 1_000;
const electionMs = 1_500;
/** As the control state machine demands of an operation id that is not empty. */
const operationIdPattern = /^[a-zA-Z0-9_.-]{0,64}$/;

export class FakeControl {
    configuration: Configuration = {
        ...emptyConfiguration,
        workspaces: [{ name: "shop", ratePerSecond: 10, burst: 10, keyValidityMs: 10_000, version: 1 }],
    };
    /** Every accepted group, in order. */
    readonly groupHistory: { readonly group: DatabaseGroup; readonly atMs: number; }[] = [];
    readonly leaseHistory: { readonly assignment: LeaseAssignment; readonly atMs: number; }[] = [];
    leader: FakeProcess | undefined;
    term = 0;
    private readonly world: World;

    constructor(world: World) {
        this.world = world;
        this.watch();
    }

    propose(from: FakeProcess, { proposalId, operationId, command }: ControlPropose): void {
        const term = this.term;
        from.later(commitMs, () => {
            const leads = this.leader === from && this.term === term && !from.cut;
            const status = leads ? this.decide(operationId, command) : "not_leader";
            if (status === "applied") {
                this.world.processes.forEach(process => this.publishTo(process, process === from ? 0 : undefined));
            }
            const configurationVersion = this.configuration.version;
            const ended = { proposalId, status, version: 0, configurationVersion, detail: "" };
            from.loop.post({ kind: ControlKind.ProposalEnded, ...ended, leaderAddress: undefined } as never);
        });
    }

    publishTo(process: FakeProcess, delayMs = this.world.latencyMs() * 3): void {
        const configuration = this.configuration;
        process.later(delayMs, () => {
            const current = process.seenVersion;
            if (!process.cut && (current === undefined || current < configuration.version)) {
                process.seenVersion = configuration.version;
                process.holder.useConfiguration(configuration);
                process.loop.post({ kind: ClusterKind.ConfigurationApplied, configuration } as never);
            }
        });
    }

    /** Elects a member that is alive and connected, `delayMs` from now. */
    elect(delayMs: number): void {
        this.world.time.at(this.world.time.nowMs + delayMs, () => {
            const isUp = (process: FakeProcess | undefined): boolean =>
                process !== undefined && !process.cut && process.frozenUntilMs <= this.world.time.nowMs;
            const members = this.world.controlIds.map(id => this.world.process(id)).filter(isUp) as FakeProcess[];
            if (members.length < 2) {
                this.elect(electionMs);
                return;
            }
            this.leader = members[this.world.random.nextInteger(members.length)]!;
            this.term++;
            this.publishTo(this.leader, 0);
            this.announceLeader();
        });
    }

    private decide(operationId: string, command: Command): string {
        if (!operationIdPattern.test(operationId)) {
            return "invalid";
        }
        return this.apply(command) ? "applied" : "conflict";
    }

    private announceLeader(): void {
        const leaderAddress = this.leader!.instanceId;
        for (const id of this.world.controlIds) {
            const member = this.world.process(id);
            const leading = member === this.leader;
            const changed = { kind: ControlKind.LeaderChanged, leading, term: this.term, leaderId: leaderAddress };
            member?.later(0, () => member.cut || member.loop.post({ ...changed, leaderAddress } as never));
        }
    }

    // Notices a lost leader within 100 ms of true time; the replaced one learns it by its own check of its quorum.
    private watch(): void {
        const now = this.world.time.nowMs;
        const leader = this.leader;
        if (leader !== undefined && (!leader.alive || leader.cut || leader.frozenUntilMs > now + 500)) {
            this.leader = undefined;
            const lost = { kind: ControlKind.LeaderChanged, leading: false, term: this.term, leaderId: undefined };
            leader.later(checkQuorumMs / leader.rate, () => {
                leader.loop.post({ ...lost, leaderAddress: undefined } as never);
            });
            this.elect(electionMs);
        }
        this.world.time.at(now + 100, () => this.watch());
    }

    private apply(command: Command): boolean {
        const accepted = command.kind === CommandKind.SetGroup
            ? this.setGroup(command.expectedTerm, command.group)
            : command.kind === CommandKind.AssignLeases && this.assign(command.assignments);
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
        this.groupHistory.push({ group, atMs: this.world.time.nowMs });
        return true;
    }

    private assign(assignments: readonly LeaseAssignment[]): boolean {
        const keyOf = (lease: LeaseAssignment): string => `${lease.resource}/${lease.resourceId}`;
        const leases = new Map(this.configuration.leases.map(lease => [keyOf(lease), lease]));
        if (assignments.some(lease => (leases.get(keyOf(lease))?.epoch ?? 0) !== lease.epoch - 1)) {
            return false;
        }
        assignments.forEach(lease => leases.set(keyOf(lease), lease));
        this.configuration = { ...this.configuration, leases: [...leases.values()] };
        assignments.forEach(assignment => this.leaseHistory.push({ assignment, atMs: this.world.time.nowMs }));
        return true;
    }
}
