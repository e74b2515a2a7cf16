/** Admits operations to the routing filter within the permits that this instance has for each workspace. */
import { match } from "ts-pattern";
import { type ExplanationAsked, type ExplanationEnded, ExplanationKind } from "../model/explanation.ts";
import {
    FleetKind,
    type PermitsGranted,
    type PermitsNeeded,
    type PolicyApplied,
    type RateLeaderSilent,
} from "../model/fleetMessages.ts";
import { fallbackLimitMs } from "../model/rateLimits.ts";
import { StatementFault, TaskMode } from "../model/sessionStatement.ts";
import { emptyTrafficPolicy, type TrafficPolicy } from "../model/trafficPolicy.ts";
import { setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import type { SeededRandom } from "../pipeline/seededRandom.ts";
import { ReturnTimes } from "../scheduling/returnTimes.ts";
import { explainRate, explainUnlimited } from "./explainAdmission.ts";
import { LocalPermits } from "./localPermits.ts";
import {
    endTask,
    retryText,
    stoppingText,
    type Task,
    type TaskAbandoned,
    type TaskExpired,
    TaskKind,
    type TaskSubmitted,
    type TaskTimer,
    taskTimer,
} from "./taskMessages.ts";

/**
 * Share of a route's target latency for which an operation may wait for a permit. It covers one round trip to the
 * leader; a caller above its rate is better refused at once.
 */
const maximumWaitShare = 0.25;

/**
 * The same until the leader has answered for the workspace since the operation arrived, unless it is silent. After a
 * start, or when the leader is busy, the answer takes a few hundred milliseconds, and a refused caller would retry later.
 */
const maximumWaitShareBeforeAnswer = 0.6;

/** Maximum of queued operations per workspace; bounds the memory that a caller above its rate uses. */
const maximumQueued = 64;

/**
 * Upper bound of the retry delay sent to callers: about the time in which a failed leader is replaced. Without a leader
 * the next permit at the fallback rate may be far away.
 */
const maximumRetryMs = 1_000;

/** Retry delay sent to callers while the answer of a leader that is not silent is due: it arrives within this time. */
const unansweredRetryMs = 200;

type AdmissionInput =
    | TaskSubmitted
    | TaskAbandoned
    | TaskExpired
    | TaskTimer
    | PermitsGranted
    | RateLeaderSilent
    | PolicyApplied
    | ExplanationAsked;

interface WaitingOperation {
    readonly task: Task;
    readonly queuedMs: number;
}

/** The part of an operation on which the time depends for which it may wait. */
interface OperationTimes {
    readonly task: Pick<Task, "receivedMs" | "deadlineMs" | "route">;
    readonly queuedMs: number;
}

interface WorkspaceQueue {
    readonly workspace: string;
    readonly permits: LocalPermits;
    /** Sorted by priority of the route, then by arrival. */
    waiting: WaitingOperation[];
    /** Time of the last answer of a leader for this workspace. */
    answeredMs: number;
    readonly returnTimes: ReturnTimes;
}

export interface AdmissionOptions {
    readonly random: SeededRandom;
}

export class Admission implements Filter<AdmissionInput, Message> {
    readonly step = "admission";
    readonly accepts = [
        TaskKind.Submitted,
        TaskKind.Abandoned,
        TaskKind.Expired,
        TaskKind.AdmissionDue,
        FleetKind.PermitsGranted,
        FleetKind.RateLeaderSilent,
        FleetKind.PolicyApplied,
        ExplanationKind.Asked,
    ];
    private readonly random: SeededRandom;
    private readonly queues = new Map<string, WorkspaceQueue>();
    private policy: TrafficPolicy = emptyTrafficPolicy;
    /** Time of the last answer of a leader; undefined before the first one. */
    private leaderAnsweredMs: number | undefined;
    private isFallbackActive = false;

    constructor({ random }: AdmissionOptions) {
        this.random = random;
    }

    process(message: AdmissionInput, nowMs: number): readonly Message[] {
        return match<AdmissionInput, readonly Message[]>(message)
            .with({ kind: TaskKind.Submitted }, ({ task }) => this.submit(task, nowMs))
            .with({ kind: TaskKind.Abandoned }, input => {
                this.removeTask(input.taskId);
                return [input];
            })
            .with({ kind: TaskKind.Expired }, input => {
                const task = this.removeTask(input.taskId);
                return task === undefined ? [input] : [endTask(task, StatementFault.Busy, stoppingText)];
            })
            .with({ kind: FleetKind.PermitsGranted }, input => this.applyGrants(input, nowMs))
            .with({ kind: FleetKind.RateLeaderSilent }, () => this.startFallback(nowMs))
            .with({ kind: FleetKind.PolicyApplied }, input => {
                this.applyPolicy(input.policy, nowMs);
                return [input];
            })
            .with({ kind: ExplanationKind.Asked }, input => [this.explain(input, nowMs)])
            .otherwise(timer => this.serveWorkspace((timer as TaskTimer).id, nowMs));
    }

    private submit(task: Task, nowMs: number): readonly Message[] {
        // Callers without a workspace have no rate limit, and a probe is not an operation of a caller.
        if (task.workspace === "" || task.mode === TaskMode.Probe) {
            return [admit(task)];
        }
        const queue = this.queueOf(task.workspace, nowMs);
        queue.permits.recordDemand(nowMs);
        enqueue(queue, { task, queuedMs: nowMs });
        const surplus = queue.waiting.length > maximumQueued
            ? [this.refuse(queue.waiting.pop()!.task, queue, nowMs)]
            : [];
        return [...surplus, ...this.serveQueue(queue, nowMs)];
    }

    private serveWorkspace(workspace: string, nowMs: number): readonly Message[] {
        const queue = this.queues.get(workspace);
        return queue === undefined ? [] : this.serveQueue(queue, nowMs);
    }

    /** Admits operations with a permit, refuses those that cannot get one in time, and reports the missing permits. */
    private serveQueue(queue: WorkspaceQueue, nowMs: number): readonly Message[] {
        if (this.isFallbackOver(nowMs)) {
            queue.permits.endFallback(nowMs);
        }
        const messages: Message[] = [];
        while (queue.waiting.length > 0 && queue.permits.tryAcquire(nowMs)) {
            messages.push(admit(queue.waiting.shift()!.task));
        }
        const atMs = this.nextGrantAtMs(queue, nowMs);
        const expired = queue.waiting.filter(operation => atMs >= this.latestStartMs(queue, operation, nowMs));
        queue.waiting = queue.waiting.filter(operation => !expired.includes(operation));
        messages.push(
            ...expired.map(({ task }) => this.refuse(task, queue, nowMs)),
            this.permitsNeeded(queue, nowMs),
        );
        return queue.waiting.length === 0 ? messages : [...messages, this.setTimer(queue, nowMs)];
    }

    private applyGrants({ grants, validUntilMs }: PermitsGranted, nowMs: number): readonly Message[] {
        this.leaderAnsweredMs = nowMs;
        if (this.isFallbackActive) {
            this.isFallbackActive = false;
            this.queues.forEach(({ permits }) => permits.endFallback(nowMs));
        }
        return grants.filter(({ workspace }) => this.queues.has(workspace) || this.policy.workspaces.has(workspace))
            .flatMap(grant => {
                const queue = this.queueOf(grant.workspace, nowMs);
                queue.permits.addGrant(grant, validUntilMs, nowMs);
                queue.answeredMs = nowMs;
                return this.serveQueue(queue, nowMs);
            });
    }

    private startFallback(nowMs: number): readonly Message[] {
        this.isFallbackActive = true;
        this.queues.forEach(queue => this.startQueueFallback(queue, nowMs));
        return [...this.queues.values()].filter(({ waiting }) => waiting.length > 0)
            .flatMap(queue => this.serveQueue(queue, nowMs));
    }

    private startQueueFallback({ workspace, permits }: WorkspaceQueue, nowMs: number): void {
        const ratePerSecond = this.policy.workspaces.get(workspace)?.ratePerSecond ?? 0;
        permits.startFallback(ratePerSecond, this.random.nextFloat(), nowMs);
    }

    private applyPolicy(policy: TrafficPolicy, nowMs: number): void {
        this.policy = policy;
        for (const [name, queue] of this.queues) {
            if (!policy.workspaces.has(name) && queue.waiting.length === 0) {
                this.queues.delete(name);
            }
            else if (this.isFallbackActive) {
                queue.permits.endFallback(nowMs);
                this.startQueueFallback(queue, nowMs);
            }
        }
    }

    private isFallbackOver(nowMs: number): boolean {
        return this.isFallbackActive && nowMs - (this.leaderAnsweredMs ?? -Infinity) >= fallbackLimitMs;
    }

    /** Time from which the leader may grant a permit; now without a leader. */
    private nextGrantAtMs({ permits }: WorkspaceQueue, nowMs: number): number {
        return this.isFallbackActive ? nowMs : Math.max(nowMs, permits.earliestRequestMs);
    }

    private explain(asked: ExplanationAsked, nowMs: number): ExplanationAsked | ExplanationEnded {
        const { request: { workspace } } = asked;
        const route = asked.route!;
        if (workspace === "") {
            return explainUnlimited(asked);
        }
        const queue = this.queues.get(workspace) ?? newQueue(workspace, this.random);
        const { permits, waiting } = queue;
        const ahead = waiting.filter(({ task }) => task.route.priority <= route.priority).length;
        const task = { route, receivedMs: nowMs, deadlineMs: nowMs + route.statementLimitMs };
        const tokens = this.isFallbackOver(nowMs) ? 0 : permits.fallbackTokens(nowMs);
        return explainRate(asked, {
            ratePerSecond: this.policy.workspaces.get(workspace)?.ratePerSecond ?? 0,
            permits: permits.heldPermits(nowMs),
            fallbackTokens: this.isFallbackActive ? tokens : undefined,
            waiting: waiting.length,
            ahead,
            isFull: waiting.length >= maximumQueued && ahead === waiting.length,
            waitLimitMs: this.latestStartMs(queue, { task, queuedMs: nowMs }, nowMs) - nowMs,
            nextGrantMs: this.nextGrantAtMs(queue, nowMs) - nowMs,
            retryAfterMs: this.retryMs(queue, nowMs),
        });
    }

    private queueOf(workspace: string, nowMs: number): WorkspaceQueue {
        const existing = this.queues.get(workspace);
        if (existing !== undefined) {
            return existing;
        }
        const queue = newQueue(workspace, this.random);
        this.queues.set(workspace, queue);
        if (this.isFallbackActive) {
            this.startQueueFallback(queue, nowMs);
        }
        return queue;
    }

    /** Returns the task if it was waiting for a permit. */
    private removeTask(taskId: string | undefined): Task | undefined {
        for (const queue of this.queues.values()) {
            const removed = queue.waiting.find(({ task }) => task.taskId === taskId);
            if (removed !== undefined) {
                queue.waiting = queue.waiting.filter(operation => operation !== removed);
                return removed.task;
            }
        }
        return undefined;
    }

    private permitsNeeded({ workspace, permits, waiting }: WorkspaceQueue, nowMs: number): PermitsNeeded {
        const mayRequest = nowMs >= permits.earliestRequestMs;
        return {
            kind: FleetKind.PermitsNeeded,
            workspace,
            waiting: mayRequest ? waiting.length : 0,
            // The answer to a request that only prefetches has no retry time and would end the one of the last answer.
            prefetch: mayRequest ? permits.prefetchCount(nowMs) : 0,
            held: permits.heldPermits(nowMs),
            fallbackUsed: permits.fallbackUsed,
        };
    }

    private refuse(task: Task, queue: WorkspaceQueue, nowMs: number): Message {
        // All instances together get permits at the rate of the workspace; this one cannot get them faster.
        const ratePerSecond = this.policy.workspaces.get(queue.workspace)?.ratePerSecond ?? 0;
        const intervalMs = 1_000 / Math.max(1, ratePerSecond);
        const retryMs = queue.returnTimes.nextAfterMs(this.retryMs(queue, nowMs), intervalMs, nowMs);
        return endTask(task, StatementFault.Busy, retryText("the rate of the workspace is used up", retryMs));
    }

    /** Time until an operation that is refused now may get a permit. */
    private retryMs({ permits }: WorkspaceQueue, nowMs: number): number {
        const waitMs = permits.waitMs(nowMs);
        if (waitMs > 0) {
            return Math.min(waitMs, maximumRetryMs);
        }
        return this.isFallbackActive || this.leaderAnsweredMs === undefined ? maximumRetryMs : unansweredRetryMs;
    }

    /** Time at which an operation that still waits for a permit is refused. */
    private latestStartMs(queue: WorkspaceQueue, { task, queuedMs }: OperationTimes, nowMs: number): number {
        const { receivedMs, deadlineMs, route } = task;
        const isAnswerDue = !this.isFallbackActive && queue.answeredMs < queuedMs
            && queue.permits.earliestRequestMs <= nowMs;
        const share = isAnswerDue || this.leaderAnsweredMs === undefined
            ? maximumWaitShareBeforeAnswer
            : maximumWaitShare;
        return Math.min(deadlineMs, receivedMs + share * route.targetLatencyMs);
    }

    private setTimer(queue: WorkspaceQueue, nowMs: number): Message {
        const waitMs = queue.permits.waitMs(nowMs);
        const times = queue.waiting.map(operation => this.latestStartMs(queue, operation, nowMs));
        const atMs = Math.min(...times, ...waitMs > 0 ? [nowMs + waitMs] : []);
        return setDeadline(
            `admission/${queue.workspace}`,
            atMs,
            taskTimer(TaskKind.AdmissionDue, queue.workspace),
        );
    }
}

function newQueue(workspace: string, random: SeededRandom): WorkspaceQueue {
    return {
        workspace,
        permits: new LocalPermits(),
        waiting: [],
        answeredMs: -Infinity,
        returnTimes: new ReturnTimes(random),
    };
}

function enqueue(queue: WorkspaceQueue, operation: WaitingOperation): void {
    const { priority } = operation.task.route;
    const index = queue.waiting.findIndex(({ task }) => task.route.priority > priority);
    queue.waiting.splice(index === -1 ? queue.waiting.length : index, 0, operation);
}

function admit(task: Task): Message {
    return { kind: TaskKind.Admitted, task } as Message;
}
