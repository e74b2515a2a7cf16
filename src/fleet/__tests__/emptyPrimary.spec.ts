import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PromotionWorld } from "./promotionWorld.ts";

describe("a primary that has started again under its id without its log", () => {
    it("is no measure for a replica that is to lead after all other processes have restarted", () => {
        // Guards against the loss of everything: the empty primary steps down, and each replica has as much as it has.
        const world = new PromotionWorld();
        world.advance(5_000);
        const first = world.database(0);
        world.crash(first);
        world.advance(3_000);
        const stale = world.restart(first);
        world.advance(1_000);
        const primary = world.primary!;
        const upToDate = world.databases.find(database => database !== primary && database !== stale)!;
        stale.deaf = true;
        world.advance(2_000);
        world.stopControl();
        world.instances.forEach(instance => world.killInstance(instance));
        world.restartEmpty(primary, false);
        upToDate.dark = true;
        world.instances.forEach(instance => world.startInstance(instance));
        world.startControl();
        world.advance(4_000);
        assert.equal(world.lost.length, 0);
    });
});
