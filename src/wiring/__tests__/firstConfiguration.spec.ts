import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { StatementFault } from "../../model/sessionStatement.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { type Caller, ConfigurationFleet, keyOf } from "./configurationFleet.ts";

/** Fills two batches of the log. */
const changesForTwoBatches = 90;

/** Limits that follow from `recovery_s` and `catch_up_s` of the users. */
const recoveryMs = 12_000;
const catchUpMs = 4_000;

/** Number of random fault schedules, and the seed of the first one. */
const scheduleCount = Number(process.env["FIRST_CONFIGURATION_RUNS"] ?? 12);
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

/** Runs a random series of overlapping faults: restarts, power failures, the loss of a disk, and isolated members. */
function runSchedule(seed: number): ConfigurationFleet {
    const random = new SeededRandom(seed);
    const snapshotEntries = random.nextFloat() < 0.5 ? 16 : 1_024;
    const fleet = new ConfigurationFleet({ members: 3, tolerance: 1, proxies: 3, seed, snapshotEntries });
    fleet.updateTransferMs = random.nextInteger(400);
    const { cluster, memberIds, proxyIds } = fleet;
    const pick = <Item>(items: readonly Item[]): Item => items[random.nextInteger(items.length)]!;
    let diskErasedAtMs = 0;
    // A member whose disk was lost counts as failed until it has caught up. If a second member failed in this time, no
    // change could be acknowledged.
    const areDisksIntact = (): boolean => fleet.nowMs - diskErasedAtMs > recoveryMs + catchUpMs;
    const restartProxy = (proxyId: string): void => {
        fleet.stopProxy(proxyId);
        fleet.run(random.nextInteger(400));
        fleet.startProxy(proxyId);
        fleet.connectCaller(proxyId, keyOf(fleet.acknowledgedVersion));
    };
    const actions = [
        () => putKeys(fleet, 1 + random.nextInteger(20)),
        () => restartProxy(pick(proxyIds)),
        () => {
            const memberId = pick(memberIds);
            fleet.stopMember(memberId);
            fleet.run(random.nextInteger(1_500));
            fleet.startMember(memberId);
            restartProxy(pick(proxyIds));
        },
        () => {
            if (!areDisksIntact()) {
                return;
            }
            const follower = pick(memberIds.filter(memberId => memberId !== cluster.leader()?.memberId));
            cluster.setIsolated(follower, true);
            putKeys(fleet, 1 + random.nextInteger(80));
            restartProxy(pick(proxyIds));
            cluster.setIsolated(follower, false);
            restartProxy(pick(proxyIds));
        },
        () => {
            [...proxyIds].forEach(proxyId => fleet.stopProxy(proxyId));
            memberIds.forEach(memberId => fleet.stopMember(memberId));
            if (areDisksIntact()) {
                diskErasedAtMs = fleet.nowMs;
                cluster.eraseDisk(pick(memberIds));
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
            proxyIds.forEach(proxyId => fleet.connectCaller(proxyId, keyOf(fleet.acknowledgedVersion)));
        },
    ];
    putKeys(fleet, random.nextInteger(120));
    for (let step = 0; step < 12; step++) {
        pick(actions)();
        fleet.run(random.nextInteger(3_000));
    }
    fleet.run(recoveryMs);
    return fleet;
}

describe("first configuration of a proxy", () => {
    it("refuses no key because of an old version that a member without its disk publishes while it catches up", () => {
        const fleet = new ConfigurationFleet({ members: 3, tolerance: 1, proxies: 1, seed: 17 });
        putKeys(fleet, changesForTwoBatches);
        fleet.memberIds.forEach(memberId => fleet.stopMember(memberId));
        fleet.stopProxy("p0");
        fleet.cluster.eraseDisk("m0");
        fleet.run(2_000);
        const caller = fleet.connectCaller("p0", keyOf(fleet.acknowledgedVersion));
        fleet.memberIds.forEach(memberId => fleet.startMember(memberId));
        fleet.startProxy("p0", "m0");
        fleet.run(recoveryMs);
        assertAccepted([caller]);
    });

    it("refuses no key because of the snapshot that a member restored before it knows a leader", () => {
        const fleet = new ConfigurationFleet({ members: 3, tolerance: 1, proxies: 1, seed: 18, snapshotEntries: 16 });
        putKeys(fleet, 40);
        fleet.memberIds.forEach(memberId => fleet.stopMember(memberId));
        fleet.stopProxy("p0");
        fleet.memberIds.forEach(memberId => fleet.startMember(memberId));
        fleet.startProxy("p0", "m1");
        const caller = fleet.connectCaller("p0", keyOf(fleet.acknowledgedVersion));
        fleet.run(recoveryMs);
        assertAccepted([caller]);
    });

    it("refuses no key because of the old version of a member that is isolated from the others", () => {
        const fleet = new ConfigurationFleet({ members: 3, tolerance: 1, proxies: 1, seed: 19 });
        // Time for the follower to receive the first version.
        fleet.run(1_000);
        const follower = fleet.memberIds.find(memberId => memberId !== fleet.cluster.leader()?.memberId)!;
        fleet.cluster.setIsolated(follower, true);
        putKeys(fleet, 10);
        fleet.stopProxy("p0");
        fleet.startProxy("p0", follower);
        const caller = fleet.connectCaller("p0", keyOf(fleet.acknowledgedVersion));
        fleet.run(recoveryMs);
        assertAccepted([caller]);
    });

    it("accepts known keys without a leader, and refuses unknown keys permanently only once there is a leader", () => {
        const fleet = new ConfigurationFleet({ members: 3, tolerance: 1, proxies: 1, seed: 20 });
        const known = fleet.putKey();
        fleet.run(1_000);
        ["m0", "m1"].forEach(memberId => fleet.stopMember(memberId));
        fleet.stopProxy("p0");
        fleet.startProxy("p0", "m2");
        const served = fleet.connectCaller("p0", known);
        const unknown = fleet.connectCaller("p0", "another");
        fleet.run(catchUpMs);
        assertAccepted([served], catchUpMs);
        assert.equal(unknown.outcome, undefined, "refused because of an unconfirmed version");
        ["m0", "m1"].forEach(memberId => fleet.startMember(memberId));
        fleet.run(recoveryMs);
        assert.equal(unknown.outcome!.fault, StatementFault.NotAuthorized);
    });

    for (let seed = firstSeed; seed < firstSeed + scheduleCount; seed++) {
        it(`refuses no acknowledged key in any order of restarts (seed ${seed})`, () => {
            assertAccepted(runSchedule(seed).callers);
        });
    }
});
