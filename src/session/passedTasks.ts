/** Handles tasks that other instances pass to this one because it is the holder of their database. */
import { match, P } from "ts-pattern";
import { type FleetDrainStarted, FleetKind } from "../model/fleetMessages.ts";
import {
    type FloorQuestion,
    type MembersQuestion,
    type PassedTask,
    type PeerAnswer,
    type PeerAsked,
    type PeerGone,
    PeerKind,
    type PeerQuestion,
} from "../model/peerMessages.ts";
import { StatementFault } from "../model/sessionStatement.ts";
import { setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import {
    type DrainDue,
    type DrainStep,
    expireTask,
    type LinkTask,
    type TaskAbandoned,
    type TaskAttempted,
    TaskKind,
} from "./taskMessages.ts";

/** Separates the id of the stream from the ids of the passing instance; ids of this instance do not contain it. */
const idSeparator = "/";

type PassedInput = PeerAsked | PeerGone | TaskAttempted | FleetDrainStarted | DrainStep | DrainDue;

/**
 * Hands passed tasks to the links without routing them again, and returns their results to the instances that passed
 * them. It precedes the routing filter, which must not see these results. A draining instance stops only after both its
 * own sessions and the passed tasks have ended.
 */
export class PassedTasks implements Filter<PassedInput, Message> {
    readonly step = "passed_tasks";
    readonly accepts = [
        PeerKind.Asked,
        PeerKind.Gone,
        TaskKind.Attempted,
        FleetKind.DrainStarted,
        TaskKind.SessionsEnded,
        TaskKind.PassedLimitDue,
        TaskKind.DrainDue,
    ];
    /** Ids of sessions that have an open transaction on a link of this instance, by stream. */
    private readonly sessions = new Map<string, Set<string>>();
    /** Session ids of the tasks in progress, by stream and task id. */
    private readonly tasks = new Map<string, Map<string, string>>();
    /** Steps of the drain that have been reached. */
    private readonly drainStepsSeen = new Set<(DrainStep | DrainDue)["kind"]>();
    private drained = false;

    process(message: PassedInput, nowMs: number): readonly Message[] {
        return match<PassedInput, readonly Message[]>(message)
            .with(
                { kind: PeerKind.Asked, question: { kind: P.union("task", "abandon") } },
                ({ streamId, question }) => this.handleQuestion(streamId, question, nowMs),
            )
            .with({ kind: PeerKind.Asked }, input => [input])
            .with({ kind: PeerKind.Gone }, input => [...this.handleStreamEnd(input.streamId), ...this.drainedIfEmpty()])
            .with({ kind: TaskKind.Attempted }, input => this.handleAttempted(input))
            .with({ kind: FleetKind.DrainStarted }, input => [
                input,
                setDeadline("drain/passed", input.transactionsUntilMs, { kind: TaskKind.PassedLimitDue }),
            ])
            .with(
                { kind: TaskKind.SessionsEnded },
                { kind: TaskKind.PassedLimitDue },
                { kind: TaskKind.DrainDue },
                step => this.applyDrainStep(step),
            )
            .exhaustive();
    }

    private handleQuestion(
        streamId: string,
        question: Exclude<PeerQuestion, FloorQuestion | MembersQuestion>,
        nowMs: number,
    ): readonly Message[] {
        if (question.kind === "abandon") {
            const sessionId = toLocalId(streamId, question.sessionId);
            const taskId = question.taskId === undefined ? undefined : toLocalId(streamId, question.taskId);
            this.sessions.get(streamId)?.delete(sessionId);
            this.tasks.get(streamId)?.delete(taskId ?? "");
            return [passedAbandoned(sessionId, taskId), ...this.drainedIfEmpty()];
        }
        if (this.drained || this.drainStepsSeen.has(TaskKind.DrainDue)) {
            return [refusalAnswer(streamId, question)];
        }
        const task = toTask(streamId, question, nowMs);
        const tasks = this.tasks.get(streamId) ?? new Map<string, string>();
        this.tasks.set(streamId, tasks.set(task.taskId, task.sessionId));
        return question.databaseId === ""
            ? [{ kind: TaskKind.PassedContinued, task } as Message]
            : [{
                kind: TaskKind.PassedPlaced,
                task,
                databaseId: question.databaseId,
                floor: question.floor,
                attemptDeadlineMs: task.deadlineMs,
            } as Message];
    }

    private handleAttempted(attempted: TaskAttempted): readonly Message[] {
        const { taskId, sessionId } = attempted.task;
        const streamId = streamIdOf(taskId);
        if (streamId === undefined) {
            return [attempted];
        }
        this.tasks.get(streamId)?.delete(taskId);
        const { reply, fault, sent, leads, pinned, load } = attempted;
        this.recordPin(streamId, sessionId, pinned);
        const result = {
            kind: "task" as const,
            taskId: taskId.slice(streamId.length + 1),
            reply,
            fault,
            sent,
            leads,
            pinned,
            ...load === undefined ? {} : { load },
        };
        return [
            { kind: PeerKind.Answer, streamId, result } as PeerAnswer,
            ...this.drainStepsSeen.has(TaskKind.PassedLimitDue) ? this.rollBackIdle(streamId) : [],
            ...this.drainedIfEmpty(),
        ];
    }

    private applyDrainStep({ kind }: DrainStep | DrainDue): readonly Message[] {
        this.drainStepsSeen.add(kind);
        const streamIds = kind === TaskKind.PassedLimitDue ? [...this.sessions.keys()] : [];
        const running = kind === TaskKind.DrainDue ? [...this.tasks.values()].flatMap(tasks => [...tasks.keys()]) : [];
        return [
            ...streamIds.flatMap(streamId => this.rollBackIdle(streamId)),
            ...running.map(taskId => expireTask(taskId)),
            ...this.drainedIfEmpty(),
        ];
    }

    /** Rolls back the open transactions of a stream in which no statement is running. */
    private rollBackIdle(streamId: string): readonly Message[] {
        const busy = new Set(this.tasks.get(streamId)?.values());
        const idle = [...this.sessions.get(streamId) ?? []].filter(sessionId => !busy.has(sessionId));
        idle.forEach(sessionId => this.sessions.get(streamId)!.delete(sessionId));
        return idle.map(sessionId => passedAbandoned(sessionId, undefined));
    }

    private drainedIfEmpty(): readonly Message[] {
        const isEmpty = [...this.tasks.values(), ...this.sessions.values()].every(({ size }) => size === 0);
        if (this.drained || !isEmpty || !this.drainStepsSeen.has(TaskKind.SessionsEnded)) {
            return [];
        }
        this.drained = true;
        return [{ kind: FleetKind.Drained } as Message];
    }

    private recordPin(streamId: string, sessionId: string, pinned: boolean): void {
        const sessions = this.sessions.get(streamId) ?? new Set<string>();
        this.sessions.set(streamId, sessions);
        if (pinned) {
            sessions.add(sessionId);
        }
        else {
            sessions.delete(sessionId);
        }
    }

    /** Abandons all tasks and transactions of an instance whose stream has ended. */
    private handleStreamEnd(streamId: string): readonly Message[] {
        const sessions = [...this.sessions.get(streamId) ?? []];
        const tasks = [...this.tasks.get(streamId) ?? []];
        this.sessions.delete(streamId);
        this.tasks.delete(streamId);
        return [
            ...sessions.map(sessionId => passedAbandoned(sessionId, undefined)),
            ...tasks.map(([taskId, sessionId]) => passedAbandoned(sessionId, taskId)),
        ];
    }
}

function passedAbandoned(sessionId: string, taskId: string | undefined): TaskAbandoned {
    return { kind: TaskKind.PassedAbandoned, sessionId, taskId };
}

/**
 * Rejects a task. A new task is refused as busy, so that the passing instance tries the next holder; a statement of a
 * transaction is aborted, because its transaction on this instance is rolled back.
 */
function refusalAnswer(streamId: string, { taskId, databaseId }: PassedTask): PeerAnswer {
    const result = {
        kind: "task" as const,
        taskId,
        reply: undefined,
        fault: databaseId === "" ? StatementFault.Aborted : StatementFault.Busy,
        sent: false,
        leads: false,
        pinned: false,
    };
    return { kind: PeerKind.Answer, streamId, result };
}

function toTask(streamId: string, passed: PassedTask, nowMs: number): LinkTask {
    const { service, workspace, mode, statement, writes, needsPrimary, values, prepared, remainingMs } = passed;
    return {
        taskId: toLocalId(streamId, passed.taskId),
        sessionId: toLocalId(streamId, passed.sessionId),
        service,
        workspace,
        mode,
        statement,
        writes,
        needsPrimary,
        context: {
            values: new Map(values),
            prepared: prepared === undefined ? new Map() : new Map([[statement!.name, prepared]]),
        },
        deadlineMs: nowMs + remainingMs,
    };
}

function toLocalId(streamId: string, id: string): string {
    return `${streamId}${idSeparator}${id}`;
}

function streamIdOf(id: string): string | undefined {
    const end = id.indexOf(idSeparator);
    return end === -1 ? undefined : id.slice(0, end);
}
