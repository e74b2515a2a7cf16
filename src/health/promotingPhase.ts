/** Orders the promotion of the new primary until it succeeds or the new primary is lost. */
import { type AllowLease, HealthKind } from "../model/healthMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { GroupView } from "./groupView.ts";
import type { MemberOrders } from "./memberOrders.ts";
import { type Decision, type Phase, PhaseName, stayInPhase } from "./primaryChangePhase.ts";

export class PromotingPhase implements Phase {
    readonly name = PhaseName.Promoting;
    private readonly groupView: GroupView;
    private readonly orders: MemberOrders;
    private readonly formerPrimaryId: string;

    constructor(groupView: GroupView, orders: MemberOrders, formerPrimaryId: string) {
        this.groupView = groupView;
        this.orders = orders;
        this.formerPrimaryId = formerPrimaryId;
    }

    enter(): readonly Message[] {
        this.orders.requireOrders();
        // An instance that gets the former primary's lease knows the new term: it applied the configuration before.
        const allow: AllowLease = { kind: HealthKind.AllowLease, databaseId: this.formerPrimaryId };
        return [allow];
    }

    decide(nowMs: number): Decision {
        if (this.orders.isPromoted) {
            return { messages: [], transition: { to: PhaseName.Steady } };
        }
        if (this.groupView.isLost(this.groupView.group.primaryId, nowMs)) {
            return { messages: [], transition: { to: PhaseName.EndingLease, planned: false } };
        }
        return stayInPhase;
    }
}
