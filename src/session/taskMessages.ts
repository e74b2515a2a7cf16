/** Messages between the filters of the session pipe. */
import type { LinkReply } from "../model/linkMessages.ts";
import type { Position } from "../model/position.ts";
import type { SessionContext, SessionStatement, StatementFault } from "../model/sessionStatement.ts";
import type { RoutePolicy } from "../model/trafficPolicy.ts";
import type { Message } from "../pipeline/message.ts";
import type { FloorSample } from "./floorSamples.ts";

export const TaskKind = {
    Submitted: "task.submitted",
    Admitted: "task.admitted",
    Placed: "task.placed",
    Continued: "task.continued",
    /** The session is gone, or its transaction is given up. */
    Abandoned: "task.abandoned",
    /** The same three for tasks of other instances, which are not routed here. */
    PassedPlaced: "task.passed_placed",
    PassedContinued: "task.passed_continued",
    PassedAbandoned: "task.passed_abandoned",
    /** The instance ends before the task's own deadline; the task is to end with what is certain about it. */
    Expired: "task.expired",
    /** An instance that stops has no session of its own left. */
    SessionsEnded: "task.sessions_ended",
    /** Open transactions of other instances have had their time, because the instance stops. */
    PassedLimitDue: "task.passed_limit_due",
    /** The time for answers is up, because the instance stops. */
    DrainDue: "task.drain_due",
    Attempted: "task.attempted",
    /** Reads wait for a position of the primary, or will soon. */
    FloorWanted: "task.floor_wanted",
    /** This instance is to ask the primary itself. */
    FloorProbeWanted: "task.floor_probe_wanted",
    /** This instance knows no primary to ask. */
    FloorProbeFailed: "task.floor_probe_failed",
    /** The answer to a wanted floor. */
    FloorLearned: "task.floor_learned",
    FloorDue: "task.floor_due",
    Ended: "task.ended",
    /** This instance became the holder of the links of a database, or ceased to be. */
    HolderChanged: "task.holder_changed",
    AdmissionDue: "task.admission_due",
    PlacementDue: "task.placement_due",
    AttemptDue: "task.attempt_due",
    LinkDue: "task.link_due",
    IdleDue: "task.idle_due",
    ForwardDue: "task.forward_due",
} as const;

export const TaskMode = {
    /** A statement outside a transaction. */
    Single: "single",
    /** The first statement of a transaction that may write. */
    Transaction: "transaction",
    /** The first statement of a transaction that only reads. */
    ReadTransaction: "read_transaction",
    /** Asks the primary for its position; no caller waits for it alone. */
    Probe: "probe",
} as const;
export type TaskMode = typeof TaskMode[keyof typeof TaskMode];

/** What a link needs to know of a statement. */
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
    /** It writes or ends a transaction that may have written. */
    readonly writes: boolean;
    /** Only the database that leads may run it. */
    readonly needsPrimary: boolean;
    readonly context: SessionContext;
    /** End of the statement's time. */
    readonly deadlineMs: number;
}

/** A statement that needs a database, with everything that decides where it may run. */
export interface Task extends LinkTask {
    readonly route: RoutePolicy;
    /** Position of the session's last commit in this service. */
    readonly sessionFloor: Position | undefined;
    readonly receivedMs: number;
}

export interface TaskSubmitted extends Message {
    readonly kind: typeof TaskKind.Submitted;
    readonly task: Task;
}

/** Counted against the rate of its workspace. */
export interface TaskAdmitted extends Message {
    readonly kind: typeof TaskKind.Admitted;
    readonly task: Task;
}

/** To be tried at one database. */
export interface TaskPlaced extends Message {
    readonly kind: typeof TaskKind.Placed | typeof TaskKind.PassedPlaced;
    readonly task: LinkTask;
    readonly databaseId: string;
    /** The log must hold this position; undefined for what only the primary runs. */
    readonly floor: Position | undefined;
    /** End of this attempt. */
    readonly attemptDeadlineMs: number;
}

/** A further statement of a transaction; it runs on the link of the session. */
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
    /** The instance whose links the attempt used; undefined for this one. */
    readonly address: string | undefined;
    /** Undefined when the link was lost, or the time of the attempt ran out. */
    readonly reply: LinkReply | undefined;
    /** Set without a reply when the database refused to open the link. */
    readonly fault: StatementFault | undefined;
    /** The statement was sent, or may have been. */
    readonly sent: boolean;
    /** The instance that holds the links did not answer, which says nothing about the database. */
    readonly holderUnavailable: boolean;
    /** Time at which the first command of the attempt was sent; undefined when none was. */
    readonly sentMs: number | undefined;
    /** The database proved after `sentMs` that it leads. */
    readonly leads: boolean;
    /** The transaction goes on, on the same link. */
    readonly pinned: boolean;
}

export interface FloorWanted extends Message {
    readonly kind: typeof TaskKind.FloorWanted | typeof TaskKind.FloorProbeWanted;
    readonly service: string;
    /** Of the caller who waits; named to the database if a link has to be opened. */
    readonly workspace: string;
    /** An older proof is of no use. */
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

export interface HolderChanged extends Message {
    readonly kind: typeof TaskKind.HolderChanged;
    readonly databaseId: string;
    readonly isHolder: boolean;
}

/** The result of a task for its session. */
export interface TaskEnded extends Message {
    readonly kind: typeof TaskKind.Ended;
    readonly task: LinkTask;
    readonly reply: LinkReply | undefined;
    /** Undefined after success. */
    readonly fault: StatementFault | undefined;
    readonly detail: string;
    readonly pinned: boolean;
}

/** A timer for one task, link or workspace. */
export interface TaskTimer extends Message {
    readonly kind:
        | typeof TaskKind.AdmissionDue
        | typeof TaskKind.PlacementDue
        | typeof TaskKind.AttemptDue
        | typeof TaskKind.LinkDue
        | typeof TaskKind.IdleDue
        | typeof TaskKind.ForwardDue
        | typeof TaskKind.FloorDue;
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

/** Tells a caller of a stopping instance what to do; another instance takes it at once. */
export const stoppingText = "the instance stops; not run, connect again";

/** Names the time after which a caller may come back, in the text of a fault. */
export function retryText(text: string, afterMs: number): string {
    return `${text}; not run, retry after ${Math.max(1, Math.ceil(afterMs))} ms`;
}
