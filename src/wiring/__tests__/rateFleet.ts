/** Simulates a fleet in virtual time: instances that admit operations, and control members that grant permits. */
import { Attachments } from "../../fleet/attachments.ts";
import { PermitLeader } from "../../fleet/permitLeader.ts";
import { PermitRequester } from "../../fleet/permitRequester.ts";
import { ControlKind, type ControlPropose, ProposalStatus } from "../../model/controlMessages.ts";
import { type FleetFrame, FleetKind, type SendFrame } from "../../model/fleetMessages.ts";
import type { RateTolerance } from "../../model/rateLimits.ts";
import { emptySessionContext, TaskMode } from "../../model/sessionStatement.ts";
import { emptyTrafficPolicy, RouteConsistency, type WorkspacePolicy } from "../../model/trafficPolicy.ts";
import { DeadlineKind, type DeadlineMessage, DeadlineQueue, setDeadline } from "../../pipeline/deadlineQueue.ts";
import type { Message } from "../../pipeline/message.ts";
import { Pipe } from "../../pipeline/pipe.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { encodeFrame } from "../../rpc/fleetCodec.ts";
import { route } from "../../session/__tests__/sessionFixture.ts";
import { Admission } from "../../session/admission.ts";
import { type Task, type TaskEnded, TaskKind } from "../../session/taskMessages.ts";

/** Processor time by which a control member may lag behind the virtual time before the run is aborted. */
const maximumCpuLagMs = 5_000;

/** Delay of timers, which fire slightly late. */
const timerDelayMs = 0.1;

/** Time in which an entry of the log is committed: a round trip between regions and the syncs of two disks. */
const commitMs = 40;

/** Ratio of the rate of a workspace to its ordinary demand. */
const rateToDemandRatio = 1.6;

export interface FleetSize {
    readonly instances: number;
    readonly workspaces: number;
    /** Operations per second of all workspaces together. */
    readonly demandPerSecond: number;
    readonly seed: number;
}

/** Limit on the operations in one window, as the platform counts them. */
const rateTolerance: RateTolerance = { windowMs: 5_000, share: 0.1, operations: 20 };

interface Node {
    readonly id: string;
    readonly pipes: readonly Pipe[];
    /** Time by which the clock of the node is ahead of the virtual time. */
    clockOffsetMs: number;
    bytes: number;
    frames: number;
    cpuMs: number;
}

interface Traffic {
    readonly workspace: WorkspacePolicy;
    demandPerSecond: number;
    /** Tokens of an ideal token bucket for the whole fleet, to which every operation is known at once. */
    tokens: number;
    refilledAtMs: number;
    readonly admittedMs: number[];
    requestedCount: number;
    /** Operations that were refused although the ideal token bucket admitted them. */
    refusedBelowRateCount: number;
}

export class RateFleet {
    nowMs = 0;
    /** Minimum and maximum one-way delay of a frame. */
    delayRangeMs: readonly [number, number] = [4, 12];
    readonly instances: readonly Node[];
    readonly members = new Map<string, Node>();
    readonly traffic = new Map<string, Traffic>();
    private readonly random: SeededRandom;
    private readonly deadlines = new DeadlineQueue();
    private readonly nodes = new Map<string, Node>();
    private readonly lastArrivalMs = new Map<string, number>();
    private readonly admissibleTaskIds = new Set<string>();
    private readonly heldFrames: { readonly from: Node; readonly to: Node; readonly frame: FleetFrame; }[] = [];
    private readonly waitingByFrozen = new Map<string, Message[]>();
    private isPartitioned: (from: string, to: string) => boolean = () => false;
    private nextEventNumber = 0;
    private term = 0;
    /** The leader of the latest term, which alone can commit entries. */
    private leaderId = "";

    constructor({ instances, workspaces, demandPerSecond, seed }: FleetSize) {
        this.random = new SeededRandom(seed);
        const weights = Array.from({ length: workspaces }, (_, index) => (index + 1) ** -0.7);
        const total = weights.reduce((sum, weight) => sum + weight, 0);
        weights.forEach((weight, index) => {
            const perSecond = demandPerSecond * weight / total;
            const ratePerSecond = Math.round(perSecond * rateToDemandRatio);
            const workspace = { name: `workspace${index}`, keys: [], ratePerSecond, burst: ratePerSecond };
            this.traffic.set(workspace.name, {
                workspace,
                demandPerSecond: perSecond,
                tokens: ratePerSecond,
                refilledAtMs: 0,
                admittedMs: [],
                requestedCount: 0,
                refusedBelowRateCount: 0,
            });
        });
        this.instances = Array.from({ length: instances }, (_, index) => this.addInstance(`i${index}`));
        ["c0", "c1", "c2"].forEach(id => this.addMember(id));
    }

    /** Makes a control member the leader; the instances receive its announcement after a delay. */
    startLeading(memberId: string): void {
        this.term += 1;
        this.leaderId = memberId;
        const member = this.members.get(memberId)!;
        this.run(member, { kind: ControlKind.LeaderChanged, leading: true, term: this.term } as Message);
        this.announceLeadership(member, true);
    }

    /** Ends the leadership of a control member; the instances receive its announcement after a delay. */
    stepDown(memberId: string): void {
        const member = this.members.get(memberId)!;
        this.run(member, { kind: ControlKind.LeaderChanged, leading: false, term: this.term } as Message);
        this.announceLeadership(member, false);
    }

    /** Stops the machine of a control member; all attachments to it end. */
    kill(memberId: string): void {
        this.members.delete(memberId);
        this.nodes.delete(memberId);
        for (const instance of this.instances) {
            this.run(instance, { kind: FleetKind.Detached, attachmentId: memberId } as Message);
        }
    }

    /** Makes the process of a control member stand still; what arrives meanwhile waits. */
    freeze(memberId: string): void {
        this.waitingByFrozen.set(memberId, []);
    }

    thaw(memberId: string): void {
        const waiting = this.waitingByFrozen.get(memberId) ?? [];
        this.waitingByFrozen.delete(memberId);
        waiting.forEach(message => this.run(this.nodes.get(memberId)!, message));
    }

    /** Partitions the network between these nodes; their frames are held back until `heal`. */
    isolate(left: readonly string[], right: readonly string[]): void {
        this.isPartitioned = (from, to) =>
            left.includes(from) && right.includes(to) || left.includes(to) && right.includes(from);
    }

    heal(): void {
        this.isPartitioned = () => false;
        this.heldFrames.splice(0).forEach(({ from, to, frame }) => this.transmit(from, to, frame));
    }

    /** Sets the demand of a workspace to a multiple of its rate; by default to its ordinary demand. */
    flood(name: string, timesRate = 1 / rateToDemandRatio): void {
        const traffic = this.traffic.get(name)!;
        traffic.demandPerSecond = timesRate * traffic.workspace.ratePerSecond;
        this.scheduleArrival(traffic);
    }

    setRate(name: string, ratePerSecond: number): void {
        const traffic = this.traffic.get(name)!;
        Object.assign(traffic.workspace, { ratePerSecond, burst: ratePerSecond });
        [...this.members.values(), ...this.instances].forEach(node => this.run(node, this.policy()));
    }

    /** Sets the burst of every workspace to this many seconds of its rate. */
    setBursts(seconds: number): void {
        for (const { workspace } of this.traffic.values()) {
            Object.assign(workspace, { burst: seconds * workspace.ratePerSecond });
        }
        [...this.members.values(), ...this.instances].forEach(node => this.run(node, this.policy()));
    }

    /** Steps the wall clock of a machine forward. Timers that were set before are not affected. */
    stepClock(id: string, stepMs: number): void {
        this.nodes.get(id)!.clockOffsetMs += stepMs;
    }

    /** Starts the callers of every workspace, whose operations arrive at random instances as a Poisson process. */
    startCallers(): void {
        this.traffic.forEach(traffic => this.scheduleArrival(traffic));
    }

    advance(durationMs: number): void {
        const untilMs = this.nowMs + durationMs;
        for (;;) {
            const atMs = this.deadlines.earliestAtMs();
            if (atMs === undefined || atMs > untilMs) {
                break;
            }
            this.nowMs = Math.max(this.nowMs, atMs);
            (this.deadlines.popDue(this.nowMs) as unknown as { readonly run: () => void; }).run();
            this.assertLeaderKeepsUp();
        }
        this.nowMs = untilMs;
    }

    resetCounts(): void {
        [...this.nodes.values()].forEach(node => Object.assign(node, { bytes: 0, frames: 0, cpuMs: 0 }));
        this.traffic.forEach(traffic => Object.assign(traffic, { requestedCount: 0, refusedBelowRateCount: 0 }));
    }

    /** Share of the operations of these workspaces that were refused although the ideal token bucket admitted them. */
    refusedBelowRateShare(names: readonly string[] = [...this.traffic.keys()]): number {
        const all = names.map(name => this.traffic.get(name)!);
        const requestedCount = all.reduce((sum, traffic) => sum + traffic.requestedCount, 0);
        return all.reduce((sum, traffic) => sum + traffic.refusedBelowRateCount, 0) / requestedCount;
    }

    /** Maximum number of operations in one window minus the limit of the platform; negative below the limit. */
    excessOperations(name: string, sinceMs = 0): number {
        const { ratePerSecond, burst } = this.traffic.get(name)!.workspace;
        const limit = (ratePerSecond * rateTolerance.windowMs / 1_000 + burst) * (1 + rateTolerance.share)
            + rateTolerance.operations;
        const times = this.traffic.get(name)!.admittedMs.filter(atMs => atMs >= sinceMs);
        let first = 0;
        let maximumCount = 0;
        times.forEach((atMs, index) => {
            while (atMs - times[first]! > rateTolerance.windowMs) {
                first += 1;
            }
            maximumCount = Math.max(maximumCount, index - first + 1);
        });
        return maximumCount - limit;
    }

    /** Aborts the run if a control member needs more than one core: the run would take hours. */
    private assertLeaderKeepsUp(): void {
        for (const { id, cpuMs } of this.members.values()) {
            if (cpuMs > this.nowMs + maximumCpuLagMs) {
                throw new Error(`${id} used ${Math.round(cpuMs)} ms of a core in ${Math.round(this.nowMs)} ms`);
            }
        }
    }

    private addInstance(id: string): Node {
        const options = {
            instanceId: id,
            dataCentre: "d",
            address: `${id}:1`,
            serves: true,
            followsConfiguration: true,
        };
        const node: Node = {
            id,
            pipes: [
                new Pipe("fleet", [new Attachments(options), new PermitRequester()]),
                new Pipe("session", [new Admission({ random: new SeededRandom(this.random.nextInteger(2 ** 31)) })]),
            ],
            clockOffsetMs: 0,
            bytes: 0,
            frames: 0,
            cpuMs: 0,
        };
        this.nodes.set(id, node);
        this.run(node, this.policy());
        return node;
    }

    private addMember(id: string): void {
        const node: Node = {
            id,
            pipes: [new Pipe("fleet", [new PermitLeader({ tolerance: rateTolerance })])],
            clockOffsetMs: 0,
            bytes: 0,
            frames: 0,
            cpuMs: 0,
        };
        this.nodes.set(id, node);
        this.members.set(id, node);
        for (const instance of this.instances) {
            this.run(instance, { kind: FleetKind.Attached, attachmentId: id, address: `${id}:1` } as Message);
        }
        this.run(node, this.policy());
    }

    private policy(): Message {
        const workspaces = new Map(
            [...this.traffic.values()].map(({ workspace }) => [workspace.name, { ...workspace }]),
        );
        const policy = { ...emptyTrafficPolicy, version: 1, workspaces };
        return {
            kind: FleetKind.PolicyApplied,
            policy,
            confirmed: true,
            promoted: new Map(),
            ordered: new Map(),
            completedFences: new Map(),
        } as Message;
    }

    private announceLeadership(member: Node, leading: boolean): void {
        const status: FleetFrame = {
            kind: "status",
            instanceId: member.id,
            leading,
            term: this.term,
            members: [],
            configurationVersion: 0,
            instanceCount: this.instances.length,
        };
        this.instances.forEach(instance => this.transmit(member, instance, status));
    }

    private scheduleArrival(traffic: Traffic): void {
        const waitMs = -Math.log(1 - this.random.nextFloat()) * 1_000 / Math.max(0.001, traffic.demandPerSecond);
        this.schedule(`arrival/${traffic.workspace.name}`, this.nowMs + waitMs, () => {
            this.submitOperation(traffic);
            this.scheduleArrival(traffic);
        });
    }

    private submitOperation(traffic: Traffic): void {
        const instance = this.instances[this.random.nextInteger(this.instances.length)]!;
        const urgent = this.random.nextFloat() < 0.15;
        const taskId = `t${this.nextEventNumber++}`;
        const task: Task = {
            taskId,
            sessionId: taskId,
            route: {
                ...route(RouteConsistency.Primary, "orders"),
                priority: urgent ? 1 : 2,
                targetLatencyMs: urgent ? 500 : 1_000,
            },
            service: "s",
            workspace: traffic.workspace.name,
            mode: TaskMode.Single,
            statement: undefined,
            writes: false,
            needsPrimary: true,
            context: emptySessionContext,
            sessionFloor: undefined,
            receivedMs: this.nowMs,
            deadlineMs: this.nowMs + 5_000,
        };
        traffic.requestedCount += 1;
        const { ratePerSecond, burst } = traffic.workspace;
        traffic.tokens = Math.min(burst, traffic.tokens + (this.nowMs - traffic.refilledAtMs) / 1_000 * ratePerSecond);
        traffic.refilledAtMs = this.nowMs;
        if (traffic.tokens >= 1) {
            traffic.tokens -= 1;
            this.admissibleTaskIds.add(taskId);
        }
        this.run(instance, { kind: TaskKind.Submitted, task } as Message);
    }

    private run(node: Node, first: Message): void {
        const waiting = this.waitingByFrozen.get(node.id);
        if (waiting !== undefined) {
            waiting.push(first);
            return;
        }
        const queue: Message[] = [first];
        const nowMs = this.nowMs + node.clockOffsetMs;
        const startUs = this.members.has(node.id) ? process.cpuUsage() : undefined;
        for (let message = queue.shift(); message !== undefined; message = queue.shift()) {
            for (const pipe of node.pipes) {
                for (const output of pipe.accepts.has(message.kind) ? pipe.process(message, nowMs) : []) {
                    if (output !== message) {
                        this.handleOutput(node, output, queue);
                    }
                }
            }
        }
        if (startUs !== undefined) {
            const used = process.cpuUsage(startUs);
            node.cpuMs += (used.user + used.system) / 1_000;
        }
    }

    private handleOutput(node: Node, output: Message, queue: Message[]): void {
        switch (output.kind) {
            case DeadlineKind.Set:
            case DeadlineKind.Clear:
                this.setTimer(node, output as DeadlineMessage);
                return;
            case FleetKind.SendFrame: {
                const { attachmentId, frame } = output as SendFrame;
                const peer = this.nodes.get(attachmentId);
                if (peer !== undefined) {
                    this.transmit(node, peer, frame);
                }
                return;
            }
            case ControlKind.Propose: {
                const { proposalId } = output as ControlPropose;
                if (node.id === this.leaderId) {
                    const ended = { kind: ControlKind.ProposalEnded, proposalId, status: ProposalStatus.Applied };
                    this.schedule(`entry/${node.id}/${proposalId}`, this.nowMs + commitMs, () => this.run(node, ended));
                }
                return;
            }
            case TaskKind.Admitted: {
                const { task } = output as unknown as { readonly task: Task; };
                this.admissibleTaskIds.delete(task.taskId);
                this.traffic.get(task.workspace)!.admittedMs.push(this.nowMs);
                return;
            }
            case TaskKind.Ended: {
                const { task } = output as TaskEnded;
                this.traffic.get(task.workspace)!.refusedBelowRateCount += this.admissibleTaskIds.delete(task.taskId)
                    ? 1
                    : 0;
                return;
            }
            default:
                queue.push(output);
        }
    }

    private transmit(from: Node, to: Node, frame: FleetFrame): void {
        if (this.isPartitioned(from.id, to.id)) {
            this.heldFrames.push({ from, to, frame });
            return;
        }
        const size = encodeFrame(frame).body.length;
        from.bytes += size;
        from.frames += 1;
        to.bytes += size;
        to.frames += 1;
        const [minimumMs, maximumMs] = this.delayRangeMs;
        const delayMs = minimumMs + this.random.nextFloat() * (maximumMs - minimumMs);
        const pair = `${from.id}/${to.id}`;
        const atMs = Math.max(this.lastArrivalMs.get(pair) ?? 0, this.nowMs + delayMs);
        this.lastArrivalMs.set(pair, atMs);
        this.schedule(`frame/${this.nextEventNumber++}`, atMs, () => {
            if (this.isPartitioned(from.id, to.id)) {
                this.heldFrames.push({ from, to, frame });
                return;
            }
            if (!this.nodes.has(to.id)) {
                return;
            }
            this.run(to, { kind: FleetKind.FrameReceived, attachmentId: from.id, frame } as Message);
        });
    }

    private setTimer(node: Node, message: DeadlineMessage): void {
        const key = `${node.id}/${message.key}`;
        if (message.kind === DeadlineKind.Clear) {
            this.deadlines.apply({ ...message, key });
            return;
        }
        const atMs = Math.max(message.atMs - node.clockOffsetMs, this.nowMs) + timerDelayMs;
        this.schedule(key, atMs, () => this.run(node, message.message));
    }

    private schedule(key: string, atMs: number, run: () => void): void {
        this.deadlines.apply(setDeadline(key, atMs, { kind: "run", run } as Message));
    }
}
