import "disposablestack/auto";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { noRuleBroken } from "../../standins/platform/ruleChecker.ts";
import { StatementWorld } from "../statementWorld.ts";

/** Time for which only one replica confirms commits, and for which that replica is out of reach afterwards. */
const laggingMs = 2_000;
const silentMs = 8_000;

describe("promotions on real processes", { timeout: 120_000 }, () => {
    let world: StatementWorld;

    before(async () => {
        world = await StatementWorld.open({ members: 3, proxies: 2, sessions: 9, seed: 1 });
    });

    after(() => world[Symbol.asyncDispose]());

    it("keep what was acknowledged when the primary comes back under its id with nothing", async () => {
        // Guards against an empty database whose position counts as the last one of the primary that it was.
        const [primary, keeper, laggard] = world.group.members;
        world.startClients();
        await delay(1_000);
        const lagging = laggard!.cutOff({ statements: false, answers: false }, true, laggingMs);
        await delay(laggingMs / 2);
        await primary!.stop();
        const silent = keeper!.cutOff({ statements: true, answers: true }, false, silentMs);
        await lagging;
        await world.startSuccessor(primary!, false);
        await silent;
        await delay(4_000);
        const { broken, examples } = await world.finish();
        assert.deepEqual(broken, noRuleBroken, examples.join("\n"));
        assert.equal(world.platform.promotionCount > 0, true);
    });
});
