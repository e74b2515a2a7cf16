/**
 * Tracks the sessions of callers and their transactions. Checks each statement against the policy and the state of its
 * session, answers it directly where no database is needed, and otherwise submits it as a task, one at a time.
 */
import { match } from "ts-pattern";
import { type ExplanationAsked, type ExplanationEnded, ExplanationKind } from "../model/explanation.ts";
import { type FleetDrainStarted, FleetKind, type PolicyApplied, type PolicyProved } from "../model/fleetMessages.ts";
import {
    type SessionAnswer,
    type SessionClosed,
    type SessionEnding,
    SessionKind,
    type SessionLimitDue,
    type SessionOpened,
    type SessionRequested,
    type SessionStopProgressed,
    StopPhase,
} from "../model/sessionMessages.ts";
import {
    type SessionStatement,
    SessionStatementKind,
    type StatementAnswer,
    StatementFault,
    TaskMode,
    TransactionState,
} from "../model/sessionStatement.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { type AccessFault, isFault } from "./authorization.ts";
import { explainAccess } from "./explainAccess.ts";
import { PolicyAccess, proofNeeded } from "./policyAccess.ts";
import { type QueuedStatement, Session, type Transaction } from "./session.ts";
import {
    defaultSessionLimits,
    openingBytes,
    type SessionLimits,
    SessionMemory,
    statementBytes,
} from "./sessionLimits.ts";
import {
    type DrainDue,
    type DrainStep,
    expireTask,
    isCommit,
    stoppingText,
    type Task,
    type TaskAbandoned,
    type TaskEnded,
    TaskKind,
} from "./taskMessages.ts";

const totalExceededText = "the sessions of this instance keep too much; not run";

type SessionInput =
    | SessionOpened
    | SessionRequested
    | SessionClosed
    | SessionLimitDue
    | TaskEnded
    | DrainDue
    | PolicyApplied
    | PolicyProved
    | FleetDrainStarted
    | ExplanationAsked;

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
        FleetKind.PolicyProved,
        FleetKind.DrainStarted,
        ExplanationKind.Asked,
    ];
    private readonly access = new PolicyAccess();
    private readonly sessions = new Map<string, Session>();
    /** Number of open sessions whose callers were told that they end. */
    private endingSessions = 0;
    private drain: FleetDrainStarted | undefined;
    /** The drain deadline for answers has passed; no statement is started any more. */
    private answerDeadlinePassed = false;
    private crossedRequests = 0;
    /** Last phase of the stop that was reported. */
    private stopPhase: StopPhase | undefined;
    private nextTaskNumber = 0;
    private readonly limits: SessionLimits;
    private readonly memory: SessionMemory;

    constructor(limits = defaultSessionLimits) {
        this.limits = limits;
        this.memory = new SessionMemory(limits);
    }

    /** Bytes that the sessions keep, as counted against the limits. */
    get keptBytes(): number {
        return this.memory.totalBytes;
    }

    process(message: SessionInput, nowMs: number): readonly Message[] {
        return match<SessionInput, readonly Message[]>(message)
            .with({ kind: SessionKind.Opened }, input => this.openSession(input))
            .with({ kind: SessionKind.Requested }, input => this.handleRequest(input, nowMs))
            .with({ kind: SessionKind.Closed }, input => this.closeSession(input.sessionId))
            .with({ kind: SessionKind.LimitDue }, input => this.handleLimitDue(input.sessionId, nowMs))
            .with({ kind: TaskKind.Ended }, input => this.handleTaskEnded(input, nowMs))
            .with({ kind: TaskKind.DrainDue }, input => this.handleDrainDue(input, nowMs))
            .with({ kind: FleetKind.PolicyApplied }, { kind: FleetKind.PolicyProved }, input => {
                this.access.apply(input);
                return [input];
            })
            .with({ kind: FleetKind.DrainStarted }, input => this.startDrain(input))
            .with({ kind: ExplanationKind.Asked }, input => [this.explain(input)])
            .exhaustive();
    }

    private explain(asked: ExplanationAsked): ExplanationAsked | ExplanationEnded {
        return explainAccess(asked, this.access, this.drain?.final === true);
    }

    /** Opens a session that the policy admits. */
    private openSession(opened: SessionOpened): readonly Message[] {
        const { sessionId } = opened;
        if (this.drain?.final === true) {
            // The process could exit before it has answered requests of this session.
            return [
                { kind: SessionKind.Refuse, sessionId, fault: StatementFault.Busy, detail: stoppingText } as Message,
            ];
        }
        if (!this.memory.tryAdd(sessionId, openingBytes(opened))) {
            return [
                {
                    kind: SessionKind.Refuse,
                    sessionId,
                    fault: StatementFault.Busy,
                    detail: totalExceededText,
                } as Message,
            ];
        }
        this.sessions.set(sessionId, new Session(opened));
        return [{ kind: SessionKind.Accept, sessionId } as Message];
    }

    private handleRequest({ sessionId, statement }: SessionRequested, nowMs: number): readonly Message[] {
        const session = this.sessions.get(sessionId);
        if (session === undefined) {
            return [];
        }
        if (session.ending) {
            this.crossedRequests += 1;
            return this.refuse(session, StatementFault.Busy, stoppingText);
        }
        if (session.running === undefined) {
            const messages = this.startStatement(session, { statement, bytes: 0, refusal: undefined }, nowMs);
            // A draining instance may have waited only for this answer before it ends the session.
            return session.running === undefined ? [...messages, ...this.runNextOrEnd(session, nowMs)] : messages;
        }
        session.queuedStatements.push(this.queue(session, statement));
        return session.queuedStatements.length > this.limits.queuedStatements ? this.disconnect(session) : [];
    }

    /** Keeps a statement for its turn, or only the reason why it is refused then, so that answers keep their order. */
    private queue(session: Session, statement: SessionStatement | undefined): QueuedStatement {
        const bytes = statementBytes(statement);
        if (session.queuedBytes + bytes > this.limits.queuedBytes) {
            return { statement: undefined, bytes: 0, refusal: "the session has too much queued; not run" };
        }
        if (!this.memory.tryAdd(session.sessionId, bytes)) {
            return { statement: undefined, bytes: 0, refusal: totalExceededText };
        }
        session.queuedBytes += bytes;
        return { statement, bytes, refusal: undefined };
    }

    private startStatement(
        session: Session,
        { statement, refusal }: QueuedStatement,
        nowMs: number,
    ): readonly Message[] {
        session.lastActiveMs = nowMs;
        if (this.answerDeadlinePassed && session.transaction?.failed !== true) {
            return this.refuseWhileStopping(session);
        }
        if (refusal !== undefined && session.transaction?.failed !== true) {
            return this.refuseNotRun(session, refusal, refusal);
        }
        if (statement === undefined) {
            return this.refuse(session, StatementFault.Malformed, "the request cannot be read");
        }
        if (session.transaction?.failed === true) {
            return this.runInFailedTransaction(session, session.transaction, statement);
        }
        return match(statement.kind)
            .with(SessionStatementKind.Begin, SessionStatementKind.BeginRead, kind => this.begin(session, kind, nowMs))
            .with(SessionStatementKind.SetValue, () => this.setValue(session, statement))
            .with(SessionStatementKind.Prepare, () => this.prepare(session, statement))
            .with(SessionStatementKind.Deallocate, () => this.deallocate(session, statement.name))
            .with(
                SessionStatementKind.Commit,
                SessionStatementKind.Rollback,
                () => this.endTransaction(session, statement, nowMs),
            )
            .otherwise(() => this.runStatement(session, statement, nowMs));
    }

    private setValue(session: Session, { name, argument }: SessionStatement): readonly Message[] {
        const growthBytes = session.valueGrowthBytes(name, argument);
        const isNew = !session.context.values.has(name);
        const refusal = this.refuseContext(session, growthBytes, isNew ? session.context.values.size : 0);
        if (refusal !== undefined) {
            return refusal;
        }
        session.setValue(name, argument);
        return this.acknowledge(session);
    }

    private prepare(session: Session, { name, prepared }: SessionStatement): readonly Message[] {
        const growthBytes = session.preparedGrowthBytes(name, prepared!);
        const isNew = !session.context.prepared.has(name);
        const refusal = this.refuseContext(session, growthBytes, isNew ? session.context.prepared.size : 0);
        if (refusal !== undefined) {
            return refusal;
        }
        session.prepare(name, prepared!);
        return this.acknowledge(session);
    }

    /** Refuses a value or a prepared statement that exceeds a limit; otherwise adds its bytes and returns undefined. */
    private refuseContext(session: Session, growthBytes: number, nameCount: number): readonly Message[] | undefined {
        if (nameCount >= this.limits.maximumNames) {
            const detail = `a session has at most ${this.limits.maximumNames} values and as many prepared statements`;
            return this.refuse(session, StatementFault.Malformed, detail);
        }
        if (growthBytes > 0 && session.contextBytes + growthBytes > this.limits.contextBytes) {
            const detail = `the values and prepared statements of a session have ${this.limits.contextBytes} bytes`;
            return this.refuse(session, StatementFault.Malformed, detail);
        }
        return this.memory.tryAdd(session.sessionId, growthBytes)
            ? undefined
            : this.refuseNotRun(session, totalExceededText, totalExceededText);
    }

    private deallocate(session: Session, name: string): readonly Message[] {
        const releasedBytes = session.deallocate(name);
        if (releasedBytes === undefined) {
            return this.refuse(session, StatementFault.UnknownName, `"${name}" is not prepared`);
        }
        this.memory.add(session.sessionId, -releasedBytes);
        return this.acknowledge(session);
    }

    /** Answers a statement in a failed transaction, which only accepts its end. */
    private runInFailedTransaction(
        session: Session,
        transaction: Transaction,
        statement: SessionStatement,
    ): readonly Message[] {
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
                    : this.reportFailure(session, transaction);
        }
    }

    private reportFailure(session: Session, transaction: Transaction): readonly Message[] {
        transaction.failureReported = true;
        return this.refuse(session, StatementFault.Aborted, transaction.failureReason);
    }

    private begin(session: Session, kind: SessionStatementKind, nowMs: number): readonly Message[] {
        if (session.transaction !== undefined) {
            return this.refuse(session, StatementFault.Malformed, "a transaction is open already");
        }
        const access = this.access.authorize(session);
        if (isFault(access)) {
            return this.refuseAccess(session, access, nowMs);
        }
        const readOnly = kind === SessionStatementKind.BeginRead;
        session.transaction = {
            access,
            readOnly,
            startedMs: nowMs,
            hasWritten: false,
            pinned: false,
            failed: false,
            failureReported: false,
            failureReason: "",
        };
        return [...this.acknowledge(session), this.setTransactionTimer(session, nowMs)];
    }

    private endTransaction(session: Session, statement: SessionStatement, nowMs: number): readonly Message[] {
        const { transaction } = session;
        if (transaction === undefined) {
            return this.refuse(session, StatementFault.Malformed, "no transaction is open");
        }
        if (!transaction.pinned && statement.kind === SessionStatementKind.Rollback) {
            session.transaction = undefined;
            return this.acknowledge(session);
        }
        const writes = statement.kind === SessionStatementKind.Commit && transaction.hasWritten;
        return this.submitTask(session, statement, writes, nowMs);
    }

    private runStatement(session: Session, statement: SessionStatement, nowMs: number): readonly Message[] {
        if (statement.kind !== SessionStatementKind.Execute) {
            return this.submitTask(session, statement, statement.kind === SessionStatementKind.Write, nowMs);
        }
        const prepared = session.context.prepared.get(statement.name);
        return prepared === undefined
            ? this.refuse(session, StatementFault.UnknownName, `"${statement.name}" is not prepared`)
            : this.submitTask(session, statement, prepared.writes, nowMs);
    }

    private submitTask(
        session: Session,
        statement: SessionStatement,
        writes: boolean,
        nowMs: number,
    ): readonly Message[] {
        const { transaction } = session;
        const access = this.access.authorize(session);
        if (isFault(access) && transaction === undefined) {
            return this.refuseAccess(session, access, nowMs);
        }
        if (isFault(access) && access.fault === StatementFault.NotAuthorized) {
            // Other changes of the policy apply from the next transaction on; a withdrawn key ends an open transaction.
            return [this.abandonTask(session), ...this.failTransaction(session, "the key was withdrawn")];
        }
        const bytes = statementBytes(statement);
        if (bytes <= this.limits.guaranteedBytes) {
            this.memory.add(session.sessionId, bytes);
        }
        else if (!this.memory.tryAdd(session.sessionId, bytes)) {
            return this.refuseNotRun(session, totalExceededText, totalExceededText);
        }
        session.runningBytes = bytes;
        const { route, workspace, homeRegions } = transaction?.access
            ?? (access as Exclude<typeof access, { fault: unknown; }>);
        if (transaction !== undefined) {
            transaction.hasWritten ||= writes;
        }
        const mode = transaction === undefined
            ? TaskMode.Single
            : transaction.readOnly
            ? TaskMode.ReadTransaction
            : TaskMode.Transaction;
        const task: Task = {
            taskId: `t${this.nextTaskNumber++}`,
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
            urgency: { priority: route.priority, objectiveAtMs: nowMs + route.targetLatencyMs },
            ...homeRegions === undefined ? {} : { homeRegions },
        };
        session.running = task;
        return [{ kind: transaction?.pinned === true ? TaskKind.Continued : TaskKind.Submitted, task } as Message];
    }

    private handleTaskEnded(ended: TaskEnded, nowMs: number): readonly Message[] {
        const { task, reply } = ended;
        const session = this.sessions.get(task.sessionId);
        if (session === undefined || session.running?.taskId !== task.taskId) {
            return ended.pinned ? [taskAbandoned(task.sessionId, undefined)] : [];
        }
        session.running = undefined;
        this.memory.add(session.sessionId, -session.runningBytes);
        session.runningBytes = 0;
        session.lastActiveMs = nowMs;
        const answer = this.applyResult(session, ended);
        if (answer.fault === undefined && isCommit(task) && reply?.position !== undefined) {
            session.recordCommit(task.service, reply.position);
        }
        return [
            { kind: SessionKind.Answer, sessionId: session.sessionId, answer } as SessionAnswer,
            ...session.transaction === undefined ? [] : [this.setTransactionTimer(session, nowMs)],
            ...this.runNextOrEnd(session, nowMs),
        ];
    }

    /** Updates the transaction according to the result of a task, and builds the answer for the caller. */
    private applyResult(session: Session, ended: TaskEnded): StatementAnswer {
        const { transaction } = session;
        const endsTransaction = ended.task.statement?.kind === SessionStatementKind.Commit
            || ended.task.statement?.kind === SessionStatementKind.Rollback;
        const { reply, pinned } = ended;
        // Without an open transaction on the link, later statements would run outside the caller's transaction.
        const transactionLost = transaction !== undefined && !endsTransaction && ended.fault === undefined && !pinned;
        const fault = transactionLost ? StatementFault.Aborted : ended.fault;
        const detail = transactionLost ? "the transaction is not open any more; nothing was kept" : ended.detail;
        if (transaction !== undefined) {
            transaction.pinned = pinned;
            if (endsTransaction) {
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
            transaction: transactionStateOf(session),
            position: reply?.position,
        };
    }

    private runNextOrEnd(session: Session, nowMs: number): readonly Message[] {
        if (session.queuedStatements.length > 0 && session.running === undefined) {
            const next = session.queuedStatements.shift()!;
            session.queuedBytes -= next.bytes;
            this.memory.add(session.sessionId, -next.bytes);
            const messages = this.startStatement(session, next, nowMs);
            return session.running === undefined ? [...messages, ...this.runNextOrEnd(session, nowMs)] : messages;
        }
        return this.canEnd(session) ? this.endSession(session) : [];
    }

    private closeSession(sessionId: string): readonly Message[] {
        const session = this.sessions.get(sessionId);
        if (session === undefined) {
            return [];
        }
        this.sessions.delete(sessionId);
        this.endingSessions -= session.ending ? 1 : 0;
        this.memory.releaseSession(sessionId);
        const usesDatabase = session.running !== undefined || session.transaction?.pinned === true;
        return [
            clearDeadline(limitKey(sessionId)),
            ...usesDatabase ? [taskAbandoned(sessionId, session.running?.taskId)] : [],
            ...this.sessionsEndedIfEmpty(),
        ];
    }

    private disconnect(session: Session): readonly Message[] {
        return [
            { kind: SessionKind.Close, sessionId: session.sessionId } as Message,
            ...this.closeSession(session.sessionId),
        ];
    }

    private handleLimitDue(sessionId: string, nowMs: number): readonly Message[] {
        const session = this.sessions.get(sessionId);
        const transaction = session?.transaction;
        if (session === undefined || transaction === undefined || transaction.failed || session.running !== undefined) {
            return [];
        }
        const deadlineMs = this.transactionDeadlineMs(session);
        if (nowMs < deadlineMs) {
            return [this.setLimitTimer(sessionId, deadlineMs)];
        }
        const isDraining = this.drain !== undefined && nowMs >= this.drain.transactionsUntilMs;
        const abandoned = this.abandonTask(session);
        transaction.failed = true;
        transaction.pinned = false;
        transaction.failureReason = isDraining
            ? "the instance stops; nothing was kept"
            : "the transaction was idle too long";
        return [abandoned];
    }

    /** Marks the open transaction as failed and answers the current statement with the reason. */
    private failTransaction(session: Session, reason: string): readonly Message[] {
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
            // The time of the kill counts from the first signal, so a later drain must not extend the deadlines.
            return [];
        }
        this.drain = drain;
        const openSessions = [...this.sessions.values()];
        return [
            ...drain.final ? this.reportStop(StopPhase.LastStep) : [],
            drain,
            setDeadline("drain", drain.answersUntilMs, { kind: TaskKind.DrainDue }),
            ...openSessions.filter(session => this.canEnd(session)).flatMap(session => this.endSession(session)),
            ...openSessions.filter(({ transaction }) => transaction !== undefined)
                .map(session => this.setLimitTimer(session.sessionId, this.transactionDeadlineMs(session))),
            ...this.sessionsEndedIfEmpty(),
        ];
    }

    /**
     * Expires the running tasks at the drain deadline, so that each statement is answered with what is known about its
     * outcome, and answers the statements of all other sessions.
     */
    private handleDrainDue(due: DrainDue, nowMs: number): readonly Message[] {
        this.answerDeadlinePassed = true;
        const openSessions = [...this.sessions.values()];
        return [
            ...this.reportStop(StopPhase.Deadline),
            due,
            ...openSessions.flatMap(({ running }) => running === undefined ? [] : [expireTask(running.taskId)]),
            ...openSessions.filter(({ running }) => running === undefined).flatMap(session =>
                this.runNextOrEnd(session, nowMs)
            ),
            ...this.sessionsEndedIfEmpty(),
        ];
    }

    private refuseWhileStopping(session: Session): readonly Message[] {
        return this.refuseNotRun(session, stoppingText, "the instance stops; nothing was kept");
    }

    /** Answers a statement that has not run. The fault promises that nothing is kept, so an open transaction fails. */
    private refuseNotRun(session: Session, detail: string, failureReason: string): readonly Message[] {
        return session.transaction === undefined
            ? this.refuse(session, StatementFault.Busy, detail)
            : [this.abandonTask(session), ...this.failTransaction(session, failureReason)];
    }

    private canEnd(session: Session): boolean {
        return this.drain?.final === true && session.running === undefined && !session.ending
            && (this.answerDeadlinePassed || session.transaction === undefined);
    }

    /** Leaves it to the caller to close the connection, because a request that is on its way would find it closed. */
    private endSession(session: Session): readonly Message[] {
        const { sessionId } = session;
        session.end();
        this.endingSessions += 1;
        this.memory.releaseSession(sessionId);
        const ending: SessionEnding = {
            kind: SessionKind.Ending,
            sessionId,
            fault: StatementFault.Busy,
            detail: stoppingText,
            transaction: transactionStateOf(session),
        };
        return [ending, clearDeadline(limitKey(sessionId)), ...this.sessionsEndedIfEmpty()];
    }

    /** Callers that have been told the end may close their connections until the deadline for answers. */
    private sessionsEndedIfEmpty(): readonly Message[] {
        const isEmpty = this.sessions.size === (this.answerDeadlinePassed ? this.endingSessions : 0);
        return this.drain?.final === true && isEmpty && this.stopPhase !== StopPhase.Ended
            ? [...this.reportStop(StopPhase.Ended), { kind: TaskKind.SessionsEnded } as DrainStep]
            : [];
    }

    /** Reports each phase once, and nothing after the last one. */
    private reportStop(phase: StopPhase): readonly SessionStopProgressed[] {
        if (this.stopPhase === phase || this.stopPhase === StopPhase.Ended) {
            return [];
        }
        this.stopPhase = phase;
        const sessions = [...this.sessions.values()];
        return [{
            kind: SessionKind.StopProgressed,
            phase,
            sessions: sessions.length,
            running: sessions.filter(({ running }) => running !== undefined).length,
            transactions: sessions.filter(({ transaction }) => transaction !== undefined).length,
            crossed: this.crossedRequests,
        }];
    }

    private transactionDeadlineMs(session: Session): number {
        const { transactionIdleMs } = this.access.policy;
        const idleMs = transactionIdleMs > 0 ? transactionIdleMs : Infinity;
        return Math.min(session.lastActiveMs + idleMs, this.drain?.transactionsUntilMs ?? Infinity);
    }

    private setTransactionTimer(session: Session, nowMs: number): Message {
        const deadlineMs = this.transactionDeadlineMs(session);
        return deadlineMs === Infinity
            ? clearDeadline(limitKey(session.sessionId))
            : this.setLimitTimer(session.sessionId, Math.max(nowMs, deadlineMs));
    }

    private setLimitTimer(sessionId: string, atMs: number): Message {
        return setDeadline(limitKey(sessionId), atMs, { kind: SessionKind.LimitDue, sessionId } as SessionLimitDue);
    }

    private abandonTask(session: Session): Message {
        return taskAbandoned(session.sessionId, session.running?.taskId);
    }

    private acknowledge(session: Session): readonly Message[] {
        return [toSessionAnswer(session, undefined, "")];
    }

    /** Refuses a statement because of the policy, for good only if the policy is proved to be the newest one. */
    private refuseAccess(session: Session, accessFault: AccessFault, nowMs: number): readonly Message[] {
        const isProved = this.access.isProved(nowMs);
        const { fault, detail } = isProved ? accessFault : this.access.unprovedFault(session);
        return [...isProved ? [] : [proofNeeded], ...this.refuse(session, fault, detail)];
    }

    private refuse(session: Session, fault: StatementFault, detail: string): readonly Message[] {
        return [toSessionAnswer(session, fault, detail)];
    }
}

function taskAbandoned(sessionId: string, taskId: string | undefined): TaskAbandoned {
    return { kind: TaskKind.Abandoned, sessionId, taskId };
}

function toSessionAnswer(session: Session, fault: StatementFault | undefined, detail: string): SessionAnswer {
    const answer: StatementAnswer = {
        rows: [],
        signature: undefined,
        fault,
        detail,
        transaction: transactionStateOf(session),
        position: undefined,
    };
    return { kind: SessionKind.Answer, sessionId: session.sessionId, answer };
}

function transactionStateOf({ transaction }: Session): TransactionState {
    if (transaction === undefined) {
        return TransactionState.None;
    }
    return transaction.failed ? TransactionState.Failed : TransactionState.Open;
}

function limitKey(sessionId: string): string {
    return `session/${sessionId}`;
}
