/** Orders the promotion until it is done or the new primary is lost. */
import { type AllowLease, HealthKind } from "../model/healthMessages.ts";
import type { Message } from "../pipeline/message.ts";
import { type Decision, type Phase, PhaseName, stay } from "./changePhase.ts";
import type { GroupFacts } from "./groupFacts.ts";
import type { MemberOrders } from "./memberOrders.ts";

export class PromotingPhase implements Phase {
    readonly name = PhaseName.Promoting;
    private readonly facts: GroupFacts;
    private readonly orders: MemberOrders;
    private readonly replacedId: string;

    constructor(facts: GroupFacts, orders: MemberOrders, replacedId: string) {
        this.facts = facts;
        this.orders = orders;
        this.replacedId = replacedId;
    }

    enter(): readonly Message[] {
        this.orders.wantAll();
        // A holder that gets the old primary now knows the new term, because leases wait for the configuration.
        const allow: AllowLease = { kind: HealthKind.AllowLease, databaseId: this.replacedId };
        return [allow];
    }

    decide(nowMs: number): Decision {
        if (this.orders.isPromoted) {
            return { messages: [], transition: { to: PhaseName.Steady } };
        }
        if (this.facts.isLost(this.facts.group.primaryId, nowMs)) {
            return { messages: [], transition: { to: PhaseName.EndingLease, planned: false } };
        }
        return stay;
    }
}
