/** Ends the lease on the old primary, so that no write is acknowledged under the old term any more. */
import type { EndLease } from "../model/healthMessages.ts";
import { HealthKind } from "../model/healthMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { GroupView } from "./groupView.ts";
import { type Decision, type Phase, PhaseName, stayInPhase } from "./primaryChangePhase.ts";

export class EndingLeasePhase implements Phase {
    readonly name = PhaseName.EndingLease;
    private readonly groupView: GroupView;
    private readonly changeId: string;
    private planned: boolean;
    private ended = false;

    /** @param planned the running work of the primary may end first */
    constructor(groupView: GroupView, changeId: string, planned: boolean) {
        this.groupView = groupView;
        this.changeId = changeId;
        this.planned = planned;
    }

    enter(): readonly Message[] {
        return [this.endLease()];
    }

    onLeaseEnded(changeId: string): void {
        this.ended ||= changeId === this.changeId;
    }

    decide(nowMs: number): Decision {
        if (this.ended) {
            return { messages: [], transition: { to: PhaseName.ReadingPositions, planned: this.planned } };
        }
        if (this.planned && this.groupView.isLost(this.groupView.group.primaryId, nowMs)) {
            this.planned = false;
            return { messages: [this.endLease()], transition: undefined };
        }
        return stayInPhase;
    }

    private endLease(): EndLease {
        return {
            kind: HealthKind.EndLease,
            databaseId: this.groupView.group.primaryId,
            changeId: this.changeId,
            atOnce: !this.planned,
        };
    }
}
