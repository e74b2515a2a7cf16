/** Waits until the holders of all members send frequent heartbeats, so that the change itself takes under 1 s. */
import type { GroupView } from "./groupView.ts";
import { type Decision, type Phase, PhaseName, stayInPhase } from "./primaryChangePhase.ts";

/** A holder whose last report is at most this old sends frequent heartbeats. */
const frequentReportAgeMs = 120;

/** Time after which the change continues without waiting for slow holders. */
const maximumDurationMs = 2_000;

/** Time by which every holder has received the shorter interval in the answer to a regular heartbeat. */
const minimumDurationMs = 600;

export class PreparingPhase implements Phase {
    readonly name = PhaseName.Preparing;
    private readonly groupView: GroupView;
    private readonly startedAtMs: number;

    constructor(groupView: GroupView, nowMs: number) {
        this.groupView = groupView;
        this.startedAtMs = nowMs;
    }

    decide(nowMs: number): Decision {
        const elapsedMs = nowMs - this.startedAtMs;
        const allFrequent = this.groupView.group.memberIds.every(memberId => {
            return nowMs - (this.groupView.currentReport(memberId, nowMs)?.receivedAtMs ?? -Infinity)
                <= frequentReportAgeMs;
        });
        const ready = allFrequent && elapsedMs >= minimumDurationMs || elapsedMs >= maximumDurationMs;
        return ready ? { messages: [], transition: { to: PhaseName.EndingLease, planned: true } } : stayInPhase;
    }
}
