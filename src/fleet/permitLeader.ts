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
const reservedMs = fallbackLimitMs + leaderPermitValidityMs;

/** Time in which a new leader learns the demand; until then instances keep the shares of the one before. */
const demandLearnedMs = 5_000;

/** How often an instance is told its share of a workspace; shares follow the demand of tens of seconds. */
const shareIntervalMs = 1_000;

const checkKey = "fleet.permit_check";

type WantFrame = Extract<FleetFrame, { readonly kind: "want"; }>;
type LeaderInput = ControlLeaderChanged | FrameReceived | Detached | PolicyApplied | FleetTimer;

interface Asker {
    readonly instanceId: string;
    heardMs: number;
    /** Highest question that it knows the answer of. */
    heard: number;
    /** The last question that brought it permits, by workspace. */
    readonly granted: Map<string, number>;
    readonly fallbackUsed: Map<string, number>;
    /** Time at which it was last told its share, by workspace. */
    readonly toldMs: Map<string, number>;
    reservation: Reservation | undefined;
    /** Operations that were set aside since it was last heard, by workspace. */
    setAside: ReadonlyMap<string, number>;
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
    private readonly askers = new Map<string, Asker>();
    private readonly idByAttachment = new Map<string, string>();
    /** Times at which instances left this member. */
    private readonly detachedMs = new Map<string, number>();
    private policy: TrafficPolicy = emptyTrafficPolicy;
    private term: number | undefined;
    private leadsSinceMs = 0;
    /** Time of the last call. */
    private calledMs = 0;

    constructor({ tolerance }: PermitLeaderOptions) {
        this.tolerance = tolerance;
    }

    process(message: LeaderInput, nowMs: number): readonly Message[] {
        this.noteTime(nowMs);
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
    private noteTime(nowMs: number): void {
        const unseenMs = nowMs - this.calledMs - accrualLimitMs;
        this.calledMs = nowMs;
        if (unseenMs <= 0) {
            return;
        }
        for (const asker of this.askers.values()) {
            asker.heardMs += unseenMs;
            if (asker.reservation !== undefined) {
                asker.reservation.sinceMs += unseenMs;
            }
        }
    }

    private changeLeader({ leading, term }: ControlLeaderChanged, nowMs: number): readonly Message[] {
        this.term = leading ? term : undefined;
        this.leadsSinceMs = nowMs;
        this.askers.clear();
        this.workspaces.clear();
        this.applyRates(nowMs);
        this.expectInstances(nowMs);
        return leading ? [this.checkTimer(nowMs)] : [clearDeadline(checkKey)];
    }

    /**
     * Instances that this member knows may be spending their parts of the rates until they are heard; all that reach it
     * report at once. It does not know the parts, so they count as equal.
     */
    private expectInstances(nowMs: number): void {
        for (const [instanceId, detachedMs] of this.detachedMs) {
            if (nowMs - detachedMs >= fallbackLimitMs) {
                this.detachedMs.delete(instanceId);
            }
        }
        const ids = new Set([...this.idByAttachment.values(), ...this.detachedMs.keys()]);
        const shares = new Map([...this.workspaces.keys()].map(name => [name, 1 / ids.size]));
        ids.forEach(instanceId => this.reserve(this.askerOf(instanceId, nowMs), shares, nowMs, nowMs));
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
            this.detachedMs.delete(frame.instanceId);
            return [];
        }
        const instanceId = this.idByAttachment.get(attachmentId);
        if (frame.kind !== "want" || this.term === undefined || instanceId === undefined) {
            return [];
        }
        const asker = this.askerOf(instanceId, nowMs);
        this.note(asker, frame, nowMs);
        const answers = frame.wants.filter(([, waiting, prefetch]) => waiting + prefetch > 0)
            .map(want => this.answer(asker, frame.sequence, want, nowMs));
        return [sendFrame(attachmentId, { kind: "permits", term: this.term, sequence: frame.sequence, answers })];
    }

    /** Takes note of what the instance has spent. */
    private note(asker: Asker, frame: WantFrame, nowMs: number): void {
        asker.heardMs = nowMs;
        const sameTerm = frame.term === this.term;
        if (frame.heard < asker.heard) {
            // Another process under the same name; permits of the one before end by themselves.
            asker.granted.clear();
        }
        if (!sameTerm) {
            asker.fallbackUsed.clear();
        }
        asker.heard = frame.heard;
        this.release(asker, nowMs);
        for (const [workspace, , , held, used] of frame.wants) {
            const permits = this.workspaces.get(workspace);
            const sequence = asker.granted.get(workspace);
            if (sequence !== undefined && sequence <= frame.heard) {
                permits?.settle(asker.instanceId, String(sequence), held, nowMs);
            }
            const before = asker.fallbackUsed.get(workspace) ?? 0;
            if (sameTerm && used > before) {
                asker.fallbackUsed.set(workspace, used);
                permits?.charge(Math.max(0, used - before - (asker.setAside.get(workspace) ?? 0)), nowMs);
            }
        }
        asker.setAside = new Map();
    }

    private answer(asker: Asker, sequence: number, want: WorkspacePermitRequest, nowMs: number): PermitAnswer {
        const [workspace, waiting, prefetch] = want;
        const permits = this.workspaces.get(workspace);
        if (permits === undefined) {
            // Removed, or this member has not applied the configuration that brings it.
            return [workspace, 0, maximumRetryMs];
        }
        const { instanceId } = asker;
        const { count, retryMs } = permits.answer(
            { instanceId, requestId: String(sequence), waiting, prefetch },
            nowMs,
        );
        if (count > 0) {
            asker.granted.set(workspace, sequence);
        }
        const toldMs = asker.toldMs.get(workspace) ?? -Infinity;
        if (nowMs - this.leadsSinceMs < demandLearnedMs || nowMs - toldMs < shareIntervalMs) {
            return retryMs > 0 ? [workspace, count, retryMs] : [workspace, count];
        }
        asker.toldMs.set(workspace, nowMs);
        const { share, burst } = permits.fallbackAllowance(instanceId, nowMs);
        return [workspace, count, retryMs, Math.floor(share * 1e6), Math.floor(burst * 100)];
    }

    /** Sets aside what silent instances may be spending, for as long as they may. */
    private check(nowMs: number): readonly Message[] {
        for (const asker of this.askers.values()) {
            const silentMs = nowMs - asker.heardMs;
            if (silentMs > reservedMs) {
                this.release(asker, nowMs);
            }
            else if (silentMs > silentAfterMs && asker.reservation === undefined) {
                const shares = [...this.workspaces].map(([name, permits]) =>
                    [name, permits.fallbackAllowance(asker.instanceId, nowMs).share] as const
                );
                this.reserve(asker, new Map(shares), asker.heardMs, nowMs);
            }
        }
        this.workspaces.forEach(permits => permits.refill(nowMs));
        return [this.checkTimer(nowMs)];
    }

    /** What the instance may have spent before its silence was noticed is taken out of the buckets too. */
    private reserve(asker: Asker, shares: ReadonlyMap<string, number>, sinceMs: number, nowMs: number): void {
        asker.reservation = { sinceMs, shares };
        for (const [name, share] of shares) {
            const permits = this.workspaces.get(name);
            permits?.reserve(share, nowMs);
            permits?.charge(share * permits.ratePerSecond * (nowMs - sinceMs) / 1_000, nowMs);
        }
    }

    private release(asker: Asker, nowMs: number): void {
        const { reservation } = asker;
        if (reservation === undefined) {
            return;
        }
        asker.reservation = undefined;
        const elapsedSeconds = (nowMs - reservation.sinceMs) / 1_000;
        asker.setAside = new Map([...reservation.shares].map(([name, share]) => {
            const permits = this.workspaces.get(name);
            permits?.reserve(-share, nowMs);
            return [name, share * (permits?.ratePerSecond ?? 0) * elapsedSeconds];
        }));
    }

    private detach(attachmentId: string, nowMs: number): void {
        const instanceId = this.idByAttachment.get(attachmentId);
        this.idByAttachment.delete(attachmentId);
        if (instanceId !== undefined && ![...this.idByAttachment.values()].includes(instanceId)) {
            this.detachedMs.set(instanceId, nowMs);
        }
    }

    private askerOf(instanceId: string, nowMs: number): Asker {
        const known = this.askers.get(instanceId);
        if (known !== undefined) {
            return known;
        }
        const asker: Asker = {
            instanceId,
            heardMs: nowMs,
            heard: 0,
            granted: new Map(),
            fallbackUsed: new Map(),
            toldMs: new Map(),
            reservation: undefined,
            setAside: new Map(),
        };
        this.askers.set(instanceId, asker);
        return asker;
    }

    private checkTimer(nowMs: number): Message {
        return setDeadline(checkKey, nowMs + checkIntervalMs, { kind: FleetKind.PermitCheckDue });
    }
}
