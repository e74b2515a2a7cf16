/** Detects the end of a graceful shutdown. */
import { match } from "ts-pattern";
import { type CallerClosed, type CallerConnected, CallerKind } from "../model/callerMessages.ts";
import { ClusterKind, type DrainEnded, type DrainStarted, type LeasesRenewed } from "../model/clusterMessages.ts";
import { HealthKind, type HeartbeatAnswered } from "../model/healthMessages.ts";
import { setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";

const drainDueKind = "health.drain_due";

interface DrainDue extends Message {
    readonly kind: typeof drainDueKind;
}

type Input = CallerConnected | CallerClosed | DrainStarted | DrainDue | HeartbeatAnswered | LeasesRenewed;

/**
 * Ends the drain once no caller is connected and the leader has answered a heartbeat without leases, or when the drain
 * deadline passes.
 */
export class Drain implements Filter<Input, Message> {
    readonly step = "drain";
    readonly accepts: readonly Input["kind"][] = [
        CallerKind.Connected,
        CallerKind.Closed,
        ClusterKind.DrainStarted,
        ClusterKind.LeasesRenewed,
        HealthKind.HeartbeatAnswered,
        drainDueKind,
    ];
    private callers = 0;
    private draining = false;
    private ended = false;
    private leasesHeld = 0;
    private answersWithoutLeases = 0;

    process(message: Input, nowMs: number): readonly Message[] {
        const forwarded = message.kind === drainDueKind ? [] : [message];
        return [...forwarded, ...this.handle(message, nowMs)];
    }

    private handle(message: Input, nowMs: number): readonly Message[] {
        return match(message)
            .with({ kind: CallerKind.Connected }, () => this.countCallers(1))
            .with({ kind: CallerKind.Closed }, () => this.countCallers(-1))
            .with({ kind: ClusterKind.LeasesRenewed }, ({ leases }) => {
                this.leasesHeld = leases.length;
                this.answersWithoutLeases = 0;
                return [];
            })
            .with(
                { kind: HealthKind.HeartbeatAnswered },
                ({ answer }) => this.countLeaderAnswer(answer?.leading === true),
            )
            .with({ kind: ClusterKind.DrainStarted }, ({ deadlineMs }) => this.startDrain(deadlineMs, nowMs))
            .with({ kind: drainDueKind }, () => this.endDrain())
            .exhaustive();
    }

    private startDrain(deadlineMs: number, nowMs: number): readonly Message[] {
        if (this.draining) {
            return this.endDrain();
        }
        this.draining = true;
        const due = setDeadline(drainDueKind, Math.max(nowMs, deadlineMs), { kind: drainDueKind });
        return [due, ...this.endIfIdle()];
    }

    private countCallers(change: number): readonly Message[] {
        this.callers += change;
        return this.endIfIdle();
    }

    private countLeaderAnswer(fromLeader: boolean): readonly Message[] {
        if (fromLeader && this.leasesHeld === 0) {
            this.answersWithoutLeases += 1;
        }
        return this.endIfIdle();
    }

    // The first answer after the last lease was given back may belong to an earlier heartbeat; the second does not.
    private endIfIdle(): readonly Message[] {
        const isIdle = this.callers <= 0 && this.leasesHeld === 0 && this.answersWithoutLeases >= 2;
        return this.draining && isIdle ? this.endDrain() : [];
    }

    private endDrain(): readonly Message[] {
        if (this.ended) {
            return [];
        }
        this.ended = true;
        const ended: DrainEnded = { kind: ClusterKind.DrainEnded };
        return [ended];
    }
}
