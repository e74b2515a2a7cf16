/** Orders that the leader gave to databases held here; each is carried out once and its result kept until seen. */
import {
    type DatabaseOrder,
    HolderHealthKind,
    type HolderOrder,
    type HolderOrderDone,
    type OrderResult,
} from "../model/healthMessages.ts";

export class ReceivedOrders {
    /** Undefined while an order is being carried out. */
    private readonly results = new Map<string, OrderResult | undefined>();

    /** Takes all orders that the leader has open; returns those that are new. */
    update(open: readonly DatabaseOrder[]): HolderOrder[] {
        const openIds = new Set(open.map(order => order.orderId));
        for (const orderId of this.results.keys()) {
            if (!openIds.has(orderId)) {
                this.results.delete(orderId);
            }
        }
        return open.filter(order => !this.results.has(order.orderId)).map(order => {
            this.results.set(order.orderId, undefined);
            return { kind: HolderHealthKind.Order, ...order };
        });
    }

    recordResult({ orderId, failure }: HolderOrderDone): void {
        if (this.results.has(orderId)) {
            this.results.set(orderId, { orderId, failure });
        }
    }

    completedResults(): OrderResult[] {
        return [...this.results.values()].filter(result => result !== undefined);
    }
}
