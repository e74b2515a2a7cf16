/** Asks the control leader for leases on acknowledgements. */
import { match } from "ts-pattern";
import { leaseDurationMs, leaseRenewalMs, leaseRetryMs } from "../model/acknowledgementLease.ts";
import {
    type Detached,
    FleetKind,
    type FleetTimer,
    type FrameReceived,
    type LeaseChanged,
} from "../model/fleetMessages.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { sendFrame } from "./attachments.ts";

type RequesterInput = FrameReceived | Detached | FleetTimer;

interface Leader {
    readonly attachmentId: string;
    readonly term: number;
    /** False on members of an earlier release, which grant no leases and wait for none. */
    readonly grantsLeases: boolean;
}

interface Request {
    readonly attachmentId: string;
    readonly sentMs: number;
}

export class LeaseRequester implements Filter<RequesterInput, Message> {
    readonly step = "lease_requester";
    readonly accepts = [FleetKind.FrameReceived, FleetKind.Detached, FleetKind.LeaseDue];
    /** Control members that claim to be the leader, by attachment. */
    private readonly leaders = new Map<string, Leader>();
    /** Requests whose answer can still be used, by sequence. */
    private readonly requests = new Map<number, Request>();
    private sequence = 0;
    /** End of the lease; Infinity while none is needed. */
    private untilMs = Infinity;

    process(message: RequesterInput, nowMs: number): readonly Message[] {
        return match<RequesterInput, readonly Message[]>(message)
            .with({ kind: FleetKind.FrameReceived }, matched => [matched, ...this.receive(matched, nowMs)])
            .with({ kind: FleetKind.Detached }, matched => {
                this.leaders.delete(matched.attachmentId);
                return [matched];
            })
            .otherwise(() => this.ask(nowMs));
    }

    private receive({ attachmentId, frame }: FrameReceived, nowMs: number): readonly Message[] {
        if (frame.kind === "lease_granted") {
            return this.receiveLease(attachmentId, frame.sequence, frame.validMs);
        }
        if (frame.kind !== "status") {
            return [];
        }
        if (!frame.leading) {
            this.leaders.delete(attachmentId);
            return [];
        }
        const { term, grantsLeases = false } = frame;
        this.leaders.set(attachmentId, { attachmentId, term, grantsLeases });
        return this.ask(nowMs);
    }

    private receiveLease(attachmentId: string, sequence: number, validMs: number): readonly Message[] {
        const request = this.requests.get(sequence);
        if (request?.attachmentId !== attachmentId || this.untilMs === Infinity) {
            return [];
        }
        this.requests.delete(sequence);
        return this.change(Math.max(this.untilMs, request.sentMs + Math.min(validMs, leaseDurationMs)));
    }

    private ask(nowMs: number): readonly Message[] {
        const leader = this.leader();
        if (leader === undefined) {
            return [];
        }
        if (!leader.grantsLeases) {
            return [...this.change(Infinity), clearDeadline("fleet.lease")];
        }
        [...this.requests].filter(([, { sentMs }]) => nowMs - sentMs >= leaseDurationMs)
            .forEach(([sequence]) => this.requests.delete(sequence));
        const { attachmentId } = leader;
        const sequence = ++this.sequence;
        this.requests.set(sequence, { attachmentId, sentMs: nowMs });
        const needed = this.untilMs === Infinity ? this.change(-Infinity) : [];
        return [
            ...needed,
            sendFrame(attachmentId, { kind: "lease_asked", sequence }),
            setDeadline("fleet.lease", nowMs + (nowMs < this.untilMs ? leaseRenewalMs : leaseRetryMs), {
                kind: FleetKind.LeaseDue,
            }),
        ];
    }

    private change(untilMs: number): readonly Message[] {
        const isNew = untilMs !== this.untilMs;
        this.untilMs = untilMs;
        const changed: LeaseChanged = { kind: FleetKind.LeaseChanged, untilMs };
        return isNew ? [changed] : [];
    }

    private leader(): Leader | undefined {
        return [...this.leaders.values()].sort((left, right) => right.term - left.term)[0];
    }
}
