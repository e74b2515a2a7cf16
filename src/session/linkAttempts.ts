/**
 * Runs attempts at tasks on links: sets session state, opens the gate, sends the statement, judges the replies, and
 * reserves links for open transactions.
 */
import {
    DiscardReason,
    type LinkCommand,
    LinkCommandKind,
    LinkKind,
    type LinkReply,
    type LinkReplyDiscarded,
    type LinkSend,
} from "../model/linkMessages.ts";
import type { Position } from "../model/position.ts";
import { StatementFault, TaskMode, TransactionState } from "../model/sessionStatement.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Message } from "../pipeline/message.ts";
import { EvacuationStage } from "../scheduling/evacuations.ts";
import { unsentAttempt } from "./attemptOutcome.ts";
import type { CommitTracker } from "./commitTracker.ts";
import { type Link, LinkState } from "./link.ts";
import { gateOf, openGate } from "./linkGate.ts";
import type { LinkTable } from "./linkTable.ts";
import { databaseLoadOf, recordOutcome } from "./poolLoad.ts";
import { ReplyRole, ReplyVerdict } from "./replyMatcher.ts";
import {
    isCommit,
    type TaskAttempted,
    type TaskContinued,
    TaskKind,
    type TaskPlaced,
    taskTimer,
} from "./taskMessages.ts";

/** Timeout of the reply to a gate or a rollback; above the longest round trip, because neither needs a slot. */
const gateTimeoutMs = 400;

/** Ends of attempts leave links idle or closed; the caller then assigns the waiting tasks. */
export class LinkAttempts {
    private readonly table: LinkTable;
    private readonly commitTracker: CommitTracker;

    constructor(table: LinkTable, commitTracker: CommitTracker) {
        this.table = table;
        this.commitTracker = commitTracker;
    }

    /**
     * Starts an attempt on an idle link.
     * @param inFlight number of links that are opening or busy, including this one
     */
    start(link: Link, placed: TaskPlaced, inFlight: number, nowMs: number): readonly Message[] {
        const { task, floor } = placed;
        link.state = LinkState.Busy;
        link.isUnused = false;
        const prelude = link.preludeCommands(task.context, task.statement);
        const { latestPosition } = this.table.poolOf(link);
        const provesPrelude = prelude.length > 0 && link.replies.canProveBegin(latestPosition);
        const gate = gateOf(placed, nowMs - link.idleSinceMs, provesPrelude);
        this.table.startAttempt(link, {
            placed,
            gate,
            sentMs: nowMs,
            inFlightAtStart: inFlight,
            knownPosition: latestPosition,
            sent: false,
            leads: false,
        });
        if (gate.commands.length === 0) {
            return prelude.length > 0 ? this.send(link, prelude, [], []) : this.sendStatement(link, floor);
        }
        const roles = [ReplyRole.Gate, ...gate.commands.slice(1).map(() => ReplyRole.Cleanup)];
        return [
            ...this.send(link, prelude, gate.commands, roles),
            this.table.setLinkTimer(link, nowMs + gateTimeoutMs),
        ];
    }

    /**
     * Runs the next statement of a transaction at once, also beyond the window: statements in flight may wait for the locks
     * of the transaction.
     */
    continueTransaction({ task }: TaskContinued, nowMs: number): readonly Message[] {
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
        const pool = this.table.poolOf(link);
        this.table.startAttempt(link, {
            placed,
            gate: openGate,
            sentMs: nowMs,
            inFlightAtStart: pool.occupancy().inFlight,
            knownPosition: pool.latestPosition,
            sent: false,
            leads: false,
        });
        const prelude = link.preludeCommands(task.context, task.statement);
        const timer = taskTimer(TaskKind.AttemptDue, task.taskId);
        return [
            setDeadline(attemptKey(placed), placed.attemptDeadlineMs, timer),
            ...prelude.length > 0 ? this.send(link, prelude, [], []) : this.sendStatement(link, undefined),
        ];
    }

    handleReply(link: Link, reply: LinkReply, nowMs: number): readonly Message[] {
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
            pool.recordPosition(reply.position, nowMs);
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

    /**
     * Reports the result of the attempt on a link and removes it from the link.
     * @param fault set if there is no reply, but the database has not failed to reply either
     */
    report(
        link: Link,
        reply: LinkReply | undefined,
        pinned: boolean,
        nowMs: number,
        fault?: StatementFault,
    ): readonly Message[] {
        const { attempt } = link;
        if (attempt === undefined) {
            return [];
        }
        const pool = this.table.poolOf(link);
        const occupancy = pool.occupancy();
        recordOutcome(pool, attempt, { reply, fault, inFlight: occupancy.inFlight }, nowMs);
        const freed = { ...occupancy, inFlight: Math.max(0, occupancy.inFlight - 1) };
        this.table.endAttempt(link);
        const { placed, sent, sentMs, leads } = attempt;
        pool.lag.recordAttempt(placed, reply, nowMs);
        pool.demand.recordAttempt(attempt, reply, nowMs);
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
            load: databaseLoadOf(pool, freed, this.table.maximumLinksOf(pool), nowMs),
        };
        return [clearDeadline(attemptKey(placed)), attempted];
    }

    rollBack(link: Link, nowMs: number): readonly Message[] {
        if (this.table.poolOf(link).evacuationStage !== EvacuationStage.Open) {
            // Without its link, the database rolls the transaction back by itself.
            return this.close(link, nowMs);
        }
        link.state = LinkState.Busy;
        return [
            ...this.send(link, [], [{ kind: LinkCommandKind.Rollback }], [ReplyRole.Cleanup]),
            this.table.setLinkTimer(link, nowMs + gateTimeoutMs),
        ];
    }

    /** Makes a link idle after a reply that ends its work, or closes it if it cannot be used again. */
    release(link: Link, nowMs: number): readonly Message[] {
        const pool = this.table.poolOf(link);
        if (link.replies.isExhausted || pool.evacuationStage !== EvacuationStage.Open) {
            return this.close(link, nowMs);
        }
        link.state = LinkState.Idle;
        link.isAbandoned = false;
        link.idleSinceMs = nowMs;
        return this.table.setIdleTimer(pool, nowMs);
    }

    /** Closes a link and reports its attempt, if there is one, without a reply. */
    close(link: Link, nowMs: number, fault?: StatementFault): readonly Message[] {
        const attempted = this.report(link, undefined, false, nowMs, fault);
        return [...this.table.close(link), ...attempted];
    }

    private sendStatement(link: Link, floor: Position | undefined): readonly Message[] {
        const attempt = link.attempt!;
        attempt.sent = true;
        return this.send(link, [], [link.statementCommand({ task: attempt.placed.task, floor })], [
            ReplyRole.Statement,
        ]);
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

    /** Sends the statement once the commands are answered; behind a refused one it would run without its session state. */
    private handlePreludeReply(link: Link, reply: LinkReply, nowMs: number): readonly Message[] {
        if (reply.fault !== undefined) {
            return this.close(link, nowMs, faultWithoutReply(link));
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
            return [...this.report(link, reply, false, nowMs), ...this.finishGate(link, reply, nowMs)];
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
            && !link.isAbandoned && this.table.poolOf(link).evacuationStage !== EvacuationStage.Closed;
        if (isCommit(task) && reply.fault === undefined && reply.position !== undefined) {
            this.commitTracker.recordCommit(task.service, reply.position, attempt);
            attempt.leads ||= !inTransaction;
        }
        const result = this.report(link, reply, pinned, nowMs);
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
            ...this.report(link, reply, false, nowMs),
            ...this.close(link, nowMs),
        ];
    }

    /** Closes a link whose replies can no longer be matched to its commands, and reports its attempt accordingly. */
    private discard(link: Link, reply: LinkReply, reason: DiscardReason, nowMs: number): readonly Message[] {
        return [replyDiscarded(link, reply, reason), ...this.close(link, nowMs, faultWithoutReply(link))];
    }
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

/** Key of the timer of an attempt. */
export function attemptKey({ task }: Pick<TaskPlaced, "task">): string {
    return `attempt/${task.taskId}`;
}
