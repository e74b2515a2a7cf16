import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { countAdmissionsOverRate, type RateLimit } from "../../../bench/admissionCheck.ts";
import { type OfferedStatement, RateCluster } from "../../../bench/rateCluster.ts";
import { StatementKind } from "../../model/statement.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";

/** Longer than the duration of a permit lease plus the time until its reassignment. */
const runMs = 16_000;
const dataCentres = ["north", "south", "west"];
const instanceCount = 6;
const initialLimit = { ratePerSecond: 120, burst: 24 };
const loweredLimit = { ratePerSecond: 45, burst: 9 };

/** Time until a lowered rate has reached every instance and the permits of the higher rate have expired. */
const settlingMs = 1_500;

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

const scenarioArbitrary = fc.record({
    seed: fc.integer({ min: 1, max: 1_000_000 }),
    faults,
    clockSpeeds: fc.array(fc.constantFrom(0.9, 1, 1.1), { minLength: instanceCount, maxLength: instanceCount }),
    lowerAtMs: fc.option(fc.integer({ min: 1_000, max: 6_000 }), { nil: undefined }),
    lostShare: fc.constantFrom(0, 0.2),
    hotInstance: fc.nat(instanceCount - 1),
});
type Scenario = typeof scenarioArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

describe("rate limit over all instances", () => {
    it("admits at most rate x time + burst in every window under any faults", () => {
        fc.assert(
            fc.property(scenarioArbitrary, scenario => {
                const { cluster, limits } = run(scenario);
                const times = [...cluster.admittedAtMs.values()].sort((left, right) => left - right);
                assert.equal(countAdmissionsOverRate(times, limits), 0);
            }),
            { seed: 11, numRuns: 40 },
        );
    });

    // Without this test, admitting nothing would satisfy the bound above.
    it("still admits most of the rate after an instance is killed", () => {
        const { cluster } = run({
            seed: 5,
            faults: [{ atMs: 2_000, kind: FaultKind.Kill, index: 0 }],
            clockSpeeds: [1, 1, 1, 1, 1, 1],
            lowerAtMs: undefined,
            lostShare: 0,
            hotInstance: 3,
        });
        const served = [...cluster.admittedAtMs.values()].filter(atMs => atMs > 2_000).length;
        assert.ok(served > 0.6 * initialLimit.ratePerSecond * (runMs - 2_000) / 1_000, `served ${served}`);
    });
});

function run(scenario: Scenario): { readonly cluster: RateCluster; readonly limits: readonly RateLimit[]; } {
    const random = new SeededRandom(scenario.seed);
    const cluster = new RateCluster({
        random,
        workspaces: [{ name: "shop", ...initialLimit, keyValidityMs: 10_000, version: 1 }],
        dataCentres,
        instancesPerDataCentre: instanceCount / dataCentres.length,
        network: {
            localLatencyMs: 0.3,
            remoteLatencyMs: 4,
            jitterMs: 2,
            lossProbability: scenario.lostShare,
            duplicationProbability: 0.1,
            latenessProbability: 0.1,
        },
        sharesFollowDemand: true,
        clockSpeed: index => scenario.clockSpeeds[index]!,
    });
    offerStatements(cluster, random, scenario.hotInstance);
    const loweredFromMs = scheduleFaults(cluster, scenario);
    cluster.simulation.runUntil(runMs);
    const limits = [{ fromMs: 0, ...initialLimit }];
    return {
        cluster,
        limits: loweredFromMs < runMs ? [...limits, { fromMs: loweredFromMs, ...loweredLimit }] : limits,
    };
}

/** Offers three times the rate, half of it at one instance, so that shares have to move. */
function offerStatements(cluster: RateCluster, random: SeededRandom, hotInstance: number): void {
    const count = 3 * initialLimit.ratePerSecond * runMs / 1_000;
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

/** Returns the time from which the lowered rate must hold; Infinity after a partition, which may hide it from some. */
function scheduleFaults(cluster: RateCluster, scenario: Scenario): number {
    const { simulation } = cluster;
    let partitionedUntilMs = 0;
    for (const { atMs, kind, index } of scenario.faults) {
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
        partitionedUntilMs = kind === FaultKind.CutOff || kind === FaultKind.Isolate ? Infinity : partitionedUntilMs;
    }
    if (scenario.lowerAtMs === undefined) {
        return Infinity;
    }
    simulation.at(scenario.lowerAtMs, () => cluster.setRate("shop", loweredLimit.ratePerSecond, loweredLimit.burst));
    return Math.max(partitionedUntilMs, scenario.lowerAtMs + settlingMs);
}
