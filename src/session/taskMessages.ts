/**
 * Messages between the filters of the session pipe. A task is a statement on its way to a database: it is submitted by
 * its session, admitted within the rate limit, placed at a database, attempted there one or several times, and ended.
 */
import type { DatabaseLoad } from "../model/databaseLoad.ts";
import type { LinkReply } from "../model/linkMessages.ts";
import type { Position } from "../model/position.ts";
import {
    type SessionContext,
    type SessionStatement,
    SessionStatementKind,
    type StatementFault,
    TaskMode,
} from "../model/sessionStatement.ts";
import type { RoutePolicy } from "../model/trafficPolicy.ts";
import type { Message } from "../pipeline/message.ts";
import type { EvacuationStage } from "../scheduling/evacuations.ts";
import type { ObservedPosition } from "../scheduling/replicaLag.ts";
import type { FloorSample } from "./floorSamples.ts";

export const TaskKind = {
    Submitted: "task.submitted",
    Admitted: "task.admitted",
    Placed: "task.placed",
    Continued: "task.continued",
    /** The session has closed, or its transaction has been ended by the proxy. */
    Abandoned: "task.abandoned",
    /** The same three kinds for tasks that other instances passed here; they are not routed again. */
    PassedPlaced: "task.passed_placed",
    PassedContinued: "task.passed_continued",
    PassedAbandoned: "task.passed_abandoned",
    /** The instance exits before the deadline of the task, which must end with what is known about its outcome. */
    Expired: "task.expired",
    /** A draining instance has closed all its own sessions. */
    SessionsEnded: "task.sessions_ended",
    /** The time limit for open transactions of other instances has passed, because this instance is draining. */
    PassedLimitDue: "task.passed_limit_due",
    /** The drain deadline for answers has passed. */
    DrainDue: "task.drain_due",
    Attempted: "task.attempted",
    /** Reads of a service need a new log position of the primary as their floor, now or soon. */
    FloorWanted: "task.floor_wanted",
    /** This instance must obtain the position from the primary itself. */
    FloorProbeWanted: "task.floor_probe_wanted",
    /** No primary is known that could be probed. */
    FloorProbeFailed: "task.floor_probe_failed",
    /** A position that was requested with `FloorWanted` is available. */
    FloorLearned: "task.floor_learned",
    FloorDue: "task.floor_due",
    /** Other instances have told log positions of databases. */
    PositionsLearned: "task.positions_learned",
    /** This instance must ask a database that lags for its log position. */
    PositionProbeWanted: "task.position_probe_wanted",
    Ended: "task.ended",
    /** This instance became the holder of a database, or is no longer its holder. */
    HolderChanged: "task.holder_changed",
    /** The evacuation of its data centre leaves another use of a database. */
    EvacuationStageChanged: "task.evacuation_stage_changed",
    EvacuationStageDue: "task.evacuation_stage_due",
    AdmissionDue: "task.admission_due",
    PlacementDue: "task.placement_due",
    AttemptDue: "task.attempt_due",
    LinkDue: "task.link_due",
    IdleDue: "task.idle_due",
    ForwardDue: "task.forward_due",
    /** Tasks that wait to be sent to a cold database may have waited long enough. */
    ColdDue: "task.cold_due",
} as const;

/** The part of a task that links need. */
export interface LinkTask {
    /** Unique in this process. */
    readonly taskId: string;
    /** Empty for a probe. */
    readonly sessionId: string;
    readonly service: string;
    /** Empty for callers of open routes without a key. */
    readonly workspace: string;
    readonly mode: TaskMode;
    /** Undefined for a probe. */
    readonly statement: SessionStatement | undefined;
    /** The statement writes, or commits a transaction that has written. */
    readonly writes: boolean;
    /** Only the primary may run the statement. */
    readonly needsPrimary: boolean;
    readonly context: SessionContext;
    /** Deadline of the statement over all attempts. */
    readonly deadlineMs: number;
    /** Regions whose databases may run it and whose instances may carry it; undefined if all may. */
    readonly homeRegions?: readonly string[];
    /** Unknown if an instance of an earlier release passed the task. */
    readonly urgency?: TaskUrgency;
}

export interface TaskUrgency {
    /** Of the route; 0 is the highest. */
    readonly priority: number;
    /** Time at which the latency objective is missed. */
    readonly objectiveAtMs: number;
}

/** A statement that needs a database, with the data from which routing chooses the database. */
export interface Task extends LinkTask {
    readonly route: RoutePolicy;
    /** Log position of the session's last commit in this service. */
    readonly sessionFloor: Position | undefined;
    readonly receivedMs: number;
}

export interface TaskSubmitted extends Message {
    readonly kind: typeof TaskKind.Submitted;
    readonly task: Task;
}

/** The task is within the rate limit of its workspace. */
export interface TaskAdmitted extends Message {
    readonly kind: typeof TaskKind.Admitted;
    readonly task: Task;
}

/** An attempt at running the task on one database. */
export interface TaskPlaced extends Message {
    readonly kind: typeof TaskKind.Placed | typeof TaskKind.PassedPlaced;
    readonly task: LinkTask;
    readonly databaseId: string;
    /** Log position that the database must have reached; undefined for tasks that need the primary. */
    readonly floor: Position | undefined;
    /** Deadline of this attempt. */
    readonly attemptDeadlineMs: number;
}

/** The second or a later statement of a transaction; it runs on the link that is reserved for the session. */
export interface TaskContinued extends Message {
    readonly kind: typeof TaskKind.Continued | typeof TaskKind.PassedContinued;
    readonly task: LinkTask;
}

export interface TaskAbandoned extends Message {
    readonly kind: typeof TaskKind.Abandoned | typeof TaskKind.PassedAbandoned;
    readonly sessionId: string;
    readonly taskId: string | undefined;
}

export interface TaskExpired extends Message {
    readonly kind: typeof TaskKind.Expired;
    readonly taskId: string;
}

export interface DrainDue extends Message {
    readonly kind: typeof TaskKind.DrainDue;
}

export interface DrainStep extends Message {
    readonly kind: typeof TaskKind.SessionsEnded | typeof TaskKind.PassedLimitDue;
}

export interface TaskAttempted extends Message {
    readonly kind: typeof TaskKind.Attempted;
    readonly task: LinkTask;
    readonly databaseId: string;
    /** Address of the instance whose links the attempt used; undefined for this instance. */
    readonly address: string | undefined;
    /** Undefined when the link was lost or the attempt reached its deadline. */
    readonly reply: LinkReply | undefined;
    /** Why the statement was not sent; undefined when a reply exists or the reason is unknown. */
    readonly fault: StatementFault | undefined;
    /** The statement was sent, or may have been. */
    readonly sent: boolean;
    /** The holder did not answer, which does not show that the database failed. */
    readonly holderUnavailable: boolean;
    /** Time at which the first command of the attempt was sent; undefined when none was. */
    readonly sentMs: number | undefined;
    /** The database proved after `sentMs` that it is the primary. */
    readonly leads: boolean;
    /** The transaction is still open, and the link is reserved for it. */
    readonly pinned: boolean;
    /** Load of the database after the attempt, as the instance with the link knows it. */
    readonly load?: DatabaseLoad;
    /** Set if the statement was refused because it could not start in time: time after which it could. */
    readonly retryAfterMs?: number;
}

export interface FloorWanted extends Message {
    readonly kind: typeof TaskKind.FloorWanted | typeof TaskKind.FloorProbeWanted;
    readonly service: string;
    /** Workspace of the waiting caller; sent to the database as the name of the caller if a link has to be opened. */
    readonly workspace: string;
    /** An older position does not help. */
    readonly maximumProofAgeMs: number;
}

export interface FloorProbeFailed extends Message {
    readonly kind: typeof TaskKind.FloorProbeFailed;
    readonly service: string;
}

export interface FloorLearned extends Message {
    readonly kind: typeof TaskKind.FloorLearned;
    readonly service: string;
    readonly sample: FloorSample;
}

export interface PositionsLearned extends Message {
    readonly kind: typeof TaskKind.PositionsLearned;
    readonly service: string;
    /** By database id. */
    readonly positions: ReadonlyMap<string, ObservedPosition>;
}

export interface PositionProbeWanted extends Message {
    readonly kind: typeof TaskKind.PositionProbeWanted;
    readonly service: string;
    /** Sent to the database as the name of the caller if a link has to be opened. */
    readonly workspace: string;
    readonly databaseId: string;
}

export interface HolderChanged extends Message {
    readonly kind: typeof TaskKind.HolderChanged;
    readonly databaseId: string;
    readonly isHolder: boolean;
}

export interface EvacuationStageChanged extends Message {
    readonly kind: typeof TaskKind.EvacuationStageChanged;
    readonly databaseId: string;
    readonly stage: EvacuationStage;
}

export interface EvacuationStageDue extends Message {
    readonly kind: typeof TaskKind.EvacuationStageDue;
}

/** The final result of a task, for its session. */
export interface TaskEnded extends Message {
    readonly kind: typeof TaskKind.Ended;
    readonly task: LinkTask;
    readonly reply: LinkReply | undefined;
    /** Undefined on success. */
    readonly fault: StatementFault | undefined;
    readonly detail: string;
    readonly pinned: boolean;
}

/** A timer of one task, link, pool, workspace or question. */
export interface TaskTimer extends Message {
    readonly kind:
        | typeof TaskKind.AdmissionDue
        | typeof TaskKind.PlacementDue
        | typeof TaskKind.AttemptDue
        | typeof TaskKind.LinkDue
        | typeof TaskKind.IdleDue
        | typeof TaskKind.ForwardDue
        | typeof TaskKind.FloorDue
        | typeof TaskKind.ColdDue;
    readonly id: string;
}

export function taskTimer(kind: TaskTimer["kind"], id: string): TaskTimer {
    return { kind, id };
}

export function expireTask(taskId: string): TaskExpired {
    return { kind: TaskKind.Expired, taskId };
}

export function endTask(task: LinkTask, fault: StatementFault, detail: string): TaskEnded {
    return { kind: TaskKind.Ended, task, reply: undefined, fault, detail, pinned: false };
}

/** Error text of a draining instance; a caller that reconnects reaches another instance. */
export const stoppingText = "the instance stops; not run, connect again";

/** Builds an error text with the delay after which the caller may retry. */
export function retryText(text: string, afterMs: number): string {
    return `${text}; not run, retry after ${Math.max(1, Math.ceil(afterMs))} ms`;
}

/** Whether the success of a task tells its caller that a commit is kept. */
export function isCommit({ mode, writes, statement }: LinkTask): boolean {
    const ends = mode === TaskMode.Single
        || mode === TaskMode.Transaction && statement?.kind === SessionStatementKind.Commit;
    return writes && ends;
}
