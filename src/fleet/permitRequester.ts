/** Requests permits from the control leader for all workspaces of this instance, one request at a time. */
import { match } from "ts-pattern";
import {
    type Detached,
    type FleetFrame,
    FleetKind,
    type FleetTimer,
    type FrameReceived,
    type PermitAnswer,
    type PermitGrant,
    type PermitsGranted,
    type PermitsNeeded,
    type PolicyApplied,
    type WorkspacePermitRequest,
} from "../model/fleetMessages.ts";
import { leaderPermitValidityMs } from "../model/rateLimits.ts";
import { setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { sendFrame } from "./attachments.ts";

/**
 * Maximum interval between two requests; the leader considers an instance that is silent for longer to be disconnected.
 */
const requestIntervalMs = 1_000;

/**
 * Minimum interval between two requests while operations wait. Bounds the load of the leader under overload; together
 * with a round trip between regions it stays well below the shortest time that an operation may wait.
 */
const waitingIntervalMs = 40;

/** Minimum interval between two requests that only prefetch permits. */
const prefetchIntervalMs = 100;

/** Time without an answer after which the leader is considered silent: several round trips between regions. */
const silentAfterMs = 100;

/** Time after which an unanswered request is sent again. */
const answerTimeoutMs = 400;

const requestKey = "fleet.permit_ask";

type PermitsFrame = Extract<FleetFrame, { readonly kind: "permits"; }>;
type RequesterInput = PermitsNeeded | FrameReceived | Detached | PolicyApplied | FleetTimer;

interface PendingRequest {
    readonly sequence: number;
    readonly sentAtMs: number;
    readonly workspaces: readonly string[];
}

interface Leader {
    readonly attachmentId: string;
    readonly term: number;
}

export class PermitRequester implements Filter<RequesterInput, Message> {
    readonly step = "permit_asker";
    readonly accepts = [
        FleetKind.PermitsNeeded,
        FleetKind.FrameReceived,
        FleetKind.Detached,
        FleetKind.PolicyApplied,
        FleetKind.PermitRequestDue,
    ];
    private readonly needs = new Map<string, PermitsNeeded>();
    /** Workspaces whose need changed since the last request. */
    private readonly changedWorkspaces = new Set<string>();
    /** Terms of the control members that claim to be the leader, by attachment. */
    private readonly leaderTerms = new Map<string, number>();
    private leader: Leader | undefined;
    private leaderIsSilent = true;
    private sequence = 0;
    private lastSentAtMs = -Infinity;
    private timerDueMs = Infinity;
    private pending: PendingRequest | undefined;
    /** Times at which requests were sent whose answers may still be used, by sequence. */
    private readonly sentAtMsBySequence = new Map<number, number>();
    private lastAnsweredSequence = 0;
    private lastAnsweredTerm = 0;
    /**
     * Operations admitted at the fallback rate since the first answer of this term, by workspace. Survives the removal of
     * a workspace, because the leader remembers the last count until its term ends.
     */
    private readonly fallbackUsedInTerm = new Map<string, number>();
    /** Last counts that admission reported, by workspace; a lower one is that of a workspace that was added again. */
    private readonly lastFallbackUsed = new Map<string, number>();

    process(message: RequesterInput, nowMs: number): readonly Message[] {
        return match<RequesterInput, readonly Message[]>(message)
            .with({ kind: FleetKind.PermitsNeeded }, matched => {
                this.countFallback(matched);
                this.needs.set(matched.workspace, matched);
                this.changedWorkspaces.add(matched.workspace);
                return this.sendOrWait(nowMs);
            })
            .with({ kind: FleetKind.FrameReceived }, matched => [matched, ...this.receive(matched, nowMs)])
            .with({ kind: FleetKind.Detached }, matched => {
                this.leaderTerms.delete(matched.attachmentId);
                return [matched, ...this.updateLeader(nowMs)];
            })
            .with({ kind: FleetKind.PolicyApplied }, matched => {
                [...this.needs.keys()].filter(name => !matched.policy.workspaces.has(name))
                    .forEach(name => this.removeWorkspace(name));
                return [matched];
            })
            .otherwise(() => {
                this.timerDueMs = Infinity;
                return this.checkTimeouts(nowMs);
            });
    }

    private receive({ attachmentId, frame }: FrameReceived, nowMs: number): readonly Message[] {
        if (frame.kind === "status") {
            if (frame.leading) {
                this.leaderTerms.set(attachmentId, frame.term);
            }
            else {
                this.leaderTerms.delete(attachmentId);
            }
            return this.updateLeader(nowMs);
        }
        return frame.kind === "permits" && attachmentId === this.leader?.attachmentId
            ? this.receivePermits(frame, nowMs)
            : [];
    }

    /**
     * Chooses the leader of the highest term, because a member that lost its majority may not know it yet. Of several
     * attachments to the leader the latest is used, because a connection that breaks silently is detected only after
     * seconds.
     */
    private updateLeader(nowMs: number): readonly Message[] {
        const [best] = [...this.leaderTerms].reverse().sort(([, left], [, right]) => right - left);
        const leader = best === undefined ? undefined : { attachmentId: best[0], term: best[1] };
        if (leader?.attachmentId === this.leader?.attachmentId && leader?.term === this.leader?.term) {
            return [];
        }
        this.leader = leader;
        this.abandonPending();
        this.sentAtMsBySequence.clear();
        return leader === undefined ? this.markSilent() : this.sendRequest(nowMs);
    }

    private receivePermits(frame: PermitsFrame, nowMs: number): readonly Message[] {
        const sentAtMs = this.sentAtMsBySequence.get(frame.sequence);
        if (sentAtMs === undefined || frame.term !== this.leader?.term) {
            return [];
        }
        this.leaderIsSilent = false;
        this.lastAnsweredSequence = frame.sequence;
        [...this.sentAtMsBySequence.keys()].filter(sequence => sequence <= frame.sequence)
            .forEach(sequence => this.sentAtMsBySequence.delete(sequence));
        if (this.pending?.sequence === frame.sequence) {
            this.pending = undefined;
        }
        if (frame.term !== this.lastAnsweredTerm) {
            this.lastAnsweredTerm = frame.term;
            this.fallbackUsedInTerm.clear();
        }
        // The consumer of the grants reports its remaining need anew.
        frame.answers.forEach(([workspace]) => this.changedWorkspaces.delete(workspace));
        const granted: PermitsGranted = {
            kind: FleetKind.PermitsGranted,
            grants: frame.answers.map(toGrant),
            validUntilMs: sentAtMs + leaderPermitValidityMs,
        };
        return [granted, ...this.sendOrWait(nowMs)];
    }

    /** Sends a request if one is due and none is pending; otherwise sets the timer. */
    private sendOrWait(nowMs: number): readonly Message[] {
        if (this.leader === undefined) {
            return [];
        }
        if (this.pending !== undefined) {
            return this.timer(this.pending.sentAtMs + (this.leaderIsSilent ? answerTimeoutMs : silentAfterMs));
        }
        const dueMs = this.lastSentAtMs + this.intervalMs();
        return nowMs >= dueMs ? this.sendRequest(nowMs) : this.timer(dueMs);
    }

    /** Minimum interval between the last request and the next one. */
    private intervalMs(): number {
        const changed = [...this.changedWorkspaces].map(name => this.needs.get(name)!);
        if (changed.some(({ waiting }) => waiting > 0)) {
            return waitingIntervalMs;
        }
        return changed.some(({ prefetch }) => prefetch > 0) ? prefetchIntervalMs : requestIntervalMs;
    }

    private checkTimeouts(nowMs: number): readonly Message[] {
        const elapsedMs = nowMs - (this.pending?.sentAtMs ?? nowMs);
        if (elapsedMs >= answerTimeoutMs) {
            this.abandonPending();
            return [...this.markSilent(), ...this.sendRequest(nowMs)];
        }
        return [...elapsedMs >= silentAfterMs ? this.markSilent() : [], ...this.sendOrWait(nowMs)];
    }

    private sendRequest(nowMs: number): readonly Message[] {
        const workspaces = [...this.changedWorkspaces];
        this.changedWorkspaces.clear();
        this.sequence += 1;
        this.lastSentAtMs = nowMs;
        this.pending = { sequence: this.sequence, sentAtMs: nowMs, workspaces };
        this.sentAtMsBySequence.set(this.sequence, nowMs);
        [...this.sentAtMsBySequence].filter(([, sentAtMs]) => nowMs - sentAtMs >= leaderPermitValidityMs)
            .forEach(([sequence]) => this.sentAtMsBySequence.delete(sequence));
        const frame: FleetFrame = {
            kind: "want",
            sequence: this.sequence,
            heard: this.lastAnsweredSequence,
            term: this.lastAnsweredTerm,
            wants: workspaces.map(name => this.toRequest(this.needs.get(name)!)),
        };
        return [sendFrame(this.leader!.attachmentId, frame), ...this.sendOrWait(nowMs)];
    }

    private removeWorkspace(workspace: string): void {
        this.needs.delete(workspace);
        this.changedWorkspaces.delete(workspace);
    }

    private countFallback({ workspace, fallbackUsed }: PermitsNeeded): void {
        const before = this.lastFallbackUsed.get(workspace) ?? 0;
        this.lastFallbackUsed.set(workspace, fallbackUsed);
        const used = fallbackUsed >= before ? fallbackUsed - before : fallbackUsed;
        this.fallbackUsedInTerm.set(workspace, (this.fallbackUsedInTerm.get(workspace) ?? 0) + used);
    }

    private toRequest({ workspace, waiting, prefetch, held }: PermitsNeeded): WorkspacePermitRequest {
        return [workspace, waiting, prefetch, held, this.fallbackUsedInTerm.get(workspace) ?? 0];
    }

    /** Gives up on the pending request; the next one repeats its content. */
    private abandonPending(): void {
        this.pending?.workspaces.filter(name => this.needs.has(name)).forEach(name => this.changedWorkspaces.add(name));
        this.pending = undefined;
    }

    private markSilent(): readonly Message[] {
        if (this.leaderIsSilent) {
            return [];
        }
        this.leaderIsSilent = true;
        return [{ kind: FleetKind.RateLeaderSilent }];
    }

    /** Sets the timer unless an earlier one is set, which re-evaluates the timeouts when it fires. */
    private timer(atMs: number): readonly Message[] {
        if (atMs >= this.timerDueMs) {
            return [];
        }
        this.timerDueMs = atMs;
        return [setDeadline(requestKey, atMs, { kind: FleetKind.PermitRequestDue })];
    }
}

function toGrant([workspace, count, retryMs = 0, shareMillionths, burstHundredths = 0]: PermitAnswer): PermitGrant {
    const fallback = shareMillionths === undefined
        ? undefined
        : { share: shareMillionths / 1e6, burst: burstHundredths / 100 };
    return { workspace, count, retryMs, fallback };
}
