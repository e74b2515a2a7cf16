/** Fifth step of the request pipe: which database serves a statement, and what happens when an attempt fails. */
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
import { DatabaseChoice } from "./databaseChoice.ts";
import { FloorQuestions, type FloorResult } from "./floorQuestions.ts";
import { isRepeatable, toHolder, toHolderBody, toHolderSessionEnd } from "./holderAddressing.ts";
import { answerLocally, toAnswer } from "./localAnswers.ts";
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
    /** Differs with each start of the process; part of session and request ids. */
    readonly incarnation: string;
    readonly dataCentre: string;
    readonly random: SeededRandom;
    readonly tokens: SessionTokenCodec;
}

// Longer than the holder's own statement limit, so that it ends only requests whose holder is gone.
const answerLimitMs = 35_000;

/** Sends statements to holders and takes their answers. */
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
    private readonly databases: DatabaseChoice;
    private readonly questions: FloorQuestions;
    private readonly pending: PendingRequests;
    private readonly retries: RetryPolicy;

    constructor(options: RouteOptions) {
        this.options = options;
        this.sessions = new SessionTable(`${options.instanceId}/${options.incarnation}`, options.tokens);
        this.databases = new DatabaseChoice(options);
        this.questions = new FloorQuestions(options.instanceId);
        this.pending = new PendingRequests(`${options.instanceId}/${options.incarnation}`);
        this.retries = new RetryPolicy(options.random);
    }

    process(message: Input, nowMs: number): readonly Message[] {
        return match(message)
            .with({ kind: RequestKind.Admitted }, request => this.start(request, nowMs))
            .with({ kind: HolderKind.Answer }, answer => this.takeAnswer(answer, nowMs))
            .with({ kind: HolderKind.FloorAnswer }, answer => this.takeFloors(this.questions.answer(answer), nowMs))
            .with({ kind: HolderKind.StreamLost }, lost => this.loseStream(lost, nowMs))
            .with({ kind: ClusterKind.DatabasesChanged }, changed => this.updateDatabases(changed, nowMs))
            .with({ kind: RequestKind.RetryDue }, due => this.retryDue(due, nowMs))
            .with({ kind: RequestKind.SessionEnded }, ended => this.endSession(ended))
            .exhaustive();
    }

    private start(request: AdmittedRequest, nowMs: number): readonly Message[] {
        const tokenRefusal = this.sessions.resume(request);
        if (tokenRefusal !== undefined) {
            return [refuseRequest(request, tokenRefusal)];
        }
        const localAnswer = answerLocally(request, this.sessions);
        if (localAnswer !== undefined) {
            return [localAnswer];
        }
        const groupId = this.databases.groupOf(request.service);
        if (groupId === undefined) {
            return [refuseRequest(request, refuse(RefusalCode.UnknownService, this.step, { detail: request.service }))];
        }
        const pending = this.pending.add(request, groupId);
        this.retries.countFirstAttempt();
        return this.place(pending, nowMs);
    }

    private place(pending: PendingRequest, nowMs: number): readonly Message[] {
        const { request, groupId } = pending;
        const session = this.sessions.of(request.connectionId);
        if (session.pinnedDatabaseId !== undefined) {
            return this.sendToPinned(pending, session.pinnedDatabaseId, nowMs);
        }
        if (request.statementKind !== StatementKind.Read || request.targets.maximumAgeMs === 0) {
            return this.sendToPrimary(pending, nowMs);
        }
        const ageFloor = this.questions.samples(groupId).floorForAge(request.targets.maximumAgeMs, request.arrivedAtMs);
        const ownFloor = session.floor(groupId) ?? originPosition;
        const needsNoAnswer = session.carriesToken || request.callerId === "";
        if (needsNoAnswer && ageFloor !== undefined) {
            return this.sendToReplica(pending, laterPosition(ageFloor, ownFloor), nowMs);
        }
        pending.stage = PendingStage.Floor;
        this.questions.add(groupId, pending.requestId, request.callerId);
        return [...this.askFloors(request.service, nowMs), this.waitUntilDeadline(pending)];
    }

    private askFloors(service: string, nowMs: number): readonly Message[] {
        const groupId = this.databases.groupOf(service);
        const question = groupId && this.questions.ask(groupId, this.databases.primary(service), nowMs);
        return question ? [question] : [];
    }

    private takeFloors(results: readonly FloorResult[], nowMs: number): readonly Message[] {
        const services = new Set<string>();
        const messages = results.flatMap(({ requestId, floor }) => {
            const pending = this.pending.get(requestId);
            if (pending === undefined || pending.stage !== PendingStage.Floor) {
                return [];
            }
            services.add(pending.request.service);
            return floor === undefined
                ? this.backOff(pending, refuse(RefusalCode.NoPrimary, this.step), nowMs)
                : this.useFloor(pending, floor, nowMs);
        });
        return [...messages, ...[...services].flatMap(service => this.askFloors(service, nowMs))];
    }

    private useFloor(pending: PendingRequest, callerFloor: Position, nowMs: number): readonly Message[] {
        const { request, groupId } = pending;
        const session = this.sessions.of(request.connectionId);
        // The age counts from the arrival: a change acknowledged later need not be visible.
        const ageFloor = this.questions.samples(groupId).floorForAge(request.targets.maximumAgeMs, request.arrivedAtMs);
        if (ageFloor === undefined) {
            return this.sendToPrimary(pending, nowMs);
        }
        const ownFloor = session.floor(groupId) ?? originPosition;
        const floor = laterPosition(laterPosition(callerFloor, ageFloor), ownFloor);
        return this.sendToReplica(pending, floor, nowMs);
    }

    private sendToReplica(pending: PendingRequest, floor: Position, nowMs: number): readonly Message[] {
        const replica = this.databases.replica(pending.request.service, floor, nowMs);
        if (replica === undefined) {
            return this.sendToPrimary(pending, nowMs);
        }
        pending.floor = floor;
        return this.send(pending, replica, nowMs);
    }

    private sendToPrimary(pending: PendingRequest, nowMs: number): readonly Message[] {
        const primary = this.databases.primary(pending.request.service);
        pending.floor = undefined;
        if (primary === undefined) {
            pending.stage = PendingStage.Waiting;
            return [this.waitUntilDeadline(pending)];
        }
        return this.send(pending, primary, nowMs);
    }

    private sendToPinned(pending: PendingRequest, databaseId: string, nowMs: number): readonly Message[] {
        const database = this.databases.get(databaseId);
        if (database?.holder === undefined) {
            return this.loseTransaction(pending);
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
        this.databases.started(database.databaseId);
        const { request } = pending;
        const session = this.sessions.of(request.connectionId);
        const body = toHolderBody(pending, database.databaseId, session, this.sessions.idOf(request.connectionId));
        const limitMs = Math.max(nowMs, request.deadlineMs) + answerLimitMs;
        const due: RetryDue = { kind: RequestKind.RetryDue, requestId: pending.requestId };
        return [toHolder(body, holder, this.options.instanceId), setDeadline(deadlineKey(pending), limitMs, due)];
    }

    private takeAnswer(answer: HolderAnswer, nowMs: number): readonly Message[] {
        const pending = this.pending.get(answer.requestId);
        if (pending === undefined || pending.stage !== PendingStage.Sent) {
            return [];
        }
        this.databases.ended(pending.databaseId!);
        const { outcome } = answer;
        if (outcome.kind === OutcomeKind.Refused && this.mayRetry(pending, outcome.refusal)) {
            return this.backOff(pending, outcome.refusal, nowMs);
        }
        const session = this.sessions.of(pending.request.connectionId);
        session.inTransaction = answer.inTransaction;
        session.pinnedDatabaseId = answer.pinned ? pending.databaseId : undefined;
        if (answer.written !== undefined) {
            session.raise(pending.groupId, answer.written);
        }
        return this.finish(pending, answer.outcome, answer.inTransaction);
    }

    private mayRetry(pending: PendingRequest, refusal: Refusal): boolean {
        const session = this.sessions.of(pending.request.connectionId);
        if (session.pinnedDatabaseId !== undefined) {
            return false;
        }
        if (refusalTable[refusal.code].execution === Execution.NotRun) {
            return this.retries.isRetryable(refusal);
        }
        return isRepeatable(pending.request) && refusal.code === RefusalCode.ConnectionLost
            && this.retries.takeRepeat();
    }

    /** Tries again later, or answers with the refusal when the waiting target leaves no time. */
    private backOff(pending: PendingRequest, refusal: Refusal, nowMs: number): readonly Message[] {
        if (refusal.code === RefusalCode.NoFreshReplica && pending.databaseId !== undefined) {
            this.databases.avoid(pending.databaseId, nowMs);
        }
        const isImmediate = refusal.code === RefusalCode.NoFreshReplica;
        const atMs = nowMs + (isImmediate ? 0 : this.retries.backoffMs(pending.attempts));
        if (atMs >= pending.request.deadlineMs) {
            return this.refusePending(pending, refusal);
        }
        const cleared = clearDeadline(deadlineKey(pending));
        this.pending.renew(pending);
        pending.stage = PendingStage.Waiting;
        if (isImmediate) {
            return [cleared, ...this.sendToPrimary(pending, nowMs)];
        }
        const due: RetryDue = { kind: RequestKind.RetryDue, requestId: pending.requestId };
        return [cleared, setDeadline(deadlineKey(pending), atMs, due)];
    }

    private retryDue(due: RetryDue, nowMs: number): readonly Message[] {
        const pending = this.pending.get(due.requestId);
        if (pending === undefined) {
            return [];
        }
        if (pending.stage === PendingStage.Sent) {
            this.databases.ended(pending.databaseId!);
            return this.refusePending(pending, this.lostRefusal(pending));
        }
        if (nowMs >= pending.request.deadlineMs) {
            return this.refusePending(pending, refuse(RefusalCode.NoPrimary, this.step, { retryAfterMs: 500 }));
        }
        return this.place(pending, nowMs);
    }

    private updateDatabases(changed: DatabasesChanged, nowMs: number): readonly Message[] {
        this.databases.update(changed.databases);
        const moved = this.pending.all(PendingStage.Sent).filter(pending => this.hasMoved(pending));
        return [
            ...moved.flatMap(pending => this.takeLoss(pending, nowMs)),
            ...this.pending.all(PendingStage.Waiting).flatMap(pending => this.place(pending, nowMs)),
            ...this.pending.all(PendingStage.Floor).flatMap(({ request }) => this.askFloors(request.service, nowMs)),
            changed,
        ];
    }

    /** A read whose database was given to another holder need not wait for the old one. */
    private hasMoved(pending: PendingRequest): boolean {
        const holder = this.databases.get(pending.databaseId!)?.holder;
        const isRead = pending.request.statementKind === StatementKind.Read;
        return isRead && holder !== undefined && holder.epoch > pending.holder!.epoch;
    }

    private loseStream(lost: HolderStreamLost, nowMs: number): readonly Message[] {
        const failedFloors = this.takeFloors(this.questions.fail(lost.requestIds), nowMs);
        const losses = lost.requestIds.flatMap(requestId => {
            const pending = this.pending.get(requestId);
            return pending?.stage === PendingStage.Sent ? this.takeLoss(pending, nowMs) : [];
        });
        return [...failedFloors, ...losses, lost];
    }

    private takeLoss(pending: PendingRequest, nowMs: number): readonly Message[] {
        this.databases.ended(pending.databaseId!);
        const refusal = this.lostRefusal(pending);
        return this.mayRetry(pending, refusal)
            ? this.backOff(pending, refusal, nowMs)
            : this.refusePending(pending, refusal);
    }

    /** Without a COMMIT the database rolls back, so only a COMMIT or a write of its own is in doubt. */
    private lostRefusal(pending: PendingRequest): Refusal {
        const session = this.sessions.of(pending.request.connectionId);
        const isRolledBack = session.inTransaction && pending.request.statementKind !== StatementKind.Commit;
        session.inTransaction = false;
        session.pinnedDatabaseId = undefined;
        const code = isRolledBack ? RefusalCode.TransactionLost : RefusalCode.ConnectionLost;
        return refuse(code, this.step, { peer: pending.holder?.instanceId ?? "" });
    }

    private loseTransaction(pending: PendingRequest): readonly Message[] {
        const session = this.sessions.of(pending.request.connectionId);
        session.inTransaction = false;
        session.pinnedDatabaseId = undefined;
        return this.refusePending(pending, refuse(RefusalCode.TransactionLost, this.step));
    }

    private finish(
        pending: PendingRequest,
        outcome: HolderAnswer["outcome"],
        inTransaction: boolean,
    ): readonly Message[] {
        this.pending.remove(pending);
        return [
            clearDeadline(deadlineKey(pending)),
            toAnswer(pending.request, outcome, inTransaction, pending.startedAtMs),
        ];
    }

    private refusePending(pending: PendingRequest, refusal: Refusal): readonly Message[] {
        const session = this.sessions.of(pending.request.connectionId);
        return this.finish(pending, { kind: OutcomeKind.Refused, refusal }, session.inTransaction);
    }

    private waitUntilDeadline(pending: PendingRequest): Message {
        const due: RetryDue = { kind: RequestKind.RetryDue, requestId: pending.requestId };
        return setDeadline(deadlineKey(pending), pending.request.deadlineMs, due);
    }

    /** Rolls back what the session left at a holder, also when the statement that pins it is still under way. */
    private endSession(ended: SessionEnded): readonly Message[] {
        const session = this.sessions.take(ended.connectionId);
        const pending = this.pending.ofConnection(ended.connectionId);
        const messages: Message[] = [];
        if (pending !== undefined) {
            this.pending.remove(pending);
            messages.push(clearDeadline(deadlineKey(pending)));
        }
        const databaseIds = [session?.pinnedDatabaseId, pending?.databaseId];
        for (const databaseId of new Set(databaseIds)) {
            const holder = databaseId === undefined ? undefined : this.databases.get(databaseId)?.holder;
            if (databaseId !== undefined && holder !== undefined) {
                const sessionId = this.sessions.idOf(ended.connectionId);
                messages.push(toHolderSessionEnd(sessionId, databaseId, holder, this.options.instanceId));
            }
        }
        return messages;
    }
}

function deadlineKey(pending: PendingRequest): string {
    return `route:${pending.requestId}`;
}
