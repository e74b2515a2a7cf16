/** Counts promotions by rule, and calls to the platform by result. */
import { DecisionStage, type PromotionDecided } from "../model/promotionDecision.ts";
import { PromotionKind, type PromotionOrdered } from "../model/promotionMessages.ts";
import type { LoopObserver } from "../pipeline/eventLoop.ts";
import type { Message } from "../pipeline/message.ts";
import type { Counters } from "./counters.ts";

export class PromotionCounters implements LoopObserver {
    private readonly counters: Counters;

    constructor(counters: Counters) {
        this.counters = counters;
    }

    onEvent(message: Message): void {
        if (message.kind === PromotionKind.Ordered) {
            this.counters.count(`promotion.ordered.${(message as PromotionOrdered).result}`);
        }
    }

    onOutput(message: Message): void {
        if (message.kind === PromotionKind.Order) {
            this.counters.count("promotion.order");
        }
        if (message.kind === PromotionKind.Decided) {
            const { stage, rule } = message as PromotionDecided;
            this.counters.count(
                stage === DecisionStage.Begun ? "promotion.begun" : `promotion.${stage}.${rule ?? "no_rule"}`,
            );
        }
    }
}
