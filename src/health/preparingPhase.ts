/** Waits until the holders of all members send quick heartbeats, so that the change itself takes under 1 s. */
import type { GroupView } from "./groupView.ts";
import { type Decision, type Phase, PhaseName, stayInPhase } from "./primaryChangePhase.ts";

/** A holder whose last report is at most this old has got the shorter interval. */
const quickReportMs = 120;

/** Slow holders are not waited for longer than this. */
const longestMs = 2_000;

/** Time in which every holder has been told the shorter interval by the answer to a regular heartbeat. */
const shortestMs = 600;

export class PreparingPhase implements Phase {
    readonly name = PhaseName.Preparing;
    private readonly groupView: GroupView;
    private readonly startMs: number;

    constructor(groupView: GroupView, nowMs: number) {
        this.groupView = groupView;
        this.startMs = nowMs;
    }

    decide(nowMs: number): Decision {
        const elapsedMs = nowMs - this.startMs;
        const quick = this.groupView.group.memberIds.every(memberId => {
            return nowMs - (this.groupView.currentReport(memberId, nowMs)?.receivedAtMs ?? -Infinity) <= quickReportMs;
        });
        const ready = quick && elapsedMs >= shortestMs || elapsedMs >= longestMs;
        return ready ? { messages: [], transition: { to: PhaseName.EndingLease, planned: true } } : stayInPhase;
    }
}
