/** No change of primary is under way. */
import type { GroupView } from "./groupView.ts";
import { type Decision, type Phase, PhaseName, stayInPhase } from "./primaryChangePhase.ts";

/** Time between two changes of a group unless the new primary is lost. */
const changeIntervalMs = 10_000;

export class SteadyPhase implements Phase {
    readonly name = PhaseName.Steady;
    private readonly groupView: GroupView;
    private readonly lastChangeAtMs: number | undefined;
    private changeRequested = false;

    /** @param lastChangeAtMs time of the last change of primary in this office */
    constructor(groupView: GroupView, lastChangeAtMs: number | undefined) {
        this.groupView = groupView;
        this.lastChangeAtMs = lastChangeAtMs;
    }

    /** An operator wants another primary. */
    requestChange(): void {
        this.changeRequested = true;
    }

    decide(nowMs: number): Decision {
        const primaryId = this.groupView.group.primaryId;
        if (this.groupView.isLost(primaryId, nowMs)) {
            return { messages: [], transition: { to: PhaseName.EndingLease, planned: false } };
        }
        const departing = this.groupView.directoryEntry(primaryId)?.announcement.departing ?? false;
        const tooSoon = this.lastChangeAtMs !== undefined && nowMs - this.lastChangeAtMs < changeIntervalMs;
        return (departing || this.changeRequested) && !tooSoon && this.hasMajorityOfOthers(nowMs)
            ? { messages: [], transition: { to: PhaseName.Preparing } }
            : stayInPhase;
    }

    // A change that cannot find a majority would stop the writes for nothing.
    private hasMajorityOfOthers(nowMs: number): boolean {
        const reachable = this.groupView.membersExcept(this.groupView.group.primaryId)
            .filter(memberId => this.groupView.currentReport(memberId, nowMs)?.report.reachable);
        return reachable.length >= this.groupView.majoritySize;
    }
}
