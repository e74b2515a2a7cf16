/** Counts operations against the permits that this instance has for each workspace. */
import { match } from "ts-pattern";
import {
    FleetKind,
    type PermitsGranted,
    type PermitsNeeded,
    type PolicyApplied,
    type RateLeaderSilent,
} from "../model/fleetMessages.ts";
import { fallbackLimitMs } from "../model/rateLimits.ts";
import { StatementFault } from "../model/sessionStatement.ts";
import { emptyTrafficPolicy, type TrafficPolicy } from "../model/trafficPolicy.ts";
import { setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import type { SeededRandom } from "../pipeline/seededRandom.ts";
import { PermitLane } from "./permitLane.ts";
import {
    endTask,
    retryText,
    type Task,
    type TaskAbandoned,
    TaskKind,
    TaskMode,
    type TaskSubmitted,
    type TaskTimer,
    taskTimer,
} from "./taskMessages.ts";

/**
 * Part of a route's target latency that an operation may wait for a permit. It covers a question to the leader; a caller
 * that is beyond its rate is better told at once.
 */
const waitShare = 0.25;

/**
 * The same before the first answer of a leader. After a start it takes a few hundred milliseconds, and a caller that is
 * refused meanwhile comes back later than that.
 */
const waitShareBeforeAnswer = 0.6;

/** Operations of one workspace that may wait; bounds the memory that a caller beyond its rate takes. */
const maximumWaiting = 64;

/**
 * Longest advice to a caller: about the time in which a leader is replaced. Without a leader the next operation at the
 * fallback rate may be far away.
 */
const longestRetryMs = 1_000;

type AdmissionInput =
    | TaskSubmitted
    | TaskAbandoned
    | TaskTimer
    | PermitsGranted
    | RateLeaderSilent
    | PolicyApplied;

interface Lane {
    readonly workspace: string;
    readonly permits: PermitLane;
    /** The most urgent routes first, and in order of arrival among them. */
    waiting: Task[];
}

export interface AdmissionOptions {
    readonly random: SeededRandom;
}

export class Admission implements Filter<AdmissionInput, Message> {
    readonly step = "admission";
    readonly accepts = [
        TaskKind.Submitted,
        TaskKind.Abandoned,
        TaskKind.AdmissionDue,
        FleetKind.PermitsGranted,
        FleetKind.RateLeaderSilent,
        FleetKind.PolicyApplied,
    ];
    private readonly random: SeededRandom;
    private readonly lanes = new Map<string, Lane>();
    private policy: TrafficPolicy = emptyTrafficPolicy;
    /** Time of the last answer of a leader. */
    private answeredMs: number | undefined;
    private isFallback = false;

    constructor({ random }: AdmissionOptions) {
        this.random = random;
    }

    process(message: AdmissionInput, nowMs: number): readonly Message[] {
        return match<AdmissionInput, readonly Message[]>(message)
            .with({ kind: TaskKind.Submitted }, ({ task }) => this.submit(task, nowMs))
            .with({ kind: TaskKind.Abandoned }, found => {
                this.forget(found);
                return [found];
            })
            .with({ kind: FleetKind.PermitsGranted }, found => this.applyGrants(found, nowMs))
            .with({ kind: FleetKind.RateLeaderSilent }, () => this.startFallback(nowMs))
            .with({ kind: FleetKind.PolicyApplied }, found => {
                this.applyPolicy(found.policy, nowMs);
                return [found];
            })
            .otherwise(timer => this.release((timer as TaskTimer).id, nowMs));
    }

    private submit(task: Task, nowMs: number): readonly Message[] {
        // Callers without a workspace have no rate, and a probe is no operation of a caller.
        if (task.workspace === "" || task.mode === TaskMode.Probe) {
            return [admit(task)];
        }
        const lane = this.laneOf(task.workspace, nowMs);
        lane.permits.noteDemand(nowMs);
        enqueue(lane, task);
        const surplus = lane.waiting.length > maximumWaiting
            ? [refuse(lane.waiting.pop()!, this.retryMs(lane, nowMs))]
            : [];
        return [...surplus, ...this.serve(lane, nowMs)];
    }

    private release(workspace: string, nowMs: number): readonly Message[] {
        const lane = this.lanes.get(workspace);
        return lane === undefined ? [] : this.serve(lane, nowMs);
    }

    /** Admits what has a permit, refuses what cannot have one in time, and says what is lacking. */
    private serve(lane: Lane, nowMs: number): readonly Message[] {
        if (this.isFallback && nowMs - (this.answeredMs ?? -Infinity) >= fallbackLimitMs) {
            lane.permits.endFallback(nowMs);
        }
        const messages: Message[] = [];
        while (lane.waiting.length > 0 && lane.permits.take(nowMs)) {
            messages.push(admit(lane.waiting.shift()!));
        }
        const atMs = this.isFallback ? nowMs : Math.max(nowMs, lane.permits.retryAtMs);
        const late = lane.waiting.filter(task => atMs >= this.latestStartMs(task));
        lane.waiting = lane.waiting.filter(task => !late.includes(task));
        const retryMs = this.retryMs(lane, nowMs);
        messages.push(...late.map(task => refuse(task, retryMs)), this.need(lane, nowMs));
        return lane.waiting.length === 0 ? messages : [...messages, this.timer(lane, nowMs)];
    }

    private applyGrants({ grants, validUntilMs }: PermitsGranted, nowMs: number): readonly Message[] {
        this.answeredMs = nowMs;
        if (this.isFallback) {
            this.isFallback = false;
            this.lanes.forEach(({ permits }) => permits.endFallback(nowMs));
        }
        return grants.filter(({ workspace }) => this.lanes.has(workspace) || this.policy.workspaces.has(workspace))
            .flatMap(grant => {
                const lane = this.laneOf(grant.workspace, nowMs);
                lane.permits.add(grant, validUntilMs, nowMs);
                return this.serve(lane, nowMs);
            });
    }

    private startFallback(nowMs: number): readonly Message[] {
        this.isFallback = true;
        this.lanes.forEach(lane => this.startLaneFallback(lane, nowMs));
        return [...this.lanes.values()].filter(({ waiting }) => waiting.length > 0)
            .flatMap(lane => this.serve(lane, nowMs));
    }

    private startLaneFallback({ workspace, permits }: Lane, nowMs: number): void {
        const ratePerSecond = this.policy.workspaces.get(workspace)?.ratePerSecond ?? 0;
        permits.startFallback(ratePerSecond, this.random.nextShare(), nowMs);
    }

    private applyPolicy(policy: TrafficPolicy, nowMs: number): void {
        this.policy = policy;
        for (const [name, lane] of this.lanes) {
            if (!policy.workspaces.has(name) && lane.waiting.length === 0) {
                this.lanes.delete(name);
            }
            else if (this.isFallback) {
                lane.permits.endFallback(nowMs);
                this.startLaneFallback(lane, nowMs);
            }
        }
    }

    private laneOf(workspace: string, nowMs: number): Lane {
        const known = this.lanes.get(workspace);
        if (known !== undefined) {
            return known;
        }
        const lane: Lane = { workspace, permits: new PermitLane(), waiting: [] };
        this.lanes.set(workspace, lane);
        if (this.isFallback) {
            this.startLaneFallback(lane, nowMs);
        }
        return lane;
    }

    private forget({ taskId }: TaskAbandoned): void {
        this.lanes.forEach(lane => {
            if (lane.waiting.some(task => task.taskId === taskId)) {
                lane.waiting = lane.waiting.filter(task => task.taskId !== taskId);
            }
        });
    }

    private need({ workspace, permits, waiting }: Lane, nowMs: number): PermitsNeeded {
        return {
            kind: FleetKind.PermitsNeeded,
            workspace,
            waiting: nowMs >= permits.retryAtMs ? waiting.length : 0,
            prefetch: permits.ahead(nowMs),
            held: permits.held(nowMs),
            fallbackUsed: permits.fallbackUsed,
        };
    }

    private retryMs({ permits }: Lane, nowMs: number): number {
        const waitMs = permits.waitMs(nowMs);
        return waitMs > 0 ? Math.min(waitMs, longestRetryMs) : longestRetryMs;
    }

    private latestStartMs({ receivedMs, deadlineMs, route }: Task): number {
        const share = this.answeredMs === undefined ? waitShareBeforeAnswer : waitShare;
        return Math.min(deadlineMs, receivedMs + share * route.targetLatencyMs);
    }

    private timer(lane: Lane, nowMs: number): Message {
        const waitMs = lane.permits.waitMs(nowMs);
        const times = lane.waiting.map(task => this.latestStartMs(task));
        const atMs = Math.min(...times, ...waitMs > 0 ? [nowMs + waitMs] : []);
        return setDeadline(
            `admission/${lane.workspace}`,
            atMs,
            taskTimer(TaskKind.AdmissionDue, lane.workspace),
        );
    }
}

function enqueue(lane: Lane, task: Task): void {
    const index = lane.waiting.findIndex(({ route }) => route.priority > task.route.priority);
    lane.waiting.splice(index === -1 ? lane.waiting.length : index, 0, task);
}

function admit(task: Task): Message {
    return { kind: TaskKind.Admitted, task } as Message;
}

function refuse(task: Task, retryMs: number): Message {
    return endTask(task, StatementFault.Busy, retryText("the rate of the workspace is used up", retryMs));
}
