import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PromotionWait } from "../../model/promotionMessages.ts";
import { OutdatedFaults } from "./outdatedFaults.ts";
import { Faults, WiderFaults } from "./promotionFaults.ts";
import { PromotionWorld } from "./promotionWorld.ts";

const seeds = Number(process.env["JASMINELINE_SOAK_SEEDS"] ?? 60);
const firstSeed = Number(process.env["JASMINELINE_SOAK_FIRST_SEED"] ?? 1);
const recoveryMs = 25_000;

describe("changes of primary under faults that overlap", () => {
    for (let seed = firstSeed; seed < firstSeed + seeds; seed++) {
        it(`lose no acknowledged commit and end, seed ${seed}`, () => {
            const world = new PromotionWorld();
            const faults = new Faults(world, seed);
            world.advance(4_000);
            faults.run();
            world.advance(recoveryMs);
            assert.deepEqual(world.lost, [], faults.description);
            const before = world.acknowledgedCount;
            world.advance(2_000);
            const { acknowledgedCount } = world;
            assert.ok(acknowledgedCount - before >= 80, `${acknowledgedCount - before} commits; ${faults.description}`);
        });
    }
});

/** Interval of commits of which several are under way at a time. */
const overlappingWritesMs = 5;

function checkWiderFaults(seed: number, writeIntervalMs?: number): void {
    const world = new PromotionWorld();
    world.writeIntervalMs = writeIntervalMs ?? world.writeIntervalMs;
    checkOutcome(world, new WiderFaults(world, seed));
}

function checkOutcome(world: PromotionWorld, faults: Faults): void {
    world.advance(4_000);
    faults.run();
    world.advance(recoveryMs);
    // What no choice could have kept.
    const excepted = new Set([...world.lostWithAllCopies, ...world.lostAfterAcceptance]);
    assert.deepEqual(world.lost.filter(number => !excepted.has(number)), [], faults.description);
    const before = world.acknowledgedCount;
    world.advance(2_000);
    const { acknowledgedCount, destroyedCount } = world;
    // Without the databases that are gone, no choice may be safe; it waits then until an operator decides.
    const { wait, databases } = world.progress ?? { wait: undefined, databases: "" };
    const waitsForGone = wait === PromotionWait.DatabaseWithLastCommit && /:lost@|:no_listener/.test(databases);
    assert.ok(
        destroyedCount > 0 || waitsForGone || acknowledgedCount - before >= 80,
        `${acknowledgedCount - before} commits; ${JSON.stringify(world.progress)}; ${faults.description}`,
    );
}

describe("changes of primary while databases restart empty, join, leave and are cut off", () => {
    for (let seed = firstSeed; seed < firstSeed + seeds; seed++) {
        it(`lose no acknowledged commit that a database still has, seed ${seed}`, () => checkWiderFaults(seed));
    }
});

describe("the same changes of primary while several commits are under way", () => {
    for (let seed = firstSeed; seed < firstSeed + seeds / 6; seed++) {
        it(`lose no acknowledged commit that a database still has beside commits under way, seed ${seed}`, () =>
            checkWiderFaults(seed, overlappingWritesMs));
    }
});

describe("changes of primary while some part goes by what it knew before", () => {
    for (let seed = firstSeed; seed < firstSeed + seeds; seed++) {
        it(`lose no acknowledged commit beside outdated knowledge, seed ${seed}`, () => {
            const world = new PromotionWorld(3, 3, 3);
            checkOutcome(world, new OutdatedFaults(world, seed));
        });
    }
});
