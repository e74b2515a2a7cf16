/**
 * Simulated network of control members and instances with their fleet pipes, in virtual time; counts the bytes
 * received.
 */
import { ClusterKind } from "../../model/clusterMessages.ts";
import { ControlKind } from "../../model/controlMessages.ts";
import {
    type DatabaseChanged,
    type DatabaseRemoved,
    type DatabaseReport,
    type FleetFrame,
    FleetKind,
    type MembersKnown,
    ReportedState,
    type SendFrame,
} from "../../model/fleetMessages.ts";
import { type InstancesKnown, type PeerInstance, PeerKind } from "../../model/peerMessages.ts";
import { DeadlineKind, type DeadlineMessage, DeadlineQueue, setDeadline } from "../../pipeline/deadlineQueue.ts";
import type { Message } from "../../pipeline/message.ts";
import { Pipe } from "../../pipeline/pipe.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { decodeFrame, encodeFrame } from "../../rpc/fleetCodec.ts";
import { AttachmentHub } from "../attachmentHub.ts";
import { Attachments } from "../attachments.ts";
import { FleetDatabaseDirectory } from "../fleetDatabaseDirectory.ts";
import { MemberDiscovery } from "../memberDiscovery.ts";

/** One-way latency between data centres. */
const oneWayMs = 12;

/** Overhead of gRPC, HTTP/2 and the message envelope per frame. */
const frameOverheadBytes = 20;

const dataCentres = ["ostend", "koksijde", "namur", "liege", "anderlecht", "schaerbeek"];

export interface FleetNode {
    readonly name: string;
    readonly pipe: Pipe;
    readonly control: boolean;
    /** Incremented by each restart; events for an earlier process are dropped. */
    readonly generation: number;
    receivedBytes: number;
    receivedFrames: number;
    readonly received: FleetFrame[];
    /** Peers to which the node may forward tasks, as last published. */
    instances: readonly PeerInstance[];
    /** Fewest peers published since the last `resetCounters`. */
    fewestInstances: number;
    /** Addresses of the members that the node attaches to, as last published. */
    members: readonly string[];
    /** Ids of the databases that the node knows. */
    readonly databases: Set<string>;
}

interface Connection {
    readonly instance: string;
    readonly member: string;
    readonly outId: string;
    readonly inId: string;
}

/** Size of an encoded frame and the frame as decoded by the receiver. */
interface Transmitted {
    readonly bytes: number;
    readonly received: FleetFrame;
}

interface Timer extends Message {
    run(): void;
}

export interface FleetNetworkOptions {
    readonly instances: number;
    readonly members: number;
    /** Time over which the attachments of a starting node are spread. */
    readonly spreadMs: number;
    readonly seed: number;
}

export class FleetNetwork {
    nowMs = 0;
    readonly instanceNames: readonly string[];
    readonly memberNames: readonly string[];
    private readonly options: FleetNetworkOptions;
    private readonly random: SeededRandom;
    private readonly queue = new DeadlineQueue();
    private readonly nodes = new Map<string, FleetNode>();
    private readonly connections = new Map<string, Connection>();
    private readonly transmittedByFrame = new WeakMap<FleetFrame, Transmitted>();
    private nextEvent = 0;
    private nextConnection = 0;
    private nextGeneration = 0;

    constructor(options: FleetNetworkOptions) {
        this.options = options;
        this.random = new SeededRandom(options.seed);
        this.instanceNames = Array.from({ length: options.instances }, (_, index) => `front${index}`);
        this.memberNames = Array.from({ length: options.members }, (_, index) => `core${index}`);
        this.memberNames.forEach(name => this.startMember(name));
        this.instanceNames.forEach(name => this.startInstance(name));
    }

    node(name: string): FleetNode {
        return this.nodes.get(name)!;
    }

    startMember(name: string): void {
        const options = {
            instanceId: name,
            dataCentre: "ostend",
            address: `${name}:9000`,
            serves: false,
            followsConfiguration: false,
        };
        this.add(name, true, [
            new FleetDatabaseDirectory(),
            new AttachmentHub({ instanceId: name }),
            new Attachments(options),
            this.discovery(options.address, true),
        ]);
        this.push(name, { kind: ControlKind.MembersAgreed, addresses: this.memberNames.map(toAddress) } as Message);
        this.memberNames.filter(other => other !== name && this.nodes.has(other)).forEach(other => {
            this.attachLater(name, other);
            this.attachLater(other, name);
        });
        this.instanceNames.filter(instance => this.nodes.has(instance)).forEach(instance =>
            this.attachLater(instance, name)
        );
    }

    startInstance(name: string): void {
        const index = this.instanceNames.indexOf(name);
        const dataCentre = dataCentres[index % dataCentres.length]!;
        const address = `10.128.${index >> 8}.${index & 255}:9000`;
        const options = { instanceId: name, dataCentre, address, serves: true, followsConfiguration: true };
        this.add(name, false, [
            new FleetDatabaseDirectory(),
            new Attachments(options),
            this.discovery(address, false),
        ]);
        this.push(name, seedsOf(this.memberNames));
        this.memberNames.forEach(member => this.attachLater(name, member));
    }

    stop(name: string): void {
        this.nodes.delete(name);
        [...this.connections.values()].filter(({ instance, member }) => instance === name || member === name)
            .forEach(connection => this.detach(connection));
    }

    drain(instance: string): void {
        const untilMs = this.nowMs;
        this.push(
            instance,
            {
                kind: FleetKind.DrainStarted,
                transactionsUntilMs: untilMs,
                answersUntilMs: untilMs,
                final: false,
            } as Message,
        );
    }

    /** Ends all attachments of a member except those of some instances, without reattaching. */
    cutOff(member: string, exceptInstances: readonly string[]): void {
        [...this.connections.values()].filter(connection =>
            (connection.member === member || connection.instance === member)
            && !exceptInstances.includes(connection.instance)
        ).forEach(connection => this.detach(connection));
    }

    /** Makes a member the leader and informs all members. */
    lead(leader: string, term: number): void {
        this.memberNames.filter(name => this.nodes.has(name)).forEach(name =>
            this.push(
                name,
                {
                    kind: ControlKind.LeaderChanged,
                    leading: name === leader,
                    term,
                    leaderId: this.memberNames.includes(leader) ? leader : undefined,
                } as Message,
            )
        );
    }

    /** Makes a member the leader without informing the others. */
    leadOnly(leader: string, term: number): void {
        this.push(leader, { kind: ControlKind.LeaderChanged, leading: true, term } as Message);
    }

    /** Sets the list of control members that one member has agreed on. */
    agreeMembers(member: string, names: readonly string[]): void {
        this.push(member, { kind: ControlKind.MembersAgreed, addresses: names.map(toAddress) } as Message);
    }

    /** Applies a version of the configuration on all nodes. */
    applyConfiguration(version: number): void {
        const message = { kind: ClusterKind.ConfigurationApplied, configuration: { version } } as unknown as Message;
        this.memberNames.forEach(name => this.push(name, message));
        this.instanceNames.forEach(name => this.push(name, message));
    }

    reportDatabase(member: string, databaseId: string, sequence = 1, coldLeftMs?: number): void {
        const report: DatabaseReport = {
            databaseId,
            service: "order-core",
            address: `${databaseId}:8080`,
            dataCentre: dataCentres[0]!,
            slots: 5,
            state: ReportedState.Ready,
            leads: false,
            sequence,
            bornUnixMs: 1,
            coldLeftMs,
        };
        this.push(member, { kind: FleetKind.DatabaseReported, report } as Message);
    }

    removeDatabase(member: string, databaseId: string): void {
        this.push(member, { kind: FleetKind.DatabaseLeft, databaseId, bornUnixMs: undefined } as Message);
    }

    /** Resets the counters of received traffic and the minimum of known instances. */
    resetCounters(): void {
        for (const node of this.nodes.values()) {
            node.receivedBytes = 0;
            node.receivedFrames = 0;
            node.received.length = 0;
            node.fewestInstances = node.instances.length;
        }
    }

    advance(durationMs: number): void {
        const untilMs = this.nowMs + durationMs;
        for (
            let atMs = this.queue.earliestAtMs();
            atMs !== undefined && atMs <= untilMs;
            atMs = this.queue.earliestAtMs()
        ) {
            this.nowMs = Math.max(this.nowMs, atMs);
            (this.queue.popDue(this.nowMs) as Timer).run();
        }
        this.nowMs = untilMs;
    }

    private discovery(address: string, isMember: boolean): MemberDiscovery {
        return new MemberDiscovery({ address, isMember, random: this.random });
    }

    private add(name: string, control: boolean, filters: ConstructorParameters<typeof Pipe>[1]): void {
        this.nodes.set(name, {
            name,
            pipe: new Pipe("fleet", filters),
            control,
            generation: this.nextGeneration++,
            receivedBytes: 0,
            receivedFrames: 0,
            received: [],
            instances: [],
            fewestInstances: Infinity,
            members: [],
            databases: new Set(),
        });
    }

    private attachLater(instance: string, member: string): void {
        this.after(this.random.nextFloat() * this.options.spreadMs, instance, () => this.attach(instance, member));
    }

    private attach(instance: string, member: string): void {
        const isAttached = [...this.connections.values()].some(other =>
            other.instance === instance && other.member === member
        );
        if (isAttached || !this.nodes.has(member)) {
            return;
        }
        const number = this.nextConnection++;
        const connection = { instance, member, outId: `out${number}`, inId: `in${number}` };
        this.connections.set(connection.outId, connection);
        this.connections.set(connection.inId, connection);
        this.push(member, { kind: FleetKind.Attached, attachmentId: connection.inId, address: undefined } as Message);
        const address = toAddress(member);
        this.push(instance, { kind: FleetKind.Attached, attachmentId: connection.outId, address } as Message);
    }

    private detach({ instance, member, outId, inId }: Connection): void {
        if (!this.connections.delete(outId)) {
            return;
        }
        this.connections.delete(inId);
        this.push(instance, { kind: FleetKind.Detached, attachmentId: outId } as Message);
        this.push(member, { kind: FleetKind.Detached, attachmentId: inId } as Message);
    }

    private push(name: string, message: Message): void {
        const node = this.nodes.get(name);
        node?.pipe.process(message, this.nowMs).forEach(output => this.handleOutput(node, output));
    }

    private handleOutput(node: FleetNode, output: Message): void {
        if (output.kind === FleetKind.SendFrame) {
            this.transmit(output as SendFrame);
        }
        else if (output.kind === DeadlineKind.Set || output.kind === DeadlineKind.Clear) {
            this.applyDeadline(node, output as DeadlineMessage);
        }
        else if (output.kind === FleetKind.MembersKnown) {
            node.members = (output as MembersKnown).addresses;
        }
        else if (output.kind === FleetKind.DatabaseChanged) {
            node.databases.add((output as DatabaseChanged).report.databaseId);
        }
        else if (output.kind === FleetKind.DatabaseRemoved) {
            node.databases.delete((output as DatabaseRemoved).databaseId);
        }
        else if (output.kind === PeerKind.InstancesKnown) {
            node.instances = (output as InstancesKnown).instances;
            node.fewestInstances = Math.min(node.fewestInstances, node.instances.length);
        }
    }

    private transmit({ attachmentId, frame }: SendFrame): void {
        const connection = this.connections.get(attachmentId);
        if (connection === undefined) {
            return;
        }
        const { instance, member, outId, inId } = connection;
        const [receiver, receiverId] = attachmentId === outId ? [member, inId] : [instance, outId];
        this.after(oneWayMs, receiver, () => {
            if (this.connections.get(receiverId) !== connection) {
                return;
            }
            const node = this.node(receiver);
            const { bytes, received } = this.encode(frame);
            node.receivedBytes += bytes;
            node.receivedFrames += 1;
            node.received.push(received);
            const message = { kind: FleetKind.FrameReceived, attachmentId: receiverId, frame: received };
            this.push(receiver, message as Message);
        });
    }

    private encode(frame: FleetFrame): Transmitted {
        const known = this.transmittedByFrame.get(frame);
        if (known !== undefined) {
            return known;
        }
        const message = encodeFrame(frame);
        const transmitted = { bytes: frameOverheadBytes + message.body.length, received: decodeFrame(message)! };
        this.transmittedByFrame.set(frame, transmitted);
        return transmitted;
    }

    private applyDeadline(node: FleetNode, deadline: DeadlineMessage): void {
        const key = `${node.name}/${node.generation}/${deadline.key}`;
        if (deadline.kind === DeadlineKind.Clear) {
            this.queue.apply({ ...deadline, key });
            return;
        }
        const { atMs, message } = deadline;
        this.schedule(key, atMs, node, () => this.push(node.name, message));
    }

    private after(durationMs: number, name: string, run: () => void): void {
        this.schedule(`event/${this.nextEvent++}`, this.nowMs + durationMs, this.nodes.get(name), run);
    }

    /** Schedules a call that is skipped if the process has stopped or restarted by then. */
    private schedule(key: string, atMs: number, node: FleetNode | undefined, run: () => void): void {
        const runIfAlive = (): void => {
            if (node !== undefined && this.nodes.get(node.name) === node) {
                run();
            }
        };
        this.queue.apply(setDeadline(key, atMs, { kind: "timer", run: runIfAlive } as Timer));
    }
}

function toAddress(member: string): string {
    return `${member}:9000`;
}

function seedsOf(memberNames: readonly string[]): Message {
    const seeds = memberNames.map(name => ({ memberId: name, address: toAddress(name) }));
    return { kind: ControlKind.SeedsChanged, seeds } as Message;
}
