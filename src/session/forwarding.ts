/**
 * Passes tasks to the holder of their database, the instance that keeps its connection pool, and fails the attempt when
 * the holder does not answer. Tasks for databases of which this instance is the holder go on to its own links.
 */
import { match } from "ts-pattern";
import {
    type DatabaseChanged,
    type DatabaseRemoved,
    type DatabaseReport,
    type DatabaseSuspected,
    FleetKind,
} from "../model/fleetMessages.ts";
import {
    type InstancesKnown,
    type PassedResult,
    type PassedTask,
    type PeerAnswered,
    type PeerInstance,
    PeerKind,
    type PeerLost,
    type PeerSend,
} from "../model/peerMessages.ts";
import { StatementFault, TaskMode } from "../model/sessionStatement.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { HolderRanking } from "./holderRanking.ts";
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

/** Time for which a holder that cannot reach a database is skipped for it; meanwhile no other one is recorded. */
const avoidanceMs = 1_500;

/**
 * Maximum of consecutive instances that are skipped for a database because they time out or cannot reach it. With more
 * of them the database is the likelier cause: tasks that hang at an unresponsive database make every holder time out.
 */
const maximumSkippedHolders = 2;

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

/** An instance that is skipped for one database because it cannot reach it. */
interface Avoidance {
    /** Undefined for this instance itself. */
    readonly address: string | undefined;
    readonly untilMs: number;
}

/** The instance that runs the tasks for a database. */
interface HolderChoice {
    /** Undefined when this instance itself uses the database. */
    readonly address: string | undefined;
    /** This instance is the holder; without being the holder it uses the database with few links. */
    readonly isHolder: boolean;
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
    | DatabaseSuspected;

export interface ForwardingOptions {
    readonly instanceId: string;
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
    ];
    private readonly instanceId: string;
    private readonly ranking = new HolderRanking();
    private readonly databases = new Map<string, DatabaseReport>();
    private readonly responsiveness = new Responsiveness({
        minimumTimeoutMs,
        maximumTimeoutMs,
    });
    /** Time of the last answer of a holder, by address. */
    private readonly lastAnswerMs = new Map<string, number>();
    private readonly pending = new Map<string, PendingAttempt>();
    /** Whether this instance is the holder of a database, as last published to the links. */
    private readonly publishedIsHolder = new Map<string, boolean>();
    /** By database id. */
    private readonly avoidances = new Map<string, Avoidance>();
    /** Address of the holder on whose link a session has an open transaction, by session id. */
    private readonly pinnedHolders = new Map<string, string>();
    /** Timed-out reads whose result may still arrive, by attempt id, oldest first. */
    private readonly timedOutReads = new Map<string, PendingAttempt>();
    private nextAttemptNumber = 0;

    constructor({ instanceId }: ForwardingOptions) {
        this.instanceId = instanceId;
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
            .with({ kind: PeerKind.Lost }, input => this.handleDisconnect(input.address, nowMs))
            .with({ kind: PeerKind.InstancesKnown }, input => {
                const addresses = new Set(input.instances.map(({ address }) => address));
                this.responsiveness.retain(addresses);
                [...this.lastAnswerMs.keys()].filter(address => !addresses.has(address))
                    .forEach(address => this.lastAnswerMs.delete(address));
                const changed = this.ranking.setInstances(input.instances);
                return [...this.databases.values()].filter(({ dataCentre }) => changed.has(dataCentre))
                    .flatMap(({ databaseId }) => this.refreshHolder(databaseId, nowMs));
            })
            .with({ kind: FleetKind.DatabaseChanged }, input => {
                this.databases.set(input.report.databaseId, input.report);
                return [input, ...this.refreshHolder(input.report.databaseId, nowMs)];
            })
            .with({ kind: FleetKind.DatabaseRemoved }, input => {
                this.removeDatabase(input.databaseId);
                return [input];
            })
            .with({ kind: FleetKind.DatabaseSuspected }, input => {
                this.recordUnreachable(input, nowMs);
                return [input, ...this.refreshHolder(input.databaseId, nowMs)];
            })
            .otherwise(timer => this.checkTimeout((timer as TaskTimer).id, nowMs));
    }

    private place(placed: TaskPlaced, nowMs: number): readonly Message[] {
        const { address, isHolder } = this.chooseHolder(placed.databaseId, nowMs);
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
            return [this.failedAttempt({ task, databaseId: "", address, sentMs: nowMs })];
        }
        return address === undefined
            ? [continued]
            : this.forward(
                { task, databaseId: "", floor: undefined, attemptDeadlineMs: task.deadlineMs },
                address,
                nowMs,
            );
    }

    private chooseHolder(databaseId: string, nowMs: number): HolderChoice {
        const report = this.databases.get(databaseId);
        const ranked = report === undefined ? [] : this.ranking.rank(databaseId, report.dataCentre);
        const holder = this.firstUsable(databaseId, ranked, nowMs);
        const isSelf = holder !== undefined && this.isThisInstance(holder);
        // A skipped instance that still runs keeps its connections; those of two holders exceed the connection limit.
        const first = ranked.find(instance =>
            this.isThisInstance(instance) || !this.responsiveness.isDisconnected(instance.address, nowMs)
        );
        return { address: isSelf ? undefined : holder?.address, isHolder: isSelf && holder === first };
    }

    /** Returns the first instance that is not skipped; the first one that runs when too many in a row are skipped. */
    private firstUsable(
        databaseId: string,
        ranked: readonly PeerInstance[],
        nowMs: number,
    ): PeerInstance | undefined {
        let firstRunning: PeerInstance | undefined;
        let skipped = 0;
        for (const instance of ranked) {
            const isSelf = this.isThisInstance(instance);
            if (!isSelf && this.responsiveness.isDisconnected(instance.address, nowMs)) {
                continue;
            }
            if (!this.isSkipped(databaseId, isSelf ? undefined : instance.address, nowMs)) {
                return instance;
            }
            firstRunning ??= instance;
            skipped += 1;
            if (skipped > maximumSkippedHolders) {
                break;
            }
        }
        return firstRunning;
    }

    private isThisInstance({ instanceId }: PeerInstance): boolean {
        return instanceId === this.instanceId;
    }

    /** @param address of the instance; undefined for this one */
    private isSkipped(databaseId: string, address: string | undefined, nowMs: number): boolean {
        const avoidance = this.avoidances.get(databaseId);
        const cannotReach = avoidance !== undefined && avoidance.untilMs > nowMs && avoidance.address === address;
        return cannotReach || address !== undefined && this.responsiveness.isAvoided(address, nowMs);
    }

    private refreshHolder(databaseId: string, nowMs: number): readonly Message[] {
        return this.publishHolder(databaseId, this.chooseHolder(databaseId, nowMs).isHolder);
    }

    private publishHolder(databaseId: string, isHolder: boolean): readonly Message[] {
        if (!this.databases.has(databaseId) || this.publishedIsHolder.get(databaseId) === isHolder) {
            return [];
        }
        this.publishedIsHolder.set(databaseId, isHolder);
        return [{ kind: TaskKind.HolderChanged, databaseId, isHolder } as HolderChanged];
    }

    /**
     * Skips a holder that could not reach the database. A database that was reached and did not answer would be as slow
     * for another holder.
     */
    private recordUnreachable({ databaseId, address, sent }: DatabaseSuspected, nowMs: number): void {
        if (sent || !this.databases.has(databaseId) || (this.avoidances.get(databaseId)?.untilMs ?? 0) > nowMs) {
            return;
        }
        this.avoidances.set(databaseId, { address, untilMs: nowMs + avoidanceMs });
    }

    /** Removes a database and all that was published about it, so that the holder is published again if it returns. */
    private removeDatabase(databaseId: string): void {
        this.databases.delete(databaseId);
        this.ranking.remove(databaseId);
        this.publishedIsHolder.delete(databaseId);
        this.avoidances.delete(databaseId);
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
            question: toPassedTask(placed, attemptId, attemptDeadlineMs - nowMs),
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

    private handleDisconnect(address: string, nowMs: number): readonly Message[] {
        this.responsiveness.recordDisconnect(address, nowMs);
        [...this.pinnedHolders].filter(([, holder]) => holder === address)
            .forEach(([sessionId]) => this.pinnedHolders.set(sessionId, lostHolderAddress));
        return [...this.pending.values()].filter(pending => pending.address === address)
            .flatMap(pending => this.failPending(pending));
    }

    private failPending(pending: PendingAttempt): readonly Message[] {
        const { taskId, sessionId } = pending.task;
        this.pending.delete(taskId);
        this.pin(sessionId, undefined);
        return [clearDeadline(forwardKey(taskId)), this.failedAttempt(pending)];
    }

    private failedAttempt({ task, databaseId, sentMs, address }: Omit<PendingAttempt, "attemptId">): TaskAttempted {
        const transactionLost = address === lostHolderAddress;
        return {
            kind: TaskKind.Attempted,
            task,
            databaseId,
            address,
            reply: undefined,
            fault: transactionLost ? StatementFault.Aborted : undefined,
            sent: !transactionLost,
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
    const { reply, fault, sent, leads, pinned, load } = result;
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
    };
}

function abandonRequest({ attemptId, address, task: { sessionId } }: PendingAttempt): PeerSend {
    return { kind: PeerKind.Send, address, question: { kind: "abandon", sessionId, taskId: attemptId } };
}

function toPassedTask(
    { task, databaseId, floor }: Pick<TaskPlaced, "task" | "databaseId" | "floor">,
    attemptId: string,
    remainingMs: number,
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
    };
}

function taskIdOf(attemptId: string): string {
    return attemptId.slice(0, attemptId.lastIndexOf(attemptSeparator));
}

function forwardKey(taskId: string): string {
    return `forward/${taskId}`;
}
