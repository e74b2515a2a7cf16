import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PromotionWorld } from "./promotionWorld.ts";

describe("a promotion that is completed after a database has lost its log", () => {
    it("keeps what that one alone had confirmed to the new primary", () => {
        const world = new PromotionWorld();
        world.advance(5_000);
        world.crash(world.database(0));
        while (world.orders.length === 0) {
            world.advance(5);
        }
        const ordered = world.databases.find(({ id }) => world.orders[0]!.startsWith(`${id}/`))!;
        const replica = world.databases.find(database => database !== ordered && database.running)!;
        world.advance(300);
        ordered.cutFromControl = true;
        while (world.promoted.length === 0) {
            world.advance(5);
        }
        world.restart(world.database(0)).deaf = true;
        world.advance(1_000);
        world.restartEmpty(replica, false).deaf = true;
        world.advance(2_000);
        ordered.cutFromControl = false;
        world.advance(1_500);
        assert.equal(world.record.open, false);
        world.crash(ordered);
        world.instances.forEach(instance => world.killInstance(instance));
        world.instances.forEach(instance => world.startInstance(instance));
        world.advance(15_000);
        assert.deepEqual(world.lost, []);
    });
});
