/** What every run of clients against real processes has to show. */
import assert from "node:assert/strict";
import type { AnswerFaultRates } from "../../standins/platform/answerFaults.ts";
import { noRuleBroken } from "../../standins/platform/ruleChecker.ts";
import type { StatementWorld } from "../statementWorld.ts";

const playMs = 4_000;
const minimumServed = 1_000;

/** Lets clients ask for some seconds: they are served, no rule is broken, and no process ends by itself. */
export async function playAndCheck(world: StatementWorld, rates: Partial<AnswerFaultRates>): Promise<void> {
    const { broken, examples, answers } = await world.play(playMs, minimumServed, rates);
    assert.deepEqual(broken, noRuleBroken, examples.join("\n"));
    assert.ok(answers["served"]! > minimumServed, JSON.stringify(answers));
    assert.deepEqual(world.cluster.unexpectedEnds, []);
}
