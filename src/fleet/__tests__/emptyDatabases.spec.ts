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

describe("a replica that starts again without its log while a primary is replaced", () => {
    it("is not ordered by what it answered before", () => {
        // Guards against an empty primary that is chosen by a position which is up to 300 ms old.
        for (let elapsedMs = 400; elapsedMs < 800; elapsedMs += 5) {
            const world = new PromotionWorld();
            world.advance(5_000);
            const [primary, replica, other] = world.databases;
            world.crash(primary!);
            other!.cutFromControl = true;
            world.advance(300);
            other!.cutFromControl = false;
            world.advance(elapsedMs - 300);
            const hasOrdered = world.orders.length > 0;
            world.silentDatabases.add(world.restartEmpty(replica!, true));
            world.advance(2_000);
            const text = `${world.lost.length} lost, restart ${elapsedMs} ms after the crash`;
            assert.ok(hasOrdered || world.lost.length === 0, text);
        }
    });
});
