/** Decides whether this instance may act as the control leader, and rejects heartbeats while it may not. */
import { match } from "ts-pattern";
import { ClusterKind, type ConfigurationApplied } from "../model/clusterMessages.ts";
import { ControlKind, type ControlLeaderChanged } from "../model/controlMessages.ts";
import {
    HealthKind,
    type HeartbeatAnswer,
    type HeartbeatReceived,
    type HeartbeatReply,
    type LeadershipStarted,
    type LeaderTicked,
} from "../model/healthMessages.ts";
import { heartbeatIntervalMs, reassignAfterMs } from "../model/lease.ts";
import { setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";

export const leaderTickIntervalMs = 100;

/** Longer gaps between ticks mean that the process was suspended and may have missed the loss of its leadership. */
const maximumTickGapMs = 300;

/**
 * Time after such a gap during which no heartbeat is accepted. A leader steps down after 1 s without a majority, so
 * that a loss of leadership during the gap is known by then.
 */
const quarantineMs = 1_100;

interface LeaderTickDue extends Message {
    readonly kind: typeof HealthKind.LeaderTickDue;
    readonly term: number;
}

type Input = ConfigurationApplied | ControlLeaderChanged | HeartbeatReceived | LeaderTickDue;

/** First filter of the leader: passes heartbeats and ticks on only while this instance leads. */
export class Leadership implements Filter {
    readonly step = "leadership";
    readonly accepts = [
        ClusterKind.ConfigurationApplied,
        ControlKind.LeaderChanged,
        HealthKind.HeartbeatReceived,
        HealthKind.LeaderTickDue,
    ];
    private leading = false;
    private term = 0;
    private leaderAddress: string | undefined;
    private configurationVersion = 0;
    private lastTickMs = 0;
    private quarantineUntilMs = 0;
    /** Latest incarnation of each instance that sent a heartbeat, and the time of its last one. */
    private readonly incarnations = new Map<string, { readonly incarnation: string; readonly heardAtMs: number; }>();
    private readonly replacedIncarnations = new Set<string>();

    process(message: Message, nowMs: number): readonly Message[] {
        // Heartbeats are matched first, as the most frequent kind: 940 a second with 470 instances.
        return match(message as Input)
            .with({ kind: HealthKind.HeartbeatReceived }, received => this.handleHeartbeat(received, nowMs))
            .with({ kind: ClusterKind.ConfigurationApplied }, applied => {
                this.configurationVersion = applied.configuration.version;
                return [applied];
            })
            .with({ kind: ControlKind.LeaderChanged }, changed => [changed, ...this.handleLeaderChange(changed, nowMs)])
            .with({ kind: HealthKind.LeaderTickDue }, due => this.handleTick(due, nowMs))
            .exhaustive();
    }

    private handleLeaderChange(changed: ControlLeaderChanged, nowMs: number): readonly Message[] {
        this.leaderAddress = changed.leaderAddress;
        if (!changed.leading) {
            this.leading = false;
            return [];
        }
        if (this.leading && this.term === changed.term) {
            return [];
        }
        this.leading = true;
        this.term = changed.term;
        this.lastTickMs = nowMs;
        this.quarantineUntilMs = 0;
        this.incarnations.clear();
        this.replacedIncarnations.clear();
        const started: LeadershipStarted = { kind: HealthKind.LeadershipStarted, term: changed.term };
        return [started, this.scheduleTick(nowMs)];
    }

    private handleTick({ term }: LeaderTickDue, nowMs: number): readonly Message[] {
        if (!this.leading || term !== this.term) {
            return [];
        }
        const skipTick = this.isQuarantined(nowMs);
        this.lastTickMs = nowMs;
        const ticked: LeaderTicked = { kind: HealthKind.LeaderTicked };
        return skipTick ? [this.scheduleTick(nowMs)] : [ticked, this.scheduleTick(nowMs)];
    }

    private scheduleTick(nowMs: number): Message {
        const due: LeaderTickDue = { kind: HealthKind.LeaderTickDue, term: this.term };
        return setDeadline("health.leader_tick", nowMs + leaderTickIntervalMs, due);
    }

    private isQuarantined(nowMs: number): boolean {
        if (nowMs - this.lastTickMs > maximumTickGapMs) {
            this.quarantineUntilMs = nowMs + quarantineMs;
            this.lastTickMs = nowMs;
        }
        return nowMs < this.quarantineUntilMs;
    }

    private handleHeartbeat({ callId, heartbeat }: HeartbeatReceived, nowMs: number): readonly Message[] {
        if (!this.leading || this.isQuarantined(nowMs)) {
            const hint = this.leading ? undefined : this.leaderAddress;
            return [reply(callId, { ...this.emptyAnswer(), leading: false, leaderAddress: hint })];
        }
        const { instanceId, incarnation } = heartbeat;
        const before = this.incarnations.get(instanceId);
        const isReplaced = this.replacedIncarnations.has(`${instanceId}/${incarnation}`);
        // The heartbeat that seemed to replace this process may have been a late one of its predecessor, whose leases
        // have ended after this time.
        if (isReplaced && before !== undefined && nowMs - before.heardAtMs < reassignAfterMs) {
            return [reply(callId, this.emptyAnswer())];
        }
        this.replacedIncarnations.delete(`${instanceId}/${incarnation}`);
        if (before !== undefined && before.incarnation !== incarnation) {
            this.replacedIncarnations.add(`${instanceId}/${before.incarnation}`);
        }
        this.incarnations.set(instanceId, { incarnation, heardAtMs: nowMs });
        return [{ kind: HealthKind.HeartbeatChecked, callId, heartbeat, answer: this.emptyAnswer() } as Message];
    }

    private emptyAnswer(): HeartbeatAnswer {
        return {
            leading: true,
            leaderAddress: undefined,
            leaderTerm: this.term,
            configurationVersion: this.configurationVersion,
            renewed: [],
            directoryRevision: 0,
            directory: [],
            asks: [],
            releases: [],
            orders: [],
            resend: [],
            nextHeartbeatMs: heartbeatIntervalMs,
        };
    }
}

function reply(callId: string, answer: HeartbeatAnswer): HeartbeatReply {
    return { kind: HealthKind.HeartbeatReply, callId, answer };
}
