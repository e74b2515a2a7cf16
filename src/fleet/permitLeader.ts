/** Answers the permit requests of all instances on the control leader, from one token bucket per workspace. */
import { match } from "ts-pattern";
import { formerLeaderMs } from "../model/acknowledgementLease.ts";
import {
    CommandKind,
    ControlKind,
    type ControlLeaderChanged,
    type ControlProposalEnded,
    type ControlPropose,
    ProposalStatus,
} from "../model/controlMessages.ts";
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
import { toSafeInteger } from "../model/safeInteger.ts";
import { emptyTrafficPolicy, type TrafficPolicy } from "../model/trafficPolicy.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { sendFrame } from "./attachments.ts";
import { accrualLimitMs, maximumRetryMs, WorkspacePermits } from "./workspacePermits.ts";

/**
 * Time without a request after which an instance may be using its fallback rate; instances send one at least once a
 * second.
 */
const silentAfterMs = 1_500;

/**
 * Interval at which silent instances are detected and buckets are refilled. A timer that is late by one interval loses
 * no tokens.
 */
export const checkIntervalMs = accrualLimitMs / 2;

/**
 * Time after the last request of an instance for which its share stays reserved. The instance counts its fallback limit
 * from the last answer that it accepted, and accepts an answer for as long as a permit is valid.
 */
const reservationLimitMs = fallbackLimitMs + leaderPermitValidityMs;

/** Time in which a new leader measures the demand; until then, instances keep the shares set by the previous leader. */
const demandLearningMs = 5_000;

/** Interval at which an instance is sent its share of a workspace. Shares follow the demand over tens of seconds. */
const shareIntervalMs = 1_000;

/** Time after which a read barrier is proposed again that has not ended. */
const barrierTimeoutMs = 1_000;

const checkKey = "fleet.permit_check";

type PermitRequestFrame = Extract<FleetFrame, { readonly kind: "want"; }>;
type LeaderInput = ControlLeaderChanged | ControlProposalEnded | FrameReceived | Detached | PolicyApplied | FleetTimer;

interface InstanceState {
    readonly instanceId: string;
    lastRequestAtMs: number;
    /** Highest sequence of a request whose answer has reached the instance. */
    lastAnsweredSequence: number;
    /** Sequence of the last request that was granted permits, by workspace. */
    readonly lastGrantSequences: Map<string, number>;
    readonly fallbackUsed: Map<string, number>;
    /** Time at which the instance was last sent its share, by workspace. */
    readonly shareSentAtMs: Map<string, number>;
    reservation: Reservation | undefined;
    /** Operations that the last reservation took out of the buckets and that are not charged again, by workspace. */
    reservedOperations: ReadonlyMap<string, number>;
}

/** Shares of the workspaces' rates that are reserved for an instance while it is silent. */
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
        ControlKind.ProposalEnded,
        FleetKind.FrameReceived,
        FleetKind.Detached,
        FleetKind.PolicyApplied,
        FleetKind.PermitCheckDue,
    ];
    private readonly tolerance: RateTolerance;
    private readonly workspaces = new Map<string, WorkspacePermits>();
    /** Times at which workspaces were removed that are kept because instances may still use their permits. */
    private readonly removedAtMs = new Map<string, number>();
    private readonly instances = new Map<string, InstanceState>();
    private readonly instanceIdByAttachment = new Map<string, string>();
    /** Times at which the last attachment of an instance ended. */
    private readonly detachedAtMs = new Map<string, number>();
    private policy: TrafficPolicy = emptyTrafficPolicy;
    private term: number | undefined;
    private leadingSinceMs = 0;
    /** Time of the last call of `process`. */
    private lastCallAtMs = 0;
    /** This process stood still, and another member may lead and grant the same operations without being known here. */
    private isLeadUncertain = false;
    /** Read barrier that shows whether this member leads still; undefined if none is under way. */
    private barrier: { readonly proposalId: string; readonly proposedAtMs: number; } | undefined;
    /** Last requests meanwhile, by attachment. */
    private readonly waitingRequests = new Map<string, FrameReceived>();
    private nextProposal = 0;

    constructor({ tolerance }: PermitLeaderOptions) {
        this.tolerance = tolerance;
    }

    process(message: LeaderInput, nowMs: number): readonly Message[] {
        this.discountTimeJump(nowMs);
        return match<LeaderInput, readonly Message[]>(message)
            .with({ kind: ControlKind.LeaderChanged }, matched => [matched, ...this.changeLeader(matched, nowMs)])
            .with({ kind: ControlKind.ProposalEnded }, matched => this.endBarrier(matched, nowMs))
            .with({ kind: FleetKind.FrameReceived }, matched => [matched, ...this.receive(matched, nowMs)])
            .with({ kind: FleetKind.Detached }, matched => {
                this.detach(matched.attachmentId, nowMs);
                return [matched];
            })
            .with({ kind: FleetKind.PolicyApplied }, matched => {
                this.policy = matched.policy;
                this.applyRates(nowMs);
                return [matched];
            })
            .otherwise(() => this.check(nowMs));
    }

    /** Does not count a clock step or a pause of this process as silence of the instances. */
    private discountTimeJump(nowMs: number): void {
        const jumpMs = nowMs - this.lastCallAtMs - accrualLimitMs;
        this.isLeadUncertain ||= nowMs - this.lastCallAtMs > formerLeaderMs;
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
        this.isLeadUncertain = false;
        this.barrier = undefined;
        this.waitingRequests.clear();
        this.instances.clear();
        this.workspaces.clear();
        this.removedAtMs.clear();
        this.applyRates(nowMs);
        this.reserveForKnownInstances(nowMs);
        return leading ? [this.checkTimer(nowMs)] : [clearDeadline(checkKey)];
    }

    /**
     * Reserves shares for all instances that this member knows, because they may be using their fallback rates until
     * their first request; every instance that reaches the new leader sends one at once. The actual shares are unknown
     * to this member and assumed to be equal.
     */
    private reserveForKnownInstances(nowMs: number): void {
        for (const [instanceId, detachedAtMs] of this.detachedAtMs) {
            if (nowMs - detachedAtMs >= fallbackLimitMs) {
                this.detachedAtMs.delete(instanceId);
            }
        }
        const ids = new Set([...this.instanceIdByAttachment.values(), ...this.detachedAtMs.keys()]);
        const shares = new Map([...this.workspaces.keys()].map(name => [name, 1 / ids.size]));
        ids.forEach(instanceId => this.reserve(this.instanceStateOf(instanceId, nowMs), shares, nowMs, nowMs));
    }

    private applyRates(nowMs: number): void {
        if (this.term === undefined) {
            return;
        }
        for (const [name, permits] of this.workspaces) {
            if (!this.policy.workspaces.has(name) && !this.removedAtMs.has(name)) {
                permits.setRate(0, 0, nowMs);
                this.removedAtMs.set(name, nowMs);
            }
        }
        for (const { name, ratePerSecond, burst } of this.policy.workspaces.values()) {
            this.removedAtMs.delete(name);
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
            this.instanceIdByAttachment.set(attachmentId, frame.instanceId);
            this.detachedAtMs.delete(frame.instanceId);
            return [];
        }
        const instanceId = this.instanceIdByAttachment.get(attachmentId);
        if (frame.kind !== "want" || this.term === undefined || instanceId === undefined) {
            return [];
        }
        if (this.isLeadUncertain) {
            this.waitingRequests.set(attachmentId, { kind: FleetKind.FrameReceived, attachmentId, frame });
            return this.proposeBarrier(nowMs);
        }
        const instance = this.instanceStateOf(instanceId, nowMs);
        this.recordUsage(instance, frame, nowMs);
        const answers = frame.wants.filter(([, waiting, prefetch]) => waiting + prefetch > 0)
            .map(request => this.answer(instance, frame.sequence, request, nowMs));
        return [sendFrame(attachmentId, { kind: "permits", term: this.term, sequence: frame.sequence, answers })];
    }

    private proposeBarrier(nowMs: number): readonly Message[] {
        if (this.barrier !== undefined && nowMs - this.barrier.proposedAtMs < barrierTimeoutMs) {
            return [];
        }
        const proposalId = `permits/${this.nextProposal++}`;
        this.barrier = { proposalId, proposedAtMs: nowMs };
        const command = { kind: CommandKind.ReadBarrier };
        return [{ kind: ControlKind.Propose, proposalId, operationId: "", command } as ControlPropose];
    }

    private endBarrier(ended: ControlProposalEnded, nowMs: number): readonly Message[] {
        if (ended.proposalId !== this.barrier?.proposalId) {
            return [ended];
        }
        this.barrier = undefined;
        if (ended.status !== ProposalStatus.Applied && ended.status !== ProposalStatus.Conflict) {
            return [];
        }
        this.isLeadUncertain = false;
        const requests = [...this.waitingRequests.values()];
        this.waitingRequests.clear();
        return requests.flatMap(request => this.receive(request, nowMs));
    }

    /** Records the permits and fallback operations that the instance has used. */
    private recordUsage(instance: InstanceState, frame: PermitRequestFrame, nowMs: number): void {
        instance.lastRequestAtMs = nowMs;
        const isSameTerm = frame.term === this.term;
        if (frame.heard < instance.lastAnsweredSequence) {
            // A new process of the instance; the permits of the previous one expire.
            instance.lastGrantSequences.clear();
        }
        if (!isSameTerm) {
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
            if (isSameTerm && used > before) {
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
        if (permits === undefined || !this.policy.workspaces.has(workspace)) {
            // The workspace was removed, or this member has not applied the configuration that adds it yet.
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
        return [workspace, count, retryMs, Math.floor(share * 1e6), toSafeInteger(burst * 100)];
    }

    /**
     * Reserves the shares that silent instances may be using, and releases them once their fallback limit has passed.
     */
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
        this.forgetRemoved(nowMs);
        return [this.checkTimer(nowMs)];
    }

    /** Forgets removed workspaces once no reservation and no permit of theirs is left. */
    private forgetRemoved(nowMs: number): void {
        for (const [name, removedAtMs] of this.removedAtMs) {
            if (nowMs - removedAtMs > reservationLimitMs) {
                this.removedAtMs.delete(name);
                this.workspaces.delete(name);
            }
        }
    }

    /** Also charges the operations that the instance may have run before its silence was detected. */
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
        const instanceId = this.instanceIdByAttachment.get(attachmentId);
        this.instanceIdByAttachment.delete(attachmentId);
        this.waitingRequests.delete(attachmentId);
        if (instanceId !== undefined && ![...this.instanceIdByAttachment.values()].includes(instanceId)) {
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
