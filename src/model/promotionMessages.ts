/** Messages between the promotion filter and the platform that executes promotions. */
import type { Message } from "../pipeline/message.ts";

export const PromotionKind = {
    Order: "promotion.order",
    Ordered: "promotion.ordered",
    Due: "promotion.due",
} as const;

/** Asks the platform to make a database the primary of its service. */
export interface PromotionOrder extends Message {
    readonly kind: typeof PromotionKind.Order;
    readonly service: string;
    readonly databaseId: string;
    readonly fence: number;
}

export const OrderResult = {
    Accepted: "accepted",
    /** The platform has seen a higher fence, or the database is not running. */
    Refused: "refused",
    /** No answer arrived; the platform may still execute the order. */
    Unknown: "unknown",
} as const;
export type OrderResult = typeof OrderResult[keyof typeof OrderResult];

export interface PromotionOrdered extends Message {
    readonly kind: typeof PromotionKind.Ordered;
    readonly service: string;
    readonly databaseId: string;
    readonly fence: number;
    readonly result: OrderResult;
}

/** A timer of the promotion filter. */
export interface PromotionDue extends Message {
    readonly kind: typeof PromotionKind.Due;
}
