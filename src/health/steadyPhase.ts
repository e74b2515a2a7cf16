/** No change of primary is under way. */
import { type Decision, type Phase, PhaseName, stay } from "./changePhase.ts";
import type { GroupFacts } from "./groupFacts.ts";

/** Time between two changes of a group unless the new primary is lost. */
const changeIntervalMs = 10_000;

export class SteadyPhase implements Phase {
    readonly name = PhaseName.Steady;
    private readonly facts: GroupFacts;
    private readonly lastChangeMs: number | undefined;
    private changeWanted = false;

    /** @param lastChangeMs time of the last change of primary in this office */
    constructor(facts: GroupFacts, lastChangeMs: number | undefined) {
        this.facts = facts;
        this.lastChangeMs = lastChangeMs;
    }

    /** An operator wants another primary. */
    wantChange(): void {
        this.changeWanted = true;
    }

    decide(nowMs: number): Decision {
        const primaryId = this.facts.group.primaryId;
        if (this.facts.isLost(primaryId, nowMs)) {
            return { messages: [], transition: { to: PhaseName.EndingLease, planned: false } };
        }
        const departing = this.facts.entry(primaryId)?.announcement.departing ?? false;
        const tooSoon = this.lastChangeMs !== undefined && nowMs - this.lastChangeMs < changeIntervalMs;
        return (departing || this.changeWanted) && !tooSoon && this.hasMajorityOfOthers(nowMs)
            ? { messages: [], transition: { to: PhaseName.Preparing } }
            : stay;
    }

    // A change that cannot find a majority would stop the writes for nothing.
    private hasMajorityOfOthers(nowMs: number): boolean {
        const reachable = this.facts.membersBut(this.facts.group.primaryId)
            .filter(memberId => this.facts.report(memberId, nowMs)?.report.reachable);
        return reachable.length >= this.facts.majority;
    }
}
