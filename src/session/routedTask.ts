/** A task while the routing filter places it, with what its attempts have shown. */
import type { Position } from "../model/position.ts";
import { isNotRun, StatementFault, TaskMode } from "../model/sessionStatement.ts";
import type { Task, TaskAttempted } from "./taskMessages.ts";

/** Maximum of retries of a statement that ran and failed; a second failure is due to the statement itself. */
const maximumFailureRetries = 1;

export class RoutedTask {
    readonly task: Task;
    readonly admittedMs: number;
    readonly triedDatabaseIds = new Set<string>();
    /** The task waits for a primary, a replica or a floor; otherwise an attempt is in progress. */
    waiting = true;
    /** Database of the attempt in progress. */
    placedAt: string | undefined;
    /** Floor of the current or last attempt. */
    floor: Position | undefined;
    /** The task ends after the current attempt. */
    expired = false;
    /** Fault of the last attempt, reported to the caller if the deadline passes. */
    lastFault: StatementFault | undefined;
    /** Number of attempts that ran and failed. */
    private failureCount = 0;

    constructor(task: Task, admittedMs: number) {
        this.task = task;
        this.admittedMs = admittedMs;
    }

    /** @returns whether the task may be attempted again after an attempt without success */
    recordFailure({ reply, fault: unsentFault, sent, pinned }: TaskAttempted): boolean {
        const fault = reply?.fault ?? unsentFault;
        const nothingExecuted = !sent || (fault !== undefined && isNotRun(fault));
        // A transaction that may have started on one link must not be started on another one.
        const mayRetry = nothingExecuted || this.task.mode === TaskMode.Single && !this.task.writes;
        this.failureCount += fault !== undefined && !isNotRun(fault) ? 1 : 0;
        if (!mayRetry || pinned || this.failureCount > maximumFailureRetries) {
            return false;
        }
        this.lastFault = fault !== undefined && isNotRun(fault)
            ? fault
            : nothingExecuted
            ? StatementFault.Busy
            : fault;
        return true;
    }
}
