/** Fifth step of the request pipe: selects the database for each statement and handles failed attempts. */
import { match } from "ts-pattern";
import { ClusterKind, type DatabasesChanged, type DatabaseView } from "../model/clusterMessages.ts";
import {
    type HolderAnswer,
    type HolderFloorAnswer,
    HolderKind,
    type HolderStreamLost,
} from "../model/holderMessages.ts";
import { OutcomeKind } from "../model/outcome.ts";
import { laterPosition, originPosition, type Position } from "../model/position.ts";
import { Execution, type Refusal, RefusalCode, refusalTable, refuse } from "../model/refusal.ts";
import { StatementKind } from "../model/statement.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import type { SeededRandom } from "../pipeline/seededRandom.ts";
import { EvacuationStage, mysqlEvacuationBoundMs } from "../scheduling/evacuations.ts";
import { DatabaseSelector } from "./databaseSelector.ts";
import { FloorRequestBatcher, type FloorResult } from "./floorRequestBatcher.ts";
import { buildHolderRequest, buildHolderRequestBody, buildHolderSessionEnd, isRepeatable } from "./holderRequests.ts";
import { answerLocally, buildAnswer } from "./localAnswers.ts";
import { type PendingRequest, PendingRequests, PendingStage } from "./pendingRequests.ts";
import {
    type AdmittedRequest,
    refuseRequest,
    RequestKind,
    type RetryDue,
    type SessionEnded,
} from "./requestMessages.ts";
import { RetryPolicy } from "./retryPolicy.ts";
import type { SessionTokenCodec } from "./sessionState.ts";
import { SessionTable } from "./sessionTable.ts";
import { mayCommit } from "./statementKind.ts";

type Input =
    | AdmittedRequest
    | DatabasesChanged
    | HolderAnswer
    | HolderFloorAnswer
    | HolderStreamLost
    | RetryDue
    | SessionEnded;

export interface RouteOptions {
    readonly instanceId: string;
    /** Unique per start of the process; part of session and request ids. */
    readonly incarnation: string;
    readonly dataCentre: string;
    readonly random: SeededRandom;
    readonly tokenCodec: SessionTokenCodec;
}

// Exceeds the statement limit of the holder, so that only requests to an unresponsive holder time out here.
const answerTimeoutMs = 35_000;

/**
 * Sends statements to the holders of databases and receives their answers. Reads go to a replica that has reached the
 * floor (the log position that the read must observe), other statements to the primary. Sessions with state on a
 * connection are pinned to its database.
 */
export class RouteFilter implements Filter<Input, Message> {
    readonly step = "route";
    readonly accepts = [
        RequestKind.Admitted,
        ClusterKind.DatabasesChanged,
        HolderKind.Answer,
        HolderKind.FloorAnswer,
        HolderKind.StreamLost,
        RequestKind.RetryDue,
        RequestKind.SessionEnded,
    ];
    private readonly options: RouteOptions;
    private readonly sessions: SessionTable;
    private readonly databaseSelector: DatabaseSelector;
    private readonly floorRequests: FloorRequestBatcher;
    private readonly pendingRequests: PendingRequests;
    private readonly retryPolicy: RetryPolicy;

    constructor(options: RouteOptions) {
        this.options = options;
        this.sessions = new SessionTable(`${options.instanceId}/${options.incarnation}`, options.tokenCodec);
        this.databaseSelector = new DatabaseSelector(options);
        this.floorRequests = new FloorRequestBatcher(options.instanceId);
        this.pendingRequests = new PendingRequests(`${options.instanceId}/${options.incarnation}`);
        this.retryPolicy = new RetryPolicy(options.random);
    }

    process(message: Input, nowMs: number): readonly Message[] {
        return match(message)
            .with({ kind: RequestKind.Admitted }, request => this.receiveRequest(request, nowMs))
            .with({ kind: HolderKind.Answer }, answer => this.receiveAnswer(answer, nowMs))
            .with(
                { kind: HolderKind.FloorAnswer },
                answer => this.receiveFloors(this.floorRequests.applyAnswer(answer), nowMs),
            )
            .with({ kind: HolderKind.StreamLost }, lost => this.handleStreamLoss(lost, nowMs))
            .with({ kind: ClusterKind.DatabasesChanged }, changed => this.updateDatabases(changed, nowMs))
            .with({ kind: RequestKind.RetryDue }, due => this.handleTimer(due, nowMs))
            .with({ kind: RequestKind.SessionEnded }, ended => this.endSession(ended))
            .exhaustive();
    }

    private receiveRequest(request: AdmittedRequest, nowMs: number): readonly Message[] {
        const tokenRefusal = this.sessions.resume(request);
        if (tokenRefusal !== undefined) {
            return [refuseRequest(request, tokenRefusal)];
        }
        const localAnswer = answerLocally(request, this.sessions);
        if (localAnswer !== undefined) {
            return [localAnswer];
        }
        const groupId = this.databaseSelector.groupOf(request.service);
        if (groupId === undefined) {
            return [refuseRequest(request, refuse(RefusalCode.UnknownService, this.step, { detail: request.service }))];
        }
        const pending = this.pendingRequests.add(request, groupId);
        this.retryPolicy.recordFirstAttempt();
        return this.routeStatement(pending, nowMs);
    }

    private routeStatement(pending: PendingRequest, nowMs: number): readonly Message[] {
        const { request, groupId } = pending;
        const session = this.sessions.getOrCreate(request.connectionId);
        if (session.pinnedDatabaseId !== undefined) {
            return this.sendToPinned(pending, session.pinnedDatabaseId, nowMs);
        }
        if (request.statementKind !== StatementKind.Read || request.targets.maximumAgeMs === 0) {
            return this.sendToPrimary(pending, nowMs);
        }
        const ageFloor = this.floorRequests.getHistory(groupId).findFloorForAge(
            request.targets.maximumAgeMs,
            request.arrivedAtMs,
        );
        const sessionFloor = session.getFloor(groupId) ?? originPosition;
        const needsNoCallerFloor = session.hasToken || request.callerId === "";
        if (needsNoCallerFloor && ageFloor !== undefined) {
            return this.sendToReplica(pending, laterPosition(ageFloor, sessionFloor), nowMs);
        }
        if (this.databaseSelector.isPrimaryEvacuated(request.service, nowMs)) {
            return this.refuseEvacuated(pending);
        }
        pending.stage = PendingStage.AwaitingFloor;
        this.floorRequests.add(groupId, pending.requestId, request.callerId);
        return [...this.requestFloors(request.service, nowMs), this.waitUntilDeadline(pending)];
    }

    private requestFloors(service: string, nowMs: number): readonly Message[] {
        const groupId = this.databaseSelector.groupOf(service);
        const floorRequest = groupId
            && this.floorRequests.startRequest(groupId, this.databaseSelector.findPrimary(service, nowMs), nowMs);
        return floorRequest ? [floorRequest] : [];
    }

    private receiveFloors(results: readonly FloorResult[], nowMs: number): readonly Message[] {
        const services = new Set<string>();
        const messages = results.flatMap(({ requestId, floor }) => {
            const pending = this.pendingRequests.get(requestId);
            if (pending === undefined || pending.stage !== PendingStage.AwaitingFloor) {
                return [];
            }
            services.add(pending.request.service);
            return floor === undefined
                ? this.retryLater(pending, refuse(RefusalCode.NoPrimary, this.step), nowMs)
                : this.routeWithFloor(pending, floor, nowMs);
        });
        return [...messages, ...[...services].flatMap(service => this.requestFloors(service, nowMs))];
    }

    private routeWithFloor(pending: PendingRequest, callerFloor: Position, nowMs: number): readonly Message[] {
        const { request, groupId } = pending;
        const session = this.sessions.getOrCreate(request.connectionId);
        // The age is relative to the arrival of the read, which need not observe writes that were acknowledged later.
        const ageFloor = this.floorRequests.getHistory(groupId).findFloorForAge(
            request.targets.maximumAgeMs,
            request.arrivedAtMs,
        );
        if (ageFloor === undefined) {
            return this.sendToPrimary(pending, nowMs);
        }
        const sessionFloor = session.getFloor(groupId) ?? originPosition;
        const floor = laterPosition(laterPosition(callerFloor, ageFloor), sessionFloor);
        return this.sendToReplica(pending, floor, nowMs);
    }

    private sendToReplica(pending: PendingRequest, floor: Position, nowMs: number): readonly Message[] {
        const replica = this.databaseSelector.chooseReplica(pending.request.service, floor, nowMs);
        if (replica === undefined) {
            return this.sendToPrimary(pending, nowMs);
        }
        pending.floor = floor;
        return this.send(pending, replica, nowMs);
    }

    private sendToPrimary(pending: PendingRequest, nowMs: number): readonly Message[] {
        const { service } = pending.request;
        const primary = this.databaseSelector.findPrimary(service, nowMs);
        pending.floor = undefined;
        if (primary === undefined && this.databaseSelector.isPrimaryEvacuated(service, nowMs)) {
            return this.refuseEvacuated(pending);
        }
        if (primary === undefined) {
            pending.stage = PendingStage.Waiting;
            return [this.waitUntilDeadline(pending)];
        }
        return this.send(pending, primary, nowMs);
    }

    private sendToPinned(pending: PendingRequest, databaseId: string, nowMs: number): readonly Message[] {
        const database = this.databaseSelector.get(databaseId);
        if (database?.holder === undefined) {
            return this.refuseLostTransaction(pending);
        }
        if (this.databaseSelector.evacuationStageOf(database, nowMs) === EvacuationStage.Closed) {
            const sessionId = this.sessions.sessionIdOf(pending.request.connectionId);
            const end = buildHolderSessionEnd(sessionId, databaseId, database.holder, this.options.instanceId);
            return [end, ...this.refuseLostTransaction(pending)];
        }
        return this.send(pending, database, nowMs);
    }

    private send(pending: PendingRequest, database: DatabaseView, nowMs: number): readonly Message[] {
        const holder = database.holder!;
        pending.stage = PendingStage.Sent;
        pending.databaseId = database.databaseId;
        pending.holder = { instanceId: holder.instanceId, address: holder.instanceAddress, epoch: holder.epoch };
        pending.startedAtMs ??= nowMs;
        pending.attempts += 1;
        this.databaseSelector.recordStart(database.databaseId);
        const { request } = pending;
        const session = this.sessions.getOrCreate(request.connectionId);
        const body = buildHolderRequestBody(
            pending,
            database.databaseId,
            session,
            this.sessions.sessionIdOf(request.connectionId),
        );
        const timeoutAtMs = Math.max(nowMs, request.deadlineMs) + answerTimeoutMs;
        const due: RetryDue = { kind: RequestKind.RetryDue, requestId: pending.requestId };
        return [
            buildHolderRequest(body, holder, this.options.instanceId),
            setDeadline(deadlineKey(pending), timeoutAtMs, due),
        ];
    }

    private receiveAnswer(answer: HolderAnswer, nowMs: number): readonly Message[] {
        const pending = this.pendingRequests.get(answer.requestId);
        if (pending === undefined || pending.stage !== PendingStage.Sent) {
            return [];
        }
        this.databaseSelector.recordEnd(pending.databaseId!);
        const { outcome } = answer;
        if (outcome.kind === OutcomeKind.Refused && this.mayRetry(pending, outcome.refusal)) {
            return this.retryLater(pending, outcome.refusal, nowMs);
        }
        const session = this.sessions.getOrCreate(pending.request.connectionId);
        session.inTransaction = answer.inTransaction;
        session.pinnedDatabaseId = answer.pinned ? pending.databaseId : undefined;
        if (answer.written !== undefined) {
            session.raiseFloor(pending.groupId, answer.written);
        }
        return this.finish(pending, answer.outcome, answer.inTransaction);
    }

    private mayRetry(pending: PendingRequest, refusal: Refusal): boolean {
        const session = this.sessions.getOrCreate(pending.request.connectionId);
        if (session.pinnedDatabaseId !== undefined) {
            return false;
        }
        if (refusalTable[refusal.code].execution === Execution.NotRun) {
            return this.retryPolicy.isRetryable(refusal);
        }
        return isRepeatable(pending.request) && refusal.code === RefusalCode.ConnectionLost
            && this.retryPolicy.consumeRepeat();
    }

    /** Schedules a retry, or answers with the refusal if the retry would be after the deadline. */
    private retryLater(pending: PendingRequest, refusal: Refusal, nowMs: number): readonly Message[] {
        if (refusal.code === RefusalCode.NoFreshReplica && pending.databaseId !== undefined) {
            this.databaseSelector.recordLagging(pending.databaseId, nowMs);
        }
        const isImmediate = refusal.code === RefusalCode.NoFreshReplica;
        const atMs = nowMs + (isImmediate ? 0 : this.retryPolicy.backoffMs(pending.attempts));
        if (atMs >= pending.request.deadlineMs) {
            return this.refusePending(pending, refusal);
        }
        const cleared = clearDeadline(deadlineKey(pending));
        this.pendingRequests.assignNewRequestId(pending);
        pending.stage = PendingStage.Waiting;
        if (isImmediate) {
            return [cleared, ...this.sendToPrimary(pending, nowMs)];
        }
        const due: RetryDue = { kind: RequestKind.RetryDue, requestId: pending.requestId };
        return [cleared, setDeadline(deadlineKey(pending), atMs, due)];
    }

    private handleTimer(due: RetryDue, nowMs: number): readonly Message[] {
        const pending = this.pendingRequests.get(due.requestId);
        if (pending === undefined) {
            return [];
        }
        if (pending.stage === PendingStage.Sent) {
            this.databaseSelector.recordEnd(pending.databaseId!);
            return [
                this.endSessionAtHolder(pending),
                ...this.refusePending(pending, this.resetSessionAfterLoss(pending)),
            ];
        }
        if (nowMs >= pending.request.deadlineMs) {
            return this.refusePending(pending, refuse(RefusalCode.NoPrimary, this.step, { retryAfterMs: 500 }));
        }
        return this.routeStatement(pending, nowMs);
    }

    /** Makes the holder of an attempt without an answer roll back the transaction that the session may have there. */
    private endSessionAtHolder({ request, databaseId, holder }: PendingRequest): Message {
        const { instanceId, address } = holder!;
        return buildHolderSessionEnd(
            this.sessions.sessionIdOf(request.connectionId),
            databaseId!,
            { instanceId, instanceAddress: address },
            this.options.instanceId,
        );
    }

    private updateDatabases(changed: DatabasesChanged, nowMs: number): readonly Message[] {
        this.databaseSelector.update(changed.databases, nowMs);
        const reassigned = this.pendingRequests.getByStage(PendingStage.Sent).filter(pending =>
            this.hasNewHolder(pending)
        );
        return [
            ...reassigned.flatMap(pending => this.handleLostAttempt(pending, nowMs)),
            ...this.pendingRequests.getByStage(PendingStage.Waiting).flatMap(pending =>
                this.routeStatement(pending, nowMs)
            ),
            ...this.pendingRequests.getByStage(PendingStage.AwaitingFloor).flatMap(({ request }) =>
                this.requestFloors(request.service, nowMs)
            ),
            changed,
        ];
    }

    /** A read does not wait for its holder once the lease of the database has passed to another instance. */
    private hasNewHolder(pending: PendingRequest): boolean {
        const holder = this.databaseSelector.get(pending.databaseId!)?.holder;
        const isRead = pending.request.statementKind === StatementKind.Read;
        return isRead && holder !== undefined && holder.epoch > pending.holder!.epoch;
    }

    private handleStreamLoss(lost: HolderStreamLost, nowMs: number): readonly Message[] {
        const failedFloors = this.receiveFloors(this.floorRequests.failRequests(lost.requestIds), nowMs);
        const losses = lost.requestIds.flatMap(requestId => {
            const pending = this.pendingRequests.get(requestId);
            return pending?.stage === PendingStage.Sent ? this.handleLostAttempt(pending, nowMs) : [];
        });
        return [...failedFloors, ...losses, lost];
    }

    private handleLostAttempt(pending: PendingRequest, nowMs: number): readonly Message[] {
        this.databaseSelector.recordEnd(pending.databaseId!);
        const refusal = this.resetSessionAfterLoss(pending);
        return this.mayRetry(pending, refusal)
            ? this.retryLater(pending, refusal, nowMs)
            : this.refusePending(pending, refusal);
    }

    /**
     * Resets the session after an attempt without an answer, and returns the refusal. The database rolls back an open
     * transaction, so the outcome is unknown only for a statement that may have committed it or ran outside of one.
     */
    private resetSessionAfterLoss(pending: PendingRequest): Refusal {
        const session = this.sessions.getOrCreate(pending.request.connectionId);
        const isRolledBack = session.inTransaction && !mayCommit(pending.request.text);
        session.inTransaction = false;
        session.pinnedDatabaseId = undefined;
        const code = isRolledBack ? RefusalCode.TransactionLost : RefusalCode.ConnectionLost;
        return refuse(code, this.step, { peer: pending.holder?.instanceId ?? "" });
    }

    /** Nobody knows when the primary gets work again: when another one is promoted, or the evacuation ends. */
    private refuseEvacuated(pending: PendingRequest): readonly Message[] {
        const detail = "the data centre of the primary is evacuated";
        return this.refusePending(
            pending,
            refuse(RefusalCode.NoPrimary, this.step, { detail, retryAfterMs: mysqlEvacuationBoundMs }),
        );
    }

    private refuseLostTransaction(pending: PendingRequest): readonly Message[] {
        const session = this.sessions.getOrCreate(pending.request.connectionId);
        session.inTransaction = false;
        session.pinnedDatabaseId = undefined;
        return this.refusePending(pending, refuse(RefusalCode.TransactionLost, this.step));
    }

    private finish(
        pending: PendingRequest,
        outcome: HolderAnswer["outcome"],
        inTransaction: boolean,
    ): readonly Message[] {
        this.pendingRequests.remove(pending);
        return [
            clearDeadline(deadlineKey(pending)),
            buildAnswer(pending.request, outcome, inTransaction, pending.startedAtMs),
        ];
    }

    private refusePending(pending: PendingRequest, refusal: Refusal): readonly Message[] {
        const session = this.sessions.getOrCreate(pending.request.connectionId);
        return this.finish(pending, { kind: OutcomeKind.Refused, refusal }, session.inTransaction);
    }

    private waitUntilDeadline(pending: PendingRequest): Message {
        const due: RetryDue = { kind: RequestKind.RetryDue, requestId: pending.requestId };
        return setDeadline(deadlineKey(pending), pending.request.deadlineMs, due);
    }

    /**
     * Removes a session. The holders that may have pinned it, including that of a statement in flight, roll back its
     * transaction and close its connection.
     */
    private endSession(ended: SessionEnded): readonly Message[] {
        const pending = this.pendingRequests.getByConnection(ended.connectionId);
        const databaseIds = [
            this.sessions.get(ended.connectionId)?.pinnedDatabaseId,
            pending?.databaseId,
        ];
        const messages = pending === undefined ? [] : [...this.endPending(pending, ended)];
        this.sessions.remove(ended.connectionId);
        for (const databaseId of new Set(databaseIds)) {
            const holder = databaseId === undefined ? undefined : this.databaseSelector.get(databaseId)?.holder;
            if (databaseId !== undefined && holder !== undefined) {
                const sessionId = this.sessions.sessionIdOf(ended.connectionId);
                messages.push(buildHolderSessionEnd(sessionId, databaseId, holder, this.options.instanceId));
            }
        }
        return messages;
    }

    private endPending(pending: PendingRequest, { refusal }: SessionEnded): readonly Message[] {
        if (pending.stage === PendingStage.Sent) {
            this.databaseSelector.recordEnd(pending.databaseId!);
        }
        if (refusal === undefined) {
            this.pendingRequests.remove(pending);
            return [clearDeadline(deadlineKey(pending))];
        }
        return pending.stage === PendingStage.Sent
            ? this.refusePending(pending, this.resetSessionAfterLoss(pending))
            : this.refusePending(pending, refusal);
    }
}

function deadlineKey(pending: PendingRequest): string {
    return `route:${pending.requestId}`;
}
