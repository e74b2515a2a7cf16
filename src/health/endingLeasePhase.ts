/** Ends the lease on the old primary, so that no write is acknowledged under the old term any more. */
import type { EndLease } from "../model/healthMessages.ts";
import { HealthKind } from "../model/healthMessages.ts";
import type { Message } from "../pipeline/message.ts";
import { type Decision, type Phase, PhaseName, stay } from "./changePhase.ts";
import type { GroupFacts } from "./groupFacts.ts";

export class EndingLeasePhase implements Phase {
    readonly name = PhaseName.EndingLease;
    private readonly facts: GroupFacts;
    private readonly changeId: string;
    private planned: boolean;
    private ended = false;

    /** @param planned the running work of the primary may end first */
    constructor(facts: GroupFacts, changeId: string, planned: boolean) {
        this.facts = facts;
        this.changeId = changeId;
        this.planned = planned;
    }

    enter(): readonly Message[] {
        return [this.endLease()];
    }

    leaseEnded(changeId: string): void {
        this.ended ||= changeId === this.changeId;
    }

    decide(nowMs: number): Decision {
        if (this.ended) {
            return { messages: [], transition: { to: PhaseName.ReadingPositions, planned: this.planned } };
        }
        if (this.planned && this.facts.isLost(this.facts.group.primaryId, nowMs)) {
            this.planned = false;
            return { messages: [this.endLease()], transition: undefined };
        }
        return stay;
    }

    private endLease(): EndLease {
        return {
            kind: HealthKind.EndLease,
            databaseId: this.facts.group.primaryId,
            changeId: this.changeId,
            atOnce: !this.planned,
        };
    }
}
