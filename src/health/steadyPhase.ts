/** No change of primary is in progress. */
import type { GroupView } from "./groupView.ts";
import { type Decision, type Phase, PhaseName, stayInPhase } from "./primaryChangePhase.ts";

/** Minimum time between two changes of a group's primary, unless the new primary is lost. */
const minimumChangeIntervalMs = 10_000;

export class SteadyPhase implements Phase {
    readonly name = PhaseName.Steady;
    private readonly groupView: GroupView;
    private readonly lastChangeAtMs: number | undefined;
    private changeRequested = false;

    /** @param lastChangeAtMs time of the last change of primary under this leader */
    constructor(groupView: GroupView, lastChangeAtMs: number | undefined) {
        this.groupView = groupView;
        this.lastChangeAtMs = lastChangeAtMs;
    }

    /** Called when an operator requests another primary. */
    requestChange(): void {
        this.changeRequested = true;
    }

    decide(nowMs: number): Decision {
        const primaryId = this.groupView.group.primaryId;
        if (this.groupView.isLost(primaryId, nowMs)) {
            return { messages: [], transition: { to: PhaseName.EndingLease, planned: false } };
        }
        const isDeparting = this.groupView.directoryEntry(primaryId)?.announcement.departing ?? false;
        const isTooSoon = this.lastChangeAtMs !== undefined && nowMs - this.lastChangeAtMs < minimumChangeIntervalMs;
        return (isDeparting || this.changeRequested || this.groupView.mustPrimaryLeave) && !isTooSoon
                && this.hasReachableMajorityOfOthers(nowMs)
            ? { messages: [], transition: { to: PhaseName.Preparing } }
            : stayInPhase;
    }

    // Without a majority of the other members, a change would interrupt the writes and then fail.
    private hasReachableMajorityOfOthers(nowMs: number): boolean {
        const reachable = this.groupView.membersExcept(this.groupView.group.primaryId)
            .filter(memberId => this.groupView.currentReport(memberId, nowMs)?.report.reachable);
        return reachable.length >= this.groupView.majoritySize;
    }
}
