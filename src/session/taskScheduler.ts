/** Decides which waiting task gets a link of a database next, when a link is opened for it, and which task is refused. */
import { type PaceChanged, SchedulingKind, type SchedulingRefused } from "../model/schedulingMessages.ts";
import { StatementFault } from "../model/sessionStatement.ts";
import { clearDeadline } from "../pipeline/deadlineQueue.ts";
import type { Message } from "../pipeline/message.ts";
import type { SeededRandom } from "../pipeline/seededRandom.ts";
import { retryAfterMs } from "../scheduling/retryAfter.ts";
import type { RefusedStatement } from "../scheduling/statementQueue.ts";
import { unsentAttempt } from "./attemptOutcome.ts";
import type { Link } from "./link.ts";
import { attemptKey, type LinkAttempts } from "./linkAttempts.ts";
import type { LinkPool, PoolOccupancy } from "./linkPool.ts";
import type { LinkTable } from "./linkTable.ts";
import { databaseLoadOf, queueDrainOf } from "./poolLoad.ts";
import { type TaskAttempted, type TaskPlaced } from "./taskMessages.ts";
import { toWaitingTask, type WaitingTask, workKindOf } from "./waitingTask.ts";

interface TaskSchedulerOptions {
    readonly table: LinkTable;
    readonly attempts: LinkAttempts;
    readonly random: SeededRandom;
}

export class TaskScheduler {
    private readonly table: LinkTable;
    private readonly attempts: LinkAttempts;
    private readonly random: SeededRandom;

    constructor({ table, attempts, random }: TaskSchedulerOptions) {
        this.table = table;
        this.attempts = attempts;
        this.random = random;
    }

    /** Queues a task, starts it if it is its turn, and refuses the tasks that can no longer start in time. */
    add(pool: LinkPool, placed: TaskPlaced, nowMs: number): readonly Message[] {
        const waiting = toWaitingTask(placed, pool.serviceTimes.expectedMs(workKindOf(placed.task, undefined)));
        const occupancy = pool.occupancy();
        const refused = pool.waitingTasks.add(waiting, queueDrainOf(pool, occupancy, nowMs), nowMs);
        return [
            ...refused.flatMap(refusal => this.refuse(pool, refusal, occupancy, nowMs)),
            ...this.assign(pool, nowMs),
        ];
    }

    /**
     * Assigns idle links to the waiting tasks whose turn it is while the window has room, and opens links for those that
     * have none. A link that opens takes the place of a statement.
     */
    assign(pool: LinkPool, nowMs: number): readonly Message[] {
        const messages: Message[] = [...this.logPace(pool)];
        if (pool.waitingTasks.size === 0) {
            return messages;
        }
        const { idle, opening, inFlight: inFlightBefore } = pool.summary();
        let inFlight = inFlightBefore;
        let mayOpen = true;
        let waitsForTime = false;
        let link: Link | undefined;
        const canStart = ({ placed: { task } }: WaitingTask): boolean => {
            link = inFlight < pool.window.size ? idle.find(task) : undefined;
            const { workspace } = task;
            const openingCount = opening.get(workspace) ?? 0;
            const waitingCount = pool.waitingTasks.countOf(workspace);
            const mayHaveMore = link === undefined && mayOpen && inFlight < pool.window.size
                && openingCount < waitingCount;
            if (mayHaveMore && !this.table.mayOpen(pool, workspace, waitingCount, nowMs)) {
                waitsForTime = true;
            }
            else if (mayHaveMore) {
                const opened = this.table.open(pool, workspace, nowMs);
                messages.push(...opened);
                // If no link can be opened for this task, none can be opened for the tasks behind it.
                mayOpen = opened.length > 0;
                waitsForTime ||= !mayOpen;
                inFlight += Number(mayOpen);
                opening.set(workspace, openingCount + Number(mayOpen));
            }
            return link !== undefined;
        };
        while (inFlight < pool.window.size) {
            const waiting = pool.waitingTasks.startNext(canStart, nowMs);
            if (waiting === undefined) {
                break;
            }
            inFlight += 1;
            messages.push(...this.attempts.start(link!, waiting.placed, inFlight, nowMs));
        }
        // A link is opened after all if the busy one is not free in time, or once the pause in opening has ended.
        return waitsForTime ? [...messages, ...this.table.setIdleTimer(pool, nowMs)] : messages;
    }

    private refuse(
        pool: LinkPool,
        refused: RefusedStatement<WaitingTask>,
        occupancy: PoolOccupancy,
        nowMs: number,
    ): readonly Message[] {
        const { statement: { placed, priority }, reason } = refused;
        const attempted: TaskAttempted = {
            ...unsentAttempt(placed, StatementFault.Busy),
            retryAfterMs: retryAfterMs(refused.drainMs, this.random),
            load: databaseLoadOf(pool, occupancy, this.table.maximumLinksOf(pool), nowMs),
        };
        const logged: SchedulingRefused = {
            kind: SchedulingKind.Refused,
            databaseId: placed.databaseId,
            reason,
            priority,
            window: pool.window.size,
            inFlight: occupancy.inFlight,
            slots: pool.report.slots,
            waiting: pool.waitingTasks.size,
            drainMs: refused.drainMs,
        };
        return [clearDeadline(attemptKey(placed)), attempted, logged];
    }

    private logPace(pool: LinkPool): readonly Message[] {
        const { window, report: { databaseId, slots }, waitingTasks } = pool;
        if (window.phase === pool.loggedPhase) {
            return [];
        }
        pool.loggedPhase = window.phase;
        const changed: PaceChanged = {
            kind: SchedulingKind.PaceChanged,
            databaseId,
            phase: window.phase,
            window: window.size,
            slots,
            waiting: waitingTasks.size,
        };
        return [changed];
    }
}
