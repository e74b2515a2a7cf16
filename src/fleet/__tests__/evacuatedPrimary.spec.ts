import * as fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PromotionWorld } from "./promotionWorld.ts";

/** Part of the bound after which instances send nothing more to a primary in an evacuated data centre. */
const primaryTimeMs = 2_000;

const propertyRuns = Number(process.env["EVACUATED_PRIMARY_RUNS"] ?? 60);

function machineOf(world: PromotionWorld): string | undefined {
    return world.primary?.dataCentre;
}

function assertWrites(world: PromotionWorld, context: string): void {
    const before = world.acknowledgedCount;
    world.advance(1_000);
    assert.ok(world.acknowledgedCount - before >= 40, `${context}: ${world.acknowledgedCount - before} commits in 1 s`);
}

describe("the primary of a service in an evacuated data centre", () => {
    it("is replaced in time, without the loss of a commit", () => {
        let inTime = 0;
        let changes = 0;
        for (let offsetMs = 0; offsetMs < 1_200; offsetMs += 37) {
            const world = new PromotionWorld();
            world.advance(5_000 + offsetMs);
            world.evacuate("host0");
            world.advance(400);
            assert.equal(machineOf(world), "host0", "transactions have no time to end");
            world.advance(primaryTimeMs - 400);
            changes += 1;
            inTime += machineOf(world) === "host0" ? 0 : 1;
            // It is made the primary again if it stepped down with a commit that no replica has; then it leaves once more.
            world.advance(4_500 - primaryTimeMs);
            assert.notEqual(machineOf(world), "host0", `begun ${offsetMs} ms later`);
            assert.ok(world.promoted.length <= 2);
            assertWrites(world, `begun ${offsetMs} ms later`);
            assert.deepEqual(world.lost, []);
        }
        assert.ok(inTime > changes / 2, `${inTime} of ${changes} before instances refuse the work`);
    });

    it("is replaced by a database outside of all evacuated data centres", () => {
        const world = new PromotionWorld(4);
        world.advance(5_000);
        world.evacuate("host0", "host1", "host3");
        world.advance(primaryTimeMs);
        assert.deepEqual(world.promoted, ["d2"]);
        assertWrites(world, "after the change");
        assert.deepEqual(world.lost, []);
    });

    it("leaves at each phase of a promotion that is under way, whichever database is chosen", () => {
        for (let offsetMs = 0; offsetMs < 4_000; offsetMs += 80) {
            for (const evacuated of ["host1", "host2"]) {
                const world = new PromotionWorld();
                world.advance(5_000);
                world.crash(world.database(0));
                world.advance(offsetMs);
                world.evacuate(evacuated);
                world.advance(9_000);
                const context = `${evacuated} evacuated ${offsetMs} ms after the crash`;
                assert.notEqual(machineOf(world), evacuated, context);
                assertWrites(world, context);
                assert.deepEqual(world.lost, [], context);
            }
        }
    });

    it("leaves although the leader ends at any phase of its replacement", () => {
        for (let offsetMs = 0; offsetMs < 2_500; offsetMs += 60) {
            const world = new PromotionWorld();
            world.advance(5_000);
            world.evacuate("host0");
            world.advance(offsetMs);
            world.stopControl();
            world.advance(300);
            world.startControl();
            world.advance(8_000);
            const context = `leader ended ${offsetMs} ms after the order`;
            assert.notEqual(machineOf(world), "host0", context);
            assertWrites(world, context);
            assert.deepEqual(world.lost, [], context);
        }
    });

    it("stays if every database of the service is in evacuated data centres, and leaves when one is free", () => {
        const world = new PromotionWorld();
        world.advance(5_000);
        world.evacuate("host0", "host1", "host2");
        world.advance(10_000);
        assert.deepEqual(world.orders, []);
        assert.equal(machineOf(world), "host0");
        world.evacuate("host0", "host1");
        world.advance(primaryTimeMs);
        assert.deepEqual(world.promoted, ["d2"]);
        assert.deepEqual(world.lost, []);
    });

    it("is not moved back after the end of the evacuation, and is a candidate again", () => {
        const world = new PromotionWorld();
        world.advance(5_000);
        world.evacuate("host0", "host1");
        world.advance(primaryTimeMs);
        world.evacuate();
        world.advance(8_000);
        assert.deepEqual(world.promoted, ["d2"]);
        world.crash(world.database(2));
        world.crash(world.database(1));
        world.advance(8_000);
        assert.deepEqual(world.promoted, ["d2", "d0"]);
        assert.deepEqual(world.lost, []);
    });

    it("does not step down while no other database reports", () => {
        const world = new PromotionWorld();
        world.advance(5_000);
        world.database(1).cutFromControl = true;
        world.database(2).cutFromControl = true;
        world.advance(4_000);
        world.evacuate("host0");
        world.advance(6_000);
        assert.deepEqual(world.orders, []);
        assert.ok(world.database(0).leads);
        world.rejoin(world.database(1).address);
        world.rejoin(world.database(2).address);
        world.advance(4_000);
        assert.notEqual(machineOf(world), "host0");
        assert.deepEqual(world.lost, []);
    });

    it("never loses a commit, and leaves in the end, whatever happens meanwhile", () => {
        const step = fc.record({
            waitMs: fc.integer({ min: 0, max: 2_500 }),
            action: fc.constantFrom("evacuate", "evacuate", "end", "crash", "control", "platform"),
            index: fc.nat(2),
        });
        fc.assert(
            fc.property(fc.array(step, { minLength: 2, maxLength: 8 }), steps => {
                const world = new PromotionWorld();
                world.advance(5_000);
                const evacuated = new Set<string>();
                for (const { waitMs, action, index } of steps) {
                    const database = world.database(index);
                    if (action === "evacuate") {
                        evacuated.add(database.dataCentre);
                        world.evacuate(...evacuated);
                    }
                    else if (action === "end") {
                        evacuated.delete(database.dataCentre);
                        world.evacuate(...evacuated);
                    }
                    else if (action === "crash" && world.databases.every(({ running }) => running)) {
                        world.crash(database);
                    }
                    else if (action === "control") {
                        world.stopControl();
                        world.startControl();
                    }
                    else if (action === "platform") {
                        world.platformDelayMs = index * 700;
                    }
                    world.advance(waitMs);
                    world.databases.filter(({ running }) => !running).forEach(crashed => world.restart(crashed));
                }
                world.platformDelayMs = 0;
                world.advance(25_000);
                assert.deepEqual(world.lost, []);
                if (evacuated.size < 3) {
                    assert.ok(!evacuated.has(machineOf(world) ?? "none"), `led by ${machineOf(world)}`);
                    assertWrites(world, "in the end");
                }
            }),
            { numRuns: propertyRuns },
        );
    });
});
