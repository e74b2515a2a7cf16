/** What the scheduling of statements needs to know of a task. */
import { TaskMode } from "../model/sessionStatement.ts";
import { leastUrgentPriority, type QueuedStatement } from "../scheduling/statementQueue.ts";
import type { Gate } from "./linkGate.ts";
import type { LinkTask, TaskPlaced } from "./taskMessages.ts";

/** A task that waits for a link. */
export interface WaitingTask extends QueuedStatement {
    readonly placed: TaskPlaced;
}

/** @param costMs expected time for which the attempt occupies a place in the window */
export function toWaitingTask(placed: TaskPlaced, costMs: number): WaitingTask {
    const { task, attemptDeadlineMs } = placed;
    return {
        id: task.taskId,
        workspace: task.workspace,
        priority: priorityOf(task),
        objectiveAtMs: task.urgency?.objectiveAtMs ?? task.deadlineMs,
        deadlineMs: attemptDeadlineMs,
        costMs,
        placed,
    };
}

/** Kinds of attempts that take about the same time. */
export function workKindOf(task: LinkTask, gate: Gate | undefined): string {
    const continues = task.mode !== TaskMode.Single && gate?.commands.length === 0;
    return `${priorityOf(task)}/${task.mode}/${task.writes ? "w" : "r"}${continues ? "c" : ""}`;
}

/** Reads of all sessions of a service wait for the result of a probe. */
function priorityOf({ mode, urgency }: LinkTask): number {
    return mode === TaskMode.Probe ? 0 : Math.min(urgency?.priority ?? leastUrgentPriority, leastUrgentPriority);
}
