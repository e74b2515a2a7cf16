/**
 * Instances and control members in virtual time that send tasks to one cold database: clocks of their own that run at
 * different rates, messages that are late, lost or repeated, processes that stop for a while and start anew, and members that
 * take themselves for the leader after another one was elected.
 */
import { ColdBudgets } from "../../fleet/coldBudgets.ts";
import { ColdRequester } from "../../fleet/coldRequester.ts";
import type { ColdTolerance } from "../../model/coldLimits.ts";
import { ControlKind, type ControlPropose, ProposalStatus } from "../../model/controlMessages.ts";
import {
    type DatabaseReport,
    type FleetFrame,
    FleetKind,
    type PolicyApplied,
    ReportedState,
    type SendFrame,
} from "../../model/fleetMessages.ts";
import { emptySessionContext, TaskMode } from "../../model/sessionStatement.ts";
import { emptyTrafficPolicy } from "../../model/trafficPolicy.ts";
import { type DeadlineMessage, DeadlineQueue } from "../../pipeline/deadlineQueue.ts";
import type { Message } from "../../pipeline/message.ts";
import { Pipe } from "../../pipeline/pipe.ts";
import type { SeededRandom } from "../../pipeline/seededRandom.ts";
import { decodeFrame, encodeFrame } from "../../rpc/fleetCodec.ts";
import { ColdGate } from "../../session/coldGate.ts";
import { TaskKind } from "../../session/taskMessages.ts";

export const tolerance: ColdTolerance = { excess: 1.5, statements: 5 };

/** Interval at which the timers of all processes are checked. */
const stepMs = 2;

const taskLimitMs = 900;

const report: DatabaseReport = {
    databaseId: "d",
    service: "s",
    address: "d:1",
    dataCentre: "dc",
    slots: 3,
    state: ReportedState.Ready,
    leads: true,
    sequence: 1,
    bornUnixMs: 1,
    coldLeftMs: 60_000,
};

export interface ColdFleetOptions {
    readonly instances: number;
    readonly members: number;
    readonly ratePerSecond: number;
    readonly random: SeededRandom;
    readonly minimumDelayMs?: number;
    readonly maximumDelayMs: number;
    readonly lostShare: number;
    readonly repeatedShare: number;
    /** Largest difference of a clock's rate from the right one. */
    readonly drift: number;
}

/** A process with a clock of its own. */
class ColdNode {
    readonly name: string;
    readonly deadlines = new DeadlineQueue();
    pipe: Pipe;
    stoppedUntilMs = -Infinity;
    readonly offsetMs: number;
    readonly rate: number;
    inbox: Message[] = [];
    /** Number of starts. Frames to an earlier process arrive nowhere, because its streams have ended. */
    starts = 0;

    constructor(name: string, pipe: Pipe, offsetMs: number, rate: number) {
        this.name = name;
        this.pipe = pipe;
        this.offsetMs = offsetMs;
        this.rate = rate;
    }
}

export class ColdFleet {
    nowMs = 0;
    /** Times at which tasks were sent to the database. */
    readonly sentMs: number[] = [];
    refusedCount = 0;
    readonly members: ColdNode[] = [];
    readonly instances: ColdNode[] = [];
    private readonly options: ColdFleetOptions;
    private readonly random: SeededRandom;
    private readonly scheduled: { readonly atMs: number; run(): void; }[] = [];
    /** The elections so far; the last one names the leader. */
    private readonly elections: { readonly member: ColdNode; readonly atMs: number; }[] = [];
    /** Pairs of processes whose messages are lost, with the time until which they are. */
    private readonly cutUntilMs = new Map<string, number>();
    private readonly openTransactions = new Set<string>();
    private nextTask = 0;

    constructor(options: ColdFleetOptions) {
        this.options = options;
        this.random = options.random;
        for (let index = 0; index < options.members; index++) {
            const node = this.createNode(`m${index}`, new Pipe("fleet", [new ColdBudgets({ tolerance })]));
            this.members.push(node);
            this.introduce(node);
        }
        for (let index = 0; index < options.instances; index++) {
            this.addInstance();
        }
    }

    addInstance(): void {
        const node = this.createNode(`i${this.instances.length}`, instancePipe());
        this.instances.push(node);
        this.introduce(node);
        this.members.forEach(member => this.tellStatus(member, node));
    }

    /** Starts an instance anew; what it had been granted is forgotten. */
    restart(node: ColdNode): void {
        node.pipe = instancePipe();
        node.starts += 1;
        node.inbox = [];
        this.introduce(node);
        this.members.forEach(member => this.tellStatus(member, node));
    }

    stop(node: ColdNode, durationMs: number): void {
        node.stoppedUntilMs = this.nowMs + durationMs;
    }

    /** Cuts an instance off from a member. */
    cut(instance: ColdNode, member: ColdNode, durationMs: number): void {
        this.cutUntilMs.set(`${instance.name}/${member.name}`, this.nowMs + durationMs);
        this.cutUntilMs.set(`${member.name}/${instance.name}`, this.nowMs + durationMs);
        this.after(durationMs, () => this.tellStatus(member, instance));
    }

    /**
     * Elects a member.
     * @param noticedAfterMs time until the former leader knows, which acts as the leader meanwhile
     */
    elect(member: ColdNode, noticedAfterMs: number): void {
        const former = this.elections.at(-1)?.member;
        const term = this.elections.length + 1;
        this.elections.push({ member, atMs: this.nowMs });
        this.after(this.random.nextInteger(60), () => this.setLeading(member, true, term));
        if (former !== undefined && former !== member) {
            this.after(noticedAfterMs, () => {
                if (this.elections.at(-1)!.member !== former) {
                    this.setLeading(former, false, term);
                }
            });
        }
    }

    /** Posts a task to an instance that believes to be the holder of the database. */
    submit(node: ColdNode, isTransaction: boolean): void {
        const taskId = `t${this.nextTask++}`;
        const sessionId = `${node.name}/${taskId}`;
        const placed = {
            kind: TaskKind.PassedPlaced,
            task: this.task(node, taskId, sessionId, isTransaction ? TaskMode.Transaction : TaskMode.Single),
            databaseId: "d",
            floor: undefined,
            attemptDeadlineMs: this.localMs(node) + taskLimitMs,
        };
        if (isTransaction) {
            this.openTransactions.add(sessionId);
        }
        this.post(node, placed as unknown as Message);
    }

    advance(durationMs: number): void {
        for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
            this.nowMs += stepMs;
            const due = this.scheduled.filter(({ atMs }) => atMs <= this.nowMs);
            due.forEach(entry => {
                this.scheduled.splice(this.scheduled.indexOf(entry), 1);
                entry.run();
            });
            [...this.members, ...this.instances].forEach(node => this.runTimers(node));
        }
    }

    /** Largest number of tasks that were sent in any window. */
    mostSentWithin(windowMs: number): number {
        const times = [...this.sentMs].sort((left, right) => left - right);
        let first = 0;
        let most = 0;
        times.forEach((time, index) => {
            while (time - times[first]! > windowMs) {
                first += 1;
            }
            most = Math.max(most, index - first + 1);
        });
        return most;
    }

    private createNode(name: string, pipe: Pipe): ColdNode {
        const rate = 1 + this.options.drift * (2 * this.random.nextFloat() - 1);
        return new ColdNode(name, pipe, this.random.nextInteger(1e6), rate);
    }

    private introduce(node: ColdNode): void {
        const service = { name: "s", connectionLimit: 50, synchronousReplicas: 1 };
        const cold = { coldStartMs: 5_000, coldPerSecond: this.options.ratePerSecond };
        const policy = { ...emptyTrafficPolicy, version: 1, services: new Map([["s", { ...service, ...cold }]]) };
        this.post(node, {
            kind: FleetKind.PolicyApplied,
            policy,
            confirmed: true,
            promoted: new Map(),
            ordered: new Map(),
            completedFences: new Map(),
        } as PolicyApplied);
        this.post(node, { kind: FleetKind.DatabaseChanged, report } as Message);
    }

    private setLeading(member: ColdNode, leading: boolean, term: number): void {
        this.post(member, { kind: ControlKind.LeaderChanged, leading, term } as Message);
        this.instances.forEach(instance => this.tellStatus(member, instance));
    }

    /** Frames of one stream arrive in order, so that the last status is that of the time at which it arrives. */
    private tellStatus(member: ColdNode, instance: ColdNode): void {
        this.after(this.delayMs(), () => {
            if (this.isCut(member, instance)) {
                return;
            }
            this.receive(instance, member.name, {
                kind: "status",
                instanceId: member.name,
                leading: this.leadingMembers.has(member),
                term: this.elections.findLastIndex(election => election.member === member) + 1,
                members: [],
                configurationVersion: 1,
                instanceCount: 1,
            });
        });
    }

    /** Members that take themselves for the leader. */
    private readonly leadingMembers = new Set<ColdNode>();

    private post(node: ColdNode, message: Message): void {
        if (this.nowMs < node.stoppedUntilMs) {
            node.inbox.push(message);
            return;
        }
        if (message.kind === ControlKind.LeaderChanged) {
            const isLeading = (message as unknown as { readonly leading: boolean; }).leading;
            this.leadingMembers[isLeading ? "add" : "delete"](node);
        }
        node.pipe.process(message, this.localMs(node)).forEach(output => this.deliver(node, message, output));
    }

    private deliver(node: ColdNode, input: Message, output: Message): void {
        if (output === input && !isTask(output)) {
            return;
        }
        if (output.kind.startsWith("deadline.")) {
            node.deadlines.apply(output as DeadlineMessage);
        }
        else if (output.kind === FleetKind.SendFrame) {
            this.send(node, output as SendFrame);
        }
        else if (output.kind === ControlKind.Propose) {
            this.propose(node, output as ControlPropose);
        }
        else if (output.kind === FleetKind.ColdNeeded || output.kind === FleetKind.ColdGranted) {
            this.post(node, output);
        }
        else if (output.kind === TaskKind.Attempted) {
            this.refusedCount += 1;
            this.openTransactions.delete((output as unknown as { task: { sessionId: string; }; }).task.sessionId);
        }
        else if (isTask(output)) {
            this.sentMs.push(this.nowMs);
            this.continueTransaction(node, (output as unknown as { task: { sessionId: string; }; }).task.sessionId);
        }
    }

    /** The next statement of a transaction follows the answer to the one before. */
    private continueTransaction(node: ColdNode, sessionId: string): void {
        if (!this.openTransactions.has(sessionId) || this.random.nextInteger(4) === 0) {
            this.openTransactions.delete(sessionId);
            return;
        }
        const { starts } = node;
        this.after(10 + this.random.nextInteger(300), () => {
            if (node.starts !== starts) {
                // The transaction ended with the process that had its link.
                return;
            }
            const task = this.task(node, `t${this.nextTask++}`, sessionId, TaskMode.Transaction);
            this.post(node, { kind: TaskKind.PassedContinued, task } as Message);
        });
    }

    private task(node: ColdNode, taskId: string, sessionId: string, mode: TaskMode): object {
        return {
            taskId,
            sessionId,
            service: "s",
            workspace: "w",
            mode,
            statement: undefined,
            writes: false,
            needsPrimary: true,
            context: emptySessionContext,
            deadlineMs: this.localMs(node) + taskLimitMs,
        };
    }

    /** A barrier ends as applied only if no later leader was elected before it was committed. */
    private propose(node: ColdNode, { proposalId }: ControlPropose): void {
        const election = this.elections.at(-1);
        this.after(5 + this.random.nextInteger(this.options.maximumDelayMs), () => {
            if (this.elections.at(-1) === election && election?.member === node) {
                // The member hears of the commit later than the others have made it.
                const status = ProposalStatus.Applied;
                const ended = { kind: ControlKind.ProposalEnded, proposalId, status } as Message;
                this.after(this.random.nextInteger(this.options.maximumDelayMs), () => this.post(node, ended));
            }
        });
    }

    private send(node: ColdNode, { attachmentId, frame }: SendFrame): void {
        const target = [...this.members, ...this.instances].find(({ name }) => name === attachmentId)!;
        const { lostShare, repeatedShare } = this.options;
        const received = decodeFrame(encodeFrame(frame))!;
        const copies = this.random.nextFloat() < lostShare ? 0 : this.random.nextFloat() < repeatedShare ? 2 : 1;
        for (let copy = 0; copy < copies; copy++) {
            const { starts } = target;
            this.after(this.delayMs(), () => {
                if (target.starts === starts && !this.isCut(node, target)) {
                    this.receive(target, node.name, received);
                }
            });
        }
    }

    private isCut(from: ColdNode, to: ColdNode): boolean {
        return this.nowMs < (this.cutUntilMs.get(`${from.name}/${to.name}`) ?? -Infinity);
    }

    private receive(node: ColdNode, attachmentId: string, frame: FleetFrame): void {
        this.post(node, { kind: FleetKind.FrameReceived, attachmentId, frame } as Message);
    }

    private runTimers(node: ColdNode): void {
        if (this.nowMs < node.stoppedUntilMs) {
            return;
        }
        const waiting = node.inbox;
        node.inbox = [];
        waiting.forEach(message => this.post(node, message));
        const localMs = this.localMs(node);
        for (let due = node.deadlines.popDue(localMs); due !== undefined; due = node.deadlines.popDue(localMs)) {
            this.post(node, due);
        }
    }

    private localMs({ offsetMs, rate }: ColdNode): number {
        return offsetMs + rate * this.nowMs;
    }

    private delayMs(): number {
        const { minimumDelayMs = 1, maximumDelayMs } = this.options;
        return minimumDelayMs + (maximumDelayMs - minimumDelayMs) * this.random.nextFloat() ** 3;
    }

    private after(delayMs: number, run: () => void): void {
        this.scheduled.push({ atMs: this.nowMs + delayMs, run });
    }
}

function instancePipe(): Pipe {
    return new Pipe("instance", [new ColdRequester(), new ColdGate()]);
}

function isTask({ kind }: Message): boolean {
    return kind === TaskKind.PassedPlaced || kind === TaskKind.PassedContinued;
}
