/** The leader's permits for all workspaces: answers what instances ask for, from one bucket a workspace. */
import { match } from "ts-pattern";
import { ControlKind, type ControlLeaderChanged } from "../model/controlMessages.ts";
import {
    type Detached,
    type FleetFrame,
    FleetKind,
    type FleetTimer,
    type FrameReceived,
    type PermitAnswer,
    type PolicyApplied,
    type WorkspacePermitRequest,
} from "../model/fleetMessages.ts";
import { fallbackLimitMs, leaderPermitValidityMs, type RateTolerance } from "../model/rateLimits.ts";
import { emptyTrafficPolicy, type TrafficPolicy } from "../model/trafficPolicy.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { sendFrame } from "./attachments.ts";
import { accrualLimitMs, maximumRetryMs, WorkspacePermits } from "./workspacePermits.ts";

/** Silence after which an instance may be admitting at its fallback rate; it sends at least once a second. */
const silentAfterMs = 1_500;

/** How often silent instances are looked for and buckets fill; a timer that is late by as much again costs no refill. */
export const checkIntervalMs = accrualLimitMs / 2;

/**
 * Time after an instance was last heard for which its share stays set aside. Its own limit starts with its last answer, which
 * it takes for as long as a permit is valid.
 */
const reservationLimitMs = fallbackLimitMs + leaderPermitValidityMs;

/** Time in which a new leader learns the demand; until then instances keep the shares of the one before. */
const demandLearningMs = 5_000;

/** How often an instance is told its share of a workspace; shares follow the demand of tens of seconds. */
const shareIntervalMs = 1_000;

const checkKey = "fleet.permit_check";

type PermitRequestFrame = Extract<FleetFrame, { readonly kind: "want"; }>;
type LeaderInput = ControlLeaderChanged | FrameReceived | Detached | PolicyApplied | FleetTimer;

interface InstanceState {
    readonly instanceId: string;
    lastRequestAtMs: number;
    /** Highest question that it knows the answer of. */
    lastAnsweredSequence: number;
    /** The last question that brought it permits, by workspace. */
    readonly lastGrantSequences: Map<string, number>;
    readonly fallbackUsed: Map<string, number>;
    /** Time at which it was last told its share, by workspace. */
    readonly shareSentAtMs: Map<string, number>;
    reservation: Reservation | undefined;
    /** Operations that were set aside since it was last heard, by workspace. */
    reservedOperations: ReadonlyMap<string, number>;
}

/** Parts of rates that are set aside for an instance while it is not heard. */
interface Reservation {
    sinceMs: number;
    readonly shares: ReadonlyMap<string, number>;
}

export interface PermitLeaderOptions {
    readonly tolerance: RateTolerance;
}

export class PermitLeader implements Filter<LeaderInput, Message> {
    readonly step = "permit_leader";
    readonly accepts = [
        ControlKind.LeaderChanged,
        FleetKind.FrameReceived,
        FleetKind.Detached,
        FleetKind.PolicyApplied,
        FleetKind.PermitCheckDue,
    ];
    private readonly tolerance: RateTolerance;
    private readonly workspaces = new Map<string, WorkspacePermits>();
    private readonly instances = new Map<string, InstanceState>();
    private readonly idByAttachment = new Map<string, string>();
    /** Times at which instances left this member. */
    private readonly detachedAtMs = new Map<string, number>();
    private policy: TrafficPolicy = emptyTrafficPolicy;
    private term: number | undefined;
    private leadingSinceMs = 0;
    /** Time of the last call. */
    private lastCallAtMs = 0;

    constructor({ tolerance }: PermitLeaderOptions) {
        this.tolerance = tolerance;
    }

    process(message: LeaderInput, nowMs: number): readonly Message[] {
        this.discountTimeJump(nowMs);
        return match<LeaderInput, readonly Message[]>(message)
            .with({ kind: ControlKind.LeaderChanged }, found => [found, ...this.changeLeader(found, nowMs)])
            .with({ kind: FleetKind.FrameReceived }, found => [found, ...this.receive(found, nowMs)])
            .with({ kind: FleetKind.Detached }, found => {
                this.detach(found.attachmentId, nowMs);
                return [found];
            })
            .with({ kind: FleetKind.PolicyApplied }, found => {
                this.policy = found.policy;
                this.applyRates(nowMs);
                return [found];
            })
            .otherwise(() => this.check(nowMs));
    }

    /** Time beyond what two checks may be apart was a step of the clock or a pause here, and no silence of instances. */
    private discountTimeJump(nowMs: number): void {
        const jumpMs = nowMs - this.lastCallAtMs - accrualLimitMs;
        this.lastCallAtMs = nowMs;
        if (jumpMs <= 0) {
            return;
        }
        for (const instance of this.instances.values()) {
            instance.lastRequestAtMs += jumpMs;
            if (instance.reservation !== undefined) {
                instance.reservation.sinceMs += jumpMs;
            }
        }
    }

    private changeLeader({ leading, term }: ControlLeaderChanged, nowMs: number): readonly Message[] {
        this.term = leading ? term : undefined;
        this.leadingSinceMs = nowMs;
        this.instances.clear();
        this.workspaces.clear();
        this.applyRates(nowMs);
        this.reserveForKnownInstances(nowMs);
        return leading ? [this.checkTimer(nowMs)] : [clearDeadline(checkKey)];
    }

    /**
     * Instances that this member knows may be spending their parts of the rates until they are heard; all that reach it
     * report at once. It does not know the parts, so they count as equal.
     */
    private reserveForKnownInstances(nowMs: number): void {
        for (const [instanceId, detachedAtMs] of this.detachedAtMs) {
            if (nowMs - detachedAtMs >= fallbackLimitMs) {
                this.detachedAtMs.delete(instanceId);
            }
        }
        const ids = new Set([...this.idByAttachment.values(), ...this.detachedAtMs.keys()]);
        const shares = new Map([...this.workspaces.keys()].map(name => [name, 1 / ids.size]));
        ids.forEach(instanceId => this.reserve(this.instanceStateOf(instanceId, nowMs), shares, nowMs, nowMs));
    }

    private applyRates(nowMs: number): void {
        if (this.term === undefined) {
            return;
        }
        [...this.workspaces.keys()].filter(name => !this.policy.workspaces.has(name))
            .forEach(name => this.workspaces.delete(name));
        for (const { name, ratePerSecond, burst } of this.policy.workspaces.values()) {
            const known = this.workspaces.get(name);
            if (known !== undefined) {
                known.setRate(ratePerSecond, burst, nowMs);
            }
            else {
                const options = { startMs: nowMs, tolerance: this.tolerance, ratePerSecond, burst };
                this.workspaces.set(name, new WorkspacePermits(options));
            }
        }
    }

    private receive({ attachmentId, frame }: FrameReceived, nowMs: number): readonly Message[] {
        if (frame.kind === "hello" && frame.serves) {
            this.idByAttachment.set(attachmentId, frame.instanceId);
            this.detachedAtMs.delete(frame.instanceId);
            return [];
        }
        const instanceId = this.idByAttachment.get(attachmentId);
        if (frame.kind !== "want" || this.term === undefined || instanceId === undefined) {
            return [];
        }
        const instance = this.instanceStateOf(instanceId, nowMs);
        this.recordUsage(instance, frame, nowMs);
        const answers = frame.wants.filter(([, waiting, prefetch]) => waiting + prefetch > 0)
            .map(request => this.answer(instance, frame.sequence, request, nowMs));
        return [sendFrame(attachmentId, { kind: "permits", term: this.term, sequence: frame.sequence, answers })];
    }

    /** Takes note of what the instance has spent. */
    private recordUsage(instance: InstanceState, frame: PermitRequestFrame, nowMs: number): void {
        instance.lastRequestAtMs = nowMs;
        const sameTerm = frame.term === this.term;
        if (frame.heard < instance.lastAnsweredSequence) {
            // Another process under the same name; permits of the one before end by themselves.
            instance.lastGrantSequences.clear();
        }
        if (!sameTerm) {
            instance.fallbackUsed.clear();
        }
        instance.lastAnsweredSequence = frame.heard;
        this.release(instance, nowMs);
        for (const [workspace, , , held, used] of frame.wants) {
            const permits = this.workspaces.get(workspace);
            const sequence = instance.lastGrantSequences.get(workspace);
            if (sequence !== undefined && sequence <= frame.heard) {
                permits?.settle(instance.instanceId, String(sequence), held, nowMs);
            }
            const before = instance.fallbackUsed.get(workspace) ?? 0;
            if (sameTerm && used > before) {
                instance.fallbackUsed.set(workspace, used);
                permits?.charge(Math.max(0, used - before - (instance.reservedOperations.get(workspace) ?? 0)), nowMs);
            }
        }
        instance.reservedOperations = new Map();
    }

    private answer(
        instance: InstanceState,
        sequence: number,
        request: WorkspacePermitRequest,
        nowMs: number,
    ): PermitAnswer {
        const [workspace, waiting, prefetch] = request;
        const permits = this.workspaces.get(workspace);
        if (permits === undefined) {
            // Removed, or this member has not applied the configuration that brings it.
            return [workspace, 0, maximumRetryMs];
        }
        const { instanceId } = instance;
        const { count, retryMs } = permits.answer(
            { instanceId, requestId: String(sequence), waiting, prefetch },
            nowMs,
        );
        if (count > 0) {
            instance.lastGrantSequences.set(workspace, sequence);
        }
        const shareSentAtMs = instance.shareSentAtMs.get(workspace) ?? -Infinity;
        if (nowMs - this.leadingSinceMs < demandLearningMs || nowMs - shareSentAtMs < shareIntervalMs) {
            return retryMs > 0 ? [workspace, count, retryMs] : [workspace, count];
        }
        instance.shareSentAtMs.set(workspace, nowMs);
        const { share, burst } = permits.fallbackAllowance(instanceId, nowMs);
        return [workspace, count, retryMs, Math.floor(share * 1e6), Math.floor(burst * 100)];
    }

    /** Sets aside what silent instances may be spending, for as long as they may. */
    private check(nowMs: number): readonly Message[] {
        for (const instance of this.instances.values()) {
            const silentMs = nowMs - instance.lastRequestAtMs;
            if (silentMs > reservationLimitMs) {
                this.release(instance, nowMs);
            }
            else if (silentMs > silentAfterMs && instance.reservation === undefined) {
                const shares = [...this.workspaces].map(([name, permits]) =>
                    [name, permits.fallbackAllowance(instance.instanceId, nowMs).share] as const
                );
                this.reserve(instance, new Map(shares), instance.lastRequestAtMs, nowMs);
            }
        }
        this.workspaces.forEach(permits => permits.refill(nowMs));
        return [this.checkTimer(nowMs)];
    }

    /** What the instance may have spent before its silence was noticed is taken out of the buckets too. */
    private reserve(
        instance: InstanceState,
        shares: ReadonlyMap<string, number>,
        sinceMs: number,
        nowMs: number,
    ): void {
        instance.reservation = { sinceMs, shares };
        for (const [name, share] of shares) {
            const permits = this.workspaces.get(name);
            permits?.reserve(share, nowMs);
            permits?.charge(share * permits.ratePerSecond * (nowMs - sinceMs) / 1_000, nowMs);
        }
    }

    private release(instance: InstanceState, nowMs: number): void {
        const { reservation } = instance;
        if (reservation === undefined) {
            return;
        }
        instance.reservation = undefined;
        const elapsedSeconds = (nowMs - reservation.sinceMs) / 1_000;
        instance.reservedOperations = new Map([...reservation.shares].map(([name, share]) => {
            const permits = this.workspaces.get(name);
            permits?.reserve(-share, nowMs);
            return [name, share * (permits?.ratePerSecond ?? 0) * elapsedSeconds];
        }));
    }

    private detach(attachmentId: string, nowMs: number): void {
        const instanceId = this.idByAttachment.get(attachmentId);
        this.idByAttachment.delete(attachmentId);
        if (instanceId !== undefined && ![...this.idByAttachment.values()].includes(instanceId)) {
            this.detachedAtMs.set(instanceId, nowMs);
        }
    }

    private instanceStateOf(instanceId: string, nowMs: number): InstanceState {
        const known = this.instances.get(instanceId);
        if (known !== undefined) {
            return known;
        }
        const instance: InstanceState = {
            instanceId,
            lastRequestAtMs: nowMs,
            lastAnsweredSequence: 0,
            lastGrantSequences: new Map(),
            fallbackUsed: new Map(),
            shareSentAtMs: new Map(),
            reservation: undefined,
            reservedOperations: new Map(),
        };
        this.instances.set(instanceId, instance);
        return instance;
    }

    private checkTimer(nowMs: number): Message {
        return setDeadline(checkKey, nowMs + checkIntervalMs, { kind: FleetKind.PermitCheckDue });
    }
}
