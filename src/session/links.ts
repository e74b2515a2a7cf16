/** Runs placed tasks on links: opening, sharing, session state, open transactions, and time limits. */
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
    type LinkCommand,
    LinkCommandKind,
    LinkKind,
    LinkLoss,
    type LinkLost,
    type LinkOpened,
    type LinkReplied,
    type LinkReply,
    type LinkSend,
} from "../model/linkMessages.ts";
import { StatementFault, TransactionState } from "../model/sessionStatement.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { CommitWitness } from "./commitWitness.ts";
import { type Link, LinkState, ReplyRole, statementCommand } from "./link.ts";
import { gateOf, isLinkCheck } from "./linkGate.ts";
import { LinkPool } from "./linkPool.ts";
import { fullPauseMs, LinkTable } from "./linkTable.ts";
import {
    type HolderChanged,
    type TaskAbandoned,
    type TaskAttempted,
    type TaskContinued,
    type TaskEnded,
    type TaskExpired,
    TaskKind,
    TaskMode,
    type TaskPlaced,
    type TaskTimer,
    taskTimer,
} from "./taskMessages.ts";

/** Wait for the reply to a gate, which needs no slot; above the longest way there and back. */
const gateLimitMs = 400;

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
    private readonly witness = new CommitWitness();

    process(message: LinksInput, nowMs: number): readonly Message[] {
        this.witness.watch(nowMs);
        return match<LinksInput, readonly Message[]>(message)
            .with({ kind: P.union(TaskKind.Placed, TaskKind.PassedPlaced) }, found => this.place(found, nowMs))
            .with({ kind: P.union(TaskKind.Continued, TaskKind.PassedContinued) }, found => this.continue(found, nowMs))
            .with({ kind: P.union(TaskKind.Abandoned, TaskKind.PassedAbandoned) }, found => this.abandon(found))
            .with({ kind: TaskKind.Expired }, found => this.attemptDue(found.taskId, nowMs))
            .with({ kind: LinkKind.Opened }, found => this.opened(found, nowMs))
            .with({ kind: LinkKind.Replied }, found => this.replied(found, nowMs))
            .with({ kind: LinkKind.Lost }, found => this.lost(found, nowMs))
            .with({ kind: FleetKind.DatabaseChanged }, found => this.applyReport(found, nowMs))
            .with({ kind: FleetKind.DatabaseRemoved }, found => this.removePool(found.databaseId, nowMs))
            .with({ kind: FleetKind.PolicyApplied }, found => {
                this.table.services = found.policy.services;
                return [found];
            })
            .with({ kind: TaskKind.HolderChanged }, found => this.changeHolder(found, nowMs))
            .with({ kind: TaskKind.Ended }, found => {
                this.witness.noteResult(found);
                return [found];
            })
            .with(
                { kind: FleetKind.AssessmentRequested },
                found => [this.witness.assess(found, this.table.pools.get(found.databaseId), nowMs)],
            )
            .with({ kind: FleetKind.FrameReceived }, found => [found, ...this.answerMember(found, nowMs)])
            .with({ kind: TaskKind.LinkDue }, found => this.linkDue(found.id, nowMs))
            .with({ kind: TaskKind.IdleDue }, found => this.closeIdle(found.id, nowMs))
            .otherwise(timer => this.attemptDue((timer as TaskTimer).id, nowMs));
    }

    private answerMember({ attachmentId, frame }: FrameReceived, nowMs: number): readonly Message[] {
        if (frame.kind !== "commits_asked") {
            return [];
        }
        const seen = this.witness.commitsSeen(frame.service, frame.questionId, nowMs);
        return [{ kind: FleetKind.SendFrame, attachmentId, frame: seen } as Message];
    }

    private place(placed: TaskPlaced, nowMs: number): readonly Message[] {
        const pool = this.table.pools.get(placed.databaseId);
        if (pool === undefined) {
            return [unsent(placed, StatementFault.Misrouted)];
        }
        pool.waiting.push(placed);
        const timer = taskTimer(TaskKind.AttemptDue, placed.task.taskId);
        return [setDeadline(attemptKey(placed), placed.untilMs, timer), ...this.serve(pool, nowMs)];
    }

    /** Gives links to waiting tasks in order of arrival, and opens links for those that find none. */
    private serve(pool: LinkPool, nowMs: number): readonly Message[] {
        if (pool.waiting.length === 0) {
            return [];
        }
        const messages: Message[] = [];
        const { idle, opening } = pool.summary();
        const unserved: TaskPlaced[] = [];
        const unservedCount = new Map<string, number>();
        let mayOpen = true;
        for (const placed of pool.waiting) {
            const { workspace, context, mode } = placed.task;
            const link = (mode === TaskMode.Probe ? idle.any() : undefined) ?? idle.find(workspace, context);
            if (link !== undefined) {
                messages.push(...this.start(link, placed, nowMs));
                continue;
            }
            unserved.push(placed);
            const count = (unservedCount.get(workspace) ?? 0) + 1;
            unservedCount.set(workspace, count);
            if (mayOpen && (opening.get(workspace) ?? 0) < count) {
                const opened = this.table.open(pool, workspace, nowMs);
                messages.push(...opened);
                // Without room or an idle link to give up, there is none for the tasks behind this one either.
                mayOpen = opened.length > 0;
                opening.set(workspace, (opening.get(workspace) ?? 0) + (mayOpen ? 1 : 0));
            }
        }
        pool.waiting = unserved;
        return messages;
    }

    private opened({ linkId }: LinkOpened, nowMs: number): readonly Message[] {
        const link = this.table.get(linkId);
        if (link === undefined) {
            return [];
        }
        this.table.poolOf(link).lastReplyMs = nowMs;
        return [this.table.clearLinkTimer(link), ...this.release(link, nowMs)];
    }

    /** Starts an attempt on an idle link. */
    private start(link: Link, placed: TaskPlaced, nowMs: number): readonly Message[] {
        const { task, after } = placed;
        link.state = LinkState.Busy;
        link.attempt = { placed, sentMs: nowMs, sent: false, leads: false };
        const prelude = link.prelude(task.context, task.statement);
        const gate = gateOf(placed, nowMs - link.idleSinceMs);
        if (gate.length > 0) {
            const roles = [ReplyRole.Gate, ...gate.slice(1).map(() => ReplyRole.Cleanup)];
            return [...this.send(link, prelude, gate, roles), this.table.linkTimer(link, nowMs + gateLimitMs)];
        }
        link.attempt.sent = true;
        return this.send(link, prelude, [statementCommand({ task, after })], [ReplyRole.Statement]);
    }

    private continue({ task }: TaskContinued, nowMs: number): readonly Message[] {
        const link = this.table.pinnedBy(task.sessionId);
        if (link === undefined) {
            // The link broke between two statements, and with it the transaction was rolled back.
            return [unsent({ task, databaseId: "" }, StatementFault.Aborted)];
        }
        const placed: TaskPlaced = {
            kind: TaskKind.Placed,
            task,
            databaseId: link.databaseId,
            after: undefined,
            untilMs: task.deadlineMs,
        };
        link.state = LinkState.Busy;
        link.attempt = { placed, sentMs: nowMs, sent: true, leads: false };
        const prelude = link.prelude(task.context, task.statement);
        const timer = taskTimer(TaskKind.AttemptDue, task.taskId);
        return [
            setDeadline(attemptKey(placed), placed.untilMs, timer),
            ...this.send(link, prelude, [statementCommand(placed)], [ReplyRole.Statement]),
        ];
    }

    private send(
        link: Link,
        prelude: readonly LinkCommand[],
        commands: readonly LinkCommand[],
        roles: readonly ReplyRole[],
    ): readonly Message[] {
        link.awaited.push(...prelude.map(() => ReplyRole.Prelude), ...roles);
        const message: LinkSend = { kind: LinkKind.Send, linkId: link.linkId, commands: [...prelude, ...commands] };
        return [message];
    }

    private replied({ linkId, reply }: LinkReplied, nowMs: number): readonly Message[] {
        const link = this.table.get(linkId);
        const role = link?.awaited.shift();
        if (link === undefined) {
            return [];
        }
        this.table.poolOf(link).lastReplyMs = nowMs;
        switch (role) {
            case ReplyRole.Prelude:
                return reply.fault === undefined ? [] : this.drop(link, nowMs);
            case ReplyRole.Gate:
                return this.passGate(link, reply, nowMs);
            case ReplyRole.Statement:
                return this.finish(link, reply, nowMs);
            case ReplyRole.Cleanup:
                return this.cleanedUp(link, nowMs);
            default:
                // A reply that nothing asked for: the link is out of step.
                return this.drop(link, nowMs);
        }
    }

    private passGate(link: Link, reply: LinkReply, nowMs: number): readonly Message[] {
        const attempt = link.attempt;
        if (attempt === undefined) {
            return [];
        }
        const { placed } = attempt;
        const { task, after } = placed;
        const cleared = this.table.clearLinkTimer(link);
        const checksLink = isLinkCheck(placed);
        attempt.leads = reply.fault === undefined && task.needsPrimary;
        if (task.mode === TaskMode.Probe || reply.fault !== undefined) {
            return [cleared, ...this.report(link, reply, false), ...this.afterGate(link, reply, nowMs)];
        }
        if (checksLink) {
            // The statement follows the clean-up, outside the transaction that checked the link.
            return [cleared];
        }
        attempt.sent = true;
        const guarded = task.mode === TaskMode.Single;
        const commands = [statementCommand({ task, after: guarded ? after : undefined })];
        return guarded
            ? [
                cleared,
                ...this.send(link, [], [...commands, { kind: LinkCommandKind.Rollback }], [
                    ReplyRole.Statement,
                    ReplyRole.Cleanup,
                ]),
            ]
            : [cleared, ...this.send(link, [], commands, [ReplyRole.Statement])];
    }

    /** The gate failed, or it was all there was to do. */
    private afterGate(link: Link, reply: LinkReply, nowMs: number): readonly Message[] {
        if (link.awaited.length > 0) {
            return [];
        }
        return reply.transaction === TransactionState.None ? this.release(link, nowMs) : this.rollBack(link);
    }

    private cleanedUp(link: Link, nowMs: number): readonly Message[] {
        if (link.awaited.length > 0) {
            return [];
        }
        const { attempt } = link;
        if (attempt === undefined) {
            return this.release(link, nowMs);
        }
        // The link is alive; now the statement that waited for this proof.
        attempt.sent = true;
        attempt.leads = false;
        return this.send(link, [], [statementCommand(attempt.placed)], [ReplyRole.Statement]);
    }

    private finish(link: Link, reply: LinkReply, nowMs: number): readonly Message[] {
        const { task } = link.attempt!.placed;
        const inTransaction = task.mode !== TaskMode.Single;
        const pinned = inTransaction && reply.fault === undefined && reply.transaction === TransactionState.Open
            && !link.abandoned;
        if (task.writes && reply.fault === undefined && reply.position !== undefined) {
            this.witness.noteCommit(task.service, reply.position, link.attempt!.sentMs);
            link.attempt!.leads ||= !inTransaction;
        }
        const result = this.report(link, reply, pinned);
        this.table.unpin(link);
        if (link.awaited.length > 0) {
            return result;
        }
        if (pinned) {
            this.table.pin(link, task.sessionId);
            return result;
        }
        return [
            ...result,
            ...reply.transaction === TransactionState.None ? this.release(link, nowMs) : this.rollBack(link),
        ];
    }

    /** Reports the attempt of a link and detaches it. */
    private report(link: Link, reply: LinkReply | undefined, pinned: boolean): readonly Message[] {
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
            fault: undefined,
            sent,
            holderSilent: false,
            sentMs,
            leads: leads && reply?.fault === undefined,
            pinned,
        };
        return [clearDeadline(attemptKey(placed)), attempted];
    }

    private rollBack(link: Link): readonly Message[] {
        link.state = LinkState.Busy;
        return this.send(link, [], [{ kind: LinkCommandKind.Rollback }], [ReplyRole.Cleanup]);
    }

    /** The link is free for the next task. */
    private release(link: Link, nowMs: number): readonly Message[] {
        const pool = this.table.poolOf(link);
        link.state = LinkState.Idle;
        link.abandoned = false;
        link.idleSinceMs = nowMs;
        return [
            ...this.serve(pool, nowMs),
            ...link.state === LinkState.Idle ? [this.table.idleTimer(pool, nowMs)] : [],
        ];
    }

    private abandon({ sessionId, taskId }: TaskAbandoned): readonly Message[] {
        const link = this.table.pinnedBy(sessionId);
        if (link !== undefined && link.attempt === undefined) {
            this.table.unpin(link);
            return this.rollBack(link);
        }
        if (taskId === undefined) {
            // The link of the transaction was lost, and with it the transaction was rolled back.
            return [];
        }
        const placed = this.table.takeWaiting(taskId);
        if (placed !== undefined) {
            return [clearDeadline(attemptKey(placed))];
        }
        const running = this.table.running(taskId);
        if (running !== undefined) {
            running.abandoned = true;
        }
        return [];
    }

    /** The time of an attempt is up. */
    private attemptDue(taskId: string, nowMs: number): readonly Message[] {
        const placed = this.table.takeWaiting(taskId);
        if (placed !== undefined) {
            return [unsent(placed, StatementFault.Busy)];
        }
        const link = this.table.running(taskId);
        return link === undefined ? [] : this.drop(link, nowMs);
    }

    /** A link did not open, or a gate was not answered. */
    private linkDue(linkId: string, nowMs: number): readonly Message[] {
        const link = this.table.get(linkId);
        return link === undefined ? [] : this.dropSilent(link, nowMs);
    }

    /** Other idle links to a database that has gone silent are probably as dead, and are not tried. */
    private dropSilent(link: Link, nowMs: number): readonly Message[] {
        const pool = this.table.poolOf(link);
        const idle = [...pool.links].filter(other => other.state === LinkState.Idle);
        return [
            ...idle.flatMap(other => this.table.close(other)),
            ...link.state === LinkState.Opening ? this.failWaiting(pool, link, undefined) : [],
            ...this.drop(link, nowMs),
        ];
    }

    private lost({ linkId, loss, fault }: LinkLost, nowMs: number): readonly Message[] {
        const link = this.table.get(linkId);
        if (link === undefined) {
            return [];
        }
        const pool = this.table.poolOf(link);
        const opening = link.state === LinkState.Opening;
        if (opening && (fault === StatementFault.ConnectionLimit || loss === LinkLoss.Broken)) {
            // A database at its limit refuses with a fault, or resets the connection.
            pool.fullUntilMs = nowMs + fullPauseMs;
        }
        const others = pool.links.size > 1;
        const fails = opening && (loss !== LinkLoss.Broken || !others);
        const failed = fails ? this.failWaiting(pool, link, loss === LinkLoss.Refused ? fault : undefined) : [];
        return [
            ...failed,
            ...this.table.remove(link),
            ...this.report(link, undefined, false),
            ...this.serve(pool, nowMs),
            ...pool.waiting.length > 0 ? [this.table.idleTimer(pool, nowMs)] : [],
        ];
    }

    /** A link that could not be opened fails the task that it was opened for. */
    private failWaiting(pool: LinkPool, link: Link, fault: StatementFault | undefined): readonly Message[] {
        const placed = pool.waiting.find(({ task }) => task.workspace === link.workspace);
        if (placed === undefined) {
            return [];
        }
        pool.waiting = pool.waiting.filter(other => other !== placed);
        return [clearDeadline(attemptKey(placed)), unsent(placed, fault)];
    }

    /** Closes a link whose attempt, if any, stays without an answer. */
    private drop(link: Link, nowMs: number): readonly Message[] {
        const pool = this.table.poolOf(link);
        return [...this.table.close(link), ...this.report(link, undefined, false), ...this.serve(pool, nowMs)];
    }

    private applyReport(changed: DatabaseChanged, nowMs: number): readonly Message[] {
        const { report } = changed;
        const pool = this.table.pools.get(report.databaseId);
        if (pool === undefined) {
            this.table.pools.set(report.databaseId, new LinkPool(report));
            return [changed];
        }
        const moved = pool.report.address !== report.address || pool.report.bornUnixMs !== report.bornUnixMs;
        pool.report = report;
        const stale = moved ? [...pool.links] : [];
        return [changed, ...stale.flatMap(link => this.drop(link, nowMs))];
    }

    /** Links that the next holder may open have to be given up first; the database counts them together. */
    private changeHolder({ databaseId, holds }: HolderChanged, nowMs: number): readonly Message[] {
        const pool = this.table.pools.get(databaseId);
        if (pool === undefined) {
            return [];
        }
        pool.held = holds;
        return holds ? this.serve(pool, nowMs) : this.closeIdle(databaseId, nowMs);
    }

    private removePool(databaseId: string, nowMs: number): readonly Message[] {
        const pool = this.table.pools.get(databaseId);
        if (pool === undefined) {
            return [];
        }
        const waiting = pool.waiting;
        pool.waiting = [];
        const messages = [
            ...waiting.flatMap(placed => [clearDeadline(attemptKey(placed)), unsent(placed, StatementFault.Misrouted)]),
            ...[...pool.links].filter(link => link.attempt === undefined).flatMap(link => this.table.close(link)),
            ...[...pool.links].flatMap(link => this.drop(link, nowMs)),
        ];
        this.table.pools.delete(databaseId);
        return messages;
    }

    private closeIdle(databaseId: string, nowMs: number): readonly Message[] {
        const pool = this.table.pools.get(databaseId);
        return pool === undefined ? [] : [...this.table.closeOld(pool, nowMs), ...this.serve(pool, nowMs)];
    }
}

function unsent(
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
        holderSilent: false,
        sentMs: undefined,
        leads: false,
        pinned: false,
    };
}

function attemptKey({ task }: TaskPlaced): string {
    return `attempt/${task.taskId}`;
}
