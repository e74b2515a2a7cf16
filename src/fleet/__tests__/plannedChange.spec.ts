import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PromotionWorld } from "./promotionWorld.ts";

function drainPrimary(world: PromotionWorld): void {
    const [former] = world.databases;
    former!.draining = true;
    world.report(former!);
    while (former!.leads) {
        world.advance(1);
    }
}

describe("planned changes of primary", () => {
    it("keep what an instance acknowledges that is cut off with a primary that has stepped down and leads again", () => {
        const world = new PromotionWorld();
        world.advance(5_000);
        const [former, chosen, other] = world.databases;
        drainPrimary(world);
        world.cutInstance(world.instances[0]!);
        world.instances[1]!.writes = false;
        other!.cutFromControl = true;
        while (world.record.orderedDatabaseId === "") {
            world.advance(1);
        }
        assert.equal(world.record.orderedDatabaseId, chosen!.id);
        former!.cutFromControl = true;
        chosen!.cutFrom.add(former!.address).add(other!.address);
        world.advance(100);
        world.crash(former!);
        const next = world.restart(former!);
        assert.ok(next.leads);
        const acknowledgedBefore = world.acknowledgedCount;
        world.advance(5_000);
        assert.ok(world.acknowledgedCount > acknowledgedBefore);
        [next, chosen!, other!].forEach(({ address }) => world.rejoin(address));
        world.joinInstance(world.instances[0]!);
        const acknowledgedInPart = world.acknowledgedCount;
        world.advance(5_000);
        assert.ok(world.acknowledgedCount > acknowledgedInPart);
        assert.deepEqual(world.lost, []);
    });

    it("wait no longer than the lease of an instance that has ended, whatever the databases do", () => {
        // Guards against a proof of the step down that never comes: of a process that has ended, or that is to lead again.
        const elapsedMs = (prepare: (world: PromotionWorld) => void): number => {
            const world = new PromotionWorld();
            world.advance(5_000);
            world.killInstance(world.instances[0]!);
            world.advance(50);
            const startedAtMs = world.nowMs;
            prepare(world);
            drainPrimary(world);
            while (world.promoted.length === 0 && world.nowMs < startedAtMs + 5_000) {
                world.advance(1);
            }
            return world.nowMs - startedAtMs;
        };
        const all = [
            elapsedMs(() => undefined),
            elapsedMs(world => world.after(100, () => world.leave(world.database(0)))),
            elapsedMs(world =>
                world.databases.slice(1).forEach(replica => {
                    replica.deaf = true;
                })
            ),
        ];
        assert.ok(all.every(ms => ms < 2_300), `${all}`);
    });
});
