/**
 * Passes tasks to the holder of their database, the instance that keeps its connection pool, and fails the attempt when
 * the holder does not answer. Tasks for databases of which this instance is the holder go on to its own links.
 */
import { match } from "ts-pattern";
import { type ExplanationAsked, ExplanationKind } from "../model/explanation.ts";
import {
    type DatabaseChanged,
    type DatabaseRemoved,
    type DatabaseSuspected,
    FleetKind,
} from "../model/fleetMessages.ts";
import {
    type InstancesKnown,
    type PassedResult,
    type PassedTask,
    type PeerAnswered,
    PeerKind,
    type PeerLost,
    type PeerSend,
} from "../model/peerMessages.ts";
import { StatementFault, TaskMode } from "../model/sessionStatement.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { explainHolder } from "./explainHolder.ts";
import { HolderChoice } from "./holderChoice.ts";
import { HomeRule } from "./homeRule.ts";
import { preparedStatementOf } from "./link.ts";
import { Responsiveness } from "./responsiveness.ts";
import {
    type HolderChanged,
    type LinkTask,
    type TaskAbandoned,
    type TaskAttempted,
    type TaskContinued,
    type TaskExpired,
    TaskKind,
    type TaskPlaced,
    type TaskTimer,
    taskTimer,
} from "./taskMessages.ts";

/**
 * Lower bound of the timeout after which tasks go to another holder; above the longest execution time of a statement
 * plus its wait for a slot and the round trip.
 */
const minimumTimeoutMs = 400;

/** Upper bound of this timeout; leaves time for another attempt within the shortest usual statement limit, 1 s. */
const maximumTimeoutMs = 800;

/** Interval at which a holder that is silent is compared with other instances. */
const comparisonIntervalMs = 50;

/** Maximum of timed-out reads that are remembered, because a late answer is still useful. */
const maximumTimedOutReads = 256;

/** Separates the task id from the number of the attempt. */
const attemptSeparator = ".";

interface PendingAttempt {
    /** Task id that is sent to the holder; unique per attempt, so that late results are recognized. */
    readonly attemptId: string;
    readonly task: LinkTask;
    readonly databaseId: string;
    readonly address: string;
    readonly sentMs: number;
}

type ForwardingInput =
    | TaskPlaced
    | TaskContinued
    | TaskAbandoned
    | TaskExpired
    | TaskTimer
    | PeerAnswered
    | PeerLost
    | InstancesKnown
    | DatabaseChanged
    | DatabaseRemoved
    | DatabaseSuspected
    | ExplanationAsked;

export interface ForwardingOptions {
    readonly instanceId: string;
    /** Region of each data centre; by default none is known. */
    readonly dataCentreRegions?: ReadonlyMap<string, string>;
}

export class Forwarding implements Filter<ForwardingInput, Message> {
    readonly step = "forwarding";
    readonly accepts = [
        TaskKind.Placed,
        TaskKind.Continued,
        TaskKind.Abandoned,
        TaskKind.Expired,
        TaskKind.ForwardDue,
        PeerKind.Answered,
        PeerKind.Lost,
        PeerKind.InstancesKnown,
        FleetKind.DatabaseChanged,
        FleetKind.DatabaseRemoved,
        FleetKind.DatabaseSuspected,
        ExplanationKind.Asked,
    ];
    private readonly instanceId: string;
    private readonly responsiveness = new Responsiveness({
        minimumTimeoutMs,
        maximumTimeoutMs,
    });
    private readonly holders: HolderChoice;
    private readonly homes: HomeRule;
    /** Time of the last answer of a holder, by address. */
    private readonly lastAnswerMs = new Map<string, number>();
    private readonly pending = new Map<string, PendingAttempt>();
    /** Whether this instance is the holder of a database, as last published to the links. */
    private readonly publishedIsHolder = new Map<string, boolean>();
    /** Address of the holder on whose link a session has an open transaction, by session id. */
    private readonly pinnedHolders = new Map<string, string>();
    /** Timed-out reads whose result may still arrive, by attempt id, oldest first. */
    private readonly timedOutReads = new Map<string, PendingAttempt>();
    private nextAttemptNumber = 0;

    constructor({ instanceId, dataCentreRegions = new Map() }: ForwardingOptions) {
        this.instanceId = instanceId;
        this.homes = new HomeRule(dataCentreRegions);
        this.holders = new HolderChoice({ instanceId, responsiveness: this.responsiveness });
    }

    process(message: ForwardingInput, nowMs: number): readonly Message[] {
        return match<ForwardingInput, readonly Message[]>(message)
            .with({ kind: TaskKind.Placed }, input => this.place(input, nowMs))
            .with({ kind: TaskKind.Continued }, input => this.continue(input, nowMs))
            .with({ kind: TaskKind.Abandoned }, input => this.abandon(input))
            .with({ kind: TaskKind.Expired }, input => {
                const pending = this.pending.get(input.taskId);
                return pending === undefined ? [input] : [...this.failPending(pending), abandonRequest(pending)];
            })
            .with(
                { kind: PeerKind.Answered, result: { kind: "task" } },
                ({ address, result }) => this.handleResult(address, result, nowMs),
            )
            .with({ kind: PeerKind.Answered }, input => [input])
            .with({ kind: PeerKind.Lost }, input => this.handleDisconnect(input, nowMs))
            .with({ kind: PeerKind.InstancesKnown }, input => {
                const addresses = new Set(input.instances.map(({ address }) => address));
                this.responsiveness.retain(addresses);
                [...this.lastAnswerMs.keys()].filter(address => !addresses.has(address))
                    .forEach(address => this.lastAnswerMs.delete(address));
                return this.holders.setInstances(input.instances)
                    .flatMap(databaseId => this.refreshHolder(databaseId, nowMs));
            })
            .with({ kind: FleetKind.DatabaseChanged }, input => {
                this.holders.addDatabase(input.report);
                return [input, ...this.refreshHolder(input.report.databaseId, nowMs)];
            })
            .with({ kind: FleetKind.DatabaseRemoved }, input => {
                this.holders.removeDatabase(input.databaseId);
                // The holder is published again if the database returns.
                this.publishedIsHolder.delete(input.databaseId);
                return [input];
            })
            .with({ kind: FleetKind.DatabaseSuspected }, input => {
                this.holders.recordUnreachable(input, nowMs);
                return [input, ...this.refreshHolder(input.databaseId, nowMs)];
            })
            .with({ kind: ExplanationKind.Asked }, input => [this.explain(input, nowMs)])
            .otherwise(timer => this.checkTimeout((timer as TaskTimer).id, nowMs));
    }

    private explain(asked: ExplanationAsked, nowMs: number): Message {
        const { holders, homes, instanceId } = this;
        return explainHolder(asked, { holders, homes, instanceId }, nowMs);
    }

    private place(placed: TaskPlaced, nowMs: number): readonly Message[] {
        if (!this.mayPass(placed)) {
            return [placed];
        }
        const { address, isHolder } = this.holders.choose(placed.databaseId, nowMs);
        const holderChanged = this.publishHolder(placed.databaseId, isHolder);
        return address === undefined
            ? [...holderChanged, placed]
            : [...holderChanged, ...this.forward(placed, address, nowMs)];
    }

    private continue(continued: TaskContinued, nowMs: number): readonly Message[] {
        const { task } = continued;
        const address = this.pinnedHolders.get(task.sessionId);
        if (address === lostHolderAddress) {
            this.pinnedHolders.delete(task.sessionId);
            return [this.failedAttempt({ task, databaseId: "", address, sentMs: nowMs }, true)];
        }
        return address === undefined
            ? [continued]
            : this.forward(
                { task, databaseId: "", floor: undefined, attemptDeadlineMs: task.deadlineMs },
                address,
                nowMs,
            );
    }

    /**
     * A task with home regions passes no other instance elsewhere, also none near this one: the caller may be in another
     * region than the instance that it has chosen. Holders are in the data centre of their database, so that it is this
     * instance that uses the database if none of them may carry the task.
     */
    private mayPass({ databaseId, task: { homeRegions } }: TaskPlaced): boolean {
        const dataCentre = this.holders.dataCentreOf(databaseId);
        return dataCentre === undefined || this.homes.isAtHome(dataCentre, homeRegions);
    }

    private refreshHolder(databaseId: string, nowMs: number): readonly Message[] {
        return this.publishHolder(databaseId, this.holders.choose(databaseId, nowMs).isHolder);
    }

    private publishHolder(databaseId: string, isHolder: boolean): readonly Message[] {
        if (!this.holders.hasDatabase(databaseId) || this.publishedIsHolder.get(databaseId) === isHolder) {
            return [];
        }
        this.publishedIsHolder.set(databaseId, isHolder);
        return [{ kind: TaskKind.HolderChanged, databaseId, isHolder } as HolderChanged];
    }

    private forward(
        placed: Pick<TaskPlaced, "task" | "databaseId" | "floor" | "attemptDeadlineMs">,
        address: string,
        nowMs: number,
    ): readonly Message[] {
        const { task, databaseId, attemptDeadlineMs } = placed;
        const { taskId } = task;
        const attemptId = `${taskId}${attemptSeparator}${this.nextAttemptNumber++}`;
        this.pending.set(taskId, { attemptId, task, databaseId, address, sentMs: nowMs });
        this.responsiveness.recordQuestion(address, nowMs);
        const send: PeerSend = {
            kind: PeerKind.Send,
            address,
            question: toPassedTask(placed, attemptId, attemptDeadlineMs - nowMs, nowMs),
        };
        const checkMs = Math.min(attemptDeadlineMs, nowMs + this.responsiveness.timeoutMs(address));
        return [send, setDeadline(forwardKey(taskId), checkMs, taskTimer(TaskKind.ForwardDue, taskId))];
    }

    private handleResult(address: string, result: PassedResult, nowMs: number): readonly Message[] {
        const current = this.pending.get(taskIdOf(result.taskId));
        const timedOutRead = this.timedOutReads.get(result.taskId);
        const pending = current?.attemptId === result.taskId ? current : undefined;
        this.timedOutReads.delete(result.taskId);
        this.lastAnswerMs.set(address, nowMs);
        this.responsiveness.recordAnswer(address, (pending ?? timedOutRead)?.sentMs, nowMs);
        if (pending === undefined) {
            // A late failure is ignored, because a later attempt is in progress.
            return timedOutRead === undefined || result.reply === undefined || result.reply.fault !== undefined
                ? []
                : [toAttempted(timedOutRead, result)];
        }
        const { task } = pending;
        this.pending.delete(task.taskId);
        this.pin(task.sessionId, result.pinned ? address : undefined);
        return [clearDeadline(forwardKey(task.taskId)), toAttempted(pending, result)];
    }

    /** Checks a task without an answer: fails it at its deadline, or when the holder has answered nothing since. */
    private checkTimeout(taskId: string, nowMs: number): readonly Message[] {
        const pending = this.pending.get(taskId);
        if (pending === undefined) {
            return [];
        }
        const { task, address, sentMs } = pending;
        const timeoutAtMs = sentMs + this.responsiveness.timeoutMs(address);
        const isSilent = nowMs >= timeoutAtMs && (this.lastAnswerMs.get(address) ?? -Infinity) < sentMs;
        const timedOut = isSilent && this.responsiveness.isTimeoutConclusive(address, sentMs, nowMs);
        if (timedOut) {
            this.responsiveness.recordTimeout(address, sentMs, nowMs);
        }
        if (nowMs < task.deadlineMs && !(timedOut && canRetryElsewhere(task))) {
            const checkMs = nowMs < timeoutAtMs
                ? timeoutAtMs
                : isSilent && !timedOut
                ? nowMs + comparisonIntervalMs
                : task.deadlineMs;
            return [
                setDeadline(
                    forwardKey(taskId),
                    Math.min(checkMs, task.deadlineMs),
                    taskTimer(TaskKind.ForwardDue, taskId),
                ),
            ];
        }
        if (canRetryElsewhere(task)) {
            this.timedOutReads.set(pending.attemptId, pending);
            if (this.timedOutReads.size > maximumTimedOutReads) {
                this.timedOutReads.delete(this.timedOutReads.keys().next().value!);
            }
        }
        return [...this.failPending(pending), abandonRequest(pending)];
    }

    private handleDisconnect({ address, unansweredNotRun = false }: PeerLost, nowMs: number): readonly Message[] {
        this.responsiveness.recordDisconnect(address, nowMs);
        [...this.pinnedHolders].filter(([, holder]) => holder === address)
            .forEach(([sessionId]) => this.pinnedHolders.set(sessionId, lostHolderAddress));
        return [...this.pending.values()].filter(pending => pending.address === address)
            .flatMap(pending => this.failPending(pending, unansweredNotRun));
    }

    private failPending(pending: PendingAttempt, isNotRun = false): readonly Message[] {
        const { taskId, sessionId } = pending.task;
        this.pending.delete(taskId);
        this.pin(sessionId, undefined);
        return [clearDeadline(forwardKey(taskId)), this.failedAttempt(pending, isNotRun)];
    }

    private failedAttempt(
        { task, databaseId, sentMs, address }: Omit<PendingAttempt, "attemptId">,
        isNotRun: boolean,
    ): TaskAttempted {
        // A drained holder has rolled back the transactions of other instances.
        const transactionLost = address === lostHolderAddress || isNotRun && databaseId === "";
        return {
            kind: TaskKind.Attempted,
            task,
            databaseId,
            address,
            reply: undefined,
            fault: transactionLost ? StatementFault.Aborted : isNotRun ? StatementFault.Busy : undefined,
            sent: !isNotRun && !transactionLost,
            holderUnavailable: true,
            sentMs,
            leads: false,
            pinned: false,
        };
    }

    private abandon(abandoned: TaskAbandoned): readonly Message[] {
        const { sessionId, taskId } = abandoned;
        const pending = taskId === undefined ? undefined : this.pending.get(taskId);
        const address = this.pinnedHolders.get(sessionId) ?? pending?.address;
        this.pinnedHolders.delete(sessionId);
        if (pending !== undefined) {
            this.pending.delete(pending.task.taskId);
        }
        return address === undefined || address === lostHolderAddress
            ? [abandoned]
            : [
                {
                    kind: PeerKind.Send,
                    address,
                    question: { kind: "abandon", sessionId, taskId: pending?.attemptId },
                } as PeerSend,
                ...taskId === undefined ? [] : [clearDeadline(forwardKey(taskId))],
            ];
    }

    private pin(sessionId: string, address: string | undefined): void {
        if (address === undefined) {
            this.pinnedHolders.delete(sessionId);
        }
        else {
            this.pinnedHolders.set(sessionId, address);
        }
    }
}

/** Address recorded for sessions whose holder disconnected, which has ended their transactions. */
const lostHolderAddress = "";

/** Returns whether a task may be run again although its holder may still run it. */
function canRetryElsewhere({ mode, writes }: LinkTask): boolean {
    return mode === TaskMode.Probe || mode === TaskMode.Single && !writes;
}

function toAttempted({ task, databaseId, address, sentMs }: PendingAttempt, result: PassedResult): TaskAttempted {
    const { reply, fault, sent, leads, pinned, load, retryAfterMs } = result;
    return {
        kind: TaskKind.Attempted,
        task,
        databaseId,
        address,
        reply,
        fault,
        sent,
        holderUnavailable: false,
        // The holder cannot have sent the command before it received the task.
        sentMs,
        leads,
        pinned,
        ...load === undefined ? {} : { load },
        ...retryAfterMs === undefined ? {} : { retryAfterMs },
    };
}

function abandonRequest({ attemptId, address, task: { sessionId } }: PendingAttempt): PeerSend {
    return { kind: PeerKind.Send, address, question: { kind: "abandon", sessionId, taskId: attemptId } };
}

function toPassedTask(
    { task, databaseId, floor }: Pick<TaskPlaced, "task" | "databaseId" | "floor">,
    attemptId: string,
    remainingMs: number,
    nowMs: number,
): PassedTask {
    const { sessionId, service, workspace, mode, statement, writes, needsPrimary, context } = task;
    return {
        kind: "task",
        taskId: attemptId,
        sessionId,
        service,
        workspace,
        mode,
        statement,
        writes,
        needsPrimary,
        values: [...context.values],
        prepared: preparedStatementOf(context, statement),
        databaseId,
        floor,
        remainingMs,
        ...passedUrgency(task, nowMs),
    };
}

function passedUrgency({ urgency }: LinkTask, nowMs: number): Pick<PassedTask, "urgency"> {
    return urgency === undefined
        ? {}
        : {
            urgency: {
                priority: urgency.priority,
                objectiveMs: Math.max(0, Math.round(urgency.objectiveAtMs - nowMs)),
            },
        };
}

function taskIdOf(attemptId: string): string {
    return attemptId.slice(0, attemptId.lastIndexOf(attemptSeparator));
}

function forwardKey(taskId: string): string {
    return `forward/${taskId}`;
}
