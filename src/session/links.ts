/**
 * Schedules tasks on links, after the routing and forwarding filters have assigned them to a database of which this
 * instance is the holder: from their placement to their end, and through all that happens to links and databases.
 */
import { match, P } from "ts-pattern";
import { type ExplanationAsked, ExplanationKind } from "../model/explanation.ts";
import {
    type AssessmentRequested,
    type DatabaseChanged,
    type DatabaseRemoved,
    FleetKind,
    type FrameReceived,
    type PolicyApplied,
} from "../model/fleetMessages.ts";
import { LinkKind, LinkLoss, type LinkLost, type LinkOpened, type LinkReplied } from "../model/linkMessages.ts";
import type { Pace } from "../model/pace.ts";
import { StatementFault } from "../model/sessionStatement.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import type { SeededRandom } from "../pipeline/seededRandom.ts";
import { EvacuationStage } from "../scheduling/evacuations.ts";
import { unsentAttempt } from "./attemptOutcome.ts";
import { CommitTracker } from "./commitTracker.ts";
import { explainLinks } from "./explainLinks.ts";
import { type Link, LinkState } from "./link.ts";
import { attemptKey, LinkAttempts } from "./linkAttempts.ts";
import { LinkPool } from "./linkPool.ts";
import { connectionLimitPauseMs, LinkTable } from "./linkTable.ts";
import { recordLost, recordOpened } from "./poolLoad.ts";
import {
    type EvacuationStageChanged,
    type HolderChanged,
    type TaskAbandoned,
    type TaskAttempted,
    type TaskContinued,
    type TaskEnded,
    type TaskExpired,
    TaskKind,
    type TaskPlaced,
    type TaskTimer,
    taskTimer,
} from "./taskMessages.ts";
import { TaskScheduler } from "./taskScheduler.ts";

type LinksInput =
    | TaskPlaced
    | TaskContinued
    | TaskAbandoned
    | TaskExpired
    | TaskTimer
    | LinkOpened
    | LinkReplied
    | LinkLost
    | DatabaseChanged
    | DatabaseRemoved
    | PolicyApplied
    | AssessmentRequested
    | FrameReceived
    | TaskEnded
    | HolderChanged
    | EvacuationStageChanged
    | ExplanationAsked;

/** What may change the state of the links. */
type LinksEvent = Exclude<LinksInput, ExplanationAsked>;

export interface LinksOptions {
    readonly random: SeededRandom;
    readonly pace: Pace;
}

export class Links implements Filter<LinksInput, Message> {
    readonly step = "links";
    readonly accepts = [
        TaskKind.Placed,
        TaskKind.PassedPlaced,
        TaskKind.Continued,
        TaskKind.PassedContinued,
        TaskKind.Abandoned,
        TaskKind.PassedAbandoned,
        TaskKind.Expired,
        TaskKind.AttemptDue,
        TaskKind.LinkDue,
        TaskKind.IdleDue,
        LinkKind.Opened,
        LinkKind.Replied,
        LinkKind.Lost,
        FleetKind.DatabaseChanged,
        FleetKind.DatabaseRemoved,
        FleetKind.PolicyApplied,
        FleetKind.AssessmentRequested,
        FleetKind.FrameReceived,
        TaskKind.Ended,
        TaskKind.HolderChanged,
        TaskKind.EvacuationStageChanged,
        ExplanationKind.Asked,
    ];
    private readonly table = new LinkTable();
    private readonly commitTracker = new CommitTracker();
    private readonly attempts = new LinkAttempts(this.table, this.commitTracker);
    private readonly scheduler: TaskScheduler;
    private readonly pace: Pace;

    constructor({ random, pace }: LinksOptions) {
        this.pace = pace;
        this.scheduler = new TaskScheduler({ table: this.table, attempts: this.attempts, random });
    }

    process(message: LinksInput, nowMs: number): readonly Message[] {
        if (message.kind === ExplanationKind.Asked) {
            // Changes nothing, so that it does not start the tracking either.
            return [explainLinks(message, this.table, nowMs)];
        }
        this.commitTracker.startOnce(nowMs);
        return match<LinksEvent, readonly Message[]>(message)
            .with({ kind: P.union(TaskKind.Placed, TaskKind.PassedPlaced) }, input => this.place(input, nowMs))
            .with(
                { kind: P.union(TaskKind.Continued, TaskKind.PassedContinued) },
                input => this.attempts.continueTransaction(input, nowMs),
            )
            .with({ kind: P.union(TaskKind.Abandoned, TaskKind.PassedAbandoned) }, input => this.abandon(input, nowMs))
            .with({ kind: TaskKind.Expired }, input => this.handleAttemptTimeout(input.taskId, nowMs))
            .with({ kind: LinkKind.Opened }, input => this.handleOpened(input, nowMs))
            .with({ kind: LinkKind.Replied }, input => this.handleReplied(input, nowMs))
            .with({ kind: LinkKind.Lost }, input => this.handleLost(input, nowMs))
            .with({ kind: FleetKind.DatabaseChanged }, input => this.applyDatabaseReport(input, nowMs))
            .with({ kind: FleetKind.DatabaseRemoved }, input => this.removePool(input.databaseId, nowMs))
            .with({ kind: FleetKind.PolicyApplied }, input => {
                this.table.services = input.policy.services;
                return [input];
            })
            .with({ kind: TaskKind.HolderChanged }, input => this.changeHolder(input, nowMs))
            .with({ kind: TaskKind.EvacuationStageChanged }, input => this.changeEvacuationStage(input, nowMs))
            .with({ kind: TaskKind.Ended }, input => {
                this.commitTracker.recordResult(input);
                return [input];
            })
            .with(
                { kind: FleetKind.AssessmentRequested },
                input => [this.commitTracker.assessmentFrame(input, this.table.pools.get(input.databaseId), nowMs)],
            )
            .with({ kind: FleetKind.FrameReceived }, input => [input, ...this.answerCommitsAsked(input, nowMs)])
            .with({ kind: TaskKind.LinkDue }, input => this.handleLinkTimeout(input.id, nowMs))
            .with({ kind: TaskKind.IdleDue }, input => this.makePass(input.id, nowMs))
            .otherwise(timer => this.handleAttemptTimeout((timer as TaskTimer).id, nowMs));
    }

    private answerCommitsAsked({ attachmentId, frame }: FrameReceived, nowMs: number): readonly Message[] {
        if (frame.kind !== "commits_asked") {
            return [];
        }
        const commitsSeen = this.commitTracker.commitsSeenFrame(frame.service, frame.questionId, nowMs);
        return [{ kind: FleetKind.SendFrame, attachmentId, frame: commitsSeen } as Message];
    }

    private place(placed: TaskPlaced, nowMs: number): readonly Message[] {
        const pool = this.table.pools.get(placed.databaseId);
        if (pool === undefined) {
            return [unsentAttempt(placed, StatementFault.Misrouted)];
        }
        if (pool.evacuationStage !== EvacuationStage.Open) {
            // The instance that passed the task does not know of the evacuation yet.
            return [unsentAttempt(placed, StatementFault.Busy)];
        }
        const refusal = pool.lag.refuse(placed, nowMs);
        if (refusal !== undefined) {
            return [{ ...unsentAttempt(placed, undefined), reply: refusal } as TaskAttempted];
        }
        const timer = taskTimer(TaskKind.AttemptDue, placed.task.taskId);
        return [
            setDeadline(attemptKey(placed), placed.attemptDeadlineMs, timer),
            ...this.scheduler.add(pool, placed, nowMs),
        ];
    }

    private handleOpened({ linkId, position }: LinkOpened, nowMs: number): readonly Message[] {
        const link = this.table.get(linkId);
        if (link === undefined) {
            return [];
        }
        const pool = this.table.poolOf(link);
        pool.lastReplyAtMs = nowMs;
        pool.recordPosition(position, nowMs);
        recordOpened(pool, link, nowMs);
        return [
            this.table.clearLinkTimer(link),
            ...this.attempts.release(link, nowMs),
            ...this.scheduler.assign(pool, nowMs),
        ];
    }

    private handleReplied(replied: LinkReplied, nowMs: number): readonly Message[] {
        const link = this.table.get(replied.linkId);
        return link === undefined
            ? []
            : [
                ...this.attempts.handleReply(link, replied.reply, nowMs),
                ...this.scheduler.assign(this.table.poolOf(link), nowMs),
            ];
    }

    private abandon({ sessionId, taskId }: TaskAbandoned, nowMs: number): readonly Message[] {
        const link = this.table.findPinned(sessionId);
        if (link !== undefined && link.attempt === undefined) {
            this.table.unpin(link);
            return this.attempts.rollBack(link, nowMs);
        }
        if (taskId === undefined) {
            // The link of the transaction was lost; the database has rolled back the transaction.
            return [];
        }
        const placed = this.table.removeWaiting(taskId);
        if (placed !== undefined) {
            return [clearDeadline(attemptKey(placed))];
        }
        const running = this.table.findRunning(taskId);
        if (running !== undefined) {
            running.isAbandoned = true;
        }
        return [];
    }

    /** Ends an attempt at its deadline: a waiting task as not run, one on a link by closing the link. */
    private handleAttemptTimeout(taskId: string, nowMs: number): readonly Message[] {
        const placed = this.table.removeWaiting(taskId);
        if (placed !== undefined) {
            return [unsentAttempt(placed, StatementFault.Busy)];
        }
        const link = this.table.findRunning(taskId);
        return link === undefined ? [] : this.closeLink(link, nowMs);
    }

    /** Handles a link that did not open in time, or whose gate or rollback was not answered in time. */
    private handleLinkTimeout(linkId: string, nowMs: number): readonly Message[] {
        const link = this.table.get(linkId);
        return link === undefined ? [] : this.dropUnresponsive(link, nowMs);
    }

    /** Closes an unresponsive link and all idle links to the same database, which are probably unresponsive too. */
    private dropUnresponsive(link: Link, nowMs: number): readonly Message[] {
        const pool = this.table.poolOf(link);
        const idle = [...pool.links].filter(other => other.state === LinkState.Idle);
        const isOpening = link.state === LinkState.Opening;
        if (isOpening) {
            pool.window.recordFailure(link.openedMs, nowMs);
        }
        const hasReplied = (pool.lastReplyAtMs ?? -Infinity) >= link.openedMs;
        return [
            ...idle.flatMap(other => this.table.close(other)),
            ...isOpening
                ? hasReplied ? this.failWaitingTask(pool, link, undefined) : this.failAllWaiting(pool, undefined)
                : [],
            ...this.closeLink(link, nowMs),
        ];
    }

    private handleLost({ linkId, loss, fault }: LinkLost, nowMs: number): readonly Message[] {
        const link = this.table.get(linkId);
        if (link === undefined) {
            return [];
        }
        const pool = this.table.poolOf(link);
        const opening = link.state === LinkState.Opening;
        if (opening && (fault === StatementFault.ConnectionLimit || loss === LinkLoss.Broken)) {
            // A database at its connection limit refuses a link with a fault, or resets the connection.
            pool.openPausedUntilMs = nowMs + connectionLimitPauseMs;
        }
        recordLost(pool, link, loss, nowMs);
        const hasOtherLinks = pool.links.size > 1;
        const attempted = this.attempts.report(link, undefined, false, nowMs);
        return [
            ...loss === LinkLoss.NoListener
                ? this.failAllWaiting(pool, undefined)
                : opening && (loss !== LinkLoss.Broken || !hasOtherLinks)
                ? this.failWaitingTask(pool, link, loss === LinkLoss.Refused ? fault : undefined)
                : [],
            ...this.table.remove(link),
            ...attempted,
            ...this.scheduler.assign(pool, nowMs),
            ...pool.waitingTasks.size > 0 ? this.table.setIdleTimer(pool, nowMs) : [],
        ];
    }

    /** Fails the waiting task for which a link could not be opened. */
    private failWaitingTask(pool: LinkPool, link: Link, fault: StatementFault | undefined): readonly Message[] {
        const waiting = pool.waitingTasks.statements.find(({ workspace }) => workspace === link.workspace);
        if (waiting === undefined) {
            return [];
        }
        pool.waitingTasks.remove(waiting.id);
        return [clearDeadline(attemptKey(waiting.placed)), unsentAttempt(waiting.placed, fault)];
    }

    /** Fails all waiting tasks of a database that cannot be reached, so that none waits for a link of its own. */
    private failAllWaiting({ waitingTasks }: LinkPool, fault: StatementFault | undefined): readonly Message[] {
        return waitingTasks.statements.flatMap(({ id, placed }) => {
            waitingTasks.remove(id);
            return [clearDeadline(attemptKey(placed)), unsentAttempt(placed, fault)];
        });
    }

    private closeLink(link: Link, nowMs: number): readonly Message[] {
        const pool = this.table.poolOf(link);
        return [...this.attempts.close(link, nowMs), ...this.scheduler.assign(pool, nowMs)];
    }

    private applyDatabaseReport(changed: DatabaseChanged, nowMs: number): readonly Message[] {
        const { report } = changed;
        const pool = this.table.pools.get(report.databaseId);
        if (pool === undefined) {
            this.table.pools.set(report.databaseId, new LinkPool(report, this.pace));
            return [changed];
        }
        const movedOrRestarted = pool.report.address !== report.address
            || pool.report.bornUnixMs !== report.bornUnixMs;
        const isPromoted = report.leads && !pool.report.leads;
        if (movedOrRestarted || pool.report.leads !== report.leads) {
            // A change of primary or a restart may take the log back.
            pool.latestPosition = undefined;
            pool.lag.forget();
        }
        pool.report = report;
        pool.window.setSlots(report.slots);
        if (movedOrRestarted || isPromoted) {
            pool.window.restart(nowMs);
        }
        const outdated = movedOrRestarted ? [...pool.links] : [];
        const isCold = movedOrRestarted && (this.table.services.get(report.service)?.coldPerSecond ?? 0) > 0;
        return [
            changed,
            // They came through the gate before cold databases for the earlier process.
            ...isCold ? this.failAllWaiting(pool, StatementFault.Busy) : [],
            ...outdated.flatMap(link => this.attempts.close(link, nowMs)),
            ...this.scheduler.assign(pool, nowMs),
        ];
    }

    /**
     * Closes idle links when this instance is no longer the holder: the connection limit of the database covers all
     * instances, so the next holder can open its links only after these are closed.
     */
    private changeHolder({ databaseId, isHolder }: HolderChanged, nowMs: number): readonly Message[] {
        const pool = this.table.pools.get(databaseId);
        if (pool === undefined) {
            return [];
        }
        pool.isHolder = isHolder;
        return isHolder ? this.scheduler.assign(pool, nowMs) : this.closeIdleLinks(databaseId, nowMs);
    }

    /** Ends the use of a database in an evacuated data centre: first by new work, then by open transactions too. */
    private changeEvacuationStage({ databaseId, stage }: EvacuationStageChanged, nowMs: number): readonly Message[] {
        const pool = this.table.pools.get(databaseId);
        if (pool === undefined) {
            return [];
        }
        pool.evacuationStage = stage;
        if (stage === EvacuationStage.Open) {
            return [];
        }
        const unused = [...pool.links].filter(({ attempt, state }) =>
            attempt === undefined && (stage === EvacuationStage.Closed || state !== LinkState.Pinned)
        );
        return [
            ...this.failAllWaiting(pool, StatementFault.Busy),
            ...unused.flatMap(link => this.closeLink(link, nowMs)),
        ];
    }

    private removePool(databaseId: string, nowMs: number): readonly Message[] {
        const pool = this.table.pools.get(databaseId);
        if (pool === undefined) {
            return [];
        }
        const messages = [
            ...this.failAllWaiting(pool, StatementFault.Misrouted),
            ...[...pool.links].flatMap(link => this.attempts.close(link, nowMs)),
        ];
        this.table.pools.delete(databaseId);
        return messages;
    }

    private makePass(databaseId: string, nowMs: number): readonly Message[] {
        const pool = this.table.pools.get(databaseId);
        if (pool !== undefined) {
            pool.nextPassAtMs = undefined;
        }
        return this.closeIdleLinks(databaseId, nowMs);
    }

    private closeIdleLinks(databaseId: string, nowMs: number): readonly Message[] {
        const pool = this.table.pools.get(databaseId);
        return pool === undefined
            ? []
            : [...this.table.closeExpired(pool, nowMs), ...this.scheduler.assign(pool, nowMs)];
    }
}
