/** Orders of the leader to databases held by this instance. Each runs once; its result is kept until acknowledged. */
import {
    type DatabaseOrder,
    HolderHealthKind,
    type HolderOrder,
    type HolderOrderDone,
    type OrderResult,
} from "../model/healthMessages.ts";

export class ReceivedOrders {
    /** Results by order id; undefined while an order is in progress. */
    private readonly results = new Map<string, OrderResult | undefined>();

    /** Compares with all orders that are open at the leader: returns the new ones, and drops those no longer open. */
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
