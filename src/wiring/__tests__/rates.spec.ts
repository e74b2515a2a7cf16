import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { leaderPermitValidityMs } from "../../model/rateLimits.ts";
import { type FleetSize, RateFleet } from "./rateFleet.ts";

const seed = 20261204;

/** Limits from docs/design.md and docs/CAPACITY.md: share refused below the rate, control traffic of an instance. */
const refusedShareTarget = 0.001;
const bytesPerSecondTarget = 3_000;

/** Share of its rate that a workspace which floods must get. */
const servedRateShare = 0.97;

/** Half of the processor of a control member, which has 0.81 of a core and other work. */
const leaderCoreShareTarget = 0.4;

/** Processor time of a frame on an open gRPC stream, as measured; the simulation does not include it. */
const cpuPerFrameMs = 0.132;

const small: FleetSize = { instances: 9, workspaces: 8, demandPerSecond: 250, seed };
const large: FleetSize = { instances: 89, workspaces: 87, demandPerSecond: 840, seed };

/** Starts a fleet and its leader one second before the callers, as after a restart of all machines. */
function startFleet(size: FleetSize): RateFleet {
    const fleet = new RateFleet(size);
    fleet.startLeading("c0");
    fleet.advance(1_000);
    fleet.startCallers();
    return fleet;
}

const flooding = ["workspace0", "workspace40", "workspace86"];

/** Time with two leaders: a leader checks for its majority at each heartbeat (`control/replicationFilter.ts`). */
const leaderOverlapMs = 250;

/** Time with two leaders in a hand-over: the former one hears of the new term with the request for its vote. */
const handOverOverlapMs = 50;

interface FloodedFleet {
    readonly fleet: RateFleet;
    readonly ids: readonly string[];
    readonly others: readonly string[];
}

/** Starts a fleet in which a large, a medium and a small workspace send ten times their rates to all instances. */
function startFloodedFleet(seedOffset: number): FloodedFleet {
    const fleet = startFleet({ ...large, seed: seed + seedOffset });
    fleet.advance(2_000);
    flooding.forEach(name => fleet.flood(name, 10));
    const others = [...fleet.traffic.keys()].filter(name => !flooding.includes(name));
    return { fleet, ids: fleet.instances.map(({ id }) => id), others };
}

/** Runs a fleet at ordinary demand for long enough that token buckets are full and fallback shares have settled. */
function startIdleFleet(burstSeconds: number): Pick<FloodedFleet, "fleet" | "ids"> {
    const fleet = startFleet(large);
    fleet.setBursts(burstSeconds);
    fleet.advance(12_000);
    return { fleet, ids: fleet.instances.map(({ id }) => id) };
}

/** Returns the workspaces that exceeded their limit in a window, and by how many operations. */
function findExcesses(fleet: RateFleet, sinceMs = 0): readonly (readonly [string, number])[] {
    return [...fleet.traffic.keys()].map(name => [name, fleet.excessOperations(name, sinceMs)] as const)
        .filter(([, excess]) => excess > 0);
}

function leaderLoad(fleet: RateFleet, durationMs: number): number {
    const leader = fleet.members.get("c0")!;
    return (leader.cpuMs + leader.frames * cpuPerFrameMs) / durationMs;
}

describe("rate limits across a fleet", () => {
    for (const size of [small, large]) {
        const name = `${size.instances} instances and ${size.workspaces} workspaces`;

        it(`refuses almost no operations below the rate with ${name}`, context => {
            const fleet = startFleet(size);
            const durationMs = 6_000;
            fleet.advance(1_000);
            fleet.resetCounts();
            fleet.advance(durationMs);
            const bytes = fleet.instances.reduce((sum, node) => sum + node.bytes, 0) / fleet.instances.length;
            const figures = {
                refusedShare: fleet.refusedBelowRateShare(),
                bytesPerSecond: bytes * 1_000 / durationMs,
                leaderCoreShare: leaderLoad(fleet, durationMs),
                leaderFramesPerSecond: fleet.members.get("c0")!.frames * 1_000 / durationMs,
            };
            context.diagnostic(JSON.stringify(figures));
            assert.deepEqual(
                {
                    refusedShare: figures.refusedShare < refusedShareTarget,
                    bytesPerSecond: figures.bytesPerSecond < bytesPerSecondTarget,
                    leaderCoreShare: figures.leaderCoreShare < leaderCoreShareTarget,
                },
                { refusedShare: true, bytesPerSecond: true, leaderCoreShare: true },
                JSON.stringify(figures),
            );
        });
    }

    for (let seedOffset = 0; seedOffset < Number(process.env["RATES_SEEDS"] ?? 1); seedOffset++) {
        it(`enforces the rates of workspaces that flood all instances, seed ${seed + seedOffset}`, () => {
            const { fleet } = startFloodedFleet(seedOffset);
            fleet.advance(10_000);
            assert.deepEqual(findExcesses(fleet), []);
        });

        it(`enforces a lowered rate of a workspace that floods, seed ${seed + seedOffset}`, () => {
            const { fleet } = startFloodedFleet(seedOffset);
            fleet.advance(3_000);
            flooding.forEach(name =>
                fleet.setRate(name, Math.ceil(fleet.traffic.get(name)!.workspace.ratePerSecond / 2))
            );
            const sinceMs = fleet.nowMs + leaderPermitValidityMs;
            fleet.advance(10_000);
            assert.deepEqual(findExcesses(fleet, sinceMs), []);
        });

        it(`enforces the rates while a leader is killed and replaced, seed ${seed + seedOffset}`, () => {
            for (const leaderlessMs of [100, 1_500, 6_000]) {
                const { fleet } = startFloodedFleet(seedOffset);
                fleet.advance(4_000);
                fleet.kill("c0");
                fleet.advance(leaderlessMs);
                fleet.startLeading("c1");
                fleet.advance(8_000);
                assert.deepEqual(findExcesses(fleet), [], `after ${leaderlessMs} ms without a leader`);
            }
        });

        it(`enforces the rates while a flood begins without a leader, seed ${seed + seedOffset}`, () => {
            const fleet = startFleet({ ...large, seed: seed + seedOffset });
            fleet.advance(12_000);
            fleet.kill("c0");
            flooding.forEach(name => fleet.flood(name, 10));
            fleet.advance(6_000);
            fleet.startLeading("c1");
            fleet.advance(8_000);
            assert.deepEqual(findExcesses(fleet), []);
        });

        it(`enforces the rates while a former leader still answers half the fleet, seed ${seed + seedOffset}`, () => {
            const { fleet, ids } = startFloodedFleet(seedOffset);
            fleet.advance(4_000);
            fleet.isolate(ids.slice(0, ids.length / 2), ["c1"]);
            fleet.startLeading("c1");
            fleet.advance(leaderOverlapMs);
            fleet.stepDown("c0");
            fleet.advance(4_000);
            fleet.heal();
            fleet.advance(4_000);
            assert.deepEqual(findExcesses(fleet), []);
        });

        it(`enforces the rates while the lead is handed over from member to member, seed ${seed + seedOffset}`, () => {
            // Load: three workspaces at ten times their rates while all control members are restarted in turn.
            for (const pauseMs of [500, 1_500]) {
                const { fleet } = startFloodedFleet(seedOffset);
                fleet.advance(6_000);
                for (const [former, next] of [["c0", "c1"], ["c1", "c2"], ["c2", "c0"], ["c0", "c1"]] as const) {
                    fleet.startLeading(next);
                    fleet.advance(handOverOverlapMs);
                    fleet.stepDown(former);
                    fleet.advance(pauseMs);
                }
                fleet.advance(6_000);
                assert.deepEqual(findExcesses(fleet), [], `with ${pauseMs} ms between the hand-overs`);
            }
        });

        it(`enforces the rates while late answers overlap with fallback rates, seed ${seed + seedOffset}`, () => {
            for (const delaysMs of [[40, 120], [150, 350], [300, 600]] as const) {
                const { fleet } = startFloodedFleet(seedOffset);
                fleet.advance(8_000);
                for (let round = 0; round < 4; round++) {
                    fleet.delayRangeMs = delaysMs;
                    fleet.advance(1_500);
                    fleet.delayRangeMs = [4, 12];
                    fleet.advance(1_000);
                }
                assert.deepEqual(findExcesses(fleet), [], `with delays of ${delaysMs.join(" to ")} ms`);
            }
        });

        it(`enforces the rates while a third of the fleet cannot reach the leader, seed ${seed + seedOffset}`, () => {
            const { fleet, ids } = startFloodedFleet(seedOffset);
            fleet.advance(12_000);
            fleet.isolate(ids.slice(0, ids.length / 3), ["c0"]);
            fleet.advance(6_000);
            fleet.heal();
            fleet.advance(6_000);
            assert.deepEqual(findExcesses(fleet), []);
        });
    }

    for (const burstSeconds of [1, 3]) {
        it(`enforces the rates with full buckets on both sides of a partition, burst of ${burstSeconds} s`, () => {
            for (const part of [1 / 3, 1 / 2]) {
                const { fleet, ids } = startIdleFleet(burstSeconds);
                fleet.isolate(ids.slice(0, ids.length * part), ["c0"]);
                fleet.advance(300);
                flooding.forEach(name => fleet.flood(name, 10));
                fleet.advance(8_000);
                fleet.heal();
                fleet.advance(4_000);
                assert.deepEqual(findExcesses(fleet), [], `${Math.floor(ids.length * part)} instances cut off`);
            }
        });

        it(`enforces the rates while a leader is killed just after a flood began, burst of ${burstSeconds} s`, () => {
            const { fleet } = startIdleFleet(burstSeconds);
            flooding.forEach(name => fleet.flood(name, 10));
            fleet.advance(400);
            fleet.kill("c0");
            fleet.advance(1_500);
            fleet.startLeading("c1");
            fleet.advance(6_000);
            assert.deepEqual(findExcesses(fleet), []);
        });
    }

    for (const part of [1 / 2, 2 / 3]) {
        it(`enforces the rates when a former leader goes on that stood still, with ${Math.round(100 * part)}% of the fleet`, () => {
            for (const [frozenMs, burstSeconds] of [[4_000, 1], [12_500, 1], [16_000, 3]] as const) {
                const fleet = startFleet(small);
                fleet.setBursts(burstSeconds);
                fleet.advance(12_000);
                const ids = fleet.instances.map(({ id }) => id);
                fleet.freeze("c0");
                fleet.isolate(ids.slice(0, ids.length * part), ["c1"]);
                fleet.advance(1_500);
                fleet.startLeading("c1");
                fleet.advance(frozenMs - 1_500);
                ["workspace0", "workspace4"].forEach(name => fleet.flood(name, 10));
                fleet.advance(300);
                fleet.thaw("c0");
                fleet.advance(leaderOverlapMs);
                fleet.stepDown("c0");
                fleet.advance(4_000);
                fleet.heal();
                fleet.advance(4_000);
                assert.deepEqual(findExcesses(fleet), [], `after ${frozenMs} ms, burst of ${burstSeconds} s`);
            }
        });
    }

    for (const stepMs of [300, 2_000, 5_000, 20_000]) {
        it(`enforces the rates while the wall clock of the leader steps forward by ${stepMs} ms`, () => {
            const { fleet } = startIdleFleet(1);
            flooding.forEach(name => fleet.flood(name, 10));
            fleet.advance(2_000);
            fleet.stepClock("c0", stepMs);
            fleet.advance(6_000);
            assert.deepEqual(findExcesses(fleet), []);
        });
    }

    it("enforces the rates while the wall clocks of instances without a leader step forward", () => {
        const { fleet, ids } = startIdleFleet(1);
        fleet.kill("c0");
        flooding.forEach(name => fleet.flood(name, 10));
        for (const id of ids) {
            fleet.stepClock(id, 5_000);
            fleet.advance(20);
        }
        fleet.advance(3_000);
        assert.deepEqual(findExcesses(fleet), []);
    });

    it("refuses almost no operations below the rate while the wall clock of the leader steps forward", () => {
        const { fleet } = startIdleFleet(1);
        fleet.resetCounts();
        fleet.stepClock("c0", 5_000);
        fleet.advance(6_000);
        assert.equal(fleet.refusedBelowRateShare() < refusedShareTarget, true, `${fleet.refusedBelowRateShare()}`);
    });

    it("refuses almost no operations of the other workspaces while some workspaces flood", context => {
        const { fleet, others } = startFloodedFleet(0);
        fleet.advance(1_000);
        fleet.resetCounts();
        fleet.advance(6_000);
        const refusedShare = fleet.refusedBelowRateShare(others);
        context.diagnostic(`${refusedShare} refused, ${leaderLoad(fleet, 6_000)} of a core at the leader`);
        assert.equal(refusedShare < refusedShareTarget, true, `${refusedShare}`);
    });

    it("leaves half of a control member's processor to its other work beside workspaces that flood", () => {
        const { fleet } = startFloodedFleet(0);
        fleet.advance(1_000);
        fleet.resetCounts();
        fleet.advance(6_000);
        const load = leaderLoad(fleet, 6_000);
        assert.equal(load < leaderCoreShareTarget, true, `${load}`);
    });

    it("serves workspaces that flood at their rates", () => {
        // Guards against rates that go unused because instances ask too seldom.
        const { fleet } = startFloodedFleet(0);
        fleet.advance(4_000);
        const sinceMs = fleet.nowMs;
        fleet.advance(12_000);
        for (const { workspace, admittedMs } of flooding.map(name => fleet.traffic.get(name)!)) {
            const served = admittedMs.filter(atMs => atMs >= sinceMs).length / 12 / workspace.ratePerSecond;
            assert.equal(served > servedRateShare, true, `${workspace.name}: ${served} of its rate`);
        }
    });

    it("admits operations within tens of milliseconds after all machines restarted", () => {
        const fleet = new RateFleet(small);
        fleet.startCallers();
        fleet.advance(200);
        fleet.startLeading("c0");
        fleet.advance(50);
        fleet.traffic.forEach(({ admittedMs }, name) => assert.equal(admittedMs.length > 0, true, name));
    });
});
