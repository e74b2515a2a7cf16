/**
 * Holds tasks for cold databases on the instance whose links they use, until the control leader has granted the right to send
 * them. Without a grant nothing is sent: a first statement goes back as not run, and its sender takes another database; a
 * transaction whose next statement can't be sent in time is rolled back.
 */
import { match, P } from "ts-pattern";
import {
    endExplanation,
    type ExplanationAsked,
    type ExplanationEnded,
    ExplanationKind,
    type Finding,
    Verdict,
    withFindings,
} from "../model/explanation.ts";
import {
    type ColdGranted,
    type ColdNeeded,
    type DatabaseChanged,
    type DatabaseRemoved,
    FleetKind,
    type PolicyApplied,
} from "../model/fleetMessages.ts";
import { LinkKind, LinkLoss, type LinkLost } from "../model/linkMessages.ts";
import { StatementFault, TaskMode } from "../model/sessionStatement.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { ColdDatabases } from "./coldDatabases.ts";
import {
    type LinkTask,
    type TaskAbandoned,
    type TaskAttempted,
    type TaskContinued,
    type TaskExpired,
    TaskKind,
    type TaskPlaced,
    type TaskTimer,
    taskTimer,
} from "./taskMessages.ts";

/**
 * Time for which a first statement waits for a grant. Above two rounds of requests to the leader, and below the time after
 * which other instances take this one for silent.
 */
const holdMs = 250;

/** Time before the deadline of a transaction's next statement at which it is given up, so that the answer arrives in time. */
const answerMarginMs = 50;

/** Maximum of tasks that wait for one database; more would not get a grant in time. */
const maximumWaiting = 256;

/** Maximum of sessions that are remembered with the database of their transaction; far above the number of links. */
const maximumSessions = 16_384;

type Held = TaskPlaced | TaskContinued;
type GateInput =
    | Held
    | TaskAbandoned
    | TaskExpired
    | TaskTimer
    | ColdGranted
    | PolicyApplied
    | DatabaseChanged
    | DatabaseRemoved
    | LinkLost
    | ExplanationAsked;

interface HeldTask {
    readonly message: Held;
    readonly dueMs: number;
}

interface Grant {
    count: number;
    readonly validUntilMs: number;
}

export class ColdGate implements Filter<GateInput, Message> {
    readonly step = "cold_gate";
    readonly accepts = [
        TaskKind.Placed,
        TaskKind.PassedPlaced,
        TaskKind.Continued,
        TaskKind.PassedContinued,
        TaskKind.Abandoned,
        TaskKind.PassedAbandoned,
        TaskKind.Expired,
        TaskKind.ColdDue,
        FleetKind.ColdGranted,
        FleetKind.PolicyApplied,
        FleetKind.DatabaseChanged,
        FleetKind.DatabaseRemoved,
        LinkKind.Lost,
        ExplanationKind.Asked,
    ];
    private readonly databases = new ColdDatabases();
    /** Waiting tasks by database: statements of open transactions first, otherwise in order of arrival. */
    private readonly held = new Map<string, readonly HeldTask[]>();
    private readonly grants = new Map<string, readonly Grant[]>();
    /** Database of the last transaction of each session, least recently used first. */
    private readonly databaseBySession = new Map<string, string>();

    process(message: GateInput, nowMs: number): readonly Message[] {
        return match<GateInput, readonly Message[]>(message)
            .with({ kind: P.union(TaskKind.Placed, TaskKind.PassedPlaced) }, placed => this.place(placed, nowMs))
            .with(
                { kind: P.union(TaskKind.Continued, TaskKind.PassedContinued) },
                continued => this.continue(continued, nowMs),
            )
            .with({ kind: P.union(TaskKind.Abandoned, TaskKind.PassedAbandoned) }, abandoned => {
                this.databaseBySession.delete(abandoned.sessionId);
                const dropped = this.remove(({ sessionId }) => sessionId === abandoned.sessionId);
                return [...dropped.messages, abandoned];
            })
            .with({ kind: TaskKind.Expired }, expired => {
                const { messages, tasks } = this.remove(({ taskId }) => taskId === expired.taskId);
                return tasks.length === 0 ? [expired] : [...messages, ...tasks.flatMap(giveUp)];
            })
            .with({ kind: TaskKind.ColdDue }, ({ id }) => this.expire(id, nowMs))
            .with({ kind: FleetKind.ColdGranted }, granted => this.applyGrants(granted, nowMs))
            .with({ kind: FleetKind.PolicyApplied }, applied => {
                this.databases.applyPolicy(applied, nowMs);
                return [applied, ...[...this.held.keys()].flatMap(databaseId => this.release(databaseId, nowMs))];
            })
            .with({ kind: FleetKind.DatabaseChanged }, changed => {
                this.databases.applyReport(changed.report, nowMs);
                return [changed, ...this.release(changed.report.databaseId, nowMs)];
            })
            .with({ kind: FleetKind.DatabaseRemoved }, removed => {
                this.databases.remove(removed.databaseId);
                this.grants.delete(removed.databaseId);
                return [removed, ...this.release(removed.databaseId, nowMs)];
            })
            .with({ kind: LinkKind.Lost }, lost => {
                if (lost.loss !== LinkLoss.Refused && lost.databaseId !== undefined) {
                    this.databases.recordLostLink(lost.databaseId, lost.loss, nowMs);
                }
                return [lost];
            })
            .with({ kind: ExplanationKind.Asked }, asked => [this.explain(asked, nowMs)])
            .otherwise(other => [other]);
    }

    /** Questions of the proxy itself for a position carry no statement of a caller, and are not counted. */
    private place(placed: TaskPlaced, nowMs: number): readonly Message[] {
        const { task: { mode, sessionId }, databaseId } = placed;
        if (mode === TaskMode.Probe) {
            return [placed];
        }
        if (mode !== TaskMode.Single) {
            this.rememberSession(sessionId, databaseId);
        }
        return this.admit(databaseId, placed, Math.min(placed.attemptDeadlineMs, nowMs + holdMs), nowMs);
    }

    private continue(continued: TaskContinued, nowMs: number): readonly Message[] {
        const { task } = continued;
        const databaseId = this.databaseBySession.get(task.sessionId);
        if (databaseId === undefined) {
            return [continued];
        }
        this.rememberSession(task.sessionId, databaseId);
        return this.admit(databaseId, continued, Math.max(nowMs, task.deadlineMs - answerMarginMs), nowMs);
    }

    private rememberSession(sessionId: string, databaseId: string): void {
        this.databaseBySession.delete(sessionId);
        this.databaseBySession.set(sessionId, databaseId);
        if (this.databaseBySession.size > maximumSessions) {
            this.databaseBySession.delete(this.databaseBySession.keys().next().value!);
        }
    }

    private admit(databaseId: string, message: Held, dueMs: number, nowMs: number): readonly Message[] {
        if (!this.isLimited(databaseId, nowMs)) {
            return [message];
        }
        const waiting = this.held.get(databaseId) ?? [];
        if (waiting.length === 0 && this.useGrant(databaseId, nowMs)) {
            return [message];
        }
        if (waiting.length >= maximumWaiting) {
            return giveUp(message);
        }
        const added: HeldTask = { message, dueMs };
        const isNext = ({ message: { kind } }: HeldTask): boolean =>
            kind === TaskKind.Continued || kind === TaskKind.PassedContinued;
        const tasks = isNext(added)
            ? [...waiting.filter(isNext), added, ...waiting.filter(task => !isNext(task))]
            : [...waiting, added];
        return this.hold(databaseId, tasks);
    }

    /** Sets the tasks that wait for a database, its timer, and the need for grants. */
    private hold(databaseId: string, tasks: readonly HeldTask[]): readonly Message[] {
        const needed: ColdNeeded = { kind: FleetKind.ColdNeeded, databaseId, waiting: tasks.length };
        if (tasks.length === 0) {
            this.held.delete(databaseId);
            return [clearDeadline(coldKey(databaseId)), needed];
        }
        this.held.set(databaseId, tasks);
        const dueMs = Math.min(...tasks.map(task => task.dueMs));
        return [setDeadline(coldKey(databaseId), dueMs, taskTimer(TaskKind.ColdDue, databaseId)), needed];
    }

    private applyGrants({ grants, askedMs, validUntilMs }: ColdGranted, nowMs: number): readonly Message[] {
        return grants.flatMap(({ databaseId, count }) => {
            this.databases.recordAnswer(databaseId, askedMs);
            const valid = (this.grants.get(databaseId) ?? []).filter(grant => nowMs < grant.validUntilMs);
            this.grants.set(databaseId, [...valid, { count, validUntilMs }]);
            return this.release(databaseId, nowMs);
        });
    }

    /** Sends on the waiting tasks that may go now. */
    private release(databaseId: string, nowMs: number): readonly Message[] {
        const waiting = this.held.get(databaseId) ?? [];
        let count = 0;
        while (count < waiting.length && (!this.isLimited(databaseId, nowMs) || this.useGrant(databaseId, nowMs))) {
            count += 1;
        }
        return count === 0
            ? []
            : [
                ...this.hold(databaseId, waiting.slice(count)),
                ...waiting.slice(0, count).map(({ message }) => message),
            ];
    }

    private expire(databaseId: string, nowMs: number): readonly Message[] {
        const waiting = this.held.get(databaseId) ?? [];
        const expired = waiting.filter(({ dueMs }) => dueMs <= nowMs);
        return [
            ...this.hold(databaseId, waiting.filter(({ dueMs }) => dueMs > nowMs)),
            ...expired.flatMap(({ message }) => giveUp(message)),
        ];
    }

    private remove(
        isRemoved: (task: LinkTask) => boolean,
    ): { readonly messages: readonly Message[]; readonly tasks: readonly Held[]; } {
        const tasks: Held[] = [];
        const messages: Message[] = [];
        for (const [databaseId, waiting] of this.held) {
            const kept = waiting.filter(({ message: { task } }) => !isRemoved(task));
            if (kept.length < waiting.length) {
                tasks.push(...waiting.filter(held => !kept.includes(held)).map(({ message }) => message));
                messages.push(...this.hold(databaseId, kept));
            }
        }
        return { messages, tasks };
    }

    private isLimited(databaseId: string, nowMs: number): boolean {
        return this.databases.limitingPolicy(databaseId, nowMs) !== undefined;
    }

    private useGrant(databaseId: string, nowMs: number): boolean {
        const [grant] = this.validGrants(databaseId, nowMs);
        if (grant === undefined) {
            this.grants.delete(databaseId);
            return false;
        }
        grant.count -= 1;
        return true;
    }

    private validGrants(databaseId: string, nowMs: number): readonly Grant[] {
        return (this.grants.get(databaseId) ?? []).filter(({ count, validUntilMs }) =>
            count > 0 && nowMs < validUntilMs
        );
    }

    private explain(asked: ExplanationAsked, nowMs: number): ExplanationAsked | ExplanationEnded {
        const { databaseId } = asked.placement!;
        if (!this.isLimited(databaseId, nowMs)) {
            return asked;
        }
        const waiting = this.held.get(databaseId)?.length ?? 0;
        const granted = this.validGrants(databaseId, nowMs).reduce((sum, { count }) => sum + count, 0);
        const finding = (verdict: Verdict, reason: string): Finding => ({
            step: this.step,
            subject: databaseId,
            verdict,
            reason,
            facts: { granted, waiting, hold_limit_ms: holdMs },
        });
        if (waiting >= maximumWaiting) {
            const reason = "too many statements wait for the cold database; a read would be placed again";
            return endExplanation(asked, [finding(Verdict.Refused, reason)]);
        }
        return withFindings(asked, [
            waiting === 0 && granted > 0
                ? finding(Verdict.Passes, "the database is cold, and a grant is left")
                : finding(Verdict.Waits, "the database is cold; waits for a grant of the control leader"),
        ]);
    }
}

/** Ends a task that was not sent. The transaction of a later statement is rolled back. */
function giveUp(message: Held): readonly Message[] {
    const { task, kind } = message;
    const isFirst = kind === TaskKind.Placed || kind === TaskKind.PassedPlaced;
    const attempted: TaskAttempted = {
        kind: TaskKind.Attempted,
        task,
        databaseId: isFirst ? message.databaseId : "",
        address: undefined,
        reply: undefined,
        fault: isFirst ? StatementFault.Busy : StatementFault.Aborted,
        sent: false,
        holderUnavailable: false,
        sentMs: undefined,
        leads: false,
        pinned: false,
    };
    const abandoned: TaskAbandoned = {
        kind: kind === TaskKind.PassedContinued ? TaskKind.PassedAbandoned : TaskKind.Abandoned,
        sessionId: task.sessionId,
        taskId: undefined,
    };
    return isFirst ? [attempted] : [abandoned, attempted];
}

function coldKey(databaseId: string): string {
    return `cold/${databaseId}`;
}
