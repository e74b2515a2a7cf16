/**
 * Runs tasks on links, after the routing and forwarding filters have assigned them to a database of which this instance
 * is the holder. Opens links, sets session state on them, reserves them for open transactions, and enforces timeouts.
 */
import { match, P } from "ts-pattern";
import {
    type AssessmentRequested,
    type DatabaseChanged,
    type DatabaseRemoved,
    FleetKind,
    type FrameReceived,
    type PolicyApplied,
} from "../model/fleetMessages.ts";
import {
    DiscardReason,
    type LinkCommand,
    LinkCommandKind,
    LinkKind,
    LinkLoss,
    type LinkLost,
    type LinkOpened,
    type LinkReplied,
    type LinkReply,
    type LinkReplyDiscarded,
    type LinkSend,
} from "../model/linkMessages.ts";
import type { Position } from "../model/position.ts";
import { StatementFault, TaskMode, TransactionState } from "../model/sessionStatement.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { CommitTracker } from "./commitTracker.ts";
import { type Link, LinkState } from "./link.ts";
import { gateOf, openGate } from "./linkGate.ts";
import { LinkPool } from "./linkPool.ts";
import { connectionLimitPauseMs, LinkTable } from "./linkTable.ts";
import { ReplyRole, ReplyVerdict } from "./replyMatcher.ts";
import {
    type HolderChanged,
    isCommit,
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

/** Timeout of the reply to a gate or a rollback; above the longest round trip, because neither needs a slot. */
const gateTimeoutMs = 400;

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
    | HolderChanged;

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
    ];
    private readonly table = new LinkTable();
    private readonly commitTracker = new CommitTracker();

    process(message: LinksInput, nowMs: number): readonly Message[] {
        this.commitTracker.startOnce(nowMs);
        return match<LinksInput, readonly Message[]>(message)
            .with({ kind: P.union(TaskKind.Placed, TaskKind.PassedPlaced) }, input => this.place(input, nowMs))
            .with(
                { kind: P.union(TaskKind.Continued, TaskKind.PassedContinued) },
                input => this.continueTransaction(input, nowMs),
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
            .with({ kind: TaskKind.IdleDue }, input => this.closeIdleLinks(input.id, nowMs))
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
        pool.waitingTasks.push(placed);
        const timer = taskTimer(TaskKind.AttemptDue, placed.task.taskId);
        return [setDeadline(attemptKey(placed), placed.attemptDeadlineMs, timer), ...this.assignLinks(pool, nowMs)];
    }

    /** Assigns idle links to waiting tasks in order of arrival, and opens links for tasks that are left without one. */
    private assignLinks(pool: LinkPool, nowMs: number): readonly Message[] {
        if (pool.waitingTasks.length === 0) {
            return [];
        }
        const messages: Message[] = [];
        const { idle, opening } = pool.summary();
        const unserved: TaskPlaced[] = [];
        const unservedCount = new Map<string, number>();
        let mayOpen = true;
        for (const placed of pool.waitingTasks) {
            const { workspace } = placed.task;
            const link = idle.find(placed.task);
            if (link !== undefined) {
                messages.push(...this.startAttempt(link, placed, nowMs));
                continue;
            }
            unserved.push(placed);
            const count = (unservedCount.get(workspace) ?? 0) + 1;
            unservedCount.set(workspace, count);
            if (mayOpen && (opening.get(workspace) ?? 0) < count) {
                const opened = this.table.open(pool, workspace, nowMs);
                messages.push(...opened);
                // If no link can be opened for this task, none can be opened for the tasks behind it.
                mayOpen = opened.length > 0;
                opening.set(workspace, (opening.get(workspace) ?? 0) + (mayOpen ? 1 : 0));
            }
        }
        pool.waitingTasks = unserved;
        return messages;
    }

    private handleOpened({ linkId, position }: LinkOpened, nowMs: number): readonly Message[] {
        const link = this.table.get(linkId);
        if (link === undefined) {
            return [];
        }
        const pool = this.table.poolOf(link);
        pool.lastReplyAtMs = nowMs;
        pool.recordPosition(position);
        return [this.table.clearLinkTimer(link), ...this.release(link, nowMs)];
    }

    /** Starts an attempt on an idle link. */
    private startAttempt(link: Link, placed: TaskPlaced, nowMs: number): readonly Message[] {
        const { task, floor } = placed;
        link.state = LinkState.Busy;
        const prelude = link.preludeCommands(task.context, task.statement);
        const { latestPosition } = this.table.poolOf(link);
        const provesPrelude = prelude.length > 0 && link.replies.canProveBegin(latestPosition);
        const gate = gateOf(placed, nowMs - link.idleSinceMs, provesPrelude);
        link.attempt = { placed, gate, sentMs: nowMs, knownPosition: latestPosition, sent: false, leads: false };
        if (gate.commands.length === 0) {
            return prelude.length > 0 ? this.send(link, prelude, [], []) : this.sendStatement(link, floor);
        }
        const roles = [ReplyRole.Gate, ...gate.commands.slice(1).map(() => ReplyRole.Cleanup)];
        return [
            ...this.send(link, prelude, gate.commands, roles),
            this.table.setLinkTimer(link, nowMs + gateTimeoutMs),
        ];
    }

    private sendStatement(link: Link, floor: Position | undefined): readonly Message[] {
        const attempt = link.attempt!;
        attempt.sent = true;
        return this.send(link, [], [link.statementCommand({ task: attempt.placed.task, floor })], [
            ReplyRole.Statement,
        ]);
    }

    private continueTransaction({ task }: TaskContinued, nowMs: number): readonly Message[] {
        const link = this.table.findPinned(task.sessionId);
        if (link === undefined) {
            // The link broke between two statements; the database has rolled back the transaction.
            return [unsentAttempt({ task, databaseId: "" }, StatementFault.Aborted)];
        }
        const placed: TaskPlaced = {
            kind: TaskKind.Placed,
            task,
            databaseId: link.databaseId,
            floor: undefined,
            attemptDeadlineMs: task.deadlineMs,
        };
        link.state = LinkState.Busy;
        const knownPosition = this.table.poolOf(link).latestPosition;
        link.attempt = { placed, gate: openGate, sentMs: nowMs, knownPosition, sent: false, leads: false };
        const prelude = link.preludeCommands(task.context, task.statement);
        const timer = taskTimer(TaskKind.AttemptDue, task.taskId);
        return [
            setDeadline(attemptKey(placed), placed.attemptDeadlineMs, timer),
            ...prelude.length > 0 ? this.send(link, prelude, [], []) : this.sendStatement(link, undefined),
        ];
    }

    private send(
        link: Link,
        prelude: readonly LinkCommand[],
        commands: readonly LinkCommand[],
        roles: readonly ReplyRole[],
    ): readonly Message[] {
        prelude.forEach(command => link.replies.expect(ReplyRole.Prelude, command));
        commands.forEach((command, index) => link.replies.expect(roles[index]!, command));
        const message: LinkSend = { kind: LinkKind.Send, linkId: link.linkId, commands: [...prelude, ...commands] };
        return [message];
    }

    private handleReplied({ linkId, reply }: LinkReplied, nowMs: number): readonly Message[] {
        const link = this.table.get(linkId);
        if (link === undefined) {
            return [];
        }
        const match = link.replies.match(reply);
        switch (match.verdict) {
            case ReplyVerdict.Repeated:
                return link.replies.isOverflowing
                    ? this.discard(link, reply, DiscardReason.Repeated, nowMs)
                    : [replyDiscarded(link, reply, DiscardReason.Repeated)];
            case ReplyVerdict.Unmatched:
                return this.discard(link, reply, DiscardReason.Unmatched, nowMs);
        }
        const pool = this.table.poolOf(link);
        const isProved = match.verdict === ReplyVerdict.Proved;
        if (isProved) {
            pool.lastReplyAtMs = nowMs;
            pool.recordPosition(reply.position);
        }
        switch (match.role) {
            case ReplyRole.Prelude:
                return this.handlePreludeReply(link, reply, nowMs);
            case ReplyRole.Gate:
                return this.handleGateReply(link, reply, isProved, nowMs);
            case ReplyRole.Statement:
                return this.handleStatementReply(link, reply, isProved, nowMs);
            case ReplyRole.Cleanup:
                return this.handleCleanupReply(link, nowMs);
        }
    }

    /** Sends the statement once the commands are answered; behind a refused one it would run without its session state. */
    private handlePreludeReply(link: Link, reply: LinkReply, nowMs: number): readonly Message[] {
        if (reply.fault !== undefined) {
            return this.closeLink(link, nowMs, faultWithoutReply(link));
        }
        const { attempt } = link;
        return link.replies.expectedCount > 0 || attempt === undefined
            ? []
            : this.sendStatement(link, attempt.placed.floor);
    }

    private handleGateReply(link: Link, reply: LinkReply, isProved: boolean, nowMs: number): readonly Message[] {
        const attempt = link.attempt;
        if (attempt === undefined) {
            return [];
        }
        const { placed: { task, floor }, gate } = attempt;
        if (!isProved && reply.fault !== undefined) {
            // The statement has not been sent, so that it is not run is true in any case.
            return this.closeAfterReply(link, reply, nowMs);
        }
        if (!isProved && gate.needsProof) {
            return this.discard(link, reply, DiscardReason.Doubtful, nowMs);
        }
        attempt.leads = reply.fault === undefined && task.needsPrimary && isProved;
        if (task.mode === TaskMode.Probe || reply.fault !== undefined) {
            return [...this.reportAttempt(link, reply, false), ...this.finishGate(link, reply, nowMs)];
        }
        if (!gate.containsStatement) {
            // The statement is sent after the cleanup.
            return [];
        }
        const cleared = this.table.clearLinkTimer(link);
        if (task.mode !== TaskMode.Single) {
            return [cleared, ...this.sendStatement(link, undefined)];
        }
        attempt.sent = true;
        const commands = [link.statementCommand({ task, floor }), { kind: LinkCommandKind.Rollback }];
        return [cleared, ...this.send(link, [], commands, [ReplyRole.Statement, ReplyRole.Cleanup])];
    }

    /** Frees a link after a gate that failed or that belonged to a probe. */
    private finishGate(link: Link, reply: LinkReply, nowMs: number): readonly Message[] {
        if (link.replies.expectedCount > 0) {
            return [];
        }
        return reply.transaction === TransactionState.None
            ? [this.table.clearLinkTimer(link), ...this.release(link, nowMs)]
            : this.rollBack(link, nowMs);
    }

    private handleCleanupReply(link: Link, nowMs: number): readonly Message[] {
        if (link.replies.expectedCount > 0) {
            return [];
        }
        const cleared = this.table.clearLinkTimer(link);
        const { attempt } = link;
        if (attempt === undefined) {
            return [cleared, ...this.release(link, nowMs)];
        }
        // The gate has shown that the link is alive and its session state set; the statement can be sent.
        attempt.leads = false;
        return [cleared, ...this.sendStatement(link, attempt.placed.floor)];
    }

    private handleStatementReply(
        link: Link,
        reply: LinkReply,
        isProved: boolean,
        nowMs: number,
    ): readonly Message[] {
        const attempt = link.attempt!;
        const { task } = attempt.placed;
        const inTransaction = task.mode !== TaskMode.Single;
        if (!isProved && reply.fault !== undefined) {
            // A read may run again, whatever became of this one.
            return inTransaction || task.writes
                ? this.discard(link, reply, DiscardReason.Doubtful, nowMs)
                : this.closeAfterReply(link, reply, nowMs);
        }
        if (!inTransaction && !task.writes && task.needsPrimary && reply.fault === undefined) {
            if (reply.transaction !== TransactionState.Open) {
                // The gate has not begun a transaction, so nothing proves that the database is the primary.
                return this.discard(link, reply, DiscardReason.Unmatched, nowMs);
            }
            attempt.leads = true;
        }
        const pinned = inTransaction && reply.fault === undefined && reply.transaction === TransactionState.Open
            && !link.isAbandoned;
        if (isCommit(task) && reply.fault === undefined && reply.position !== undefined) {
            this.commitTracker.recordCommit(task.service, reply.position, attempt);
            attempt.leads ||= !inTransaction;
        }
        const result = this.reportAttempt(link, reply, pinned);
        this.table.unpin(link);
        if (link.replies.expectedCount > 0) {
            return [...result, this.table.setLinkTimer(link, nowMs + gateTimeoutMs)];
        }
        if (pinned) {
            this.table.pin(link, task.sessionId);
            return result;
        }
        return [
            ...result,
            ...reply.transaction === TransactionState.None ? this.release(link, nowMs) : this.rollBack(link, nowMs),
        ];
    }

    /** Reports a reply that may belong to an earlier command, and closes its link, on which the answer may follow. */
    private closeAfterReply(link: Link, reply: LinkReply, nowMs: number): readonly Message[] {
        return [
            replyDiscarded(link, reply, DiscardReason.Doubtful),
            ...this.reportAttempt(link, reply, false),
            ...this.closeLink(link, nowMs),
        ];
    }

    /** Closes a link whose replies can no longer be matched to its commands, and reports its attempt accordingly. */
    private discard(link: Link, reply: LinkReply, reason: DiscardReason, nowMs: number): readonly Message[] {
        return [replyDiscarded(link, reply, reason), ...this.closeLink(link, nowMs, faultWithoutReply(link))];
    }

    /**
     * Reports the result of the attempt on a link and removes it from the link.
     * @param fault set if there is no reply, but the database has not failed to reply either
     */
    private reportAttempt(
        link: Link,
        reply: LinkReply | undefined,
        pinned: boolean,
        fault?: StatementFault,
    ): readonly Message[] {
        const { attempt } = link;
        link.attempt = undefined;
        if (attempt === undefined) {
            return [];
        }
        const { placed, sent, sentMs, leads } = attempt;
        const { task, databaseId } = placed;
        const attempted: TaskAttempted = {
            kind: TaskKind.Attempted,
            task,
            databaseId,
            address: undefined,
            reply,
            fault,
            sent,
            holderUnavailable: false,
            sentMs,
            leads: leads && reply?.fault === undefined,
            pinned,
        };
        return [clearDeadline(attemptKey(placed)), attempted];
    }

    private rollBack(link: Link, nowMs: number): readonly Message[] {
        link.state = LinkState.Busy;
        return [
            ...this.send(link, [], [{ kind: LinkCommandKind.Rollback }], [ReplyRole.Cleanup]),
            this.table.setLinkTimer(link, nowMs + gateTimeoutMs),
        ];
    }

    /** Makes a link idle and assigns it to the next waiting task. */
    private release(link: Link, nowMs: number): readonly Message[] {
        const pool = this.table.poolOf(link);
        if (link.replies.isExhausted) {
            return this.closeLink(link, nowMs);
        }
        link.state = LinkState.Idle;
        link.isAbandoned = false;
        link.idleSinceMs = nowMs;
        return [
            ...this.assignLinks(pool, nowMs),
            ...link.state === LinkState.Idle ? [this.table.setIdleTimer(pool, nowMs)] : [],
        ];
    }

    private abandon({ sessionId, taskId }: TaskAbandoned, nowMs: number): readonly Message[] {
        const link = this.table.findPinned(sessionId);
        if (link !== undefined && link.attempt === undefined) {
            this.table.unpin(link);
            return this.rollBack(link, nowMs);
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
        return [
            ...idle.flatMap(other => this.table.close(other)),
            ...link.state === LinkState.Opening ? this.failWaitingTask(pool, link, undefined) : [],
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
        const hasOtherLinks = pool.links.size > 1;
        const failsTask = opening && (loss !== LinkLoss.Broken || !hasOtherLinks);
        const failedTask = failsTask
            ? this.failWaitingTask(pool, link, loss === LinkLoss.Refused ? fault : undefined)
            : [];
        return [
            ...failedTask,
            ...this.table.remove(link),
            ...this.reportAttempt(link, undefined, false),
            ...this.assignLinks(pool, nowMs),
            ...pool.waitingTasks.length > 0 ? [this.table.setIdleTimer(pool, nowMs)] : [],
        ];
    }

    /** Fails the waiting task for which a link could not be opened. */
    private failWaitingTask(pool: LinkPool, link: Link, fault: StatementFault | undefined): readonly Message[] {
        const placed = pool.waitingTasks.find(({ task }) => task.workspace === link.workspace);
        if (placed === undefined) {
            return [];
        }
        pool.waitingTasks = pool.waitingTasks.filter(other => other !== placed);
        return [clearDeadline(attemptKey(placed)), unsentAttempt(placed, fault)];
    }

    /** Closes a link and reports its attempt, if there is one, without a reply. */
    private closeLink(link: Link, nowMs: number, fault?: StatementFault): readonly Message[] {
        const pool = this.table.poolOf(link);
        return [
            ...this.table.close(link),
            ...this.reportAttempt(link, undefined, false, fault),
            ...this.assignLinks(pool, nowMs),
        ];
    }

    private applyDatabaseReport(changed: DatabaseChanged, nowMs: number): readonly Message[] {
        const { report } = changed;
        const pool = this.table.pools.get(report.databaseId);
        if (pool === undefined) {
            this.table.pools.set(report.databaseId, new LinkPool(report));
            return [changed];
        }
        const movedOrRestarted = pool.report.address !== report.address
            || pool.report.bornUnixMs !== report.bornUnixMs;
        if (movedOrRestarted || pool.report.leads !== report.leads) {
            // A change of primary or a restart may take the log back.
            pool.latestPosition = undefined;
        }
        pool.report = report;
        const outdated = movedOrRestarted ? [...pool.links] : [];
        return [changed, ...outdated.flatMap(link => this.closeLink(link, nowMs))];
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
        return isHolder ? this.assignLinks(pool, nowMs) : this.closeIdleLinks(databaseId, nowMs);
    }

    private removePool(databaseId: string, nowMs: number): readonly Message[] {
        const pool = this.table.pools.get(databaseId);
        if (pool === undefined) {
            return [];
        }
        const waiting = pool.waitingTasks;
        pool.waitingTasks = [];
        const messages = [
            ...waiting.flatMap(
                placed => [clearDeadline(attemptKey(placed)), unsentAttempt(placed, StatementFault.Misrouted)],
            ),
            ...[...pool.links].filter(link => link.attempt === undefined).flatMap(link => this.table.close(link)),
            ...[...pool.links].flatMap(link => this.closeLink(link, nowMs)),
        ];
        this.table.pools.delete(databaseId);
        return messages;
    }

    private closeIdleLinks(databaseId: string, nowMs: number): readonly Message[] {
        const pool = this.table.pools.get(databaseId);
        return pool === undefined ? [] : [...this.table.closeExpired(pool, nowMs), ...this.assignLinks(pool, nowMs)];
    }
}

function unsentAttempt(
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

/** Returns what is known about an attempt whose link is closed although the database answers. */
function faultWithoutReply({ attempt }: Link): StatementFault {
    return attempt?.sent === true ? StatementFault.InDoubt : StatementFault.Busy;
}

function replyDiscarded(
    { linkId, databaseId }: Link,
    { fault }: LinkReply,
    reason: DiscardReason,
): LinkReplyDiscarded {
    return { kind: LinkKind.ReplyDiscarded, linkId, databaseId, reason, fault };
}

function attemptKey({ task }: TaskPlaced): string {
    return `attempt/${task.taskId}`;
}
