import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { DecisionStage, PromotionRule } from "../../model/promotionDecision.ts";
import { OrderResult, PromotionKind } from "../../model/promotionMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { StatsdCounters } from "../counters.ts";
import { PromotionCounters } from "../promotionCounters.ts";

describe("counters of promotions", () => {
    it("count stages by rule, and calls to the platform by result", async () => {
        await using counters = new StatsdCounters({ agent: undefined, instanceId: "m" });
        const observer = new PromotionCounters(counters);
        const output = (message: object): void => observer.onOutput(message as Message);
        const decide = (stage: DecisionStage, rule?: PromotionRule): void =>
            output({ kind: PromotionKind.Decided, stage, rule });
        decide(DecisionStage.Begun);
        decide(DecisionStage.GivenUp);
        decide(DecisionStage.Begun);
        decide(DecisionStage.Chosen, PromotionRule.FormerPrimaryLog);
        output({ kind: PromotionKind.Order });
        output({ kind: PromotionKind.Order });
        [OrderResult.Unknown, OrderResult.Accepted].forEach(result =>
            observer.onEvent({ kind: PromotionKind.Ordered, result } as Message)
        );
        decide(DecisionStage.Completed, PromotionRule.FormerPrimaryLog);
        assert.deepEqual(Object.fromEntries(counters.totals()), {
            "promotion.begun": 2,
            "promotion.given_up.no_rule": 1,
            "promotion.chosen.former_primary_log": 1,
            "promotion.order": 2,
            "promotion.ordered.unknown": 1,
            "promotion.ordered.accepted": 1,
            "promotion.completed.former_primary_log": 1,
        });
    });
});
