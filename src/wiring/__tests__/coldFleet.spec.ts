import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Pipe } from "../../pipeline/pipe.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { ColdFleet } from "./coldFleet.ts";

const seed = 20261207;
const runs = Number(process.env["COLD_RUNS"] ?? 40);

const windowMs = 1_000;

const anyFleet = fc.record({
    seed: fc.integer({ min: 1, max: 2 ** 30 }),
    instances: fc.integer({ min: 1, max: 6 }),
    members: fc.integer({ min: 1, max: 4 }),
    ratePerSecond: fc.constantFrom(1, 4, 10, 40),
    minimumDelayMs: fc.constantFrom(1, 20, 120),
    maximumDelayMs: fc.constantFrom(120, 200, 300, 1_500),
    lostShare: fc.constantFrom(0, 0.1, 0.5),
    repeatedShare: fc.constantFrom(0, 0.3),
    drift: fc.constantFrom(0, 0.005),
    /** Tasks that arrive per step of 10 ms, on average. */
    demand: fc.constantFrom(0.2, 1, 4),
});

/** Disturbs the fleet at random while tasks arrive at all instances, each of which believes to be the holder. */
function play(scenario: typeof anyFleet extends fc.Arbitrary<infer Value> ? Value : never): ColdFleet {
    const random = new SeededRandom(scenario.seed);
    const fleet = new ColdFleet({ ...scenario, random });
    fleet.elect(fleet.members[0]!, 0);
    for (let round = 0; round < 1_200; round++) {
        for (let tasks = scenario.demand * 2 * random.nextFloat(); tasks > random.nextFloat(); tasks--) {
            fleet.submit(fleet.instances[random.nextInteger(fleet.instances.length)]!, random.nextInteger(3) === 0);
        }
        switch (random.nextInteger(700)) {
            case 0:
                fleet.elect(fleet.members[random.nextInteger(fleet.members.length)]!, random.nextInteger(4_000));
                break;
            case 1:
                fleet.stop(fleet.members[random.nextInteger(fleet.members.length)]!, random.nextInteger(3_000));
                break;
            case 2:
            case 3:
                fleet.stop(fleet.instances[random.nextInteger(fleet.instances.length)]!, random.nextInteger(2_000));
                break;
            case 4:
                fleet.restart(fleet.instances[random.nextInteger(fleet.instances.length)]!);
                break;
            case 5:
                fleet.addInstance();
                break;
            case 6:
            case 7:
                fleet.cut(
                    fleet.instances[random.nextInteger(fleet.instances.length)]!,
                    fleet.members[random.nextInteger(fleet.members.length)]!,
                    random.nextInteger(5_000),
                );
                break;
            default:
        }
        fleet.advance(10);
    }
    return fleet;
}

describe("tasks for a cold database", () => {
    it("never exceed what it bears in any second, over all instances, whatever fails", () => {
        let sent = 0;
        fc.assert(
            fc.property(anyFleet, scenario => {
                const fleet = play(scenario);
                const limit = Math.floor(scenario.ratePerSecond * 1.5 + 5);
                sent += fleet.sentMs.length;
                assert.ok(fleet.mostSentWithin(windowMs) <= limit, `${fleet.mostSentWithin(windowMs)} of ${limit}`);
            }),
            { seed, numRuns: runs },
        );
        assert.ok(sent > 20 * runs, `${sent} tasks sent`);
    });

    it("get at least the rate that it bears while nothing fails", () => {
        for (const ratePerSecond of [4, 10, 40]) {
            const random = new SeededRandom(ratePerSecond);
            const options = { instances: 3, members: 3, ratePerSecond, minimumDelayMs: 4, maximumDelayMs: 16 };
            const fleet = new ColdFleet({ ...options, random, lostShare: 0, repeatedShare: 0, drift: 0 });
            fleet.elect(fleet.members[0]!, 0);
            fleet.advance(3_000);
            for (let round = 0; round < 1_000; round++) {
                fleet.submit(fleet.instances[random.nextInteger(3)]!, false);
                fleet.advance(10);
            }
            assert.ok(fleet.sentMs.length / 10 >= ratePerSecond, `${fleet.sentMs.length / 10} a second`);
        }
    });

    it("are refused without being sent when no leader is known, each within the time that it may wait", () => {
        const random = new SeededRandom(7);
        const options = { instances: 2, members: 1, ratePerSecond: 40, maximumDelayMs: 10 };
        const fleet = new ColdFleet({ ...options, random, lostShare: 0, repeatedShare: 0, drift: 0 });
        for (let round = 0; round < 20; round++) {
            fleet.submit(fleet.instances[round % 2]!, false);
        }
        fleet.advance(260);
        assert.deepEqual([fleet.sentMs.length, fleet.refusedCount], [0, 20]);
    });

    it("are refused without being sent while a member of an earlier release leads, which ignores the requests", () => {
        const random = new SeededRandom(9);
        const options = { instances: 2, members: 2, ratePerSecond: 40, maximumDelayMs: 10 };
        const fleet = new ColdFleet({ ...options, random, lostShare: 0, repeatedShare: 0, drift: 0 });
        fleet.members[0]!.pipe = new Pipe("fleet", []);
        fleet.elect(fleet.members[0]!, 0);
        for (let round = 0; round < 200; round++) {
            fleet.submit(fleet.instances[round % 2]!, false);
            fleet.advance(10);
        }
        fleet.advance(260);
        assert.deepEqual([fleet.sentMs.length, fleet.refusedCount], [0, 200]);
        fleet.elect(fleet.members[1]!, 0);
        fleet.advance(2_500);
        for (let round = 0; round < 100; round++) {
            fleet.submit(fleet.instances[round % 2]!, false);
            fleet.advance(10);
        }
        assert.ok(fleet.sentMs.length > 30, `${fleet.sentMs.length} tasks`);
    });

    it("are not granted twice by a member that does not know yet of the election of another one", () => {
        for (let run = 1; run <= 20; run++) {
            const random = new SeededRandom(run);
            const options = { instances: 2, members: 2, ratePerSecond: 10, maximumDelayMs: 16, drift: 0.005 };
            const fleet = new ColdFleet({ ...options, random, lostShare: 0, repeatedShare: 0 });
            const submit = (durationMs: number): void => {
                for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 10) {
                    fleet.submit(fleet.instances[random.nextInteger(2)]!, false);
                    fleet.advance(10);
                }
            };
            fleet.elect(fleet.members[0]!, 0);
            submit(4_000);
            fleet.cut(fleet.instances[0]!, fleet.members[1]!, 10_000);
            fleet.cut(fleet.instances[1]!, fleet.members[0]!, 10_000);
            fleet.elect(fleet.members[1]!, 8_000);
            submit(6_000);
            assert.ok(fleet.mostSentWithin(windowMs) <= 20, `${fleet.mostSentWithin(windowMs)} (run ${run})`);
            assert.ok(fleet.sentMs.length > 60, `${fleet.sentMs.length} tasks`);
        }
    });

    it("are not sent by answers that come late", () => {
        for (let run = 1; run <= 20; run++) {
            const random = new SeededRandom(run);
            const options = { instances: 6, members: 1, ratePerSecond: 10, minimumDelayMs: 1, maximumDelayMs: 1_200 };
            const fleet = new ColdFleet({ ...options, random, lostShare: 0, repeatedShare: 0, drift: 0 });
            fleet.elect(fleet.members[0]!, 0);
            for (let round = 0; round < 1_000; round++) {
                fleet.instances.forEach(instance => fleet.submit(instance, false));
                fleet.advance(10);
            }
            assert.ok(fleet.mostSentWithin(windowMs) <= 20, `${fleet.mostSentWithin(windowMs)} (run ${run})`);
        }
    });

    it("go on within two seconds and a half of the election of another leader", () => {
        const random = new SeededRandom(8);
        const options = { instances: 2, members: 2, ratePerSecond: 40, maximumDelayMs: 16 };
        const fleet = new ColdFleet({ ...options, random, lostShare: 0, repeatedShare: 0, drift: 0 });
        const run = (durationMs: number): number => {
            const before = fleet.sentMs.length;
            for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 10) {
                fleet.submit(fleet.instances[random.nextInteger(2)]!, false);
                fleet.advance(10);
            }
            return fleet.sentMs.length - before;
        };
        fleet.elect(fleet.members[0]!, 0);
        run(4_000);
        const before = run(2_000);
        assert.ok(before >= 80, `${before} before`);
        fleet.elect(fleet.members[1]!, 3_000);
        run(2_500);
        const after = run(2_000);
        assert.ok(after >= 80, `${after} after`);
        assert.ok(fleet.mostSentWithin(windowMs) <= 65);
    });
});
