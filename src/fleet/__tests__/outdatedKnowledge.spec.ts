import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PromotionWorld } from "./promotionWorld.ts";

function delayFeeds(world: PromotionWorld, feedDelayMs: number): void {
    world.instances.forEach(instance => {
        instance.feedDelayMs = feedDelayMs;
    });
}

function advanceToOrder(world: PromotionWorld, orderCount: number): void {
    for (let step = 0; step < 4_000 && world.orders.length < orderCount; step++) {
        world.advance(2);
    }
    assert.equal(world.orders.length, orderCount);
}

describe("changes of primary beside outdated knowledge", () => {
    it("keeps commits that an instance asked to stop acknowledges because of an earlier order", () => {
        const world = new PromotionWorld();
        world.nextPlatformDelayMs = () => world.orders.at(-1)!.endsWith("/1") ? 2_500 : 900;
        world.advance(5_000);
        const [former, ordered] = [world.database(0), world.database(1)];
        former.cutFromControl = true;
        former.cutFrom.add(ordered.address).add(world.database(2).address);
        advanceToOrder(world, 1);
        assert.deepEqual(world.orders, ["d1/1"]);
        world.advance(2_000);
        // The next leader reaches the former primary, but not the database that is ordered to lead.
        delayFeeds(world, 2_000);
        ordered.cutFromControl = true;
        former.cutFromControl = false;
        world.stopControl();
        world.startControl();
        world.advance(3_000);
        assert.deepEqual(world.promoted, ["d1", "d0"]);
        assert.deepEqual(world.lost, []);
    });

    it("keeps commits of a primary whose predecessor is asked to step down again", () => {
        const world = new PromotionWorld();
        world.advance(5_000);
        const [former] = world.databases;
        former!.draining = true;
        world.report(former!);
        world.advance(4);
        // The change of role is reported by neither of the two.
        world.databases.forEach(database => world.silentDatabases.add(database));
        advanceToOrder(world, 1);
        world.advance(1_000);
        const { primary } = world;
        assert.deepEqual(world.promoted, [primary!.id]);
        delayFeeds(world, 1_000);
        primary!.cutFromControl = true;
        world.orderSent = databaseId => {
            world.databases.filter(({ id }) => id === databaseId && id !== primary!.id)
                .forEach(({ address }) => primary!.cutFrom.add(address));
        };
        world.advance(3_000);
        assert.deepEqual(world.lost, []);
    });

    it("keeps commits of a primary that has stepped down, starts again and leads until the order is executed", () => {
        const world = new PromotionWorld();
        world.advance(5_000);
        delayFeeds(world, 1_000);
        const [former] = world.databases;
        former!.draining = true;
        world.report(former!);
        advanceToOrder(world, 1);
        world.crash(former!);
        const next = world.restart(former!);
        assert.ok(next.leads);
        next.cutFromControl = true;
        const chosenId = world.orders[0]!.split("/")[0];
        world.databases.filter(({ id }) => id === chosenId).forEach(({ address }) => next.cutFrom.add(address));
        world.advance(3_000);
        assert.deepEqual(world.promoted, [chosenId]);
        assert.deepEqual(world.lost, []);
    });

    it("replaces a dark primary beside a late report of a process that has ended", () => {
        const world = new PromotionWorld();
        world.advance(5_000);
        world.stopControl();
        const ended = world.restart(world.database(1));
        ended.heldReports.push(ended.report("s"));
        world.advance(1);
        world.restart(ended);
        world.startControl();
        world.advance(3_000);
        world.rejoin(ended.address);
        world.advance(1_000);
        world.database(0).dark = true;
        world.advance(10_000);
        assert.deepEqual(world.promoted.length, 1);
    });
});
