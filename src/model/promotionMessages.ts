/** Messages between the promotion filter and the platform that carries out promotions. */
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
    /** A higher fence was used, or the database does not run. */
    Refused: "refused",
    /** No answer; it may be carried out later. */
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
