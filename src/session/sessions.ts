/** The sessions of callers: what they may ask, what is answered here, and what needs a database. */
import { match } from "ts-pattern";
import { type FleetDrainStarted, FleetKind, type PolicyApplied } from "../model/fleetMessages.ts";
import {
    type SessionAnswer,
    type SessionClosed,
    SessionKind,
    type SessionLimitDue,
    type SessionOpened,
    type SessionRequested,
} from "../model/sessionMessages.ts";
import {
    type SessionStatement,
    SessionStatementKind,
    type StatementAnswer,
    StatementFault,
    TransactionState,
} from "../model/sessionStatement.ts";
import { emptyTrafficPolicy, type TrafficPolicy } from "../model/trafficPolicy.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { type Access, type AccessFault, authorize, isFault } from "./authorization.ts";
import { Session, type Transaction } from "./session.ts";
import {
    type DrainDue,
    type DrainStep,
    expireTask,
    retryText,
    stoppingText,
    type Task,
    type TaskAbandoned,
    type TaskEnded,
    TaskKind,
    TaskMode,
} from "./taskMessages.ts";

/** Statements of one caller that wait for the one before; callers send the next after an answer. */
const maximumWaiting = 64;

/** Time that a caller waits for the first configuration; callers give up after 2 s without an answer. */
const policyWaitMs = 1_500;

/** When callers that came before a confirmed configuration may come back; an election takes about as long. */
const unconfirmedRetryMs = 500;

type SessionInput =
    | SessionOpened
    | SessionRequested
    | SessionClosed
    | SessionLimitDue
    | TaskEnded
    | DrainDue
    | PolicyApplied
    | FleetDrainStarted;

export class Sessions implements Filter<SessionInput, Message> {
    readonly step = "sessions";
    readonly accepts = [
        SessionKind.Opened,
        SessionKind.Requested,
        SessionKind.Closed,
        SessionKind.LimitDue,
        TaskKind.Ended,
        TaskKind.DrainDue,
        FleetKind.PolicyApplied,
        FleetKind.DrainStarted,
    ];
    private policy: TrafficPolicy = emptyTrafficPolicy;
    private policyConfirmed = false;
    private readonly sessions = new Map<string, Session>();
    /** Sessions that opened before the first configuration. */
    private readonly early = new Map<string, SessionOpened>();
    private drain: FleetDrainStarted | undefined;
    /** The time for answers is up; nothing is begun any more. */
    private drainDue = false;
    private nextTask = 0;

    process(message: SessionInput, nowMs: number): readonly Message[] {
        return match<SessionInput, readonly Message[]>(message)
            .with({ kind: SessionKind.Opened }, found => this.open(found, nowMs))
            .with({ kind: SessionKind.Requested }, found => this.request(found, nowMs))
            .with({ kind: SessionKind.Closed }, found => this.close(found.sessionId))
            .with({ kind: SessionKind.LimitDue }, found => this.checkLimit(found.sessionId, nowMs))
            .with({ kind: TaskKind.Ended }, found => this.endTask(found, nowMs))
            .with({ kind: TaskKind.DrainDue }, found => this.endDrain(found, nowMs))
            .with({ kind: FleetKind.PolicyApplied }, found => [found, ...this.applyPolicy(found, nowMs)])
            .with({ kind: FleetKind.DrainStarted }, found => this.startDrain(found))
            .exhaustive();
    }

    private open(opened: SessionOpened, nowMs: number): readonly Message[] {
        const { sessionId } = opened;
        if (this.drain?.final === true) {
            // What would be asked on it could be cut off by the end of the process.
            return [
                { kind: SessionKind.Refuse, sessionId, fault: StatementFault.Busy, detail: stoppingText } as Message,
            ];
        }
        if (this.policy.version === 0) {
            this.early.set(sessionId, opened);
            return [this.limitTimer(sessionId, nowMs + policyWaitMs)];
        }
        const access = this.authorize(opened);
        if (isFault(access)) {
            return [{ kind: SessionKind.Refuse, sessionId, ...access } as Message];
        }
        this.sessions.set(sessionId, new Session(opened));
        return [{ kind: SessionKind.Accept, sessionId } as Message];
    }

    private applyPolicy({ policy, confirmed }: PolicyApplied, nowMs: number): readonly Message[] {
        this.policy = policy;
        this.policyConfirmed = confirmed;
        const early = [...this.early.values()];
        this.early.clear();
        return early.flatMap(opened => [clearDeadline(limitKey(opened.sessionId)), ...this.open(opened, nowMs)]);
    }

    private authorize({ database, key }: Pick<SessionOpened, "database" | "key">): Access | AccessFault {
        const access = authorize(this.policy, database, key);
        return isFault(access) && !this.policyConfirmed
            ? {
                fault: StatementFault.Busy,
                detail: retryText(`${access.detail}, which is not confirmed`, unconfirmedRetryMs),
            }
            : access;
    }

    private request({ sessionId, statement }: SessionRequested, nowMs: number): readonly Message[] {
        const session = this.sessions.get(sessionId);
        if (session === undefined) {
            return [];
        }
        if (session.running === undefined) {
            const messages = this.start(session, statement, nowMs);
            // What is answered here at once may have been the last thing that a stopping instance waited for.
            return session.running === undefined ? [...messages, ...this.proceed(session, nowMs)] : messages;
        }
        session.queuedStatements.push(statement);
        return session.queuedStatements.length > maximumWaiting ? this.cutOff(session) : [];
    }

    private start(session: Session, statement: SessionStatement | undefined, nowMs: number): readonly Message[] {
        session.lastActiveMs = nowMs;
        if (this.drainDue && session.transaction?.failed !== true) {
            return this.refuseAtEnd(session);
        }
        if (statement === undefined) {
            return this.refuse(session, StatementFault.Malformed, "the request cannot be read");
        }
        if (session.transaction?.failed === true) {
            return this.endFailed(session, session.transaction, statement);
        }
        return match(statement.kind)
            .with(SessionStatementKind.Begin, SessionStatementKind.BeginRead, kind => this.begin(session, kind, nowMs))
            .with(SessionStatementKind.SetValue, () => {
                session.setValue(statement.name, statement.argument);
                return this.acknowledge(session);
            })
            .with(SessionStatementKind.Prepare, () => {
                session.prepare(statement.name, statement.prepared!);
                return this.acknowledge(session);
            })
            .with(SessionStatementKind.Deallocate, () =>
                session.deallocate(statement.name)
                    ? this.acknowledge(session)
                    : this.refuse(session, StatementFault.UnknownName, `"${statement.name}" is not prepared`))
            .with(
                SessionStatementKind.Commit,
                SessionStatementKind.Rollback,
                () => this.finish(session, statement, nowMs),
            )
            .otherwise(() => this.run(session, statement, nowMs));
    }

    /** A failed transaction accepts its end only. */
    private endFailed(session: Session, transaction: Transaction, statement: SessionStatement): readonly Message[] {
        switch (statement.kind) {
            case SessionStatementKind.Rollback:
                session.transaction = undefined;
                return this.acknowledge(session);
            case SessionStatementKind.Commit:
                session.transaction = undefined;
                return this.refuse(session, StatementFault.Aborted, transaction.failureReason);
            default:
                return transaction.failureReported
                    ? this.refuse(session, StatementFault.Malformed, "the transaction failed; end it first")
                    : this.announceFailure(session, transaction);
        }
    }

    private announceFailure(session: Session, transaction: Transaction): readonly Message[] {
        transaction.failureReported = true;
        return this.refuse(session, StatementFault.Aborted, transaction.failureReason);
    }

    private begin(session: Session, kind: SessionStatementKind, nowMs: number): readonly Message[] {
        if (session.transaction !== undefined) {
            return this.refuse(session, StatementFault.Malformed, "a transaction is open already");
        }
        const access = this.authorize(session);
        if (isFault(access)) {
            return this.refuse(session, access.fault, access.detail);
        }
        const readOnly = kind === SessionStatementKind.BeginRead;
        session.transaction = {
            access,
            readOnly,
            startedMs: nowMs,
            pinned: false,
            failed: false,
            failureReported: false,
            failureReason: "",
        };
        return [...this.acknowledge(session), this.idleTimer(session, nowMs)];
    }

    private finish(session: Session, statement: SessionStatement, nowMs: number): readonly Message[] {
        const { transaction } = session;
        if (transaction === undefined) {
            return this.refuse(session, StatementFault.Malformed, "no transaction is open");
        }
        if (!transaction.pinned && statement.kind === SessionStatementKind.Rollback) {
            session.transaction = undefined;
            return this.acknowledge(session);
        }
        return this.submit(session, statement, statement.kind === SessionStatementKind.Commit, nowMs);
    }

    private run(session: Session, statement: SessionStatement, nowMs: number): readonly Message[] {
        if (statement.kind !== SessionStatementKind.Execute) {
            return this.submit(session, statement, statement.kind === SessionStatementKind.Write, nowMs);
        }
        const prepared = session.context.prepared.get(statement.name);
        return prepared === undefined
            ? this.refuse(session, StatementFault.UnknownName, `"${statement.name}" is not prepared`)
            : this.submit(session, statement, prepared.writes, nowMs);
    }

    private submit(
        session: Session,
        statement: SessionStatement,
        writes: boolean,
        nowMs: number,
    ): readonly Message[] {
        const { transaction } = session;
        const access = this.authorize(session);
        if (isFault(access) && transaction === undefined) {
            return this.refuse(session, access.fault, access.detail);
        }
        if (isFault(access) && access.fault === StatementFault.NotAuthorized) {
            // A route change acts from the next transaction on, but a withdrawn key ends what is open.
            return [this.abandon(session), ...this.fail(session, "the key was withdrawn")];
        }
        const { route, workspace } = transaction?.access ?? (access as Exclude<typeof access, { fault: unknown; }>);
        const mode = transaction === undefined
            ? TaskMode.Single
            : transaction.readOnly
            ? TaskMode.ReadTransaction
            : TaskMode.Transaction;
        const task: Task = {
            taskId: `t${this.nextTask++}`,
            sessionId: session.sessionId,
            route,
            service: route.service,
            workspace,
            mode,
            statement,
            writes,
            needsPrimary: writes || route.maximumAgeMs === 0 || mode === TaskMode.Transaction,
            context: session.context,
            sessionFloor: session.floors.get(route.service),
            receivedMs: nowMs,
            deadlineMs: Math.min(nowMs + route.statementLimitMs, this.drain?.answersUntilMs ?? Infinity),
        };
        session.running = task;
        return [{ kind: transaction?.pinned === true ? TaskKind.Continued : TaskKind.Submitted, task } as Message];
    }

    private endTask(ended: TaskEnded, nowMs: number): readonly Message[] {
        const { task, reply } = ended;
        const session = this.sessions.get(task.sessionId);
        if (session === undefined || session.running?.taskId !== task.taskId) {
            return ended.pinned ? [abandonOf(task.sessionId, undefined)] : [];
        }
        session.running = undefined;
        session.lastActiveMs = nowMs;
        const answer = this.settle(session, ended);
        if (answer.fault === undefined && task.writes && reply?.position !== undefined) {
            session.recordCommit(task.service, reply.position);
        }
        return [
            { kind: SessionKind.Answer, sessionId: session.sessionId, answer } as SessionAnswer,
            ...session.transaction === undefined ? [] : [this.idleTimer(session, nowMs)],
            ...this.proceed(session, nowMs),
        ];
    }

    /** Adjusts the transaction to the result and words the answer. */
    private settle(session: Session, ended: TaskEnded): StatementAnswer {
        const { transaction } = session;
        const ends = ended.task.statement?.kind === SessionStatementKind.Commit
            || ended.task.statement?.kind === SessionStatementKind.Rollback;
        const { reply, pinned } = ended;
        // A further statement would run outside the transaction that the first one began.
        const lost = transaction !== undefined && !ends && ended.fault === undefined && !pinned;
        const fault = lost ? StatementFault.Aborted : ended.fault;
        const detail = lost ? "the transaction is not open any more; nothing was kept" : ended.detail;
        if (transaction !== undefined) {
            transaction.pinned = pinned;
            if (ends) {
                session.transaction = undefined;
            }
            else if (fault !== undefined) {
                Object.assign(transaction, { failed: true, failureReported: true, failureReason: detail });
            }
        }
        return {
            rows: fault === undefined ? reply?.rows ?? [] : [],
            signature: fault === undefined ? reply?.signature : undefined,
            fault,
            detail,
            transaction: stateOf(session),
            position: reply?.position,
        };
    }

    private proceed(session: Session, nowMs: number): readonly Message[] {
        if (session.queuedStatements.length > 0 && session.running === undefined) {
            const messages = this.start(session, session.queuedStatements.shift(), nowMs);
            return session.running === undefined ? [...messages, ...this.proceed(session, nowMs)] : messages;
        }
        return this.mayClose(session) ? this.closeIdle(session) : [];
    }

    private close(sessionId: string): readonly Message[] {
        this.early.delete(sessionId);
        const session = this.sessions.get(sessionId);
        if (session === undefined) {
            return [];
        }
        this.sessions.delete(sessionId);
        const holdsDatabase = session.running !== undefined || session.transaction?.pinned === true;
        return [
            clearDeadline(limitKey(sessionId)),
            ...holdsDatabase ? [abandonOf(sessionId, session.running?.taskId)] : [],
            ...this.endedIfEmpty(),
        ];
    }

    private cutOff(session: Session): readonly Message[] {
        return [{ kind: SessionKind.Close, sessionId: session.sessionId } as Message, ...this.close(session.sessionId)];
    }

    private checkLimit(sessionId: string, nowMs: number): readonly Message[] {
        const early = this.early.get(sessionId);
        if (early !== undefined) {
            this.early.delete(sessionId);
            const detail = retryText("no configuration yet", unconfirmedRetryMs);
            return [{ kind: SessionKind.Refuse, sessionId, fault: StatementFault.Busy, detail } as Message];
        }
        const session = this.sessions.get(sessionId);
        const transaction = session?.transaction;
        if (session === undefined || transaction === undefined || transaction.failed || session.running !== undefined) {
            return [];
        }
        const endMs = this.transactionEndMs(session);
        if (nowMs < endMs) {
            return [this.limitTimer(sessionId, endMs)];
        }
        const draining = this.drain !== undefined && nowMs >= this.drain.transactionsUntilMs;
        const abandoned = this.abandon(session);
        transaction.failed = true;
        transaction.pinned = false;
        transaction.failureReason = draining
            ? "the instance stops; nothing was kept"
            : "the transaction was idle too long";
        return [abandoned];
    }

    /** Ends an open transaction as failed and answers the statement that met the reason. */
    private fail(session: Session, reason: string): readonly Message[] {
        Object.assign(session.transaction!, {
            failed: true,
            failureReported: true,
            pinned: false,
            failureReason: reason,
        });
        return this.refuse(session, StatementFault.Aborted, reason);
    }

    private startDrain(drain: FleetDrainStarted): readonly Message[] {
        if (this.drain !== undefined && drain.answersUntilMs > this.drain.answersUntilMs) {
            // The kill follows the first signal; a second one gives no more time.
            return [];
        }
        this.drain = drain;
        const open = [...this.sessions.values()];
        return [
            drain,
            setDeadline("drain", drain.answersUntilMs, { kind: TaskKind.DrainDue }),
            ...open.filter(session => this.mayClose(session)).flatMap(session => this.closeIdle(session)),
            ...open.filter(({ transaction }) => transaction !== undefined)
                .map(session => this.limitTimer(session.sessionId, this.transactionEndMs(session))),
            ...this.endedIfEmpty(),
        ];
    }

    /** Statements that may take longer than the stop end with what is certain about them; their answers follow. */
    private endDrain(due: DrainDue, nowMs: number): readonly Message[] {
        this.drainDue = true;
        const open = [...this.sessions.values()];
        return [
            due,
            ...open.flatMap(({ running }) => running === undefined ? [] : [expireTask(running.taskId)]),
            ...open.filter(({ running }) => running === undefined).flatMap(session => this.proceed(session, nowMs)),
        ];
    }

    private refuseAtEnd(session: Session): readonly Message[] {
        return session.transaction === undefined
            ? this.refuse(session, StatementFault.Busy, stoppingText)
            : [this.abandon(session), ...this.fail(session, "the instance stops; nothing was kept")];
    }

    private mayClose(session: Session): boolean {
        return this.drain?.final === true && session.running === undefined
            && (this.drainDue || session.transaction === undefined);
    }

    private closeIdle(session: Session): readonly Message[] {
        this.sessions.delete(session.sessionId);
        return [
            { kind: SessionKind.Close, sessionId: session.sessionId } as Message,
            clearDeadline(limitKey(session.sessionId)),
            ...this.endedIfEmpty(),
        ];
    }

    private endedIfEmpty(): readonly Message[] {
        return this.drain !== undefined && this.drain.final && this.sessions.size === 0
            ? [{ kind: TaskKind.SessionsEnded } as DrainStep]
            : [];
    }

    private transactionEndMs(session: Session): number {
        const idleMs = this.policy.transactionIdleMs > 0 ? this.policy.transactionIdleMs : Infinity;
        return Math.min(session.lastActiveMs + idleMs, this.drain?.transactionsUntilMs ?? Infinity);
    }

    private idleTimer(session: Session, nowMs: number): Message {
        const endMs = this.transactionEndMs(session);
        return endMs === Infinity
            ? clearDeadline(limitKey(session.sessionId))
            : this.limitTimer(session.sessionId, Math.max(nowMs, endMs));
    }

    private limitTimer(sessionId: string, atMs: number): Message {
        return setDeadline(limitKey(sessionId), atMs, { kind: SessionKind.LimitDue, sessionId } as SessionLimitDue);
    }

    private abandon(session: Session): Message {
        return abandonOf(session.sessionId, session.running?.taskId);
    }

    private acknowledge(session: Session): readonly Message[] {
        return [answerOf(session, undefined, "")];
    }

    private refuse(session: Session, fault: StatementFault, detail: string): readonly Message[] {
        return [answerOf(session, fault, detail)];
    }
}

function abandonOf(sessionId: string, taskId: string | undefined): TaskAbandoned {
    return { kind: TaskKind.Abandoned, sessionId, taskId };
}

function answerOf(session: Session, fault: StatementFault | undefined, detail: string): SessionAnswer {
    const answer: StatementAnswer = {
        rows: [],
        signature: undefined,
        fault,
        detail,
        transaction: stateOf(session),
        position: undefined,
    };
    return { kind: SessionKind.Answer, sessionId: session.sessionId, answer };
}

function stateOf({ transaction }: Session): TransactionState {
    if (transaction === undefined) {
        return TransactionState.None;
    }
    return transaction.failed ? TransactionState.Failed : TransactionState.Open;
}

function limitKey(sessionId: string): string {
    return `session/${sessionId}`;
}
