/** What an attempt at a task has shown: its result for the caller, and what it tells about its database. */
import { type DatabaseSuspected, FleetKind } from "../model/fleetMessages.ts";
import { SessionStatementKind, StatementFault, TaskMode } from "../model/sessionStatement.ts";
import type { ObservedPosition } from "../scheduling/replicaLag.ts";
import { endTask, type TaskAttempted, type TaskEnded, TaskKind, type TaskPlaced } from "./taskMessages.ts";

/** Converts an attempt that is not retried to the result of the task. */
export function toEnded({ task, reply, fault, sent, pinned }: TaskAttempted): TaskEnded {
    if (reply !== undefined) {
        return { kind: TaskKind.Ended, task, reply, fault: reply.fault, detail: reply.detail, pinned };
    }
    if (!sent) {
        return endTask(task, fault ?? StatementFault.Busy, "the database could not be reached; not run");
    }
    const reason = fault === StatementFault.InDoubt
        ? "the database's answer cannot be told from an earlier one"
        : "the database did not answer in time";
    if (task.mode === TaskMode.Single) {
        return task.writes
            ? endTask(task, StatementFault.InDoubt, `${reason}; the write may have run`)
            : endTask(task, StatementFault.TimedOut, reason);
    }
    return task.statement?.kind === SessionStatementKind.Commit
        ? endTask(task, StatementFault.InDoubt, `${reason}; the commit may have run`)
        : endTask(task, StatementFault.Aborted, `${reason}; the transaction is rolled back`);
}

export function databaseSuspected({ databaseId, address, sent }: TaskAttempted): DatabaseSuspected {
    return { kind: FleetKind.DatabaseSuspected, databaseId, address, sent };
}

/** @param fault why the statement was not sent; undefined if the database could not be reached */
export function unsentAttempt(
    { task, databaseId }: Pick<TaskPlaced, "task" | "databaseId">,
    fault: StatementFault | undefined,
): TaskAttempted {
    return {
        kind: TaskKind.Attempted,
        task,
        databaseId,
        address: undefined,
        reply: undefined,
        fault,
        sent: false,
        holderUnavailable: false,
        sentMs: undefined,
        leads: false,
        pinned: false,
    };
}

/** Returns the log positions that an attempt tells about its database, oldest first. */
export function observedPositions(
    reply: TaskAttempted["reply"],
    load: TaskAttempted["load"],
    nowMs: number,
): readonly ObservedPosition[] {
    return [
        ...load?.position === undefined
            ? []
            : [{ position: load.position, atMs: nowMs - load.positionAgeMs, lagMs: 0 }],
        ...reply?.position === undefined ? [] : [{ position: reply.position, atMs: nowMs, lagMs: 0 }],
    ];
}
