import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PromotionWorld } from "./promotionWorld.ts";

/** A world whose primary was promoted, with an instance whose configuration is that of the time at which it was ordered. */
function worldWithLateFeed(): PromotionWorld {
    const world = new PromotionWorld();
    world.advance(5_000);
    const [replaced] = world.databases;
    world.crash(replaced!);
    while (world.instances[0]!.orderedDatabaseId === "") {
        world.advance(5);
    }
    world.instances[0]!.feedLost = true;
    world.advance(3_000);
    world.restart(replaced!);
    world.advance(3_000);
    return world;
}

/** The primary is cut off from the control members, and a replica that does not stop any more confirms what it commits. */
function replacePrimaryThatGoesOn(world: PromotionWorld): void {
    const former = world.primary!;
    const orderCount = world.orders.length;
    former.cutFromControl = true;
    while (world.orders.length === orderCount) {
        world.advance(5);
    }
    const ordered = world.orders.at(-1)!.split("/")[0];
    const replica = world.databases.find(database => database !== former && database.id !== ordered)!;
    replica.cutFromControl = true;
    world.crash(replica);
    world.restart(replica);
    world.advance(3_000);
}

describe("promotions beside an instance whose configuration is late", () => {
    it("keep what it acknowledges that knows the former order as the present one", () => {
        const world = worldWithLateFeed();
        replacePrimaryThatGoesOn(world);
        assert.deepEqual(world.lost, []);
    });

    it("keep what it acknowledges that knows the order of an earlier leader as the present one", () => {
        const world = new PromotionWorld();
        world.advance(5_000);
        const [replaced] = world.databases;
        let platformDelayMs = 2_000;
        world.nextPlatformDelayMs = () => platformDelayMs;
        world.crash(replaced!);
        while (world.orders.length === 0) {
            world.advance(5);
        }
        const ordered = world.databases.find(({ id }) => world.orders[0]!.startsWith(`${id}/`))!;
        world.restart(replaced!);
        world.advance(1_700);
        ordered.cutFromControl = true;
        platformDelayMs = 400;
        world.stopControl();
        world.startControl();
        while (world.record.fence === 1) {
            world.advance(5);
        }
        world.advance(40);
        world.instances[0]!.feedLost = true;
        while (world.record.orderedDatabaseId === ordered.id) {
            world.advance(5);
        }
        const chosen = world.databases.find(({ id }) => id === world.record.orderedDatabaseId)!;
        ordered.cutFrom.add(chosen.address);
        world.advance(5_000);
        assert.deepEqual(world.promoted, [ordered.id, chosen.id]);
        assert.deepEqual(world.lost, []);
    });
});

describe("promotions beside an instance that has started without contact to the control leader", () => {
    it("keep what it acknowledges with a configuration that no leader has confirmed", () => {
        const world = new PromotionWorld();
        world.advance(5_000);
        const [instance] = world.instances;
        world.cutInstance(instance!);
        world.killInstance(instance!);
        world.startInstance(instance!);
        world.advance(2_000);
        replacePrimaryThatGoesOn(world);
        assert.deepEqual(world.lost, []);
    });
});
