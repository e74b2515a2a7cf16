/** A cluster at message level in virtual time: processes with drifting clocks, a fake control and fake databases. */
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

/** True time in milliseconds and everything that will happen. */
export class Scheduler {
    nowMs = 0;
    private queue: { readonly atMs: number; readonly run: () => void; }[] = [];

    at(atMs: number, run: () => void): void {
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
    readonly seen: Message[] = [];
    /** Local milliseconds per true millisecond. */
    readonly rate: number;
    alive = true;
    partitioned = false;
    frozenUntilMs = 0;
    seenVersion: number | undefined;
    validUntilMs = 0;
    private leases: ReadonlySet<string> = new Set();
    private readonly cluster: SimulatedCluster;
    private wake: object | undefined;

    constructor(cluster: SimulatedCluster, instanceId: string, dataCentre: string, rate: number, incarnation: string) {
        this.cluster = cluster;
        this.instanceId = instanceId;
        this.dataCentre = dataCentre;
        this.rate = rate;
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
        return this.cluster.time.nowMs * this.rate;
    }

    soon(run: () => void): void {
        this.later(0, run);
    }

    wakeAt(atMs: number, run: () => void): void {
        const wake = {};
        this.wake = wake;
        // Rounding up keeps a wake-up from coming just before its deadline, which would repeat it without end.
        const delayMs = Math.max(0, atMs / this.rate - this.cluster.time.nowMs) + 0.01;
        this.later(delayMs, () => this.wake === wake && run());
    }

    cancelWake(): void {
        this.wake = undefined;
    }

    /** Runs after `delayMs` of true time, when the process is not frozen, unless it was killed. */
    later(delayMs: number, run: () => void): void {
        const resume = (): void => {
            if (this.alive && this.cluster.time.nowMs < this.frozenUntilMs) {
                this.cluster.time.at(this.frozenUntilMs, resume);
            }
            else if (this.alive) {
                run();
            }
        };
        this.cluster.time.at(this.cluster.time.nowMs + delayMs, resume);
    }

    /** Resources whose lease is valid by the clock of this process. */
    validLeases(): ReadonlySet<string> {
        return this.alive && this.nowMs() < this.validUntilMs ? this.leases : new Set();
    }

    private deliver(message: Message): void {
        this.seen.push(message);
        if (message.kind === ClusterKind.LeasesRenewed) {
            const { leases, validUntilMs } = message as LeasesRenewed;
            this.leases = new Set(leases.map(lease => `${lease.resource}/${lease.resourceId}`));
            this.validUntilMs = validUntilMs;
            this.cluster.checkLeases();
        }
        else if (message.kind === HealthKind.HeartbeatSend) {
            this.cluster.carryHeartbeat(this, message as HeartbeatSend);
        }
        else if (message.kind === HealthKind.HeartbeatReply) {
            this.cluster.carryReply(message as HeartbeatReply);
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
    /** Largest deviation of a clock's speed. */
    readonly drift?: number;
    /** Share of heartbeats and answers that are delayed by up to 3 s, and the same share again that is duplicated. */
    readonly disorder?: number;
}

const dataCentres = ["north", "middle", "south"];

/** Data centre of the instance with this index. */
export function dataCentreOf(index: number): string {
    return dataCentres[index % dataCentres.length]!;
}

export class SimulatedCluster {
    readonly time = new Scheduler();
    readonly random: SeededRandom;
    readonly control: FakeControl;
    readonly processes: FakeProcess[] = [];
    readonly databases: FakeDatabase[] = [];
    readonly controlIds: readonly string[];
    readonly violations: string[] = [];
    /** Ids of writes that were acknowledged, by group. */
    readonly acknowledged = new Map<string, { readonly id: string; readonly atMs: number; }[]>();
    private readonly options: SimulatedClusterOptions;
    private readonly calls = new Map<string, (reply: HeartbeatReply) => void>();
    private nextCall = 1;

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
        const rate = 1 + (this.random.nextShare() * 2 - 1) * (this.options.drift ?? 0);
        const process = new FakeProcess(this, instanceId, dataCentre, rate, `${instanceId}.${this.nextCall++}`);
        this.processes.push(process);
        this.control.publishTo(process);
        return process;
    }

    /** The living process of an instance. */
    process(instanceId: string): FakeProcess | undefined {
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
        this.time.runUntil(untilMs);
    }

    latencyMs(): number {
        return 1 + this.random.nextShare() * 12;
    }

    carryHeartbeat(from: FakeProcess, message: HeartbeatSend): void {
        const { heartbeatId, peerAddress } = message;
        let answered = false;
        const answer = (reply: HeartbeatReply | undefined): void => {
            answered = true;
            const body = reply?.answer;
            from.loop.post({ kind: HealthKind.HeartbeatAnswered, heartbeatId, peerAddress, answer: body } as Message);
        };
        // A late answer is still delivered, as by a client that does not cancel the call.
        from.later(message.timeoutMs, () => answered || answer(undefined));
        this.disturbed(delayMs => this.receive(from, message, delayMs, answer));
    }

    carryReply(reply: HeartbeatReply): void {
        this.calls.get(reply.callId)?.(reply);
    }

    private receive(
        from: FakeProcess,
        { heartbeat, peerAddress }: HeartbeatSend,
        delayMs: number,
        answer: (reply: HeartbeatReply) => void,
    ): void {
        const callId = `c${this.nextCall++}`;
        const peer = this.process(peerAddress);
        const received: HeartbeatReceived = { kind: HealthKind.HeartbeatReceived, callId, heartbeat };
        this.calls.set(callId, reply => {
            this.calls.delete(callId);
            this.disturbed(replyDelayMs =>
                from.later(replyDelayMs, () => from.partitioned || peer!.partitioned || answer(reply))
            );
        });
        peer?.later(delayMs, () => from.partitioned || peer.partitioned || peer.loop.post(received));
    }

    private disturbed(carry: (delayMs: number) => void): void {
        const disorder = this.options.disorder ?? 0;
        const late = this.random.nextShare() < disorder ? this.random.nextShare() * 3_000 : 0;
        carry(this.latencyMs() + late);
        if (this.random.nextShare() < disorder) {
            carry(this.latencyMs() + this.random.nextShare() * 3_000);
        }
    }

    /**
     * Records two valid leases for one resource, each valid by the clock of its holder. Validity begins only with a
     * renewal, so that a check after each renewal misses none.
     */
    checkLeases(): void {
        const holders = new Map<string, FakeProcess>();
        for (const process of this.processes) {
            for (const key of process.validLeases()) {
                const other = holders.get(key);
                if (other !== undefined) {
                    this.violations.push(
                        `${this.time.nowMs}: ${key} held by ${other.instanceId}, ${process.instanceId}`,
                    );
                }
                holders.set(key, process);
            }
        }
    }
}
