/** Orders the promotion until it is done or the new primary is lost. */
import { type AllowLease, HealthKind } from "../model/healthMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { GroupView } from "./groupView.ts";
import type { MemberOrders } from "./memberOrders.ts";
import { type Decision, type Phase, PhaseName, stayInPhase } from "./primaryChangePhase.ts";

export class PromotingPhase implements Phase {
    readonly name = PhaseName.Promoting;
    private readonly groupView: GroupView;
    private readonly orders: MemberOrders;
    private readonly replacedId: string;

    constructor(groupView: GroupView, orders: MemberOrders, replacedId: string) {
        this.groupView = groupView;
        this.orders = orders;
        this.replacedId = replacedId;
    }

    enter(): readonly Message[] {
        this.orders.requireOrders();
        // A holder that gets the old primary now knows the new term, because leases wait for the configuration.
        const allow: AllowLease = { kind: HealthKind.AllowLease, databaseId: this.replacedId };
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
