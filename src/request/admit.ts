/**
 * Fourth step of the request pipe: enforces the rate of each workspace. Every statement that a database runs needs a
 * permit. The permit home, an instance that holds the lease for a workspace in a data centre, grants permits to the
 * entry instances; a statement without a permit waits until shortly before its deadline at most.
 */
import { match } from "ts-pattern";
import { ClusterKind, type ConfigurationApplied } from "../model/clusterMessages.ts";
import { clockDriftFraction, type LeaseAssignment, ResourceKind } from "../model/lease.ts";
import {
    type PermitForward,
    type PermitGranted,
    PermitKind,
    type PermitRequest,
    permitValidityMs,
} from "../model/permitMessages.ts";
import { parsePermitResourceId } from "../model/permitResource.ts";
import { type Refusal, RefusalCode, refuse } from "../model/refusal.ts";
import { StatementKind } from "../model/statement.ts";
import { clearDeadline, type DeadlineMessage, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { WorkspaceQueue } from "./workspaceQueue.ts";

export const AdmitKind = {
    Classified: "request.classified",
    SessionEnded: "request.session_ended",
    Admitted: "request.admitted",
    Refused: "request.refused",
    /** Timer: a statement has waited for a permit as long as it may. */
    DeadlinePassed: "admit.deadline_passed",
    /** Timer: permits may be requested again. */
    PermitRequestDue: "admit.ask_due",
} as const;

/** The fields of a classified statement that this filter reads; all other fields pass through unchanged. */
export interface ClassifiedStatement extends Message {
    readonly kind: typeof AdmitKind.Classified;
    readonly connectionId: number;
    readonly sequence: number;
    readonly workspace: string;
    /** Deadline, in local monotonic time, for sending the statement to a database. */
    readonly deadlineMs: number;
    readonly statementKind: StatementKind;
    readonly inTransaction: boolean;
}

export type AdmittedStatement<Statement extends ClassifiedStatement> = Omit<Statement, "kind"> & {
    readonly kind: typeof AdmitKind.Admitted;
};

export interface RefusedStatement extends Message {
    readonly kind: typeof AdmitKind.Refused;
    readonly connectionId: number;
    readonly sequence: number;
    readonly refusal: Refusal;
    readonly request: ClassifiedStatement;
}

export interface SessionEnded extends Message {
    readonly kind: typeof AdmitKind.SessionEnded;
    readonly connectionId: number;
    /** Answer to a statement that waits. */
    readonly refusal?: Refusal;
}

interface DeadlinePassed extends Message {
    readonly kind: typeof AdmitKind.DeadlinePassed;
    readonly connectionId: number;
    readonly sequence: number;
}

interface PermitRequestDue extends Message {
    readonly kind: typeof AdmitKind.PermitRequestDue;
    readonly workspace: string;
}

type Input =
    | ClassifiedStatement
    | SessionEnded
    | PermitGranted
    | ConfigurationApplied
    | DeadlinePassed
    | PermitRequestDue;

export interface AdmitOptions {
    readonly instanceId: string;
    readonly dataCentre: string;
    /** Unique per start of the process, so that answers to requests of the previous process are recognized. */
    readonly incarnation: string;
}

/** Permits are used for less than their validity, so that a slow local clock does not extend it. */
const usableDurationMs = permitValidityMs * (1 - clockDriftFraction);

/** Delay before the next request after one that the permit home did not answer. */
const unansweredRetryDelayMs = 25;

/**
 * Share of its waiting time that a statement may wait for a permit. A permit granted later is wasted, because the
 * statement does not get a slot of a database in time: without this reserve, a workspace at 5 times its rate had 41% of
 * its statements within the rate refused.
 */
const maximumPermitWaitShare = 0.9;

export class AdmitFilter<Statement extends ClassifiedStatement = ClassifiedStatement>
    implements Filter<Input, Message> {
    readonly step = "admit";
    readonly accepts = [
        AdmitKind.Classified,
        AdmitKind.SessionEnded,
        PermitKind.Granted,
        ClusterKind.ConfigurationApplied,
        AdmitKind.DeadlinePassed,
        AdmitKind.PermitRequestDue,
    ];
    private readonly options: AdmitOptions;
    private readonly queues = new Map<string, WorkspaceQueue<Statement>>();
    /** Workspace of each connection with a waiting statement. */
    private readonly workspaceByConnection = new Map<number, string>();
    private permitHomes = new Map<string, LeaseAssignment>();
    private nextRequestNumber = 0;

    constructor(options: AdmitOptions) {
        this.options = options;
    }

    process(message: Input, nowMs: number): readonly Message[] {
        return match(message)
            .with({ kind: AdmitKind.Classified }, statement => this.enqueue(statement as Statement, nowMs))
            .with({ kind: PermitKind.Granted }, granted => this.receivePermits(granted, nowMs))
            .with({ kind: AdmitKind.PermitRequestDue }, due => this.admitWaiting(due.workspace, nowMs))
            .with({ kind: AdmitKind.DeadlinePassed }, passed => this.refuseExpired(passed))
            .with({ kind: AdmitKind.SessionEnded }, ended => [ended, ...this.endSession(ended)])
            .with({ kind: ClusterKind.ConfigurationApplied }, applied => this.applyConfiguration(applied, nowMs))
            .exhaustive();
    }

    private enqueue(statement: Statement, nowMs: number): readonly Message[] {
        if (statement.statementKind === StatementKind.Local) {
            // No database runs the statement, so it does not count towards the rate of the workspace.
            return this.admit(statement);
        }
        const queue = this.getOrCreateQueue(statement.workspace);
        queue.recordArrival(nowMs);
        queue.add(statement);
        this.workspaceByConnection.set(statement.connectionId, statement.workspace);
        const outputs = this.admitWaiting(statement.workspace, nowMs);
        return this.workspaceByConnection.has(statement.connectionId)
            ? [...outputs, ...this.setWaitDeadline(statement, nowMs)]
            : outputs;
    }

    // COMMIT and ROLLBACK release a slot and locks. Refusing one would hold them longer than letting it wait does.
    private setWaitDeadline(statement: Statement, nowMs: number): readonly DeadlineMessage[] {
        const { connectionId, sequence, statementKind } = statement;
        if (statementKind === StatementKind.Commit || statementKind === StatementKind.Rollback) {
            return [];
        }
        const passed: DeadlinePassed = { kind: AdmitKind.DeadlinePassed, connectionId, sequence };
        const waitMs = (statement.deadlineMs - nowMs) * maximumPermitWaitShare;
        return [setDeadline(deadlineKey(connectionId), nowMs + waitMs, passed)];
    }

    private receivePermits(granted: PermitGranted, nowMs: number): readonly Message[] {
        const queue = this.queues.get(granted.workspace);
        if (queue?.inFlightRequest?.requestId !== granted.requestId) {
            return [];
        }
        const { sentMs } = queue.inFlightRequest;
        queue.inFlightRequest = undefined;
        queue.shortageRetryAfterMs = granted.answered ? granted.retryAfterMs : 0;
        if (granted.granted > 0) {
            queue.settledRequestId = granted.requestId;
            queue.permitBatches.push({ count: granted.granted, validUntilMs: sentMs + usableDurationMs });
        }
        queue.nextRequestAtMs = nowMs + (granted.answered ? granted.retryAfterMs : unansweredRetryDelayMs);
        return this.admitWaiting(granted.workspace, nowMs);
    }

    /** Admits as many waiting statements as there are permits, and requests more permits when they run low. */
    private admitWaiting(workspace: string, nowMs: number): readonly Message[] {
        const queue = this.queues.get(workspace);
        if (queue === undefined) {
            return [];
        }
        const admitted = queue.dequeueAdmissible(nowMs).flatMap(statement => this.admit(statement));
        return [...admitted, ...this.requestPermits(workspace, queue, nowMs)];
    }

    private admit(statement: Statement): readonly Message[] {
        this.workspaceByConnection.delete(statement.connectionId);
        const admitted: AdmittedStatement<Statement> = { ...statement, kind: AdmitKind.Admitted };
        return [clearDeadline(deadlineKey(statement.connectionId)), admitted];
    }

    private requestPermits(workspace: string, queue: WorkspaceQueue<Statement>, nowMs: number): readonly Message[] {
        const held = queue.countValidPermits(nowMs);
        const expected = queue.expectedArrivals(nowMs);
        const needsMore = queue.waitingCount > 0 || held < expected / 2;
        const permitHome = this.permitHomes.get(workspace);
        if (!needsMore || permitHome === undefined) {
            return [];
        }
        const blockedUntilMs = queue.inFlightRequest === undefined
            ? queue.nextRequestAtMs
            : queue.inFlightRequest.sentMs + permitValidityMs;
        if (nowMs < blockedUntilMs) {
            return queue.waitingCount > 0 && queue.requestTimerAtMs !== blockedUntilMs
                ? [setRequestTimer(workspace, queue, blockedUntilMs)]
                : [];
        }
        if (queue.inFlightRequest !== undefined) {
            queue.shortageRetryAfterMs = 0;
        }
        const requestId = `${this.options.incarnation}-${this.nextRequestNumber++}`;
        queue.inFlightRequest = { requestId, sentMs: nowMs };
        const wanted = queue.waitingCount + Math.max(0, expected - held);
        const body = {
            requestId,
            instanceId: this.options.instanceId,
            workspace,
            wanted,
            returned: queue.expiredPermits,
            settledRequestId: queue.settledRequestId,
            held,
            sentMs: nowMs,
        };
        queue.expiredPermits = 0;
        return [
            buildPermitRequest(body, permitHome, this.options.instanceId),
            setRequestTimer(workspace, queue, nowMs + permitValidityMs),
        ];
    }

    private refuseExpired(passed: DeadlinePassed): readonly Message[] {
        const workspace = this.workspaceByConnection.get(passed.connectionId);
        const queue = workspace === undefined ? undefined : this.queues.get(workspace);
        const request = queue?.get(passed.connectionId);
        if (queue === undefined || request === undefined) {
            return [];
        }
        this.removeWaiting(passed.connectionId);
        const isRateLimited = queue.shortageRetryAfterMs > 0;
        const refusal = isRateLimited
            ? refuse(RefusalCode.RateExceeded, this.step, { retryAfterMs: queue.shortageRetryAfterMs })
            : refuse(RefusalCode.WaitExceeded, this.step, { detail: "no answer from the permit home" });
        const { connectionId, sequence } = passed;
        const refused: RefusedStatement = { kind: AdmitKind.Refused, connectionId, sequence, refusal, request };
        return [refused];
    }

    private endSession({ connectionId, refusal }: SessionEnded): readonly Message[] {
        const workspace = this.workspaceByConnection.get(connectionId);
        const request = workspace === undefined ? undefined : this.queues.get(workspace)?.get(connectionId);
        const removed = this.removeWaiting(connectionId);
        if (request === undefined || refusal === undefined) {
            return removed;
        }
        const { sequence } = request;
        const refused: RefusedStatement = { kind: AdmitKind.Refused, connectionId, sequence, refusal, request };
        return [...removed, refused];
    }

    private removeWaiting(connectionId: number): readonly DeadlineMessage[] {
        const workspace = this.workspaceByConnection.get(connectionId);
        if (workspace === undefined) {
            return [];
        }
        this.workspaceByConnection.delete(connectionId);
        this.queues.get(workspace)?.remove(connectionId);
        return [clearDeadline(deadlineKey(connectionId))];
    }

    private applyConfiguration(applied: ConfigurationApplied, nowMs: number): readonly Message[] {
        const { leases, workspaces } = applied.configuration;
        this.permitHomes = new Map(
            leases.filter(lease => lease.resource === ResourceKind.Permits)
                .map(lease => ({ lease, ...parsePermitResourceId(lease.resourceId) }))
                .filter(({ dataCentre }) => dataCentre === this.options.dataCentre)
                .map(({ lease, workspace }) => [workspace, lease]),
        );
        const known = new Set(workspaces.map(workspace => workspace.name));
        const outputs: Message[] = [applied];
        for (const [workspace, queue] of this.queues) {
            if (queue.waitingCount > 0) {
                outputs.push(...this.admitWaiting(workspace, nowMs));
            }
            else if (!known.has(workspace)) {
                this.queues.delete(workspace);
            }
        }
        return outputs;
    }

    private getOrCreateQueue(workspace: string): WorkspaceQueue<Statement> {
        let queue = this.queues.get(workspace);
        if (queue === undefined) {
            queue = new WorkspaceQueue();
            this.queues.set(workspace, queue);
        }
        return queue;
    }
}

function buildPermitRequest(
    body: Omit<PermitRequest, "kind" | "origin">,
    permitHome: LeaseAssignment,
    instanceId: string,
): PermitRequest | PermitForward {
    return permitHome.instanceId === instanceId
        ? { kind: PermitKind.Request, origin: "", ...body }
        : { kind: PermitKind.Forward, homeAddress: permitHome.instanceAddress, ...body };
}

function setRequestTimer(workspace: string, queue: { requestTimerAtMs: number; }, atMs: number): DeadlineMessage {
    queue.requestTimerAtMs = atMs;
    const due: PermitRequestDue = { kind: AdmitKind.PermitRequestDue, workspace };
    return setDeadline(`admit.ask/${workspace}`, atMs, due);
}

function deadlineKey(connectionId: number): string {
    return `admit/${connectionId}`;
}
