import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { leaderPermitValidityMs } from "../../model/rateLimits.ts";
import { type FleetSize, RateFleet } from "./rateFleet.ts";

const seed = 20261204;

/** Refused below the rate, and bytes of control traffic of an instance in a second: docs/design.md, docs/CAPACITY.md. */
const refusedTarget = 0.001;
const bytesTarget = 3_000;

/** Half of the processor of a control member (0.81 of a core); it has other work. */
const leaderCoreTarget = 0.4;

/** Processor time of a frame on an open gRPC stream, measured in a trial of this project. */
const frameMs = 0.132;

const small: FleetSize = { instances: 9, workspaces: 8, demandPerSecond: 250, seed };
const large: FleetSize = { instances: 89, workspaces: 87, demandPerSecond: 840, seed };

/** Started together with its leader a second before the callers, as after a restart of all machines. */
function startFleet(size: FleetSize): RateFleet {
    const fleet = new RateFleet(size);
    fleet.lead("c0");
    fleet.advance(1_000);
    fleet.startCallers();
    return fleet;
}

const flooding = ["workspace0", "workspace40", "workspace86"];

/** Above the time in which a leader looks for its majority (`control/leadership.ts`). */
const leadersOverlapMs = 250;

interface Flood {
    readonly fleet: RateFleet;
    readonly ids: readonly string[];
    readonly others: readonly string[];
}

/** A large, a middling and a small workspace send ten times their rates, through all instances. */
function startFlood(turn: number): Flood {
    const fleet = startFleet({ ...large, seed: seed + turn });
    fleet.advance(2_000);
    flooding.forEach(name => fleet.flood(name, 10));
    const others = [...fleet.traffic.keys()].filter(name => !flooding.includes(name));
    return { fleet, ids: fleet.instances.map(({ id }) => id), others };
}

/** A fleet at ordinary demand for long enough that buckets are full and fallback shares are learned. */
function startIdle(burstSeconds: number): Pick<Flood, "fleet" | "ids"> {
    const fleet = startFleet(large);
    fleet.setBursts(burstSeconds);
    fleet.advance(12_000);
    return { fleet, ids: fleet.instances.map(({ id }) => id) };
}

/** Workspaces with more operations in a window than allowed, and by how many. */
function excesses(fleet: RateFleet, sinceMs = 0): readonly (readonly [string, number])[] {
    return [...fleet.traffic.keys()].map(name => [name, fleet.excess(name, sinceMs)] as const)
        .filter(([, excess]) => excess > 0);
}

function leaderLoad(fleet: RateFleet, durationMs: number): number {
    const leader = fleet.members.get("c0")!;
    return (leader.cpuMs + leader.frames * frameMs) / durationMs;
}

describe("rates over a fleet", () => {
    for (const size of [small, large]) {
        const name = `${size.instances} instances and ${size.workspaces} workspaces`;

        it(`refuses next to nothing below the rate with ${name}`, context => {
            const fleet = startFleet(size);
            const durationMs = 6_000;
            fleet.advance(1_000);
            fleet.resetCounts();
            fleet.advance(durationMs);
            const bytes = fleet.instances.reduce((sum, node) => sum + node.bytes, 0) / fleet.instances.length;
            const figures = {
                refusedShare: fleet.refusedShare(),
                bytesPerSecond: bytes * 1_000 / durationMs,
                leaderCoreShare: leaderLoad(fleet, durationMs),
                leaderFramesPerSecond: fleet.members.get("c0")!.frames * 1_000 / durationMs,
            };
            context.diagnostic(JSON.stringify(figures));
            assert.deepEqual(
                {
                    refusedShare: figures.refusedShare < refusedTarget,
                    bytesPerSecond: figures.bytesPerSecond < bytesTarget,
                    leaderCoreShare: figures.leaderCoreShare < leaderCoreTarget,
                },
                { refusedShare: true, bytesPerSecond: true, leaderCoreShare: true },
                JSON.stringify(figures),
            );
        });
    }

    for (let turn = 0; turn < Number(process.env["RATES_SEEDS"] ?? 1); turn++) {
        it(`keeps workspaces that flood all instances within their rates, seed ${seed + turn}`, () => {
            const { fleet } = startFlood(turn);
            fleet.advance(10_000);
            assert.deepEqual(excesses(fleet), []);
        });

        it(`keeps a lowered rate of a workspace that floods, seed ${seed + turn}`, () => {
            const { fleet } = startFlood(turn);
            fleet.advance(3_000);
            flooding.forEach(name =>
                fleet.setRate(name, Math.ceil(fleet.traffic.get(name)!.workspace.ratePerSecond / 2))
            );
            const sinceMs = fleet.nowMs + leaderPermitValidityMs;
            fleet.advance(10_000);
            assert.deepEqual(excesses(fleet, sinceMs), []);
        });

        it(`keeps the rates of workspaces that flood while a leader is killed and replaced, seed ${seed + turn}`, () => {
            for (const goneMs of [100, 1_500, 6_000]) {
                const { fleet } = startFlood(turn);
                fleet.advance(4_000);
                fleet.kill("c0");
                fleet.advance(goneMs);
                fleet.lead("c1");
                fleet.advance(8_000);
                assert.deepEqual(excesses(fleet), [], `after ${goneMs} ms without a leader`);
            }
        });

        it(`keeps the rates while a flood begins without a leader, seed ${seed + turn}`, () => {
            const fleet = startFleet({ ...large, seed: seed + turn });
            fleet.advance(12_000);
            fleet.kill("c0");
            flooding.forEach(name => fleet.flood(name, 10));
            fleet.advance(6_000);
            fleet.lead("c1");
            fleet.advance(8_000);
            assert.deepEqual(excesses(fleet), []);
        });

        it(`keeps the rates while a former leader still answers half of the fleet, seed ${seed + turn}`, () => {
            const { fleet, ids } = startFlood(turn);
            fleet.advance(4_000);
            fleet.isolate(ids.slice(0, ids.length / 2), ["c1"]);
            fleet.lead("c1");
            fleet.advance(leadersOverlapMs);
            fleet.stepDown("c0");
            fleet.advance(4_000);
            fleet.heal();
            fleet.advance(4_000);
            assert.deepEqual(excesses(fleet), []);
        });

        it(`keeps the rates while frames are late, so that answers and fallbacks overlap, seed ${seed + turn}`, () => {
            for (const delaysMs of [[40, 120], [150, 350], [300, 600]] as const) {
                const { fleet } = startFlood(turn);
                fleet.advance(8_000);
                for (let round = 0; round < 4; round++) {
                    fleet.delaysMs = delaysMs;
                    fleet.advance(1_500);
                    fleet.delaysMs = [4, 12];
                    fleet.advance(1_000);
                }
                assert.deepEqual(excesses(fleet), [], `with delays of ${delaysMs.join(" to ")} ms`);
            }
        });

        it(`keeps the rates while a third of the instances is cut off from the leader, seed ${seed + turn}`, () => {
            const { fleet, ids } = startFlood(turn);
            fleet.advance(12_000);
            fleet.isolate(ids.slice(0, ids.length / 3), ["c0"]);
            fleet.advance(6_000);
            fleet.heal();
            fleet.advance(6_000);
            assert.deepEqual(excesses(fleet), []);
        });
    }

    for (const burstSeconds of [1, 3]) {
        it(`keeps the rates while a flood meets a full bucket on both sides of a cut, burst of ${burstSeconds} s`, () => {
            for (const part of [1 / 3, 1 / 2]) {
                const { fleet, ids } = startIdle(burstSeconds);
                fleet.isolate(ids.slice(0, ids.length * part), ["c0"]);
                fleet.advance(300);
                flooding.forEach(name => fleet.flood(name, 10));
                fleet.advance(8_000);
                fleet.heal();
                fleet.advance(4_000);
                assert.deepEqual(excesses(fleet), [], `${Math.floor(ids.length * part)} instances cut off`);
            }
        });

        it(`keeps the rates while a leader is killed just after a flood began, burst of ${burstSeconds} s`, () => {
            const { fleet } = startIdle(burstSeconds);
            flooding.forEach(name => fleet.flood(name, 10));
            fleet.advance(400);
            fleet.kill("c0");
            fleet.advance(1_500);
            fleet.lead("c1");
            fleet.advance(6_000);
            assert.deepEqual(excesses(fleet), []);
        });
    }

    for (const stepMs of [300, 2_000, 5_000, 20_000]) {
        it(`keeps the rates while the time of day of the leader steps forward by ${stepMs} ms`, () => {
            const { fleet } = startIdle(1);
            flooding.forEach(name => fleet.flood(name, 10));
            fleet.advance(2_000);
            fleet.stepClock("c0", stepMs);
            fleet.advance(6_000);
            assert.deepEqual(excesses(fleet), []);
        });
    }

    it("keeps the rates while the time of day of instances without a leader steps forward", () => {
        const { fleet, ids } = startIdle(1);
        fleet.kill("c0");
        flooding.forEach(name => fleet.flood(name, 10));
        for (const id of ids) {
            fleet.stepClock(id, 5_000);
            fleet.advance(20);
        }
        fleet.advance(3_000);
        assert.deepEqual(excesses(fleet), []);
    });

    it("refuses nothing below the rate while the time of day of the leader steps forward", () => {
        const { fleet } = startIdle(1);
        fleet.resetCounts();
        fleet.stepClock("c0", 5_000);
        fleet.advance(6_000);
        assert.equal(fleet.refusedShare() < refusedTarget, true, `${fleet.refusedShare()}`);
    });

    it("refuses nothing below the rate beside workspaces that flood", context => {
        const { fleet, others } = startFlood(0);
        fleet.advance(1_000);
        fleet.resetCounts();
        fleet.advance(6_000);
        const refusedShare = fleet.refusedShare(others);
        context.diagnostic(`${refusedShare} refused, ${leaderLoad(fleet, 6_000)} of a core at the leader`);
        assert.equal(refusedShare < refusedTarget, true, `${refusedShare}`);
    });

    it("leaves half of a control member's processor to its other work beside workspaces that flood", () => {
        const { fleet } = startFlood(0);
        fleet.advance(1_000);
        fleet.resetCounts();
        fleet.advance(6_000);
        const load = leaderLoad(fleet, 6_000);
        assert.equal(load < leaderCoreTarget, true, `${load}`);
    });

    it("admits operations within tens of milliseconds after all machines restarted", () => {
        const fleet = new RateFleet(small);
        fleet.startCallers();
        fleet.advance(200);
        fleet.lead("c0");
        fleet.advance(50);
        fleet.traffic.forEach(({ admittedMs }, name) => assert.equal(admittedMs.length > 0, true, name));
    });
});
