import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { countAdmissionsOverRate, type RateLimit } from "../../../bench/admissionCheck.ts";
import { type OfferedStatement, RateCluster } from "../../../bench/rateCluster.ts";
import { StatementKind } from "../../model/statement.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";

/** Longer than the lease of a permit home and its reassignment together. */
const runMs = 16_000;
const dataCentres = ["north", "south", "west"];
const instanceCount = 6;
const before = { ratePerSecond: 120, burst: 24 };
const after = { ratePerSecond: 45, burst: 9 };

/** Time for a lower rate to reach every instance and for permits of the higher one to expire. */
const settleMs = 1_500;

const FaultKind = {
    Kill: "kill",
    Restart: "restart",
    CutOff: "cut_off",
    Isolate: "isolate",
    Heal: "heal",
    NewLeader: "new_leader",
} as const;

const faults = fc.array(
    fc.record({
        atMs: fc.integer({ min: 0, max: runMs }),
        kind: fc.constantFrom(...Object.values(FaultKind)),
        index: fc.nat(instanceCount - 1),
    }),
    { maxLength: 8 },
);

const scenario = fc.record({
    seed: fc.integer({ min: 1, max: 1_000_000 }),
    faults,
    clockSpeeds: fc.array(fc.constantFrom(0.9, 1, 1.1), { minLength: instanceCount, maxLength: instanceCount }),
    lowerAtMs: fc.option(fc.integer({ min: 1_000, max: 6_000 }), { nil: undefined }),
    lostShare: fc.constantFrom(0, 0.2),
    hotInstance: fc.nat(instanceCount - 1),
});
type Scenario = typeof scenario extends fc.Arbitrary<infer Value> ? Value : never;

describe("rates over all instances", () => {
    it("admits at most rate x time + burst in every window, whatever fails", () => {
        fc.assert(
            fc.property(scenario, chosen => {
                const { cluster, limits } = run(chosen);
                const times = [...cluster.admittedAtMs.values()].sort((left, right) => left - right);
                assert.equal(countAdmissionsOverRate(times, limits), 0);
            }),
            { seed: 11, numRuns: 40 },
        );
    });

    it("serves a workspace below its rate after every fault, so that the bound is not met by serving nothing", () => {
        const { cluster } = run({
            seed: 5,
            faults: [{ atMs: 2_000, kind: FaultKind.Kill, index: 0 }],
            clockSpeeds: [1, 1, 1, 1, 1, 1],
            lowerAtMs: undefined,
            lostShare: 0,
            hotInstance: 3,
        });
        const served = [...cluster.admittedAtMs.values()].filter(atMs => atMs > 2_000).length;
        assert.ok(served > 0.6 * before.ratePerSecond * (runMs - 2_000) / 1_000, `served ${served}`);
    });
});

function run(chosen: Scenario): { readonly cluster: RateCluster; readonly limits: readonly RateLimit[]; } {
    const random = new SeededRandom(chosen.seed);
    const cluster = new RateCluster({
        random,
        workspaces: [{ name: "shop", ...before, keyValidityMs: 10_000, version: 1 }],
        dataCentres,
        instancesPerDataCentre: instanceCount / dataCentres.length,
        network: {
            localLatencyMs: 0.3,
            remoteLatencyMs: 4,
            jitterMs: 2,
            lossProbability: chosen.lostShare,
            duplicationProbability: 0.1,
            latenessProbability: 0.1,
        },
        sharesFollowDemand: true,
        clockSpeed: index => chosen.clockSpeeds[index]!,
    });
    offerLoad(cluster, random, chosen.hotInstance);
    const lowerInForceMs = scheduleFaults(cluster, chosen);
    cluster.simulation.runUntil(runMs);
    const limits = [{ fromMs: 0, ...before }];
    return { cluster, limits: lowerInForceMs < runMs ? [...limits, { fromMs: lowerInForceMs, ...after }] : limits };
}

/** Three times the rate, half of it at one instance, so that shares have to move. */
function offerLoad(cluster: RateCluster, random: SeededRandom, hotInstance: number): void {
    const count = 3 * before.ratePerSecond * runMs / 1_000;
    for (let arrivalId = 0; arrivalId < count; arrivalId++) {
        const offered: OfferedStatement = {
            arrivalId,
            workspace: "shop",
            instanceIndex: random.nextFloat() < 0.5 ? hotInstance : random.nextInteger(instanceCount),
            statementKind: StatementKind.Read,
            inTransaction: random.nextFloat() < 0.1,
            waitingMs: 500,
        };
        cluster.simulation.at(random.nextFloat() * runMs, () => cluster.offer(offered));
    }
}

/** Returns the time from which the lower rate binds; a data centre that is cut off cannot know it before it heals. */
function scheduleFaults(cluster: RateCluster, chosen: Scenario): number {
    const { simulation } = cluster;
    let cutMs = 0;
    for (const { atMs, kind, index } of chosen.faults) {
        const dataCentreIndex = index % dataCentres.length;
        const actions = {
            [FaultKind.Kill]: () => cluster.kill(index),
            [FaultKind.Restart]: () => cluster.restart(index),
            [FaultKind.CutOff]: () => cluster.cutOff(dataCentreIndex),
            [FaultKind.Isolate]: () => cluster.isolate(index),
            [FaultKind.Heal]: () => cluster.heal(dataCentreIndex),
            [FaultKind.NewLeader]: () => cluster.electLeader(),
        };
        simulation.at(atMs, actions[kind]);
        cutMs = kind === FaultKind.CutOff || kind === FaultKind.Isolate ? Infinity : cutMs;
    }
    if (chosen.lowerAtMs === undefined) {
        return Infinity;
    }
    simulation.at(chosen.lowerAtMs, () => cluster.setRate("shop", after.ratePerSecond, after.burst));
    return Math.max(cutMs, chosen.lowerAtMs + settleMs);
}
