import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { StatementFault } from "../../model/sessionStatement.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { type Caller, ConfigurationFleet, keyOf } from "./configurationFleet.ts";

/** Enough changes for two batches of the log. */
const manyChanges = 90;

/** From the users' bounds `recovery_s` and `catch_up_s`. */
const recoveryMs = 12_000;
const catchUpMs = 4_000;

/** Schedules of faults, and the seed of the first one. */
const runs = Number(process.env["FIRST_CONFIGURATION_RUNS"] ?? 12);
const firstSeed = Number(process.env["FIRST_CONFIGURATION_SEED"] ?? 1);

function assertAccepted(callers: readonly Caller[], limitMs = recoveryMs): void {
    for (const { proxyId, key, sinceMs, outcome } of callers) {
        const caller = `${key} at ${proxyId}`;
        assert.ok(outcome !== undefined, `${caller} has no session`);
        assert.equal(outcome.fault, undefined, `${caller}: ${outcome.detail}`);
        assert.ok(outcome.atMs - sinceMs <= limitMs, `${caller} waited ${outcome.atMs - sinceMs} ms`);
    }
}

function putKeys(fleet: ConfigurationFleet, count: number): void {
    for (let change = 0; change < count; change++) {
        fleet.putKey();
    }
}

/** Restarts, losses of power and of one disk, and members that are cut off, in series that overlap. */
function runSchedule(seed: number): ConfigurationFleet {
    const random = new SeededRandom(seed);
    const snapshotEntries = random.nextFloat() < 0.5 ? 16 : 1_024;
    const fleet = new ConfigurationFleet({ members: 3, tolerance: 1, proxies: 3, seed, snapshotEntries });
    fleet.partsMs = random.nextInteger(400);
    const { cluster, memberIds, proxyIds } = fleet;
    const draw = <Item>(items: readonly Item[]): Item => items[random.nextInteger(items.length)]!;
    let diskAtMs = 0;
    // A member whose disk was lost counts as lost until it has caught up; without it and another one nothing is acknowledged.
    const isWhole = (): boolean => fleet.nowMs - diskAtMs > recoveryMs + catchUpMs;
    const restartProxy = (proxyId: string): void => {
        fleet.stopProxy(proxyId);
        fleet.run(random.nextInteger(400));
        fleet.startProxy(proxyId);
        fleet.connect(proxyId, keyOf(fleet.acknowledged));
    };
    const actions = [
        () => putKeys(fleet, 1 + random.nextInteger(20)),
        () => restartProxy(draw(proxyIds)),
        () => {
            const memberId = draw(memberIds);
            fleet.stopMember(memberId);
            fleet.run(random.nextInteger(1_500));
            fleet.startMember(memberId);
            restartProxy(draw(proxyIds));
        },
        () => {
            if (!isWhole()) {
                return;
            }
            const follower = draw(memberIds.filter(memberId => memberId !== cluster.leader()?.memberId));
            cluster.setIsolated(follower, true);
            putKeys(fleet, 1 + random.nextInteger(80));
            restartProxy(draw(proxyIds));
            cluster.setIsolated(follower, false);
            restartProxy(draw(proxyIds));
        },
        () => {
            [...proxyIds].forEach(proxyId => fleet.stopProxy(proxyId));
            memberIds.forEach(memberId => fleet.stopMember(memberId));
            if (isWhole()) {
                diskAtMs = fleet.nowMs;
                cluster.eraseDisk(draw(memberIds));
            }
            fleet.run(random.nextInteger(2_000));
            const names = random.nextFloat() < 0.5 ? [...memberIds, ...proxyIds] : [...proxyIds, ...memberIds];
            names.forEach(name => {
                fleet.run(random.nextInteger(150));
                if (memberIds.includes(name)) {
                    fleet.startMember(name);
                }
                else {
                    fleet.startProxy(name);
                }
            });
            proxyIds.forEach(proxyId => fleet.connect(proxyId, keyOf(fleet.acknowledged)));
        },
    ];
    putKeys(fleet, random.nextInteger(120));
    for (let step = 0; step < 12; step++) {
        draw(actions)();
        fleet.run(random.nextInteger(3_000));
    }
    fleet.run(recoveryMs);
    return fleet;
}

describe("first configuration of a proxy", () => {
    it("refuses no key by an old version that a wiped member publishes while it catches up", () => {
        const fleet = new ConfigurationFleet({ members: 3, tolerance: 1, proxies: 1, seed: 17 });
        putKeys(fleet, manyChanges);
        fleet.memberIds.forEach(memberId => fleet.stopMember(memberId));
        fleet.stopProxy("p0");
        fleet.cluster.eraseDisk("m0");
        fleet.run(2_000);
        const caller = fleet.connect("p0", keyOf(fleet.acknowledged));
        fleet.memberIds.forEach(memberId => fleet.startMember(memberId));
        fleet.startProxy("p0", "m0");
        fleet.run(recoveryMs);
        assertAccepted([caller]);
    });

    it("refuses no key by the snapshot that a member restored before it heard a leader", () => {
        const fleet = new ConfigurationFleet({ members: 3, tolerance: 1, proxies: 1, seed: 18, snapshotEntries: 16 });
        putKeys(fleet, 40);
        fleet.memberIds.forEach(memberId => fleet.stopMember(memberId));
        fleet.stopProxy("p0");
        fleet.memberIds.forEach(memberId => fleet.startMember(memberId));
        fleet.startProxy("p0", "m1");
        const caller = fleet.connect("p0", keyOf(fleet.acknowledged));
        fleet.run(recoveryMs);
        assertAccepted([caller]);
    });

    it("refuses no key by the old version of a member that is cut off from the others", () => {
        const fleet = new ConfigurationFleet({ members: 3, tolerance: 1, proxies: 1, seed: 19 });
        // The follower has the first version.
        fleet.run(1_000);
        const follower = fleet.memberIds.find(memberId => memberId !== fleet.cluster.leader()?.memberId)!;
        fleet.cluster.setIsolated(follower, true);
        putKeys(fleet, 10);
        fleet.stopProxy("p0");
        fleet.startProxy("p0", follower);
        const caller = fleet.connect("p0", keyOf(fleet.acknowledged));
        fleet.run(recoveryMs);
        assertAccepted([caller]);
    });

    it("serves the keys that it knows without a leader, and refuses none for good before there is one", () => {
        const fleet = new ConfigurationFleet({ members: 3, tolerance: 1, proxies: 1, seed: 20 });
        const known = fleet.putKey();
        fleet.run(1_000);
        ["m0", "m1"].forEach(memberId => fleet.stopMember(memberId));
        fleet.stopProxy("p0");
        fleet.startProxy("p0", "m2");
        const served = fleet.connect("p0", known);
        const unknown = fleet.connect("p0", "another");
        fleet.run(catchUpMs);
        assertAccepted([served], catchUpMs);
        assert.equal(unknown.outcome, undefined, "refused by a version that nobody confirmed");
        ["m0", "m1"].forEach(memberId => fleet.startMember(memberId));
        fleet.run(recoveryMs);
        assert.equal(unknown.outcome!.fault, StatementFault.NotAuthorized);
    });

    for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
        it(`refuses no acknowledged key in any order of restarts (seed ${seed})`, () => {
            assertAccepted(runSchedule(seed).callers);
        });
    }
});
