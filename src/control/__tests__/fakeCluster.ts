/** Simulates control members in virtual time, with a network and disks whose faults a test controls. */
import assert from "node:assert/strict";
import { ClusterKind, type ConfigurationApplied } from "../../model/clusterMessages.ts";
import type { Configuration } from "../../model/configuration.ts";
import {
    type Command,
    ControlKind,
    type ControlLeaderChanged,
    type ControlProposalEnded,
} from "../../model/controlMessages.ts";
import { FeedKind } from "../../model/feedMessages.ts";
import { LogKind, type LogSend, type PeerMessage } from "../../model/logMessages.ts";
import { EntryKind, type LogEntry, type Member, type Snapshot } from "../../model/replicatedLog.ts";
import { type StorageAppend, StorageKind, type StorageWrite, WriteKind } from "../../model/storageMessages.ts";
import { EventLoop } from "../../pipeline/eventLoop.ts";
import type { Filter } from "../../pipeline/filter.ts";
import type { Message } from "../../pipeline/message.ts";
import { Pipe } from "../../pipeline/pipe.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import type { Sink } from "../../pipeline/sink.ts";
import { VirtualClock } from "../../pipeline/virtualClock.ts";
import { ApplyFilter } from "../applyFilter.ts";
import { controlFilters } from "../controlPipe.ts";
import { type Committed, memberKey, MemberKind, MemberRole, type TermChanged } from "../memberMessages.ts";

const stepMs = 10;

/** Time after which a write without a result is reported, as by the storage of a member. */
const stallTimeoutMs = 500;

interface Disk {
    incarnation: string;
    term: number;
    votedFor: string | undefined;
    snapshot: Snapshot | undefined;
    entries: readonly LogEntry[];
    /** While set, no write is synced. */
    stalled: boolean;
    /** The member was told that its disk takes no writes. */
    suspended: boolean;
    unsynced: { readonly writeId: number; readonly write: StorageWrite; readonly atMs: number; }[];
}

interface SentMessage {
    readonly atMs: number;
    readonly body: PeerMessage;
}

interface Node {
    readonly memberId: string;
    address: string;
    disk: Disk;
    clock: VirtualClock;
    loop: EventLoop | undefined;
    leaderView: ControlLeaderChanged | undefined;
    configuration: Configuration | undefined;
}

export interface Faults {
    readonly dropShare: number;
    readonly duplicateShare: number;
    readonly maximumDelayMs: number;
    readonly diskDelayMs: number;
}

export interface FakeClusterOptions {
    readonly snapshotEntries?: number;
    /** Number of members that the settings of every member name, from the first one; by default all. */
    readonly seedCount?: number;
    /** Disks that may be lost at the same time; if set, membership is automatic. */
    readonly faultTolerance?: number;
    /** Additional pipes and sinks of the process of a member; called at each start. */
    readonly processPartsOf?: (memberId: string) => ProcessParts;
}

export interface ProcessParts {
    readonly pipes: readonly Pipe[];
    readonly sinks: readonly Sink[];
}

export const noFaults: Faults = { dropShare: 0, duplicateShare: 0, maximumDelayMs: 20, diskDelayMs: 5 };

export class FakeCluster {
    readonly nodes = new Map<string, Node>();
    readonly results = new Map<string, ControlProposalEnded[]>();
    readonly committed = new Map<number, string>();
    members: readonly Member[] = [];
    faults: Faults = noFaults;
    nowMs = 0;
    private readonly random: SeededRandom;
    private initialMembers: readonly { readonly memberId: string; readonly address: string; }[];
    private readonly leaders = new Map<number, string>();
    private readonly votes = new Map<string, string>();
    private readonly callReceivers = new Map<string, string>();
    private readonly isolated = new Set<string>();
    private readonly inboundBlocked = new Set<string>();
    private readonly brokenLinks = new Set<string>();
    private readonly frozen = new Set<string>();
    private network: SentMessage[] = [];
    private nextId = 0;
    private readonly options: FakeClusterOptions;

    constructor(size: number, seed: number, options: FakeClusterOptions = {}) {
        this.random = new SeededRandom(seed);
        this.options = options;
        const ids = Array.from({ length: size }, (_, index) => `m${index}`);
        this.initialMembers = ids.slice(0, options.seedCount ?? size)
            .map(memberId => ({ memberId, address: `${memberId}:1` }));
        ids.forEach(memberId => this.addNode(memberId));
    }

    addNode(memberId: string): void {
        const node = {
            memberId,
            address: `${memberId}:1`,
            disk: this.emptyDisk(),
            clock: new VirtualClock(),
            loop: undefined,
            leaderView: undefined,
            configuration: undefined,
        };
        this.nodes.set(memberId, node);
        this.start(memberId);
    }

    start(memberId: string): void {
        const node = this.nodes.get(memberId);
        if (node === undefined || node.loop !== undefined) {
            return;
        }
        const self = { memberId, incarnation: node.disk.incarnation, address: node.address };
        const filters = [...controlFilters({
            self,
            initialMembers: this.initialMembers,
            random: new SeededRandom(this.random.nextInteger(1 << 30)),
            snapshotEntries: this.options.snapshotEntries ?? 16,
            canFormCluster: this.options.faultTolerance === undefined || this.nowMs === 0,
            automaticMembership: this.options.faultTolerance !== undefined,
            faultTolerance: this.options.faultTolerance ?? 0,
        })];
        filters.splice(filters.findIndex(filter => filter instanceof ApplyFilter), 0, new InvariantChecker(this, self));
        node.clock = new VirtualClock();
        node.clock.advanceTo(this.nowMs);
        node.configuration = undefined;
        node.disk.suspended = false;
        const parts = this.options.processPartsOf?.(memberId) ?? { pipes: [], sinks: [] };
        const pipes = [new Pipe("control", filters), ...parts.pipes];
        const sinks = [...this.sinksOf(node), ...parts.sinks];
        node.loop = new EventLoop({ clock: node.clock, pipes, sinks });
        const { incarnation, term, votedFor, snapshot, entries } = node.disk;
        this.post(memberId, { kind: StorageKind.Recovered, incarnation, term, votedFor, snapshot, entries } as Message);
    }

    /** Stops a member. Of the unsynced writes, a random number of the oldest ones is on disk afterwards. */
    kill(memberId: string): void {
        const node = this.nodes.get(memberId)!;
        node.loop = undefined;
        node.leaderView = undefined;
        const survivors = this.random.nextInteger(node.disk.unsynced.length + 1);
        node.disk.unsynced.splice(survivors);
        node.disk.unsynced.forEach(({ write }) => applyWrite(node.disk, write));
        node.disk.unsynced = [];
    }

    wipe(memberId: string): void {
        this.losePower(memberId);
        this.eraseDisk(memberId);
        this.start(memberId);
    }

    /** Stops a member and discards the unsynced writes of its disk. */
    losePower(memberId: string): void {
        this.nodes.get(memberId)!.disk.unsynced = [];
        this.kill(memberId);
    }

    /** Replaces the disk of a stopped member by an empty one. */
    eraseDisk(memberId: string): void {
        this.nodes.get(memberId)!.disk = this.emptyDisk();
    }

    /** Changes the members that the settings name, also on running members. */
    setSeeds(memberIds: readonly string[]): void {
        this.initialMembers = memberIds.map(memberId => ({ memberId, address: this.nodes.get(memberId)!.address }));
        const message = { kind: ControlKind.SeedsChanged, seeds: this.initialMembers } as Message;
        this.nodes.forEach(node => this.post(node.memberId, message));
    }

    /** Removes a member permanently. */
    remove(memberId: string): void {
        this.losePower(memberId);
        this.nodes.delete(memberId);
    }

    isRunning(memberId: string): boolean {
        return this.nodes.get(memberId)?.loop !== undefined;
    }

    /** Restarts a member under another address. */
    move(memberId: string, address: string): void {
        this.kill(memberId);
        this.nodes.get(memberId)!.address = address;
        this.start(memberId);
    }

    /** Isolates a member from all others, or reconnects it. */
    setIsolated(memberId: string, isolated: boolean): void {
        if (isolated) {
            this.isolated.add(memberId);
        }
        else {
            this.isolated.delete(memberId);
        }
    }

    /** Blocks or unblocks messages to a member; messages from the member are still delivered. */
    setInboundBlocked(memberId: string, inboundBlocked: boolean): void {
        if (inboundBlocked) {
            this.inboundBlocked.add(memberId);
        }
        else {
            this.inboundBlocked.delete(memberId);
        }
    }

    /** Stops a process or lets it go on. Its timers come first then, as in Node.js, and what waits in its sockets later. */
    setFrozen(memberId: string, frozen: boolean): void {
        if (frozen) {
            this.frozen.add(memberId);
        }
        else {
            this.frozen.delete(memberId);
            this.nodes.get(memberId)!.clock.jumpTo(this.nowMs);
        }
    }

    /** Breaks the link between two members in both directions. */
    breakLink(left: string, right: string): void {
        this.brokenLinks.add(`${left}-${right}`).add(`${right}-${left}`);
    }

    restoreLinks(): void {
        this.brokenLinks.clear();
    }

    /** Stops all members at the same time, as a power outage does, and starts them again. */
    crashAll(): void {
        const running = [...this.nodes.values()].filter(node => node.loop !== undefined);
        running.forEach(node => this.kill(node.memberId));
        running.forEach(node => this.start(node.memberId));
    }

    propose(memberId: string, proposalId: string, operationId: string, command: Command): void {
        this.post(memberId, { kind: ControlKind.Propose, proposalId, operationId, command } as Message);
    }

    post(memberId: string, message: Message): void {
        this.nodes.get(memberId)?.loop?.post(message);
    }

    leader(): Node | undefined {
        const leaders = [...this.nodes.values()].filter(node => node.leaderView?.leading);
        return leaders.sort((left, right) => right.leaderView!.term - left.leaderView!.term)[0];
    }

    run(durationMs: number): void {
        for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
            this.nowMs += stepMs;
            this.deliverNetwork();
            const running = [...this.nodes.values()].filter(({ memberId }) => !this.frozen.has(memberId));
            running.forEach(node => this.syncDisk(node));
            running.forEach(node => node.loop !== undefined && node.clock.advanceTo(this.nowMs));
        }
    }

    /** Runs until `done` returns true; fails after `limitMs`. */
    runUntil(condition: string, done: () => boolean, limitMs = 30_000): void {
        for (const endMs = this.nowMs + limitMs; !done();) {
            assert.ok(this.nowMs < endMs, `not reached: ${condition}`);
            this.run(100);
        }
    }

    heal(): void {
        this.faults = noFaults;
        this.isolated.clear();
        this.inboundBlocked.clear();
        this.brokenLinks.clear();
        [...this.frozen].forEach(memberId => this.setFrozen(memberId, false));
        this.nodes.forEach(node => node.disk.stalled = false);
        this.nodes.forEach(node => this.start(node.memberId));
    }

    /** Whether the committed list of members contains every node with its current incarnation. */
    allNodesAreMembers(): boolean {
        const listed = new Set(this.members.map(memberKey));
        return [...this.nodes.values()].every(node => listed.has(`${node.memberId}/${node.disk.incarnation}`));
    }

    checkTerm(self: Member, change: TermChanged): void {
        if (change.role === MemberRole.Leader) {
            const known = this.leaders.get(change.term);
            assert.ok(known === undefined || known === memberKey(self), `two leaders in term ${change.term}`);
            this.leaders.set(change.term, memberKey(self));
        }
    }

    checkCommitted(entries: readonly LogEntry[]): void {
        for (const entry of entries) {
            const text = JSON.stringify(entry);
            assert.equal(this.committed.get(entry.index) ?? text, text, `committed entry ${entry.index} changed`);
            const isNew = !this.committed.has(entry.index);
            this.committed.set(entry.index, text);
            if (isNew && entry.body.kind === EntryKind.Members) {
                this.checkMembers(entry.body.members);
            }
        }
    }

    private checkMembers(members: readonly Member[]): void {
        const before = new Set(this.members.map(memberKey));
        const after = new Set(members.map(memberKey));
        const changes = [...before, ...after].filter(key => before.has(key) !== after.has(key)).length;
        assert.ok(before.size === 0 || changes <= 1, "more than one member changed at once");
        this.members = members;
    }

    private sinksOf(node: Node): readonly Sink[] {
        return [
            sink(StorageKind.Append, (message: StorageAppend) => {
                const { writeId, write } = message;
                const delayMs = this.random.nextInteger(this.faults.diskDelayMs + 1);
                const earliestMs = node.disk.unsynced.at(-1)?.atMs ?? 0;
                node.disk.unsynced.push({ writeId, write, atMs: Math.max(earliestMs, this.nowMs + delayMs) });
            }),
            sink(LogKind.Send, (message: LogSend) => this.send(message.body)),
            sink(ControlKind.LeaderChanged, (message: ControlLeaderChanged) => this.checkLeaderView(node, message)),
            sink(ControlKind.ProposalEnded, (message: ControlProposalEnded) => {
                this.results.set(message.proposalId, [...this.results.get(message.proposalId) ?? [], message]);
            }),
            sink(ClusterKind.ConfigurationApplied, ({ configuration }: ConfigurationApplied) => {
                assert.ok(configuration.version >= (node.configuration?.version ?? 0), "version fell");
                node.configuration = configuration;
            }),
            sink(FeedKind.Send, () => undefined),
            ...this.options.faultTolerance === undefined ? [] : [sink(ControlKind.MembersAgreed, () => undefined)],
        ];
    }

    private checkLeaderView(node: Node, leaderView: ControlLeaderChanged): void {
        node.leaderView = leaderView;
        const acknowledged = [...this.results.values()].flat().map(result => result.configurationVersion);
        const version = node.configuration?.version ?? 0;
        assert.ok(
            !leaderView.leading || version >= Math.max(0, ...acknowledged),
            "a leader lacks an acknowledged change",
        );
    }

    private send(body: PeerMessage): void {
        this.checkVote(body);
        const copies = this.random.nextFloat() < this.faults.duplicateShare ? 2 : 1;
        for (let copy = 0; copy < copies; copy++) {
            if (this.random.nextFloat() >= this.faults.dropShare) {
                const delayMs = this.random.nextInteger(this.faults.maximumDelayMs + 1);
                this.network.push({ atMs: this.nowMs + delayMs, body });
            }
        }
    }

    private checkVote(body: PeerMessage): void {
        if (body.kind !== LogKind.VoteAnswer || body.preVote || !body.granted) {
            return;
        }
        assert.equal(memberKey(body.from), this.callReceivers.get(body.callId), "vote for another incarnation");
        const vote = `${memberKey(body.from)} in ${body.term}`;
        assert.equal(this.votes.get(vote) ?? memberKey(body.to), memberKey(body.to), `second vote of ${vote}`);
        this.votes.set(vote, memberKey(body.to));
    }

    private deliverNetwork(): void {
        const isDue = ({ atMs, body: { to } }: SentMessage): boolean =>
            atMs <= this.nowMs && !this.frozen.has(to.memberId);
        const due = this.network.filter(isDue);
        this.network = this.network.filter(message => !isDue(message));
        for (const { body } of due) {
            if (this.isConnected(body)) {
                const callId = body.callId === "" ? `call${this.nextId++}` : body.callId;
                this.callReceivers.set(callId, memberKey(body.to));
                // A copy, because members must not share objects.
                this.post(body.to.memberId, structuredClone({ ...body, callId }));
            }
        }
    }

    private isConnected({ from, to }: PeerMessage): boolean {
        return this.nodes.get(to.memberId)?.address === to.address && !this.inboundBlocked.has(to.memberId)
            && !this.brokenLinks.has(`${from.memberId}-${to.memberId}`)
            && !this.isolated.has(from.memberId) && !this.isolated.has(to.memberId);
    }

    private syncDisk(node: Node): void {
        const { disk } = node;
        const isSuspended = disk.stalled && disk.unsynced.some(({ atMs }) => this.nowMs - atMs >= stallTimeoutMs);
        if (disk.suspended !== isSuspended) {
            disk.suspended = isSuspended;
            const kind = isSuspended ? StorageKind.Suspended : StorageKind.Resumed;
            this.post(node.memberId, { kind, reason: "stalled" } as Message);
        }
        while (!node.disk.stalled && node.disk.unsynced[0] !== undefined && node.disk.unsynced[0].atMs <= this.nowMs) {
            const { writeId, write } = node.disk.unsynced.shift()!;
            applyWrite(node.disk, write);
            this.post(node.memberId, { kind: StorageKind.AppendDone, writeId } as Message);
        }
    }

    private emptyDisk(): Disk {
        const incarnation = `i${this.nextId++}`;
        return {
            incarnation,
            term: 0,
            votedFor: undefined,
            snapshot: undefined,
            entries: [],
            stalled: false,
            suspended: false,
            unsynced: [],
        };
    }
}

/** Filter in the control pipe that checks elected leaders and committed entries against those of all members. */
class InvariantChecker implements Filter<TermChanged | Committed, Message> {
    readonly step = "recorder";
    readonly accepts = [MemberKind.TermChanged, MemberKind.Committed];
    private readonly cluster: FakeCluster;
    private readonly self: Member;

    constructor(cluster: FakeCluster, self: Member) {
        this.cluster = cluster;
        this.self = self;
    }

    process(message: TermChanged | Committed): readonly Message[] {
        if (message.kind === MemberKind.TermChanged) {
            this.cluster.checkTerm(this.self, message);
        }
        else {
            this.cluster.checkCommitted(message.entries);
        }
        return [message];
    }
}

function applyWrite(disk: Disk, write: StorageWrite): void {
    if (write.kind === WriteKind.Term) {
        disk.term = write.term;
        disk.votedFor = write.votedFor;
    }
    else if (write.kind === WriteKind.Entries) {
        disk.entries = [...disk.entries.filter(entry => entry.index < write.fromIndex), ...write.entries];
    }
    else {
        disk.snapshot = write.snapshot;
        disk.entries = write.discardLog
            ? []
            : disk.entries.filter(entry => entry.index > write.snapshot.lastIndex);
    }
}

function sink<Input extends Message>(kind: Input["kind"], deliver: (message: Input) => void): Sink {
    return { accepts: [kind], deliver: deliver as (message: Message) => void };
}
