import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PromotionWorld } from "./promotionWorld.ts";

describe("promotions beside outdated reports", () => {
    it("keeps commits of the primary until an ordered database leads whose last report is of an earlier lead", () => {
        const world = new PromotionWorld();
        world.advance(5_000);
        world.crash(world.database(0));
        world.advance(3_000);
        const former = world.primary!;
        world.restart(world.database(0));
        world.advance(3_000);
        former.cutFromControl = true;
        world.advance(4_000);
        const present = world.primary!;
        // Reports of a database whose reports have failed come seldom.
        world.silentDatabases.add(former);
        former.cutFromControl = false;
        world.advance(1_000);
        present.cutFromControl = true;
        while (world.orders.length < 3) {
            world.advance(5);
        }
        present.cutFrom.add(former.address);
        world.advance(3_000);
        assert.deepEqual(world.lost, []);
    });

    it("does not take the former primary for the present one while that has not reported its lead", () => {
        const world = new PromotionWorld();
        world.advance(5_000);
        world.crash(world.database(0));
        world.advance(3_000);
        world.restart(world.database(0));
        world.advance(3_000);
        const former = world.primary!;
        former.draining = true;
        world.report(former);
        world.advance(4);
        world.databases.forEach(database => world.silentDatabases.add(database));
        world.advance(1_500);
        const { fence } = world.record;
        assert.notEqual(world.primary, former);
        const before = world.acknowledgedCount;
        world.advance(2_000);
        assert.equal(world.record.fence, fence);
        assert.ok(world.acknowledgedCount - before >= 95, `${world.acknowledgedCount - before} commits in 2 s`);
        assert.deepEqual(world.lost, []);
    });
});
