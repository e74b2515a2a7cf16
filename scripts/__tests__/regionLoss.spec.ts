import "disposablestack/auto";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { documentWithKeys, type Machine, PlatformCluster } from "../platformCluster.ts";

/** The users' limits `recovery_s` and `catch_up_s`. */
const recoveryLimitMs = 15_000;
const catchUpLimitMs = 6_000;

/** Interval between two sessions at a proxy that is not ready yet. */
const askIntervalMs = 250;

const regions = {
    "zone-a": "region-a",
    "zone-b": "region-b",
    "zone-c": "region-c",
    "zone-d": "region-a",
    "zone-e": "region-b",
    "zone-f": "region-c",
};

describe("six control members in six data centres of three regions", { timeout: 180_000 }, () => {
    let cluster: PlatformCluster;
    let version = 1;

    before(async () => {
        cluster = await PlatformCluster.open({
            members: 6,
            proxies: 3,
            regions,
            faultTolerance: { machines: 2, zones: 1, regions: 1 },
        }, documentWithKeys(version));
        await delay(catchUpLimitMs);
    });

    after(() => cluster[Symbol.asyncDispose]());

    function machinesIn(region: string): readonly Machine[] {
        return [...cluster.members, ...cluster.proxies].filter(({ dataCentre }) =>
            regions[dataCentre as keyof typeof regions] === region
        );
    }

    /** Takes the power and the disks of a region at once. */
    async function loseRegion(region: string): Promise<void> {
        await Promise.all(machinesIn(region).map(machine => cluster.kill(machine)));
        machinesIn(region).filter(({ isMember }) => isMember).forEach(machine => cluster.eraseDisk(machine));
    }

    /** Returns the last answer of a proxy to a session with the latest key. */
    async function connectAt(proxy: Machine): Promise<string> {
        let answer = "";
        for (const startMs = performance.now(); performance.now() - startMs < recoveryLimitMs;) {
            answer = await cluster.connect(proxy, "orders", `key${version}`);
            if (answer === "READY") {
                break;
            }
            await delay(askIntervalMs);
        }
        return answer;
    }

    for (const region of ["region-a", "region-b", "region-c"]) {
        it(`keep what they acknowledged, and go on, when ${region} is lost with its disks`, async () => {
            await loseRegion(region);
            assert.equal(await cluster.readVersion(), version);
            version += 1;
            const startMs = performance.now();
            await cluster.putConfiguration(documentWithKeys(version));
            assert.ok(performance.now() - startMs < recoveryLimitMs);
            for (const proxy of cluster.proxies.filter(machine => cluster.isRunning(machine))) {
                assert.equal(await connectAt(proxy), "READY", proxy.name);
            }
            machinesIn(region).forEach(machine => cluster.start(machine));
            await delay(2 * catchUpLimitMs);
            for (const proxy of cluster.proxies) {
                assert.equal(await connectAt(proxy), "READY", proxy.name);
            }
        });
    }

    it("acknowledge nothing while two regions are lost, and have it all once one is back with its disks", async () => {
        const lost = ["region-a", "region-b"].flatMap(machinesIn);
        await Promise.all(lost.map(machine => cluster.kill(machine)));
        await assert.rejects(cluster.putConfiguration(documentWithKeys(version + 1)), /was not acknowledged/);
        machinesIn("region-a").forEach(machine => cluster.start(machine));
        version += 1;
        await cluster.putConfiguration(documentWithKeys(version));
        assert.equal(await connectAt(machinesIn("region-c").find(({ isMember }) => !isMember)!), "READY");
        assert.deepEqual(cluster.unexpectedEnds, []);
    });
});
