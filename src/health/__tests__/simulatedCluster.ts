/** Simulated cluster at message level in virtual time, with drifting clocks and fakes of control and databases. */
import { ClusterKind, type LeasesRenewed } from "../../model/clusterMessages.ts";
import type { ControlPropose } from "../../model/controlMessages.ts";
import {
    HealthKind,
    type HeartbeatReceived,
    type HeartbeatReply,
    type HeartbeatSend,
} from "../../model/healthMessages.ts";
import { type Clock, EventLoop } from "../../pipeline/eventLoop.ts";
import type { Message } from "../../pipeline/message.ts";
import { Pipe } from "../../pipeline/pipe.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { DatabaseDirectory } from "../databaseDirectory.ts";
import { DatabaseTable } from "../databaseTable.ts";
import { Failover } from "../failover.ts";
import { HeartbeatReplier } from "../heartbeatReplier.ts";
import { HeartbeatSender } from "../heartbeatSender.ts";
import { Leadership } from "../leadership.ts";
import { LeaseAssigner } from "../leaseAssigner.ts";
import { FakeControl } from "./fakeControl.ts";
import { FakeDatabase } from "./fakeDatabase.ts";
import { FakeHolder } from "./fakeHolder.ts";

/** Virtual time in milliseconds, and the queue of scheduled events. */
export class Scheduler {
    nowMs = 0;
    private queue: { readonly atMs: number; readonly run: () => void; }[] = [];

    schedule(atMs: number, run: () => void): void {
        let index = this.queue.length;
        while (index > 0 && this.queue[index - 1]!.atMs > atMs) {
            index--;
        }
        this.queue.splice(index, 0, { atMs: Math.max(atMs, this.nowMs), run });
    }

    runUntil(untilMs: number): void {
        while (this.queue.length > 0 && this.queue[0]!.atMs <= untilMs) {
            const next = this.queue.shift()!;
            this.nowMs = Math.max(this.nowMs, next.atMs);
            next.run();
        }
        this.nowMs = untilMs;
    }
}

export class FakeProcess implements Clock {
    readonly instanceId: string;
    readonly dataCentre: string;
    readonly loop: EventLoop;
    readonly holder: FakeHolder;
    readonly outputs: Message[] = [];
    /** Milliseconds of the local clock per millisecond of virtual time. */
    readonly clockRate: number;
    alive = true;
    partitioned = false;
    frozenUntilMs = 0;
    appliedVersion: number | undefined;
    validUntilMs = 0;
    private leases: ReadonlySet<string> = new Set();
    private readonly cluster: SimulatedCluster;
    private wake: object | undefined;

    constructor(
        cluster: SimulatedCluster,
        instanceId: string,
        dataCentre: string,
        clockRate: number,
        incarnation: string,
    ) {
        this.cluster = cluster;
        this.instanceId = instanceId;
        this.dataCentre = dataCentre;
        this.clockRate = clockRate;
        this.holder = new FakeHolder(cluster, this);
        const controlAddresses = cluster.controlIds;
        const sender = { instanceId, address: instanceId, dataCentre, incarnation, controlAddresses };
        const health = new Pipe("health", [
            new DatabaseTable(),
            new HeartbeatSender(sender),
            new Leadership(),
            new DatabaseDirectory(),
            new LeaseAssigner({ incarnation }),
            new Failover(),
            new HeartbeatReplier(),
        ]);
        const kinds = [
            ClusterKind.ConfigurationProved,
            ClusterKind.DatabasesChanged,
            ClusterKind.LeasesRenewed,
            HealthKind.HeartbeatReply,
            HealthKind.HeartbeatSend,
            HealthKind.ReleaseLease,
            "control.propose",
            "holder.order",
        ];
        const sink = { accepts: kinds, deliver: (message: Message) => this.deliver(message) };
        this.loop = new EventLoop({ clock: this, pipes: [health], sinks: [sink] });
        this.loop.post({ kind: HealthKind.HeartbeatDue });
        this.holder.start();
    }

    nowMs(): number {
        return this.cluster.scheduler.nowMs * this.clockRate;
    }

    runSoon(run: () => void): void {
        this.runAfter(0, run);
    }

    scheduleWakeUp(atMs: number, run: () => void): void {
        const wake = {};
        this.wake = wake;
        // Rounded up, because a wake-up just before its deadline would be repeated endlessly.
        const delayMs = Math.max(0, atMs / this.clockRate - this.cluster.scheduler.nowMs) + 0.01;
        this.runAfter(delayMs, () => this.wake === wake && run());
    }

    cancelWakeUp(): void {
        this.wake = undefined;
    }

    /** Calls `run` after `delayMs` of virtual time, or when the process is no longer frozen, unless it was killed. */
    runAfter(delayMs: number, run: () => void): void {
        const resume = (): void => {
            if (this.alive && this.cluster.scheduler.nowMs < this.frozenUntilMs) {
                this.cluster.scheduler.schedule(this.frozenUntilMs, resume);
            }
            else if (this.alive) {
                run();
            }
        };
        this.cluster.scheduler.schedule(this.cluster.scheduler.nowMs + delayMs, resume);
    }

    /** Resources whose lease is valid by the clock of this process. */
    validLeases(): ReadonlySet<string> {
        return this.alive && this.nowMs() < this.validUntilMs ? this.leases : new Set();
    }

    private deliver(message: Message): void {
        this.outputs.push(message);
        if (message.kind === ClusterKind.LeasesRenewed) {
            const { leases, validUntilMs } = message as LeasesRenewed;
            this.leases = new Set(leases.map(lease => `${lease.resource}/${lease.resourceId}`));
            this.validUntilMs = validUntilMs;
            this.cluster.checkLeases();
        }
        else if (message.kind === HealthKind.HeartbeatSend) {
            this.cluster.deliverHeartbeat(this, message as HeartbeatSend);
        }
        else if (message.kind === HealthKind.HeartbeatReply) {
            this.cluster.deliverReply(message as HeartbeatReply);
        }
        else if (message.kind === "control.propose") {
            this.cluster.control.propose(this, message as ControlPropose);
        }
        else {
            this.holder.deliver(message);
        }
    }
}

export interface SimulatedClusterOptions {
    readonly seed: number;
    readonly instances: number;
    readonly groups: number;
    /** Maximum relative deviation of the speed of a clock. */
    readonly maximumDrift?: number;
    /** Fraction of the heartbeats and answers that is delayed by up to 3 s; the same fraction is duplicated. */
    readonly disorder?: number;
}

const dataCentres = ["north", "middle", "south"];

export function dataCentreOf(instanceIndex: number): string {
    return dataCentres[instanceIndex % dataCentres.length]!;
}

export class SimulatedCluster {
    readonly scheduler = new Scheduler();
    readonly random: SeededRandom;
    readonly control: FakeControl;
    readonly processes: FakeProcess[] = [];
    readonly databases: FakeDatabase[] = [];
    readonly controlIds: readonly string[];
    readonly leaseViolations: string[] = [];
    /** By group id. */
    readonly acknowledgedWrites = new Map<string, { readonly id: string; readonly atMs: number; }[]>();
    private readonly options: SimulatedClusterOptions;
    private readonly calls = new Map<string, (reply: HeartbeatReply) => void>();
    private nextCallId = 1;

    constructor(options: SimulatedClusterOptions) {
        this.options = options;
        this.random = new SeededRandom(options.seed);
        this.control = new FakeControl(this);
        const ids = Array.from({ length: options.instances }, (_, index) => `i${index}`);
        this.controlIds = ids.slice(0, 3);
        ids.forEach((id, index) => this.startProcess(id, dataCentreOf(index)));
        for (let group = 0; group < options.groups; group++) {
            dataCentres.forEach((dataCentre, index) => {
                this.databases.push(new FakeDatabase(this, `g${group}`, `g${group}d${index}`, dataCentre, index === 0));
            });
        }
        this.control.elect(0);
    }

    startProcess(instanceId: string, dataCentre: string): FakeProcess {
        const clockRate = 1 + (this.random.nextFloat() * 2 - 1) * (this.options.maximumDrift ?? 0);
        const process = new FakeProcess(this, instanceId, dataCentre, clockRate, `${instanceId}.${this.nextCallId++}`);
        this.processes.push(process);
        this.control.publishTo(process);
        return process;
    }

    liveProcess(instanceId: string): FakeProcess | undefined {
        return this.processes.findLast(process => process.instanceId === instanceId && process.alive);
    }

    database(databaseId: string): FakeDatabase {
        return this.databases.find(database => database.databaseId === databaseId)!;
    }

    group(groupId: string) {
        return this.control.configuration.groups.find(group => group.groupId === groupId);
    }

    holderOf(databaseId: string): FakeProcess | undefined {
        return this.processes.find(process => process.validLeases().has(`database/${databaseId}`));
    }

    runUntil(untilMs: number): void {
        this.scheduler.runUntil(untilMs);
    }

    latencyMs(): number {
        return 1 + this.random.nextFloat() * 12;
    }

    deliverHeartbeat(from: FakeProcess, message: HeartbeatSend): void {
        const { heartbeatId, peerAddress } = message;
        let answered = false;
        const answer = (reply: HeartbeatReply | undefined): void => {
            answered = true;
            const body = reply?.answer;
            from.loop.post({ kind: HealthKind.HeartbeatAnswered, heartbeatId, peerAddress, answer: body } as Message);
        };
        // A late answer is still delivered, as by a client that does not cancel the call.
        from.runAfter(message.timeoutMs, () => answered || answer(undefined));
        this.transmit(delayMs => this.receive(from, message, delayMs, answer));
    }

    deliverReply(reply: HeartbeatReply): void {
        this.calls.get(reply.callId)?.(reply);
    }

    private receive(
        from: FakeProcess,
        { heartbeat, peerAddress }: HeartbeatSend,
        delayMs: number,
        answer: (reply: HeartbeatReply) => void,
    ): void {
        const callId = `c${this.nextCallId++}`;
        const peer = this.liveProcess(peerAddress);
        const received: HeartbeatReceived = { kind: HealthKind.HeartbeatReceived, callId, heartbeat };
        this.calls.set(callId, reply => {
            this.calls.delete(callId);
            this.transmit(replyDelayMs =>
                from.runAfter(replyDelayMs, () => from.partitioned || peer!.partitioned || answer(reply))
            );
        });
        peer?.runAfter(delayMs, () => from.partitioned || peer.partitioned || peer.loop.post(received));
    }

    private transmit(deliver: (delayMs: number) => void): void {
        const disorder = this.options.disorder ?? 0;
        const lateMs = this.random.nextFloat() < disorder ? this.random.nextFloat() * 3_000 : 0;
        deliver(this.latencyMs() + lateMs);
        if (this.random.nextFloat() < disorder) {
            deliver(this.latencyMs() + this.random.nextFloat() * 3_000);
        }
    }

    /**
     * Records a violation if two processes have a valid lease for one resource, each by its own clock. Only a renewal
     * makes a lease valid, so that a check after each renewal finds every violation.
     */
    checkLeases(): void {
        const holders = new Map<string, FakeProcess>();
        for (const process of this.processes) {
            for (const key of process.validLeases()) {
                const other = holders.get(key);
                if (other !== undefined) {
                    this.leaseViolations.push(
                        `${this.scheduler.nowMs}: ${key} held by ${other.instanceId}, ${process.instanceId}`,
                    );
                }
                holders.set(key, process);
            }
        }
    }
}
