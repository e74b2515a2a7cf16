import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PromotionWorld } from "./promotionWorld.ts";

/** Loses the log of the primary and the memory of all instances; both replicas keep what was acknowledged. */
function loseThePrimary(world: PromotionWorld): void {
    world.advance(5_000);
    world.stopControl();
    world.instances.forEach(instance => world.killInstance(instance));
    world.crash(world.database(0));
}

function startAgain(world: PromotionWorld): void {
    world.instances.forEach(instance => world.startInstance(instance));
    world.startControl();
    world.advance(12_000);
}

function assertCommits(world: PromotionWorld): void {
    const before = world.acknowledgedCount;
    world.advance(1_000);
    assert.equal(world.lost.length, 0);
    assert.ok(world.acknowledgedCount - before >= 40, `no commits, ${[...world.waits].join()}`);
}

describe("a choice after the log of the primary and the memory of all instances were lost", () => {
    it("goes by the replicas when the primary starts again with nothing", () => {
        // Guards against a service without a primary for ever: one lost log counts twice.
        const world = new PromotionWorld();
        loseThePrimary(world);
        world.restartEmpty(world.database(0), false);
        startAgain(world);
        assertCommits(world);
    });

    it("goes by the replicas when a new database joins with nothing", () => {
        // Guards against a service without a primary for ever: a database that never had a log counts as one that lost it.
        const world = new PromotionWorld();
        loseThePrimary(world);
        world.restartEmpty(world.database(0), false);
        world.join();
        startAgain(world);
        assertCommits(world);
    });
});
