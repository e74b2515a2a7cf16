import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type FleetSize, RateFleet } from "./rateFleet.ts";

const seed = 20261204;

/** Refused below the rate, and bytes of control traffic of an instance in a second: docs/design.md, docs/CAPACITY.md. */
const refusedTarget = 0.001;
const bytesTarget = 3_000;

/** A quarter of the processor of a control member of the smallest kind (0.81 of a core); it has other work. */
const leaderCoreShare = 0.2;

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

describe("rates over a fleet", () => {
    for (const size of [small, large]) {
        const name = `${size.instances} instances and ${size.workspaces} workspaces`;

        it(`refuses next to nothing below the rate with ${name}`, () => {
            const fleet = startFleet(size);
            const durationMs = 6_000;
            fleet.advance(1_000);
            fleet.resetCounts();
            fleet.advance(durationMs);
            const leader = fleet.members.get("c0")!;
            const bytes = fleet.instances.reduce((sum, node) => sum + node.bytes, 0) / fleet.instances.length;
            const figures = {
                refusedShare: fleet.refusedShare(),
                bytesPerSecond: bytes * 1_000 / durationMs,
                leaderCoreShare: leader.cpuMs / durationMs,
                leaderFramesPerSecond: leader.frames * 1_000 / durationMs,
            };
            console.log(name, JSON.stringify(figures));
            assert.deepEqual(
                {
                    refusedShare: figures.refusedShare < refusedTarget,
                    bytesPerSecond: figures.bytesPerSecond < bytesTarget,
                    leaderCoreShare: figures.leaderCoreShare < leaderCoreShare,
                },
                { refusedShare: true, bytesPerSecond: true, leaderCoreShare: true },
                JSON.stringify(figures),
            );
        });
    }
});
