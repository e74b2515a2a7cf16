/** Chooses the database and the floor (the log position it must have reached) for each task, and decides on retries. */
import { match, P } from "ts-pattern";
import {
    type DatabaseChanged,
    type DatabaseRemoved,
    type DatabaseSuspected,
    FleetKind,
    type FrameReceived,
    type PolicyApplied,
} from "../model/fleetMessages.ts";
import type { Position } from "../model/position.ts";
import {
    emptySessionContext,
    isNotRun,
    SessionStatementKind,
    StatementFault,
    TaskMode,
} from "../model/sessionStatement.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { CommitGate } from "./commitGate.ts";
import { DatabaseTable } from "./databaseTable.ts";
import { FloorSamples, laterFloor } from "./floorSamples.ts";
import { checkRules, type PassedOver, type PlacementRule } from "./placementRule.ts";
import {
    endTask,
    type FloorLearned,
    type FloorProbeFailed,
    type FloorWanted,
    isCommit,
    type LinkTask,
    retryText,
    stoppingText,
    type Task,
    type TaskAbandoned,
    type TaskAdmitted,
    type TaskAttempted,
    type TaskEnded,
    type TaskExpired,
    TaskKind,
    type TaskPlaced,
    type TaskTimer,
    taskTimer,
} from "./taskMessages.ts";

/** Delay before a waiting task is placed again; a few times the latency between data centres. */
const retryDelayMs = 40;

/**
 * A position older than this share of a route's maximum age is renewed while reads can still use it. With the shortest
 * usual maximum age, 1.5 s, the remaining time is above the timeout of one instance that does not answer.
 */
const renewalShare = 0.7;

/** Maximum age of a position from another instance, as a share of the route's; spares the primary further probes. */
const maximumProofAgeShare = 0.4;

/**
 * Time for which a read waits for a position before it goes to the primary, which needs none. Several times the usual
 * answer time of another instance, so that the primary gets such reads only when positions are late.
 */
const floorPatienceMs = 80;

/** Share of the statement limit that one attempt at a read may take before another database is tried. */
const readAttemptShare = 0.5;

/** Time for which a replica that lags behind a floor gets no reads; replicas apply within tens of milliseconds. */
const laggingPauseMs = 60;

/** Deadline of a probe. */
const probeTimeoutMs = 500;

/** Delay before a position is requested again after a failed probe; a promotion takes a few hundred milliseconds. */
const floorPauseMs = 100;

/** Time after which a position is requested again; above the timeouts of unresponsive instances plus a probe. */
const floorRequestTimeoutMs = 1_500;

/** Maximum of retries of a statement that ran and failed; a second failure is due to the statement itself. */
const maximumFailureRetries = 1;

/** Minimum of remaining time for another attempt; below the execution time of the fastest statement. */
const minimumAttemptMs = 5;

type RoutingInput =
    | TaskAdmitted
    | TaskAttempted
    | TaskAbandoned
    | TaskExpired
    | TaskTimer
    | FloorWanted
    | FloorLearned
    | DatabaseChanged
    | DatabaseRemoved
    | FrameReceived
    | PolicyApplied;

interface RoutedTask {
    readonly task: Task;
    readonly admittedMs: number;
    readonly triedDatabaseIds: Set<string>;
    /** The task waits for a primary, a replica or a floor; otherwise an attempt is in progress. */
    waiting: boolean;
    /** The task ends after the current attempt. */
    expired: boolean;
    /** Fault of the last attempt, reported to the caller if the deadline passes. */
    lastFault: StatementFault | undefined;
    /** Number of attempts that ran and failed. */
    failureCount: number;
}

export interface RoutingOptions {
    readonly dataCentre: string;
    /** None by default. */
    readonly rules?: readonly PlacementRule[];
}

export class Routing implements Filter<RoutingInput, Message> {
    readonly step = "routing";
    readonly accepts = [
        TaskKind.Admitted,
        TaskKind.Attempted,
        TaskKind.Abandoned,
        TaskKind.Expired,
        TaskKind.PlacementDue,
        TaskKind.FloorProbeWanted,
        TaskKind.FloorLearned,
        FleetKind.DatabaseChanged,
        FleetKind.DatabaseRemoved,
        FleetKind.FrameReceived,
        FleetKind.PolicyApplied,
    ];
    private readonly databases: DatabaseTable;
    private readonly rules: readonly PlacementRule[];
    private readonly commitGate = new CommitGate();
    private readonly samples = new FloorSamples();
    private readonly tasks = new Map<string, RoutedTask>();
    /** Time until which no further position of a service is requested, because a request is in progress. */
    private readonly floorRequestedUntilMs = new Map<string, number>();
    private promotedByService: ReadonlyMap<string, string> = new Map();
    private nextProbeNumber = 0;

    constructor({ dataCentre, rules = [] }: RoutingOptions) {
        this.databases = new DatabaseTable(dataCentre);
        this.rules = rules;
    }

    process(message: RoutingInput, nowMs: number): readonly Message[] {
        return match<RoutingInput, readonly Message[]>(message)
            .with({ kind: TaskKind.Admitted }, ({ task }) => this.admit(task, nowMs))
            .with({ kind: TaskKind.Attempted }, input => this.handleAttempt(input, nowMs))
            .with({ kind: TaskKind.Abandoned }, input => [input, ...this.removeTask(input.taskId)])
            .with({ kind: TaskKind.Expired }, input => this.expire(input))
            .with({ kind: TaskKind.FloorProbeWanted }, input => this.probe(input, nowMs))
            .with({ kind: TaskKind.FloorLearned }, input => {
                this.samples.add(input.service, input.sample);
                this.floorRequestedUntilMs.delete(input.service);
                return this.placeWaiting(input.service, nowMs);
            })
            .with({ kind: FleetKind.DatabaseChanged }, input => {
                this.databases.applyReport(input.report);
                return [input, ...this.placeWaiting(input.report.service, nowMs)];
            })
            .with({ kind: FleetKind.DatabaseRemoved }, input => {
                this.databases.remove(input.databaseId);
                return [input];
            })
            .with({ kind: FleetKind.FrameReceived }, input => {
                this.closeCommitGate(input);
                return [input];
            })
            .with({ kind: FleetKind.PolicyApplied }, input => [input, ...this.applyPolicy(input, nowMs)])
            .otherwise(timer => this.retryPlacement((timer as TaskTimer).id, nowMs));
    }

    private applyPolicy(policy: PolicyApplied, nowMs: number): readonly Message[] {
        const { promoted, ordered } = policy;
        this.commitGate.applyPolicy(policy);
        const before = this.promotedByService;
        this.promotedByService = promoted;
        const chosen = [...promoted].filter(([service, databaseId]) => before.get(service) !== databaseId);
        chosen.forEach(([service, databaseId]) => this.databases.recordPromotion(service, databaseId));
        const services = new Set([...chosen.map(([service]) => service), ...this.databases.applyOrders(ordered)]);
        return [...services].flatMap(service => this.placeWaiting(service, nowMs));
    }

    private closeCommitGate({ frame }: FrameReceived): void {
        if (frame.kind === "commits_asked" && frame.fence !== undefined) {
            this.commitGate.close(frame.service, frame.fence);
        }
    }

    private admit(task: Task, nowMs: number): readonly Message[] {
        const routed: RoutedTask = {
            task,
            admittedMs: nowMs,
            triedDatabaseIds: new Set(),
            waiting: true,
            expired: false,
            lastFault: undefined,
            failureCount: 0,
        };
        this.tasks.set(task.taskId, routed);
        return this.place(routed, nowMs);
    }

    private expire(expired: TaskExpired): readonly Message[] {
        const routed = this.tasks.get(expired.taskId);
        if (routed?.waiting === true) {
            return this.endRouted(endTask(routed.task, routed.lastFault ?? StatementFault.Busy, stoppingText));
        }
        if (routed !== undefined) {
            routed.expired = true;
        }
        return [expired];
    }

    private retryPlacement(taskId: string, nowMs: number): readonly Message[] {
        const routed = this.tasks.get(taskId);
        return routed?.waiting === true ? this.place(routed, nowMs) : [];
    }

    private placeWaiting(service: string, nowMs: number): readonly Message[] {
        return [...this.tasks.values()]
            .filter(({ task, waiting }) => waiting && task.route.service === service)
            .flatMap(routed => this.place(routed, nowMs));
    }

    private place(routed: RoutedTask, nowMs: number): readonly Message[] {
        const { task } = routed;
        if (task.deadlineMs - nowMs < minimumAttemptMs) {
            return this.endRouted(endTask(task, routed.lastFault ?? StatementFault.Busy, deadlineText(routed)));
        }
        return task.needsPrimary ? this.placeAtPrimary(routed, nowMs) : this.placeForRead(routed, nowMs);
    }

    private placeAtPrimary(routed: RoutedTask, nowMs: number): readonly Message[] {
        const databaseId = this.databases.primary(routed.task.route.service, nowMs);
        if (databaseId === undefined) {
            return this.waitForRetry(routed, nowMs);
        }
        const passedOver = checkRules(this.rules, this.databases.report(databaseId)!, routed.task, nowMs);
        return passedOver === undefined
            ? this.send(routed, databaseId, undefined, nowMs)
            : this.waitOrRefuse(routed, passedOver, nowMs);
    }

    /** Waits if the database may get the task within its latency objective; otherwise refuses it at once. */
    private waitOrRefuse(routed: RoutedTask, { reason, retryAfterMs }: PassedOver, nowMs: number): readonly Message[] {
        const { task } = routed;
        if (nowMs + retryAfterMs < task.receivedMs + task.route.targetLatencyMs) {
            return this.waitForRetry(routed, nowMs, retryAfterMs);
        }
        const text = retryText(`every database that could run it is passed over (${reason})`, retryAfterMs);
        return this.endRouted(endTask(task, StatementFault.Busy, text));
    }

    private placeForRead(routed: RoutedTask, nowMs: number): readonly Message[] {
        const { task } = routed;
        const { service, maximumAgeMs } = task.route;
        const floor = this.samples.floorFor(service, task.receivedMs - maximumAgeMs);
        if (floor === undefined) {
            return [
                ...this.requestFloor(task, nowMs),
                ...nowMs - routed.admittedMs < floorPatienceMs
                    ? this.waitForRetry(routed, nowMs)
                    : this.placeAtPrimary(routed, nowMs),
            ];
        }
        const renewal = this.renewFloor(task, nowMs);
        const reports = this.databases.reportsOf(service);
        const objections = reports.map(report => checkRules(this.rules, report, task, nowMs));
        const allowed = reports.filter((_, index) => objections[index] === undefined);
        if (allowed.length === 0 && reports.length > 0) {
            return [...renewal, ...this.waitOrRefuse(routed, soonest(objections), nowMs)];
        }
        const usable = allowed.map(({ databaseId }) => databaseId)
            .filter(databaseId => this.databases.passOverForRead(databaseId, nowMs) === undefined);
        const [databaseId] = this.databases.rankForRead(usable, routed.triedDatabaseIds);
        return databaseId === undefined
            ? [...renewal, ...this.waitForRetry(routed, nowMs)]
            : [...renewal, ...this.send(routed, databaseId, laterFloor(floor, task.sessionFloor), nowMs)];
    }

    /** Places a task at a database; without a floor only the primary may run it. */
    private send(
        routed: RoutedTask,
        databaseId: string,
        floor: Position | undefined,
        nowMs: number,
    ): readonly Message[] {
        const { task } = routed;
        routed.waiting = false;
        routed.triedDatabaseIds.add(databaseId);
        this.databases.recordStart(databaseId);
        const report = this.databases.report(databaseId)!;
        this.rules.forEach(rule => rule.recordPlaced(report, nowMs));
        const attemptMs = readAttemptShare * task.route.statementLimitMs;
        const attemptDeadlineMs = task.mode === TaskMode.Single && !task.writes
            ? Math.min(task.deadlineMs, nowMs + attemptMs)
            : task.deadlineMs;
        const placed: TaskPlaced = {
            kind: TaskKind.Placed,
            task: { ...task, needsPrimary: floor === undefined },
            databaseId,
            floor,
            attemptDeadlineMs,
        };
        return [placed];
    }

    private waitForRetry(routed: RoutedTask, nowMs: number, delayMs = retryDelayMs): readonly Message[] {
        routed.waiting = true;
        const atMs = Math.min(nowMs + delayMs, routed.task.deadlineMs);
        const { taskId } = routed.task;
        return [setDeadline(placementKey(taskId), atMs, taskTimer(TaskKind.PlacementDue, taskId))];
    }

    /** Requests a newer position of the primary in the background. */
    private renewFloor(task: Task, nowMs: number): readonly Message[] {
        const { service, maximumAgeMs } = task.route;
        const newestSampleMs = this.samples.newestSampleMs(service);
        return newestSampleMs !== undefined && nowMs - newestSampleMs < renewalShare * maximumAgeMs
            ? []
            : this.requestFloor(task, nowMs);
    }

    private requestFloor({ route, workspace }: Task, nowMs: number): readonly Message[] {
        const { service, maximumAgeMs } = route;
        if (nowMs < (this.floorRequestedUntilMs.get(service) ?? 0)) {
            return [];
        }
        this.floorRequestedUntilMs.set(service, nowMs + floorRequestTimeoutMs);
        const maximumProofAgeMs = maximumProofAgeShare * maximumAgeMs;
        return [{ kind: TaskKind.FloorWanted, service, workspace, maximumProofAgeMs } as FloorWanted];
    }

    private probe({ service, workspace }: FloorWanted, nowMs: number): readonly Message[] {
        const databaseId = this.databases.primary(service, nowMs);
        if (databaseId === undefined) {
            this.floorRequestedUntilMs.set(service, nowMs + floorPauseMs);
            return [{ kind: TaskKind.FloorProbeFailed, service } as FloorProbeFailed];
        }
        const attemptDeadlineMs = nowMs + probeTimeoutMs;
        const task = probeTask(`p${this.nextProbeNumber++}`, service, workspace, attemptDeadlineMs);
        this.databases.recordStart(databaseId);
        return [
            { kind: TaskKind.Placed, task, databaseId, floor: undefined, attemptDeadlineMs } as TaskPlaced,
        ];
    }

    private handleAttempt(attempt: TaskAttempted, nowMs: number): readonly Message[] {
        const { task, reply } = attempt;
        const { service } = task;
        this.recordAttempt(attempt, nowMs);
        const isUnanswered = reply === undefined && attempt.fault === undefined && !attempt.holderUnavailable;
        const suspicions = isUnanswered ? [databaseSuspected(attempt)] : [];
        if (task.mode === TaskMode.Probe) {
            if (reply === undefined) {
                this.floorRequestedUntilMs.set(service, nowMs + floorPauseMs);
            }
            else {
                this.floorRequestedUntilMs.delete(service);
            }
            return [...suspicions, ...this.placeWaiting(service, nowMs)];
        }
        const placedAgain = attempt.leads ? this.placeWaiting(service, nowMs) : [];
        const routed = this.tasks.get(task.taskId);
        if (routed === undefined) {
            // Only the first statement of a transaction is routed; later ones, and those of closed sessions, end with
            // the result of their only attempt.
            return [...suspicions, this.toEnded(attempt), ...placedAgain];
        }
        return [...suspicions, ...this.endOrRetry(routed, attempt, nowMs), ...placedAgain];
    }

    private recordAttempt(
        { databaseId, reply, fault, leads, sentMs, task, holderUnavailable }: TaskAttempted,
        nowMs: number,
    ): void {
        const elapsedMs = reply !== undefined && reply.fault === undefined && sentMs !== undefined
            ? nowMs - sentMs
            : undefined;
        this.databases.recordAnswer(databaseId, elapsedMs);
        const finalFault = reply?.fault ?? fault;
        if (reply === undefined && finalFault !== StatementFault.Busy && !holderUnavailable) {
            this.databases.recordFailure(databaseId, nowMs);
        }
        if (finalFault === StatementFault.ReadOnly) {
            this.databases.recordNotPrimary(databaseId, nowMs);
        }
        if (finalFault === StatementFault.Lagging) {
            this.databases.recordLagging(databaseId, nowMs + laggingPauseMs);
        }
        if (leads) {
            this.databases.recordPrimary(databaseId);
            if (reply?.position !== undefined && sentMs !== undefined) {
                this.samples.add(task.service, { position: reply.position, atMs: sentMs });
            }
        }
    }

    private endOrRetry(routed: RoutedTask, attempt: TaskAttempted, nowMs: number): readonly Message[] {
        const { task } = routed;
        const fault = attempt.reply?.fault ?? attempt.fault;
        if (attempt.reply !== undefined && fault === undefined) {
            return this.endRouted(this.toEnded(attempt));
        }
        if (routed.expired) {
            return this.endRouted(this.toEnded(attempt));
        }
        const nothingExecuted = !attempt.sent || (fault !== undefined && isNotRun(fault));
        // A transaction that may have started on one link must not be started on another one.
        const mayRetry = nothingExecuted || task.mode === TaskMode.Single && !task.writes;
        routed.failureCount += fault !== undefined && !isNotRun(fault) ? 1 : 0;
        if (!mayRetry || attempt.pinned || routed.failureCount > maximumFailureRetries) {
            return this.endRouted(this.toEnded(attempt));
        }
        routed.lastFault = fault !== undefined && isNotRun(fault)
            ? fault
            : nothingExecuted
            ? StatementFault.Busy
            : fault;
        if (fault === StatementFault.Lagging && attempt.databaseId === this.databases.primary(task.service, nowMs)) {
            // A floor may cover commits that nobody acknowledged and no database kept. The primary holds all others.
            return this.placeAtPrimary(routed, nowMs);
        }
        return match(fault)
            .with(P.union(StatementFault.Lagging, StatementFault.Misrouted, undefined), () => this.place(routed, nowMs))
            .otherwise(() => this.waitForRetry(routed, nowMs));
    }

    /** Converts an attempt that is not retried to the result of the task. */
    private toEnded({ task, databaseId, reply, fault, sent, pinned }: TaskAttempted): TaskEnded {
        const hasSucceeded = reply !== undefined && reply.fault === undefined;
        if (hasSucceeded && isCommit(task) && !this.commitGate.mayAcknowledge(task.service, databaseId)) {
            return endTask(task, StatementFault.InDoubt, "the primary is being replaced; the commit may be kept");
        }
        if (reply !== undefined) {
            return { kind: TaskKind.Ended, task, reply, fault: reply.fault, detail: reply.detail, pinned };
        }
        if (!sent) {
            return endTask(task, fault ?? StatementFault.Busy, "the database could not be reached; not run");
        }
        const reason = fault === StatementFault.InDoubt
            ? "the database's answer cannot be told from an earlier one"
            : "the database did not answer in time";
        if (task.mode === TaskMode.Single) {
            return task.writes
                ? endTask(task, StatementFault.InDoubt, `${reason}; the write may have run`)
                : endTask(task, StatementFault.TimedOut, reason);
        }
        return task.statement?.kind === SessionStatementKind.Commit
            ? endTask(task, StatementFault.InDoubt, `${reason}; the commit may have run`)
            : endTask(task, StatementFault.Aborted, `${reason}; the transaction is rolled back`);
    }

    private endRouted(ended: TaskEnded | Message): readonly Message[] {
        return [...this.removeTask((ended as TaskEnded).task.taskId), ended];
    }

    private removeTask(taskId: string | undefined): readonly Message[] {
        return taskId !== undefined && this.tasks.delete(taskId) ? [clearDeadline(placementKey(taskId))] : [];
    }
}

/** @param objections one for each database */
function soonest(objections: readonly (PassedOver | undefined)[]): PassedOver {
    return objections.map(objection => objection!)
        .reduce((left, right) => right.retryAfterMs < left.retryAfterMs ? right : left);
}

function placementKey(taskId: string): string {
    return `placement/${taskId}`;
}

function databaseSuspected({ databaseId, address, sent }: TaskAttempted): DatabaseSuspected {
    return { kind: FleetKind.DatabaseSuspected, databaseId, address, sent };
}

function deadlineText({ task }: RoutedTask): string {
    return retryText(task.needsPrimary ? "no primary answers" : "no copy is recent enough or free", retryDelayMs);
}

function probeTask(taskId: string, service: string, workspace: string, untilMs: number): LinkTask {
    return {
        taskId,
        sessionId: "",
        service,
        workspace,
        mode: TaskMode.Probe,
        statement: undefined,
        writes: false,
        needsPrimary: true,
        context: emptySessionContext,
        deadlineMs: untilMs,
    };
}
