/** Filter that sends statements to databases and matches the results to them. */
import { match } from "ts-pattern";
import {
    type BackendClosed,
    BackendKind,
    type BackendPositionRead,
    type BackendResult,
} from "../model/backendMessages.ts";
import { ClusterKind, type LeasesRenewed } from "../model/clusterMessages.ts";
import { DatabaseRole } from "../model/database.ts";
import type { HolderRequest } from "../model/holderMessages.ts";
import {
    type HolderAcquired,
    type HolderExecuted,
    HolderPipeKind,
    type HolderPositionKnown,
    type HolderReleased,
    type HolderRetry,
    type HolderTimer,
} from "../model/holderPipeMessages.ts";
import type { Outcome } from "../model/outcome.ts";
import type { Position } from "../model/position.ts";
import { RefusalCode } from "../model/refusal.ts";
import { StatementKind } from "../model/statement.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import type { SeededRandom } from "../pipeline/seededRandom.ts";
import { refusedOutcome, requestKey } from "./answers.ts";
import type { HolderSettings } from "./holderSettings.ts";
import { IdempotentCommitScript } from "./idempotentCommitScript.ts";
import { IdempotentWriteScript } from "./idempotentWriteScript.ts";
import { LeaseTable } from "./leaseTable.ts";
import { recordKeyFits } from "./requestRecord.ts";
import { RetryBudget } from "./retryBudget.ts";
import { executeStep, type Script, type ScriptStep, ScriptStepKind, SingleStatementScript } from "./script.ts";

export interface ExecuteOptions {
    readonly settings: HolderSettings;
    readonly random: SeededRandom;
}

/** One execution of a statement on the connection assigned to it. */
interface StatementRun {
    readonly acquired: HolderAcquired;
    readonly script: Script;
    /** Id of the operation whose answer is pending. */
    executionId: string;
    inTransaction: boolean;
    /** Outcome of the finished script while the log position of its commit is being read. */
    committedOutcome: Outcome | undefined;
    askedAtMs: number;
}

type ExecuteInput =
    | HolderAcquired
    | BackendResult
    | BackendPositionRead
    | BackendClosed
    | LeasesRenewed
    | HolderTimer<typeof HolderPipeKind.StatementDue>;

const minimumRetryDelayMs = 5;
const maximumRetryDelayMs = 25;

export class ExecuteFilter implements Filter<ExecuteInput, Message> {
    readonly step = executeStep;
    readonly accepts = [
        HolderPipeKind.Acquired,
        HolderPipeKind.StatementDue,
        BackendKind.Result,
        BackendKind.PositionRead,
        BackendKind.Closed,
        ClusterKind.LeasesRenewed,
    ];
    private readonly options: ExecuteOptions;
    private readonly leases = new LeaseTable();
    private readonly runs = new Map<string, StatementRun>();
    private readonly retryBudget: RetryBudget;
    private nextNumber = 0;

    constructor(options: ExecuteOptions) {
        this.options = options;
        this.retryBudget = new RetryBudget(options.settings.retryRatio);
    }

    process(message: ExecuteInput, nowMs: number): readonly Message[] {
        return match(message)
            .with({ kind: HolderPipeKind.Acquired }, acquired => this.start(acquired, nowMs))
            .with({ kind: BackendKind.Result }, result => this.handleResult(result, nowMs))
            .with({ kind: BackendKind.PositionRead }, read => this.handlePosition(read))
            .with({ kind: BackendKind.Closed }, closed => this.handleLinkClosed(closed, nowMs))
            .with({ kind: HolderPipeKind.StatementDue }, timer => this.handleTimeout(timer))
            .with({ kind: ClusterKind.LeasesRenewed }, renewed => {
                this.leases.renew(renewed);
                return [renewed];
            })
            .exhaustive();
    }

    private start(acquired: HolderAcquired, nowMs: number): readonly Message[] {
        const { request, linkId, inTransaction } = acquired;
        const script = createScript(acquired);
        const run = { acquired, script, executionId: "", inTransaction, committedOutcome: undefined, askedAtMs: nowMs };
        const refusal = this.refuseBeforeSending(request, nowMs);
        if (refusal !== undefined) {
            return this.finish(run, refusal, undefined);
        }
        this.retryBudget.recordFirstAttempt();
        this.runs.set(linkId, run);
        return [
            this.setTimer(linkId, nowMs + this.options.settings.statementLimitMs),
            ...this.performStep(run, script.start(), nowMs),
        ];
    }

    private refuseBeforeSending(request: HolderRequest, nowMs: number): Outcome | undefined {
        const fields = { peer: request.databaseId };
        if (!this.leases.isValid(request.databaseId, nowMs)) {
            return refusedOutcome(RefusalCode.HolderUnavailable, this.step, { ...fields, detail: "the lease ended" });
        }
        return request.idempotencyId === undefined || recordKeyFits(request)
            ? undefined
            : refusedOutcome(RefusalCode.MalformedAttribute, this.step, {
                ...fields,
                detail: "the request id is too long",
            });
    }

    private handleResult(result: BackendResult, nowMs: number): readonly Message[] {
        const run = this.runs.get(result.linkId);
        if (run?.executionId !== result.executionId) {
            return [result];
        }
        run.inTransaction = result.inTransaction;
        return this.performStep(run, run.script.next(result), nowMs);
    }

    private performStep(run: StatementRun, step: ScriptStep, nowMs: number): readonly Message[] {
        const { request, linkId } = run.acquired;
        if (step.kind === ScriptStepKind.End && !step.committed) {
            return this.finish(run, step.outcome, undefined);
        }
        run.executionId = `execute:${this.nextNumber++}`;
        run.askedAtMs = nowMs;
        if (step.kind === ScriptStepKind.End) {
            run.committedOutcome = step.outcome;
            const limitMs = Math.max(nowMs, request.deadlineMs) + this.options.settings.confirmationLimitMs;
            const read = { kind: BackendKind.ReadPosition, linkId, executionId: run.executionId };
            return [this.setTimer(linkId, limitMs), read];
        }
        if (!this.leases.isValid(request.databaseId, nowMs)) {
            return this.abort(run);
        }
        return [{ kind: BackendKind.Execute, linkId, executionId: run.executionId, text: step.text } as Message];
    }

    private handlePosition(read: BackendPositionRead): readonly Message[] {
        const run = this.runs.get(read.linkId);
        if (run?.executionId !== read.executionId || run.committedOutcome === undefined) {
            return [read];
        }
        const { databaseId } = run.acquired.request;
        if (read.role !== DatabaseRole.Primary) {
            return this.finish(run, unconfirmedOutcome(databaseId, "the database is no longer the primary"), undefined);
        }
        const { role, position } = read;
        const known: HolderPositionKnown = {
            kind: HolderPipeKind.PositionKnown,
            databaseId,
            role,
            position,
            askedAtMs: run.askedAtMs,
        };
        return [known, ...this.finish(run, run.committedOutcome, position)];
    }

    private handleLinkClosed(closed: BackendClosed, nowMs: number): readonly Message[] {
        const run = this.runs.get(closed.linkId);
        if (run === undefined) {
            return [closed];
        }
        if (this.mayRetry(run, nowMs)) {
            return [closed, ...this.retry(run, nowMs)];
        }
        return [closed, ...this.finish(run, linkLossOutcome(run), undefined, true)];
    }

    private handleTimeout(timer: HolderTimer): readonly Message[] {
        const run = this.runs.get(timer.subject);
        return run === undefined ? [] : this.abort(run);
    }

    /** Ends the execution without a result; the connection is closed because its result is incomplete. */
    private abort(run: StatementRun): readonly Message[] {
        return this.finish(run, linkLossOutcome(run), undefined, true);
    }

    private finish(
        run: StatementRun,
        outcome: Outcome,
        written: Position | undefined,
        broken = false,
    ): readonly Message[] {
        const { request, linkId, sessionState } = run.acquired;
        this.runs.delete(linkId);
        const inTransaction = run.inTransaction && !broken;
        const released: HolderReleased = {
            kind: HolderPipeKind.Released,
            linkId,
            inTransaction,
            sessionState: sessionState && !broken,
            broken,
        };
        const executed: HolderExecuted = {
            kind: HolderPipeKind.Executed,
            request,
            outcome,
            inTransaction,
            pinned: inTransaction || released.sessionState,
            written,
        };
        return [clearDeadline(timerKey(linkId)), released, executed];
    }

    private mayRetry(run: StatementRun, nowMs: number): boolean {
        const { request, inTransaction, sessionState } = run.acquired;
        return request.repeatable
            && request.statementKind === StatementKind.Read
            && !inTransaction
            && !sessionState
            && nowMs + maximumRetryDelayMs < request.deadlineMs
            && this.retryBudget.tryConsume();
    }

    private retry(run: StatementRun, nowMs: number): readonly Message[] {
        const { request, linkId } = run.acquired;
        this.runs.delete(linkId);
        const retry: HolderRetry = { kind: HolderPipeKind.Retry, request };
        const delayMs = minimumRetryDelayMs
            + (maximumRetryDelayMs - minimumRetryDelayMs) * this.options.random.nextFloat();
        return [
            clearDeadline(timerKey(linkId)),
            setDeadline(`holder.retry:${requestKey(request)}`, nowMs + delayMs, retry),
        ];
    }

    private setTimer(linkId: string, atMs: number): Message {
        const due: HolderTimer = { kind: HolderPipeKind.StatementDue, subject: linkId };
        return setDeadline(timerKey(linkId), atMs, due);
    }
}

function timerKey(linkId: string): string {
    return `holder.statement:${linkId}`;
}

function createScript({ request, inTransaction }: HolderAcquired): Script {
    if (request.idempotencyId !== undefined && request.statementKind === StatementKind.Write && !inTransaction) {
        return new IdempotentWriteScript(request);
    }
    if (request.idempotencyId !== undefined && request.statementKind === StatementKind.Commit && inTransaction) {
        return new IdempotentCommitScript(request);
    }
    return new SingleStatementScript(request, inTransaction);
}

function linkLossOutcome(run: StatementRun): Outcome {
    return run.committedOutcome === undefined
        ? run.script.outcomeOnLinkLoss()
        : unconfirmedOutcome(run.acquired.request.databaseId, "the connection ended after the commit");
}

function unconfirmedOutcome(databaseId: string, detail: string): Outcome {
    return refusedOutcome(RefusalCode.Unconfirmed, executeStep, { peer: databaseId, detail });
}
