/** Asks the leader for permits on behalf of this instance: one question at a time for all workspaces. */
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

/** Longest time between two questions; the leader takes an instance that is silent for longer to be cut off. */
const questionIntervalMs = 1_000;

/**
 * Least time between two questions for which operations wait. It bounds the leader's work in a flood, and with a round trip
 * between regions it stays well below the shortest wait of an operation.
 */
const waitingIntervalMs = 40;

/** Least time between two questions for which no operation waits. */
const aheadIntervalMs = 100;

/** Time without an answer after which the leader counts as silent: several round trips between regions. */
const silentAfterMs = 100;

/** Time after which a question without an answer is asked again. */
const answerLimitMs = 400;

const askKey = "fleet.permit_ask";

type PermitsFrame = Extract<FleetFrame, { readonly kind: "permits"; }>;
type AskerInput = PermitsNeeded | FrameReceived | Detached | PolicyApplied | FleetTimer;

interface Question {
    readonly sequence: number;
    readonly sentMs: number;
    readonly workspaces: readonly string[];
}

interface Leader {
    readonly attachmentId: string;
    readonly term: number;
}

export class PermitRequester implements Filter<AskerInput, Message> {
    readonly step = "permit_asker";
    readonly accepts = [
        FleetKind.PermitsNeeded,
        FleetKind.FrameReceived,
        FleetKind.Detached,
        FleetKind.PolicyApplied,
        FleetKind.PermitRequestDue,
    ];
    private readonly needs = new Map<string, PermitsNeeded>();
    /** Workspaces that the leader has to hear about. */
    private readonly changed = new Set<string>();
    /** Terms of the control members that say they lead, by attachment. */
    private readonly leaderTerms = new Map<string, number>();
    private leader: Leader | undefined;
    private silent = true;
    private sequence = 0;
    private sentMs = -Infinity;
    private dueMs = Infinity;
    private underWay: Question | undefined;
    /** Times of questions whose answer may still come, by sequence. */
    private readonly askedMs = new Map<number, number>();
    private heard = 0;
    private term = 0;
    /** Operations at the fallback rate before the first answer of this term. */
    private fallbackBefore: ReadonlyMap<string, number> = new Map();

    process(message: AskerInput, nowMs: number): readonly Message[] {
        return match<AskerInput, readonly Message[]>(message)
            .with({ kind: FleetKind.PermitsNeeded }, found => {
                this.needs.set(found.workspace, found);
                this.changed.add(found.workspace);
                return this.next(nowMs);
            })
            .with({ kind: FleetKind.FrameReceived }, found => [found, ...this.receive(found, nowMs)])
            .with({ kind: FleetKind.Detached }, found => {
                this.leaderTerms.delete(found.attachmentId);
                return [found, ...this.followLeader(nowMs)];
            })
            .with({ kind: FleetKind.PolicyApplied }, found => {
                [...this.needs.keys()].filter(name => !found.policy.workspaces.has(name))
                    .forEach(name => this.forget(name));
                return [found];
            })
            .otherwise(() => {
                this.dueMs = Infinity;
                return this.noteTime(nowMs);
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
            return this.followLeader(nowMs);
        }
        return frame.kind === "permits" && attachmentId === this.leader?.attachmentId
            ? this.hear(frame, nowMs)
            : [];
    }

    /**
     * A member that lost its majority may not know it yet, so the highest term counts; and the latest attachment to it,
     * because the end of a connection without a word is noticed after seconds.
     */
    private followLeader(nowMs: number): readonly Message[] {
        const [best] = [...this.leaderTerms].reverse().sort(([, left], [, right]) => right - left);
        const leader = best === undefined ? undefined : { attachmentId: best[0], term: best[1] };
        if (leader?.attachmentId === this.leader?.attachmentId && leader?.term === this.leader?.term) {
            return [];
        }
        this.leader = leader;
        this.giveUp();
        this.askedMs.clear();
        return leader === undefined ? this.fallSilent() : this.ask(nowMs);
    }

    private hear(frame: PermitsFrame, nowMs: number): readonly Message[] {
        const askedMs = this.askedMs.get(frame.sequence);
        if (askedMs === undefined || frame.term !== this.leader?.term) {
            return [];
        }
        this.silent = false;
        this.heard = frame.sequence;
        [...this.askedMs.keys()].filter(sequence => sequence <= frame.sequence)
            .forEach(sequence => this.askedMs.delete(sequence));
        if (this.underWay?.sequence === frame.sequence) {
            this.underWay = undefined;
        }
        if (frame.term !== this.term) {
            this.term = frame.term;
            this.fallbackBefore = new Map([...this.needs].map(([name, { fallbackUsed }]) => [name, fallbackUsed]));
        }
        // Whoever gets an answer says anew what is still needed.
        frame.answers.forEach(([workspace]) => this.changed.delete(workspace));
        const granted: PermitsGranted = {
            kind: FleetKind.PermitsGranted,
            grants: frame.answers.map(toGrant),
            validUntilMs: askedMs + leaderPermitValidityMs,
        };
        return [granted, ...this.next(nowMs)];
    }

    /** Asks when a question is due and none is under way; otherwise sets the timer. */
    private next(nowMs: number): readonly Message[] {
        if (this.leader === undefined) {
            return [];
        }
        if (this.underWay !== undefined) {
            return this.timer(this.underWay.sentMs + (this.silent ? answerLimitMs : silentAfterMs));
        }
        const dueMs = this.sentMs + this.intervalMs();
        return nowMs >= dueMs ? this.ask(nowMs) : this.timer(dueMs);
    }

    /** Least time between the last question and the next one. */
    private intervalMs(): number {
        const changed = [...this.changed].map(name => this.needs.get(name)!);
        if (changed.some(({ waiting }) => waiting > 0)) {
            return waitingIntervalMs;
        }
        return changed.some(({ prefetch }) => prefetch > 0) ? aheadIntervalMs : questionIntervalMs;
    }

    private noteTime(nowMs: number): readonly Message[] {
        const elapsedMs = nowMs - (this.underWay?.sentMs ?? nowMs);
        if (elapsedMs >= answerLimitMs) {
            this.giveUp();
            return [...this.fallSilent(), ...this.ask(nowMs)];
        }
        return [...elapsedMs >= silentAfterMs ? this.fallSilent() : [], ...this.next(nowMs)];
    }

    private ask(nowMs: number): readonly Message[] {
        const workspaces = [...this.changed];
        this.changed.clear();
        this.sequence += 1;
        this.sentMs = nowMs;
        this.underWay = { sequence: this.sequence, sentMs: nowMs, workspaces };
        this.askedMs.set(this.sequence, nowMs);
        [...this.askedMs].filter(([, askedMs]) => nowMs - askedMs >= leaderPermitValidityMs)
            .forEach(([sequence]) => this.askedMs.delete(sequence));
        const frame: FleetFrame = {
            kind: "want",
            sequence: this.sequence,
            heard: this.heard,
            term: this.term,
            wants: workspaces.map(name => this.wantOf(this.needs.get(name)!)),
        };
        return [sendFrame(this.leader!.attachmentId, frame), ...this.next(nowMs)];
    }

    private forget(workspace: string): void {
        this.needs.delete(workspace);
        this.changed.delete(workspace);
    }

    private wantOf(
        { workspace, waiting, prefetch, held, fallbackUsed }: PermitsNeeded,
    ): WorkspacePermitRequest {
        return [workspace, waiting, prefetch, held, fallbackUsed - (this.fallbackBefore.get(workspace) ?? 0)];
    }

    /** No answer is expected any more; the next question says the same again. */
    private giveUp(): void {
        this.underWay?.workspaces.filter(name => this.needs.has(name)).forEach(name => this.changed.add(name));
        this.underWay = undefined;
    }

    private fallSilent(): readonly Message[] {
        if (this.silent) {
            return [];
        }
        this.silent = true;
        return [{ kind: FleetKind.RateLeaderSilent }];
    }

    /** An earlier timer looks at the time again. */
    private timer(atMs: number): readonly Message[] {
        if (atMs >= this.dueMs) {
            return [];
        }
        this.dueMs = atMs;
        return [setDeadline(askKey, atMs, { kind: FleetKind.PermitRequestDue })];
    }
}

function toGrant([workspace, count, retryMs = 0, shareMillionths, burstHundredths = 0]: PermitAnswer): PermitGrant {
    const fallback = shareMillionths === undefined
        ? undefined
        : { share: shareMillionths / 1e6, burst: burstHundredths / 100 };
    return { workspace, count, retryMs, fallback };
}
