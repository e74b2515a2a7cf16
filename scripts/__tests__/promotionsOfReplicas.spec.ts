import "disposablestack/auto";
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import type { Database } from "../../standins/platform/database.ts";
import { noRuleBroken } from "../../standins/platform/ruleChecker.ts";
import { StatementWorld } from "../statementWorld.ts";

/** Time for which only one replica confirms commits, and the limit until the first of them on a busy machine. */
const laggingMs = 1_000;
const firstCommitLimitMs = 20_000;
const pollMs = 50;

/** Time after which the lost primary is back. */
const successorDelayMs = 1_000;

/** Time for which the only database with the last commits is out of reach. */
const awayMs = 5_000;

/** Time within which a promotion ends after that. */
const promotionLimitMs = 4_000;

describe("promotions on real processes keep what was acknowledged", { timeout: 240_000 }, () => {
    let world: StatementWorld;
    let primary: Database;
    /** The replica that has confirmed the last commits, and the one that lacks them. */
    let keeper: Database;
    let laggard: Database;

    beforeEach(async () => {
        world = await StatementWorld.open({ members: 3, proxies: 2, sessions: 9, seed: 1 });
        [primary, keeper, laggard] = world.group.members as [Database, Database, Database];
        world.startClients();
        await delay(1_000);
    });

    afterEach(() => world[Symbol.asyncDispose]());

    /** Commits for a time beside a replica that is cut off, ends the primary, and then connects the replica again. */
    async function loseThePrimary(beforeEnd?: () => Promise<void>): Promise<void> {
        laggard.cutOff({ statements: false, answers: false }, true);
        await delay(laggingMs);
        const endsAtMs = performance.now() + firstCommitLimitMs;
        while (laggard.log.received >= primary.log.received && performance.now() < endsAtMs) {
            await delay(pollMs);
        }
        await beforeEnd?.();
        await primary.stop();
        laggard.reconnect();
        assert.ok(laggard.log.received < primary.log.received);
    }

    async function checkRules(): Promise<void> {
        await delay(promotionLimitMs);
        const { broken, examples } = await world.finish();
        assert.deepEqual(broken, noRuleBroken, examples.join("\n"));
        assert.ok(world.group.leader!.isRunning);
    }

    it("when the primary comes back under its id with nothing", async () => {
        // Guards against an empty database whose position counts as the last one of the primary that it was.
        await loseThePrimary();
        keeper.cutOff({ statements: true, answers: true }, false);
        await delay(successorDelayMs);
        await world.startSuccessor(primary, false);
        await delay(awayMs);
        keeper.reconnect();
        await checkRules();
        assert.ok(world.platform.promotionCount > 0);
    });

    it("when the replica that confirmed it comes back with nothing before the primary does", async () => {
        // Guards against an empty database that counts among those that would have the commits.
        await loseThePrimary();
        await keeper.stop();
        await world.startSuccessor(keeper, false);
        await delay(awayMs);
        await world.startSuccessor(primary, true);
        await checkRules();
    });

    it("when the replica that confirmed it has left before the primary is lost", async () => {
        // Guards against commits that are counted on at a replica that took its log along.
        await loseThePrimary(async () => {
            await keeper.drain(0);
            await keeper.leave();
            world.group.remove(keeper);
        });
        await delay(awayMs);
        await world.startSuccessor(primary, true);
        await checkRules();
    });
});
