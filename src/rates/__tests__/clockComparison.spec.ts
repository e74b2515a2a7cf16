import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { countAdmissionsOverRate } from "../../../bench/admissionCheck.ts";
import { RateCluster } from "../../../bench/rateCluster.ts";
import { StatementKind } from "../../model/statement.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { ClockComparison } from "../clockComparison.ts";

/** Records samples every 20 ms until the true time `untilMs`, each delayed by up to 3 ms. */
function comparePeers(peerSpeeds: readonly number[], ownSpeed: number, untilMs = 10_000): number | undefined {
    const comparison = new ClockComparison();
    const random = new SeededRandom(4);
    for (let atMs = 0; atMs < untilMs; atMs += 20) {
        peerSpeeds.forEach((speed, index) =>
            comparison.recordSample(`peer${index}`, 77_000 + atMs * speed, (atMs + random.nextFloat() * 3) * ownSpeed)
        );
    }
    return comparison.correctionFactor(untilMs * ownSpeed);
}

describe("comparison of clocks", () => {
    it("detects that this clock is fast if at least one peer's clock is right", () => {
        for (const peerSpeeds of [[1, 1], [1, 1.1], [1.1, 1, 1.1]]) {
            const speed = comparePeers(peerSpeeds, 1.1);
            assert.ok(speed !== undefined && Math.abs(speed - 1 / 1.1) < 0.004, `${peerSpeeds} gave ${speed}`);
        }
    });

    it("never returns a factor above 1, and one close to 1 when all clocks are right", () => {
        assert.ok(comparePeers([1.1, 1.1], 1)! <= 1);
        assert.ok(comparePeers([1, 1], 1)! > 0.996);
    });

    it("is undefined with one peer, without recent samples, and after a peer restarted with a new clock", () => {
        assert.equal(comparePeers([1], 1), undefined);
        const comparison = new ClockComparison();
        for (let atMs = 0; atMs <= 5_000; atMs += 100) {
            comparison.recordSample("a", atMs, atMs);
            comparison.recordSample("b", atMs < 4_500 ? atMs : atMs + 1_000_000, atMs);
        }
        assert.equal(comparison.correctionFactor(5_000), undefined);
        assert.equal(comparison.correctionFactor(60_000), undefined);
    });

    it("keeps the rate limit when one of three clocks is fast, and admits almost the whole rate when none is", () => {
        const fast = runSaturated(index => index % 3 === 0 ? 1.1 : 1);
        assert.equal(countAdmissionsOverRate(fast, [limits]), 0);
        const right = runSaturated(() => 1);
        assert.equal(countAdmissionsOverRate(right, [limits]), 0);
        const served = right.filter(atMs => atMs > 6_000).length;
        assert.ok(served > 0.98 * 6 * limits.ratePerSecond, `served ${served} in 6 s`);
    });
});

const limits = { fromMs: 0, ratePerSecond: 150, burst: 30 };

/** Admission times in 12 s of load at twice the rate. Each data centre's permit home is on its first instance. */
function runSaturated(clockSpeed: (index: number) => number): readonly number[] {
    const random = new SeededRandom(9);
    const cluster = new RateCluster({
        random,
        workspaces: [{ name: "shop", ...limits, keyValidityMs: 10_000, version: 1 }],
        dataCentres: ["north", "south", "west"],
        instancesPerDataCentre: 3,
        network: {
            localLatencyMs: 0.3,
            remoteLatencyMs: 4,
            jitterMs: 1,
            lossProbability: 0,
            duplicationProbability: 0,
            latenessProbability: 0,
        },
        sharesFollowDemand: true,
        clockSpeed,
    });
    for (let arrivalId = 0; arrivalId < 2 * limits.ratePerSecond * 12; arrivalId++) {
        const offered = {
            arrivalId,
            workspace: "shop",
            instanceIndex: random.nextInteger(9),
            statementKind: StatementKind.Read,
            inTransaction: false,
            waitingMs: 1_000,
        };
        cluster.simulation.at(random.nextFloat() * 12_000, () => cluster.offer(offered));
    }
    cluster.simulation.runUntil(12_000);
    return [...cluster.admittedAtMs.values()].sort((left, right) => left - right);
}
