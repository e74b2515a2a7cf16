/** Asks the control leader for the right to send the tasks of this instance that wait for cold databases. */
import { match } from "ts-pattern";
import { coldGrantValidityMs } from "../model/coldLimits.ts";
import {
    type ColdGranted,
    type ColdNeeded,
    type Detached,
    type FleetFrame,
    FleetKind,
    type FleetTimer,
    type FrameReceived,
} from "../model/fleetMessages.ts";
import { setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { sendFrame } from "./attachments.ts";

/** Minimum interval between two requests; about the round trip to the leader. */
const requestIntervalMs = 40;

/** Interval after an answer without any grant; the leader spreads its grants over a few of them. */
const refusedIntervalMs = 70;

/** Time after which a request without an answer is repeated; several round trips between regions. */
const answerTimeoutMs = 150;

type GrantFrame = Extract<FleetFrame, { readonly kind: "cold_grant"; }>;
type RequesterInput = ColdNeeded | FrameReceived | Detached | FleetTimer;

interface Request {
    readonly attachmentId: string;
    readonly sentMs: number;
    readonly counts: ReadonlyMap<string, number>;
}

export class ColdRequester implements Filter<RequesterInput, Message> {
    readonly step = "cold_asker";
    readonly accepts = [
        FleetKind.ColdNeeded,
        FleetKind.FrameReceived,
        FleetKind.Detached,
        FleetKind.ColdRequestDue,
    ];
    /** Waiting tasks by database. */
    private readonly needs = new Map<string, number>();
    /** Terms of the control members that claim to be the leader, by attachment. */
    private readonly leaderTerms = new Map<string, number>();
    /** Requests whose answer can still be used, by sequence. */
    private readonly requests = new Map<number, Request>();
    private sequence = 0;
    private nextRequestMs = -Infinity;

    process(message: RequesterInput, nowMs: number): readonly Message[] {
        return match<RequesterInput, readonly Message[]>(message)
            .with({ kind: FleetKind.ColdNeeded }, ({ databaseId, waiting }) => {
                if (waiting > 0) {
                    this.needs.set(databaseId, waiting);
                }
                else {
                    this.needs.delete(databaseId);
                }
                return this.sendOrWait(nowMs);
            })
            .with({ kind: FleetKind.FrameReceived }, matched => [matched, ...this.receive(matched, nowMs)])
            .with({ kind: FleetKind.Detached }, matched => {
                this.leaderTerms.delete(matched.attachmentId);
                return [matched];
            })
            .otherwise(() => this.sendOrWait(nowMs));
    }

    private receive({ attachmentId, frame }: FrameReceived, nowMs: number): readonly Message[] {
        if (frame.kind === "cold_grant") {
            return this.receiveGrant(attachmentId, frame, nowMs);
        }
        if (frame.kind !== "status") {
            return [];
        }
        if (frame.leading) {
            this.leaderTerms.set(attachmentId, frame.term);
            return this.sendOrWait(nowMs);
        }
        this.leaderTerms.delete(attachmentId);
        return [];
    }

    /** Uses an answer once, within its time, and for no more than was asked for. */
    private receiveGrant(attachmentId: string, frame: GrantFrame, nowMs: number): readonly Message[] {
        const request = this.requests.get(frame.sequence);
        if (request?.attachmentId !== attachmentId) {
            return [];
        }
        this.requests.delete(frame.sequence);
        const grants = [...new Map(frame.grants)]
            .map(([databaseId, count]) => ({ databaseId, count: Math.min(count, request.counts.get(databaseId) ?? 0) }))
            .filter(({ count }) => count > 0);
        this.nextRequestMs = request.sentMs + (grants.length > 0 ? requestIntervalMs : refusedIntervalMs);
        const granted: ColdGranted = {
            kind: FleetKind.ColdGranted,
            grants,
            askedMs: request.sentMs,
            validUntilMs: request.sentMs + Math.min(frame.validMs, coldGrantValidityMs),
        };
        return [...grants.length > 0 ? [granted] : [], ...this.sendOrWait(nowMs)];
    }

    private sendOrWait(nowMs: number): readonly Message[] {
        const [leader] = [...this.leaderTerms].reverse().sort(([, left], [, right]) => right - left);
        if (leader === undefined || this.needs.size === 0) {
            return [];
        }
        return nowMs >= this.nextRequestMs ? this.send(leader[0], nowMs) : [this.timer()];
    }

    private send(attachmentId: string, nowMs: number): readonly Message[] {
        [...this.requests].filter(([, { sentMs }]) => nowMs - sentMs >= coldGrantValidityMs)
            .forEach(([sequence]) => this.requests.delete(sequence));
        this.sequence += 1;
        const counts = new Map(this.needs);
        this.requests.set(this.sequence, { attachmentId, sentMs: nowMs, counts });
        this.nextRequestMs = nowMs + answerTimeoutMs;
        return [
            sendFrame(attachmentId, { kind: "cold_want", sequence: this.sequence, wants: [...counts] }),
            this.timer(),
        ];
    }

    private timer(): Message {
        return setDeadline("fleet.cold_ask", this.nextRequestMs, { kind: FleetKind.ColdRequestDue });
    }
}
