/** Passes placed tasks to the instance that holds the links of the database, and fails them when it does not answer. */
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
import { StatementFault } from "../model/sessionStatement.ts";
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
    TaskMode,
    type TaskPlaced,
    type TaskTimer,
    taskTimer,
} from "./taskMessages.ts";

/**
 * Silence of a holder that owes an answer, after which tasks go elsewhere; above the longest work of a statement, its
 * wait for a slot, and the way there and back.
 */
const minimumSilenceMs = 400;

/** The same where answers are slow; leaves time for another attempt in the shortest usual limit of a statement, 1 s. */
const maximumSilenceMs = 800;

/** Time for which a holder that does not reach a database is passed over for it, and no other one is. */
const avoidanceMs = 1_500;

/**
 * Instances that look silent or do not reach a database and are passed over for it at once; more of them in a row say
 * more about the database than about them, because tasks at a dark database keep every holder silent.
 */
const maximumPassedOver = 2;

/** Reads that went elsewhere whose late answers are still of use. */
const maximumLate = 256;

/** Stands between a task's id and the number of the attempt. */
const passSeparator = ".";

interface Pending {
    /** Names this attempt to the holder; a later attempt at the task has another one. */
    readonly passId: string;
    readonly task: LinkTask;
    readonly databaseId: string;
    readonly address: string;
    readonly sentMs: number;
}

interface Avoided {
    /** Undefined for this instance itself. */
    readonly address: string | undefined;
    readonly untilMs: number;
}

/** Where the tasks of a database go. */
interface Choice {
    /** Undefined when this instance itself is to use the database. */
    readonly address: string | undefined;
    /** This instance is the holder; otherwise it may use the database as a guest. */
    readonly holds: boolean;
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
        minimumTimeoutMs: minimumSilenceMs,
        maximumTimeoutMs: maximumSilenceMs,
    });
    /** Time of the last answer of a holder, by address. */
    private readonly answeredMs = new Map<string, number>();
    private readonly pending = new Map<string, Pending>();
    /** Whether this instance is the holder, as the links were told. */
    private readonly held = new Map<string, boolean>();
    /** The instance that did not reach a database, by the id of the database. */
    private readonly avoided = new Map<string, Avoided>();
    /** Address of the holder that has the open transaction of a session. */
    private readonly pinned = new Map<string, string>();
    /** Reads that went elsewhere, by the id of the attempt whose answer may still come; the oldest first. */
    private readonly late = new Map<string, Pending>();
    private nextPass = 0;

    constructor({ instanceId }: ForwardingOptions) {
        this.instanceId = instanceId;
    }

    process(message: ForwardingInput, nowMs: number): readonly Message[] {
        return match<ForwardingInput, readonly Message[]>(message)
            .with({ kind: TaskKind.Placed }, found => this.place(found, nowMs))
            .with({ kind: TaskKind.Continued }, found => this.continue(found, nowMs))
            .with({ kind: TaskKind.Abandoned }, found => this.abandon(found))
            .with({ kind: TaskKind.Expired }, found => {
                const pending = this.pending.get(found.taskId);
                return pending === undefined ? [found] : [...this.fail(pending), abandonAt(pending)];
            })
            .with(
                { kind: PeerKind.Answered, result: { kind: "task" } },
                ({ address, result }) => this.answered(address, result, nowMs),
            )
            .with({ kind: PeerKind.Answered }, found => [found])
            .with({ kind: PeerKind.Lost }, found => this.lost(found.address, nowMs))
            .with({ kind: PeerKind.InstancesKnown }, found => {
                const addresses = new Set(found.instances.map(({ address }) => address));
                this.responsiveness.retain(addresses);
                [...this.answeredMs.keys()].filter(address => !addresses.has(address))
                    .forEach(address => this.answeredMs.delete(address));
                const changed = this.ranking.setInstances(found.instances);
                return [...this.databases.values()].filter(({ dataCentre }) => changed.has(dataCentre))
                    .flatMap(({ databaseId }) => this.noteHolder(databaseId, nowMs));
            })
            .with({ kind: FleetKind.DatabaseChanged }, found => {
                this.databases.set(found.report.databaseId, found.report);
                return [found, ...this.noteHolder(found.report.databaseId, nowMs)];
            })
            .with({ kind: FleetKind.DatabaseRemoved }, found => {
                this.forget(found.databaseId);
                return [found];
            })
            .with({ kind: FleetKind.DatabaseSuspected }, found => {
                this.avoid(found, nowMs);
                return [found, ...this.noteHolder(found.databaseId, nowMs)];
            })
            .otherwise(timer => this.due((timer as TaskTimer).id, nowMs));
    }

    private place(placed: TaskPlaced, nowMs: number): readonly Message[] {
        const { address, holds } = this.holderOf(placed.databaseId, nowMs);
        const changed = this.noteHolds(placed.databaseId, holds);
        return address === undefined ? [...changed, placed] : [...changed, ...this.pass(placed, address, nowMs)];
    }

    private continue(continued: TaskContinued, nowMs: number): readonly Message[] {
        const { task } = continued;
        const address = this.pinned.get(task.sessionId);
        if (address === lostHolder) {
            this.pinned.delete(task.sessionId);
            return [this.failedAttempt({ task, databaseId: "", address, sentMs: nowMs })];
        }
        return address === undefined
            ? [continued]
            : this.pass({ task, databaseId: "", floor: undefined, attemptDeadlineMs: task.deadlineMs }, address, nowMs);
    }

    private holderOf(databaseId: string, nowMs: number): Choice {
        const report = this.databases.get(databaseId);
        const ranked = report === undefined ? [] : this.ranking.rank(databaseId, report.dataCentre);
        const holder = this.firstUsable(databaseId, ranked, nowMs);
        const own = holder !== undefined && this.isOwn(holder);
        // An instance that was passed over but runs still has its connections; two shares are above the limit.
        const first = ranked.find(instance =>
            this.isOwn(instance) || !this.responsiveness.isDisconnected(instance.address, nowMs)
        );
        return { address: own ? undefined : holder?.address, holds: own && holder === first };
    }

    /** The first instance that is not passed over; again the first that runs when too many in a row are. */
    private firstUsable(
        databaseId: string,
        ranked: readonly PeerInstance[],
        nowMs: number,
    ): PeerInstance | undefined {
        let firstRunning: PeerInstance | undefined;
        let passedOver = 0;
        for (const instance of ranked) {
            const own = this.isOwn(instance);
            if (!own && this.responsiveness.isDisconnected(instance.address, nowMs)) {
                continue;
            }
            if (!this.isPassedOver(databaseId, own ? undefined : instance.address, nowMs)) {
                return instance;
            }
            firstRunning ??= instance;
            passedOver += 1;
            if (passedOver > maximumPassedOver) {
                break;
            }
        }
        return firstRunning;
    }

    private isOwn({ instanceId }: PeerInstance): boolean {
        return instanceId === this.instanceId;
    }

    /** @param address of the instance; undefined for this one */
    private isPassedOver(databaseId: string, address: string | undefined, nowMs: number): boolean {
        const avoided = this.avoided.get(databaseId);
        const unreached = avoided !== undefined && avoided.untilMs > nowMs && avoided.address === address;
        return unreached || address !== undefined && this.responsiveness.isAvoided(address, nowMs);
    }

    private noteHolder(databaseId: string, nowMs: number): readonly Message[] {
        return this.noteHolds(databaseId, this.holderOf(databaseId, nowMs).holds);
    }

    private noteHolds(databaseId: string, holds: boolean): readonly Message[] {
        if (!this.databases.has(databaseId) || this.held.get(databaseId) === holds) {
            return [];
        }
        this.held.set(databaseId, holds);
        return [{ kind: TaskKind.HolderChanged, databaseId, isHolder: holds } as HolderChanged];
    }

    /** A holder that says that it does not reach the database is passed over; a slow database is as slow for others. */
    private avoid({ databaseId, address, sent }: DatabaseSuspected, nowMs: number): void {
        if (sent || !this.databases.has(databaseId) || (this.avoided.get(databaseId)?.untilMs ?? 0) > nowMs) {
            return;
        }
        this.avoided.set(databaseId, { address, untilMs: nowMs + avoidanceMs });
    }

    /** The links of a removed database are gone; if it comes back, they have to be told anew who holds it. */
    private forget(databaseId: string): void {
        this.databases.delete(databaseId);
        this.ranking.remove(databaseId);
        this.held.delete(databaseId);
        this.avoided.delete(databaseId);
    }

    private pass(
        placed: Pick<TaskPlaced, "task" | "databaseId" | "floor" | "attemptDeadlineMs">,
        address: string,
        nowMs: number,
    ): readonly Message[] {
        const { task, databaseId, attemptDeadlineMs: untilMs } = placed;
        const { taskId } = task;
        const passId = `${taskId}${passSeparator}${this.nextPass++}`;
        this.pending.set(taskId, { passId, task, databaseId, address, sentMs: nowMs });
        const send: PeerSend = { kind: PeerKind.Send, address, question: toPassed(placed, passId, untilMs - nowMs) };
        const checkMs = Math.min(untilMs, nowMs + this.responsiveness.timeoutMs(address));
        return [send, setDeadline(forwardKey(taskId), checkMs, taskTimer(TaskKind.ForwardDue, taskId))];
    }

    private answered(address: string, result: PassedResult, nowMs: number): readonly Message[] {
        const found = this.pending.get(taskOf(result.taskId));
        const late = this.late.get(result.taskId);
        const pending = found?.passId === result.taskId ? found : undefined;
        this.late.delete(result.taskId);
        this.answeredMs.set(address, nowMs);
        this.responsiveness.recordAnswer(address, (pending ?? late)?.sentMs, nowMs);
        if (pending === undefined) {
            // A later attempt goes on if this one failed as well.
            return late === undefined || result.reply === undefined || result.reply.fault !== undefined
                ? []
                : [attemptedOf(late, result)];
        }
        const { task } = pending;
        this.pending.delete(task.taskId);
        this.pin(task.sessionId, result.pinned ? address : undefined);
        return [clearDeadline(forwardKey(task.taskId)), attemptedOf(pending, result)];
    }

    /** A task has no answer yet: its time may be up, or the holder is silent altogether. */
    private due(taskId: string, nowMs: number): readonly Message[] {
        const pending = this.pending.get(taskId);
        if (pending === undefined) {
            return [];
        }
        const { task, address, sentMs } = pending;
        const limitMs = sentMs + this.responsiveness.timeoutMs(address);
        const silent = nowMs >= limitMs && (this.answeredMs.get(address) ?? -Infinity) < sentMs;
        if (silent) {
            this.responsiveness.recordTimeout(address, sentMs, nowMs);
        }
        if (nowMs < task.deadlineMs && !(silent && mayGoElsewhere(task))) {
            const checkMs = nowMs < limitMs ? Math.min(limitMs, task.deadlineMs) : task.deadlineMs;
            return [setDeadline(forwardKey(taskId), checkMs, taskTimer(TaskKind.ForwardDue, taskId))];
        }
        if (mayGoElsewhere(task)) {
            this.late.set(pending.passId, pending);
            if (this.late.size > maximumLate) {
                this.late.delete(this.late.keys().next().value!);
            }
        }
        return [...this.fail(pending), abandonAt(pending)];
    }

    private lost(address: string, nowMs: number): readonly Message[] {
        this.responsiveness.recordDisconnect(address, nowMs);
        [...this.pinned].filter(([, holder]) => holder === address)
            .forEach(([sessionId]) => this.pinned.set(sessionId, lostHolder));
        return [...this.pending.values()].filter(pending => pending.address === address)
            .flatMap(pending => this.fail(pending));
    }

    private fail(pending: Pending): readonly Message[] {
        const { taskId, sessionId } = pending.task;
        this.pending.delete(taskId);
        this.pin(sessionId, undefined);
        return [clearDeadline(forwardKey(taskId)), this.failedAttempt(pending)];
    }

    private failedAttempt({ task, databaseId, sentMs, address }: Omit<Pending, "passId">): TaskAttempted {
        const unreachable = address === lostHolder;
        return {
            kind: TaskKind.Attempted,
            task,
            databaseId,
            address,
            reply: undefined,
            fault: unreachable ? StatementFault.Aborted : undefined,
            sent: !unreachable,
            holderUnavailable: true,
            sentMs,
            leads: false,
            pinned: false,
        };
    }

    private abandon(abandoned: TaskAbandoned): readonly Message[] {
        const { sessionId, taskId } = abandoned;
        const pending = taskId === undefined ? undefined : this.pending.get(taskId);
        const address = this.pinned.get(sessionId) ?? pending?.address;
        this.pinned.delete(sessionId);
        if (pending !== undefined) {
            this.pending.delete(pending.task.taskId);
        }
        return address === undefined || address === lostHolder
            ? [abandoned]
            : [
                {
                    kind: PeerKind.Send,
                    address,
                    question: { kind: "abandon", sessionId, taskId: pending?.passId },
                } as PeerSend,
                ...taskId === undefined ? [] : [clearDeadline(forwardKey(taskId))],
            ];
    }

    private pin(sessionId: string, address: string | undefined): void {
        if (address === undefined) {
            this.pinned.delete(sessionId);
        }
        else {
            this.pinned.set(sessionId, address);
        }
    }
}

/** Stands for a holder that is gone with the transaction that it had. */
const lostHolder = "";

/** Whether a task may be run again without a word from the holder that has it. */
function mayGoElsewhere({ mode, writes }: LinkTask): boolean {
    return mode === TaskMode.Probe || mode === TaskMode.Single && !writes;
}

function attemptedOf({ task, databaseId, address, sentMs }: Pending, result: PassedResult): TaskAttempted {
    const { reply, fault, sent, leads, pinned } = result;
    return {
        kind: TaskKind.Attempted,
        task,
        databaseId,
        address,
        reply,
        fault,
        sent,
        holderUnavailable: false,
        // The command cannot have been sent before it was passed on.
        sentMs,
        leads,
        pinned,
    };
}

function abandonAt({ passId, address, task: { sessionId } }: Pending): PeerSend {
    return { kind: PeerKind.Send, address, question: { kind: "abandon", sessionId, taskId: passId } };
}

function toPassed(
    { task, databaseId, floor }: Pick<TaskPlaced, "task" | "databaseId" | "floor">,
    passId: string,
    limitMs: number,
): PassedTask {
    const { sessionId, service, workspace, mode, statement, writes, needsPrimary, context } = task;
    return {
        kind: "task",
        taskId: passId,
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
        limitMs,
    };
}

function taskOf(passId: string): string {
    return passId.slice(0, passId.lastIndexOf(passSeparator));
}

function forwardKey(taskId: string): string {
    return `forward/${taskId}`;
}
