/** Chooses the database and the floor (the log position it must have reached) for each task, and decides on retries. */
import { match, P } from "ts-pattern";
import { leaseRenewalMs } from "../model/acknowledgementLease.ts";
import { type ExplanationAsked, ExplanationKind } from "../model/explanation.ts";
import {
    type DatabaseChanged,
    type DatabaseRemoved,
    type DatabaseReport,
    FleetKind,
    type FrameReceived,
    type LeaseChanged,
    type PolicyApplied,
} from "../model/fleetMessages.ts";
import type { Position } from "../model/position.ts";
import { StatementFault, TaskMode } from "../model/sessionStatement.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { SeededRandom } from "../pipeline/seededRandom.ts";
import { databaseSuspected, toEnded } from "./attemptOutcome.ts";
import { CommitGate } from "./commitGate.ts";
import { DatabaseTable } from "./databaseTable.ts";
import { explainPlacement } from "./explainPlacement.ts";
import { FloorRequests } from "./floorRequests.ts";
import { type PassedOver, PassOverReason, type PlacementRule, PlacementRules, soonest } from "./placementRule.ts";
import { ReadChoice } from "./readChoice.ts";
import { RoutedTask } from "./routedTask.ts";
import {
    endTask,
    type FloorLearned,
    type FloorWanted,
    isCommit,
    type PositionProbeWanted,
    type PositionsLearned,
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
 * Time for which a read waits for a position before it goes to the primary, which needs none. Several times the usual
 * answer time of another instance, so that the primary gets such reads only when positions are late.
 */
const floorPatienceMs = 80;

/** Share of the statement limit that one attempt at a read may take before another database is tried. */
const readAttemptShare = 0.5;

/** Seed of an instance that is given no source of random numbers. */
const defaultSeed = 1;

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
    | PositionsLearned
    | PositionProbeWanted
    | DatabaseChanged
    | DatabaseRemoved
    | FrameReceived
    | LeaseChanged
    | PolicyApplied
    | ExplanationAsked;

export interface RoutingOptions {
    readonly dataCentre: string;
    /** Region of each data centre; by default none is known. */
    readonly dataCentreRegions?: ReadonlyMap<string, string>;
    /** Instances with different seeds do not all choose the same database. */
    readonly random?: SeededRandom;
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
        TaskKind.PositionsLearned,
        TaskKind.PositionProbeWanted,
        FleetKind.DatabaseChanged,
        FleetKind.DatabaseRemoved,
        FleetKind.FrameReceived,
        FleetKind.LeaseChanged,
        FleetKind.PolicyApplied,
        ExplanationKind.Asked,
    ];
    private readonly random: SeededRandom;
    private readonly databases: DatabaseTable;
    private readonly rules: PlacementRules;
    private readonly reads: ReadChoice;
    private readonly commitGate = new CommitGate();
    private readonly floors = new FloorRequests();
    private readonly tasks = new Map<string, RoutedTask>();
    private services: PolicyApplied["policy"]["services"] = new Map();
    private promotedByService: ReadonlyMap<string, string> = new Map();

    constructor({ dataCentre, dataCentreRegions = new Map(), rules = [], random }: RoutingOptions) {
        this.random = random ?? new SeededRandom(defaultSeed);
        this.databases = new DatabaseTable({
            dataCentre,
            dataCentreRegions,
            random: this.random,
            floors: this.floors,
        });
        this.rules = new PlacementRules(rules);
        const { databases, rules: placementRules, floors } = this;
        this.reads = new ReadChoice({ databases, rules: placementRules, floors });
    }

    process(message: RoutingInput, nowMs: number): readonly Message[] {
        return match<RoutingInput, readonly Message[]>(message)
            .with({ kind: TaskKind.Admitted }, ({ task }) => this.admit(task, nowMs))
            .with({ kind: TaskKind.Attempted }, input => this.handleAttempt(input, nowMs))
            .with({ kind: TaskKind.Abandoned }, input => [input, ...this.removeTask(input.taskId)])
            .with({ kind: TaskKind.Expired }, input => this.expire(input))
            .with({ kind: TaskKind.FloorProbeWanted }, input => this.probePrimary(input, nowMs))
            .with({ kind: TaskKind.PositionProbeWanted }, input => this.probeDatabase(input, nowMs))
            .with({ kind: TaskKind.FloorLearned }, input => {
                this.floors.learn(input, nowMs);
                return this.placeWaiting(input.service, nowMs);
            })
            .with({ kind: TaskKind.PositionsLearned }, ({ positions }) => {
                positions.forEach((observed, databaseId) => this.databases.recordPosition(databaseId, observed));
                return [];
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
            .with({ kind: FleetKind.LeaseChanged }, input => {
                this.commitGate.applyLease(input);
                return [input];
            })
            .with({ kind: FleetKind.PolicyApplied }, input => [input, ...this.applyPolicy(input, nowMs)])
            .with({ kind: ExplanationKind.Asked }, input => [this.explain(input, nowMs)])
            .otherwise(timer => this.retryPlacement((timer as TaskTimer).id, nowMs));
    }

    private explain(asked: ExplanationAsked, nowMs: number): Message {
        const { databases, rules, floors, commitGate, random } = this;
        const lacksLease = this.lacksLease(asked.route!, nowMs);
        const state = { databases, rules, floors, commitGate, lacksLease, random, readAttemptShare };
        return explainPlacement(asked, state, nowMs);
    }

    private applyPolicy(policy: PolicyApplied, nowMs: number): readonly Message[] {
        const { promoted, ordered } = policy;
        this.commitGate.applyPolicy(policy);
        this.services = policy.policy.services;
        this.rules.applyPolicy(policy, nowMs);
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
        const routed = new RoutedTask(task, nowMs);
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
        if (task.homeRegions?.length === 0) {
            return this.refusePassedOver(routed, noHome);
        }
        return task.needsPrimary ? this.placeAtPrimary(routed, nowMs) : this.placeForRead(routed, nowMs);
    }

    private placeAtPrimary(routed: RoutedTask, nowMs: number): readonly Message[] {
        if (isCommit(routed.task) && this.lacksLease(routed.task, nowMs)) {
            return this.waitForLease(routed, nowMs);
        }
        const databaseId = this.databases.primary(routed.task.route.service, nowMs);
        if (databaseId === undefined) {
            const passedOver = this.objectionToAll(routed.task, nowMs);
            return passedOver === undefined
                ? this.waitForRetry(routed, nowMs)
                : this.waitOrRefuse(routed, passedOver, nowMs);
        }
        const passedOver = this.rules.check(this.databases.report(databaseId)!, routed.task, nowMs);
        return passedOver === undefined
            ? this.send(routed, databaseId, undefined, nowMs)
            : this.waitOrRefuse(routed, passedOver, nowMs);
    }

    /** A commit that cannot be acknowledged within its latency objective is not sent. */
    private waitForLease(routed: RoutedTask, nowMs: number): readonly Message[] {
        const { task } = routed;
        return nowMs + retryDelayMs < task.receivedMs + task.route.targetLatencyMs
            ? this.waitForRetry(routed, nowMs)
            : this.endRouted(endTask(task, StatementFault.Busy, retryText(noLeaseText, leaseRenewalMs)));
    }

    /** Waits if the database may get the task within its latency objective; otherwise refuses it at once. */
    private waitOrRefuse(routed: RoutedTask, passedOver: PassedOver, nowMs: number): readonly Message[] {
        const { task } = routed;
        const { reason, retryAfterMs } = passedOver;
        const mayChange = reason !== PassOverReason.OutsideHome;
        return mayChange && nowMs + retryAfterMs < task.receivedMs + task.route.targetLatencyMs
            ? this.waitForRetry(routed, nowMs, retryAfterMs)
            : this.refusePassedOver(routed, passedOver);
    }

    private refusePassedOver({ task }: RoutedTask, { reason, retryAfterMs }: PassedOver): readonly Message[] {
        const text = retryText(`every database that could run it is passed over (${reason})`, retryAfterMs);
        return this.endRouted(endTask(task, StatementFault.Busy, text));
    }

    private objectionToAll(task: Task, nowMs: number): PassedOver | undefined {
        return this.rules.checkAll(this.databases.reportsOf(task.service), task, nowMs);
    }

    /** Waits for one of the databases, unless those that are at home are all about to leave. */
    private waitForUsable(
        routed: RoutedTask,
        databases: readonly DatabaseReport[],
        nowMs: number,
    ): readonly Message[] {
        const objections = databases.map(({ databaseId }) => this.databases.passOverForRead(databaseId, nowMs))
            .filter((objection): objection is PassedOver => objection?.reason === PassOverReason.Draining);
        const allLeave = objections.length === databases.length;
        return routed.task.homeRegions !== undefined && allLeave && objections.length > 0
            ? this.refusePassedOver(routed, soonest(objections)!)
            : this.waitForRetry(routed, nowMs);
    }

    /**
     * Requests a position and waits for it. After a while the primary runs the read without one, unless a rule keeps it from
     * there.
     */
    private waitForFloor(routed: RoutedTask, nowMs: number): readonly Message[] {
        const passedOver = this.objectionToAll(routed.task, nowMs);
        if (passedOver !== undefined) {
            return this.waitOrRefuse(routed, passedOver, nowMs);
        }
        const primaryId = this.databases.primary(routed.task.service, nowMs);
        const mayUsePrimary = primaryId === undefined
            || this.rules.check(this.databases.report(primaryId)!, routed.task, nowMs) === undefined;
        return [
            ...this.floors.request(routed.task, nowMs),
            ...nowMs - routed.admittedMs < floorPatienceMs || !mayUsePrimary
                ? this.waitForRetry(routed, nowMs)
                : this.placeAtPrimary(routed, nowMs),
        ];
    }

    private placeForRead(routed: RoutedTask, nowMs: number): readonly Message[] {
        const { task } = routed;
        const { service } = task.route;
        const floor = this.floors.floorFor(task);
        if (floor === undefined) {
            return this.waitForFloor(routed, nowMs);
        }
        const renewal = this.floors.renew(task, nowMs);
        const reports = this.databases.reportsOf(service);
        const passedOver = this.rules.checkAll(reports, task, nowMs);
        if (passedOver !== undefined) {
            return [...renewal, ...this.waitOrRefuse(routed, passedOver, nowMs)];
        }
        const allowed = this.reads.allowed(task, nowMs);
        const databaseId = this.reads.choose(routed, allowed, floor, nowMs);
        if (databaseId === undefined) {
            return [...renewal, ...this.waitForUsable(routed, allowed, nowMs)];
        }
        this.databases.recordRead(databaseId, floor, nowMs);
        return [...renewal, ...this.send(routed, databaseId, floor, nowMs)];
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
        routed.placedAt = databaseId;
        routed.floor = floor;
        routed.triedDatabaseIds.add(databaseId);
        this.databases.recordStart(databaseId);
        const report = this.databases.report(databaseId)!;
        this.rules.recordPlaced(report, nowMs);
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

    private handleAttempt(attempt: TaskAttempted, nowMs: number): readonly Message[] {
        const { task, reply } = attempt;
        const { service } = task;
        this.recordAttempt(attempt, nowMs);
        const isUnanswered = reply === undefined && attempt.fault === undefined && !attempt.holderUnavailable;
        const suspicions = isUnanswered ? [databaseSuspected(attempt)] : [];
        if (task.mode === TaskMode.Probe) {
            if (task.needsPrimary) {
                // After a refusal as read-only, another database may count as the primary.
                const mayAskAgain = reply !== undefined
                    && (reply.fault === undefined || reply.fault === StatementFault.ReadOnly);
                this.floors.recordProbeEnd(service, mayAskAgain, nowMs);
            }
            return [...suspicions, ...this.placeWaiting(service, nowMs)];
        }
        const placedAgain = attempt.leads ? this.placeWaiting(service, nowMs) : [];
        const routed = this.tasks.get(task.taskId);
        if (routed === undefined) {
            // Only the first statement of a transaction is routed; later ones, and those of closed sessions, end with
            // the result of their only attempt.
            return [...suspicions, this.toEnded(attempt, nowMs), ...placedAgain];
        }
        return [...suspicions, ...this.endOrRetry(routed, attempt, nowMs), ...placedAgain];
    }

    private probePrimary(wanted: FloorWanted, nowMs: number): readonly Message[] {
        const primaryId = this.databases.primary(wanted.service, nowMs);
        const mayProbe = primaryId !== undefined && this.rules.mayProbe(this.databases.report(primaryId)!, nowMs);
        return this.floors.probePrimary(wanted, mayProbe ? primaryId : undefined, nowMs);
    }

    private probeDatabase(wanted: PositionProbeWanted, nowMs: number): readonly Message[] {
        const report = this.databases.report(wanted.databaseId);
        if (
            report === undefined || !this.rules.mayProbe(report, nowMs)
            || this.databases.passOverForRead(wanted.databaseId, nowMs) !== undefined
        ) {
            return [];
        }
        return [this.floors.probeDatabase(wanted, nowMs)];
    }

    private recordAttempt(attempt: TaskAttempted, nowMs: number): void {
        const { reply, leads, sentMs, task } = attempt;
        const routed = this.tasks.get(task.taskId);
        this.endAttempt(routed);
        this.databases.recordAttempt(attempt, routed?.floor, nowMs);
        if (leads && reply?.position !== undefined && sentMs !== undefined) {
            this.floors.recordProof(task.service, { position: reply.position, atMs: sentMs }, nowMs);
        }
    }

    /** An attempt whose caller has left may end without a result. */
    private endAttempt(routed: RoutedTask | undefined): void {
        if (routed?.placedAt !== undefined) {
            this.databases.recordEnd(routed.placedAt);
            routed.placedAt = undefined;
        }
    }

    private endOrRetry(routed: RoutedTask, attempt: TaskAttempted, nowMs: number): readonly Message[] {
        const { task } = routed;
        const fault = attempt.reply?.fault ?? attempt.fault;
        if (attempt.reply !== undefined && fault === undefined) {
            return this.endRouted(this.toEnded(attempt, nowMs));
        }
        if (routed.expired || !routed.recordFailure(attempt)) {
            return this.endRouted(this.toEnded(attempt, nowMs));
        }
        if (attempt.retryAfterMs !== undefined) {
            return this.moveOrRefuse(routed, attempt.retryAfterMs, nowMs);
        }
        if (fault === StatementFault.Lagging && attempt.databaseId === this.databases.primary(task.service, nowMs)) {
            // A floor may cover commits that nobody acknowledged and no database kept. The primary holds all others.
            return this.placeAtPrimary(routed, nowMs);
        }
        return match(fault)
            .with(P.union(StatementFault.Lagging, StatementFault.Misrouted, undefined), () => this.place(routed, nowMs))
            .otherwise(() => this.waitForRetry(routed, nowMs));
    }

    /** Handles a statement that its database cannot start in time: places a read elsewhere, or refuses it at once. */
    private moveOrRefuse(routed: RoutedTask, retryAfterMs: number, nowMs: number): readonly Message[] {
        const { task } = routed;
        if (!task.needsPrimary && this.reads.hasUntried(routed, nowMs)) {
            return this.place(routed, nowMs);
        }
        // No queue drains for longer, because all that waits in it starts or is refused within its own limit.
        const afterMs = Math.min(retryAfterMs, 2 * task.route.statementLimitMs);
        const text = retryText("the databases have too much to do", afterMs);
        return this.endRouted(endTask(task, StatementFault.Busy, text));
    }

    /** Converts an attempt that is not retried to the result of the task. */
    private toEnded(attempt: TaskAttempted, nowMs: number): TaskEnded {
        const { task, databaseId, reply } = attempt;
        const hasSucceeded = reply !== undefined && reply.fault === undefined;
        if (!hasSucceeded || !isCommit(task)) {
            return toEnded(attempt);
        }
        if (!this.commitGate.mayAcknowledge(task.service, databaseId)) {
            return endTask(task, StatementFault.InDoubt, "the primary is being replaced; the commit may be kept");
        }
        return this.lacksLease(task, nowMs)
            ? endTask(task, StatementFault.InDoubt, `${noLeaseText}; the commit may be kept`)
            : toEnded(attempt);
    }

    /** Whether a primary that lacks a commit of this task could be chosen without asking this instance. */
    private lacksLease({ service }: Pick<Task, "service">, nowMs: number): boolean {
        const replicas = this.services.get(service)?.synchronousReplicas ?? 0;
        return replicas > 0 && !this.commitGate.hasLease(nowMs);
    }

    private endRouted(ended: TaskEnded | Message): readonly Message[] {
        return [...this.removeTask((ended as TaskEnded).task.taskId), ended];
    }

    private removeTask(taskId: string | undefined): readonly Message[] {
        this.endAttempt(this.tasks.get(taskId ?? ""));
        return taskId !== undefined && this.tasks.delete(taskId) ? [clearDeadline(placementKey(taskId))] : [];
    }
}

const noLeaseText = "no control leader has been in contact lately";

/** The route and the workspace have no home region in common. */
const noHome: PassedOver = { reason: PassOverReason.OutsideHome, retryAfterMs: 10_000 };

function placementKey(taskId: string): string {
    return `placement/${taskId}`;
}

function deadlineText({ task }: RoutedTask): string {
    return retryText(task.needsPrimary ? "no primary answers" : "no copy is recent enough or free", retryDelayMs);
}
