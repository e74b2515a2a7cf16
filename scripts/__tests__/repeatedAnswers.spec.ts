import "disposablestack/auto";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import type { AnswerFaultRates } from "../../standins/platform/answerFaults.ts";
import { noRuleBroken } from "../../standins/platform/ruleChecker.ts";
import { StatementWorld } from "../statementWorld.ts";

const playMs = 4_000;
const minimumServed = 1_000;

describe(
    "statements on real processes keep their sessions, transactions, rows and commits",
    { timeout: 120_000 },
    () => {
        let world: StatementWorld;

        before(async () => {
            world = await StatementWorld.open({ members: 3, proxies: 2, sessions: 24, seed: 1 });
        });

        after(() => world[Symbol.asyncDispose]());

        async function playAndCheck(rates: Partial<AnswerFaultRates>): Promise<void> {
            const { broken, examples, answers } = await world.play(playMs, minimumServed, rates);
            assert.deepEqual(broken, noRuleBroken, examples.join("\n"));
            assert.ok(answers["served"]! > minimumServed, JSON.stringify(answers));
            assert.deepEqual(world.cluster.unexpectedEnds, []);
        }

        it("while databases refuse some statements", async () => {
            await playAndCheck({ errorShare: 0.01 });
        });

        it("while databases refuse some commands that set up the session", async () => {
            // Guards against statements that run behind a refused command, with the values of another session.
            await playAndCheck({ setupErrorShare: 0.1 });
        });

        it("while databases send some answers twice, the second time late", async () => {
            // Guards against replies that are matched to statements by their order alone.
            await playAndCheck({ errorShare: 0.01, repeatedShare: 0.03 });
            assert.ok(world.faults.repeatedCount > 0);
        });
    },
);
