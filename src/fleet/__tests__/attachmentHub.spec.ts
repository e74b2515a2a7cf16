import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { maximumQueuedFrames } from "../../rpc/fleetAcceptor.ts";
import { FleetNetwork } from "./fleetNetwork.ts";

/** Number of databases at the planned fleet size, from docs/CAPACITY.md. */
const plannedDatabases = 660;

/** Bandwidth budget of a node for control traffic, from docs/CAPACITY.md. */
const budgetBytesPerSecond = 3_000;

/** Time between the start of all machines and the first traffic at the users' sites. */
const startMs = 16_000;

/** Time over which the attachments of instances that start together are spread. */
const spreadMs = 2_000;

/** Time in which the users' sites must have recovered after the loss of a node (`catch_up_s`). */
const recoveryLimitMs = 6_000;

const startBytes = budgetBytesPerSecond * startMs / 1_000;

const sizes = [
    { instances: 12, members: 6 },
    { instances: 95, members: 6 },
    { instances: 470, members: 7 },
];

describe("lists of instances", () => {
    for (const { instances, members } of sizes) {
        it(`stay within the control budget of an instance when all ${instances} start and when one restarts`, () => {
            const network = startedNetwork(instances, members);
            const started = { start: maximumBytes(network), complete: countInstancesKnowingAll(network) };
            network.resetCounters();
            network.stop("front3");
            network.advance(1_000);
            const left = network.node("front0").instances.length;
            network.startInstance("front3");
            network.advance(5_000);
            const others = maximumBytes(network, "front3");
            const own = network.node("front3").receivedBytes;
            const results = { ...started, left, others, own, completeAgain: countInstancesKnowingAll(network) };
            const exceeded = [
                ...results.start > startBytes ? ["start"] : [],
                ...others > budgetBytesPerSecond ? ["others"] : [],
                ...own > startBytes ? ["own"] : [],
            ];
            const complete = { complete: instances, left: instances - 1, completeAgain: instances };
            assert.deepEqual({ ...results, exceeded }, { ...results, ...complete, exceeded: [] });
        });
    }

    it("are not sent to control members", () => {
        const network = startedNetwork(12, 6);
        const kinds = network.memberNames.flatMap(name =>
            network.node(name).received.map(({ kind }) => kind as string)
        );
        assert.deepEqual(kinds.filter(kind => kind.startsWith("instances")), []);
    });

    it("stay within the control budget of an instance while the configuration changes 20 times a second", () => {
        const network = startedNetwork(12, 6);
        network.resetCounters();
        const seconds = 10;
        for (let version = 1; version <= 20 * seconds; version++) {
            network.applyConfiguration(version);
            network.advance(50);
        }
        const perSecond = maximumBytes(network) / seconds;
        assert.deepEqual({ perSecond, within: perSecond <= budgetBytesPerSecond }, { perSecond, within: true });
    });

    it("do not overflow a new attachment when all planned databases report to one member", () => {
        const network = startedNetwork(2, 3);
        Array.from({ length: plannedDatabases }, (_, index) => network.reportDatabase("core1", `db${index}`));
        network.advance(1_000);
        network.stop("front1");
        network.startInstance("front1");
        network.advance(5_000);
        const { receivedFrames, databases } = network.node("front1");
        const cutOff = receivedFrames >= maximumQueuedFrames;
        assert.deepEqual({ receivedFrames, cutOff, known: databases.size }, {
            receivedFrames,
            cutOff: false,
            known: plannedDatabases,
        });
    });
});

describe("the list of instances at an instance", () => {
    it("keeps all peers when the leader is replaced by a member that has just started", () => {
        const network = startedNetwork(20, 3);
        network.resetCounters();
        network.stop("core0");
        network.stop("core1");
        network.startMember("core1");
        network.lead("core1", 2);
        network.advance(10_000);
        assert.deepEqual(fewestInstances(network), network.instanceNames.map(() => 20));
        assert.equal(countInstancesKnowingAll(network), 20);
    });

    it("keeps all peers while there is no leader and one of the members is partitioned from them", () => {
        const network = startedNetwork(20, 4);
        network.resetCounters();
        network.cutOff("core3", ["front0", "front1"]);
        network.stop("core0");
        network.advance(30_000);
        assert.deepEqual(fewestInstances(network), network.instanceNames.map(() => 20));
    });

    it("keeps all peers when the followed member loses the leadership and is partitioned from them", () => {
        const network = startedNetwork(20, 4);
        network.resetCounters();
        network.lead("nobody", 2);
        network.advance(100);
        network.cutOff("core0", ["front0"]);
        network.advance(10_000);
        assert.deepEqual(fewestInstances(network), network.instanceNames.map(() => 20));
    });

    it("drops a peer that dies together with the leader, and no other", () => {
        const network = startedNetwork(20, 3);
        network.resetCounters();
        network.stop("core0");
        network.stop("front7");
        network.advance(1_500);
        network.lead("core1", 2);
        network.advance(recoveryLimitMs - 1_500);
        const alive = network.instanceNames.filter(name => name !== "front7");
        assert.deepEqual(alive.map(name => network.node(name).instances.length), alive.map(() => 19));
        assert.deepEqual(alive.map(name => network.node(name).fewestInstances), alive.map(() => 19));
    });

    it("drops a peer that dies while there is no leader", () => {
        const network = startedNetwork(20, 3);
        network.stop("core0");
        network.advance(4_000);
        network.stop("front7");
        network.advance(recoveryLimitMs);
        const alive = network.instanceNames.filter(name => name !== "front7");
        assert.deepEqual(alive.map(name => network.node(name).instances.length), alive.map(() => 19));
    });

    it("comes from the leader of the highest term while a former leader does not know that it was replaced", () => {
        const network = startedNetwork(20, 3);
        network.resetCounters();
        network.leadOnly("core1", 2);
        network.advance(1_000);
        network.cutOff("core0", ["front0"]);
        network.advance(10_000);
        assert.deepEqual(fewestInstances(network), network.instanceNames.map(() => 20));
    });

    it("does not include a draining instance, even at a member to which it attaches while draining", () => {
        const network = startedNetwork(20, 3);
        network.drain("front7");
        network.advance(100);
        network.stop("core1");
        network.startMember("core1");
        network.lead("core1", 2);
        network.advance(recoveryLimitMs);
        const others = network.instanceNames.filter(name => name !== "front7");
        assert.deepEqual(others.map(name => network.node(name).instances.length), others.map(() => 19));
    });

    it("converges on all instances after restarts of nodes and changes of leader in any order", () => {
        // Guards against list changes that are lost or applied twice when the followed member changes.
        const step = fc.record({
            kind: fc.constantFrom("restart", "restart", "lead", "restartMember", "leaderless", "wait"),
            index: fc.nat(11),
            waitMs: fc.integer({ min: 0, max: 1_500 }),
        });
        fc.assert(
            fc.property(fc.array(step, { maxLength: 25 }), steps => {
                const network = startedNetwork(12, 3);
                let term = 1;
                for (const { kind, index, waitMs } of steps) {
                    const member = `core${index % 3}`;
                    if (kind === "restart") {
                        network.stop(`front${index}`);
                        network.startInstance(`front${index}`);
                    }
                    if (kind === "restartMember") {
                        network.stop(member);
                        network.startMember(member);
                    }
                    if (kind === "lead" || kind === "leaderless") {
                        network.lead(kind === "lead" ? member : "nobody", ++term);
                    }
                    network.advance(waitMs);
                }
                network.lead("core0", ++term);
                network.advance(recoveryLimitMs + spreadMs);
                assert.equal(countInstancesKnowingAll(network), 12);
            }),
            { seed: 20261204, numRuns: 200 },
        );
    });
});

describe("databases known to an instance that starts", () => {
    it("do not include those that left, whichever member they had reported to", () => {
        // Guards against instances that start later and open links to a database that has left.
        const network = startedNetwork(2, 3);
        network.reportDatabase("core1", "db0");
        network.reportDatabase("core1", "db1");
        network.advance(100);
        network.removeDatabase("core2", "db0");
        network.advance(1_000);
        network.stop("front1");
        network.startInstance("front1");
        network.advance(5_000);
        assert.deepEqual([...network.node("front1").databases], ["db1"]);
    });
});

describe("reports of databases that change nothing", () => {
    it("go to the leader alone, and to all members while none is known to lead", () => {
        const network = startedNetwork(2, 6);
        const received = (): Readonly<Record<string, number>> =>
            Object.fromEntries(
                network.memberNames.map(name => [
                    name,
                    network.node(name).received.filter(({ kind }) => kind === "databases").length,
                ]).filter(([, count]) => count !== 0),
            );
        network.reportDatabase("core1", "db0");
        network.advance(100);
        network.resetCounters();
        network.lead("core0", 2);
        for (let sequence = 2; sequence <= 11; sequence++) {
            network.reportDatabase("core1", "db0", sequence);
            network.advance(1_200);
        }
        assert.deepEqual(received(), { core0: 10 });
        // The first report to a member counts as a change, as the member cannot tell.
        network.reportDatabase("core0", "db0", 12);
        network.advance(100);
        network.resetCounters();
        network.reportDatabase("core0", "db0", 13);
        network.advance(100);
        assert.deepEqual(received(), {});
        network.lead("nobody", 3);
        network.reportDatabase("core1", "db0", 14);
        network.advance(100);
        assert.deepEqual(received(), { core0: 1, core2: 1, core3: 1, core4: 1, core5: 1 });
    });

    it("go to no instance while a cold database warms up, whose time left is another one in each", () => {
        const network = startedNetwork(2, 3);
        network.reportDatabase("core1", "db0", 1, 8_000);
        network.advance(100);
        network.resetCounters();
        const received = (name: string): number =>
            network.node(name).received.filter(({ kind }) => kind === "databases").length;
        for (let sequence = 2; sequence <= 6; sequence++) {
            network.reportDatabase("core1", "db0", sequence, 8_000 - 1_200 * sequence);
            network.advance(1_200);
        }
        assert.deepEqual(["core0", "core2", "front0", "front1"].map(received), [5, 0, 0, 0]);
        network.reportDatabase("core1", "db0", 7, 0);
        network.advance(100);
        assert.deepEqual(["core0", "core2", "front0", "front1"].map(received), [6, 1, 1, 1]);
    });

    it("go to all members once they change something", () => {
        const network = startedNetwork(2, 3);
        network.reportDatabase("core1", "db0");
        network.advance(100);
        assert.deepEqual([...network.node("core2").databases], ["db0"]);
        assert.deepEqual([...network.node("front1").databases], ["db0"]);
    });
});

describe("the members that an instance attaches to", () => {
    const all = ["core0:9000", "core1:9000", "core2:9000"];

    it("are those listed by the leader, not those listed by a member that lags behind", () => {
        const network = startedNetwork(2, 3);
        network.agreeMembers("core2", ["core2"]);
        network.advance(1_000);
        assert.deepEqual(network.node("front0").members, all);
        network.agreeMembers("core0", ["core0", "core1"]);
        network.advance(1_000);
        assert.deepEqual(network.node("front0").members, ["core0:9000", "core1:9000"]);
    });

    it("are all that any member lists while there is no leader", () => {
        const network = startedNetwork(2, 3);
        network.lead("nobody", 2);
        network.advance(1_000);
        network.agreeMembers("core2", ["core2", "core3"]);
        network.advance(5_000);
        assert.deepEqual(network.node("front0").members, [...all, "core3:9000"]);
    });
});

function startedNetwork(instances: number, members: number): FleetNetwork {
    const network = new FleetNetwork({ instances, members, spreadMs, seed: 20261204 });
    network.advance(300);
    network.lead("core0", 1);
    network.advance(startMs - 300);
    return network;
}

function maximumBytes(network: FleetNetwork, except?: string): number {
    return Math.max(
        ...network.instanceNames.filter(name => name !== except).map(name => network.node(name).receivedBytes),
    );
}

/** Fewest peers that each instance knew since the last `resetCounters`. */
function fewestInstances(network: FleetNetwork): readonly number[] {
    return network.instanceNames.map(name => network.node(name).fewestInstances);
}

/** Number of instances that know all instances. */
function countInstancesKnowingAll(network: FleetNetwork): number {
    const all = network.instanceNames.length;
    return network.instanceNames.filter(name => network.node(name).instances.length === all).length;
}
