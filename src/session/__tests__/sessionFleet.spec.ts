import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PeerKind } from "../../model/peerMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { SeededRandom } from "../../pipeline/seededRandom.ts";
import { type FleetNode, SessionFleet } from "./sessionFleet.ts";

/** Limit of control traffic per instance; a holder may use this much for each primary that it holds. */
const controlBytesPerSecond = 3_000;

/** The holder of a database, and two others that use it while they cannot tell whether the holder still runs. */
const maximumOpeningInstances = 3;

const Disturbance = { Slow: "slow to answer", Dark: "dark" } as const;

describe("session pipes of a fleet", () => {
    it("keeps the traffic of floor questions within the limit of each instance", () => {
        // Guards against every instance asking the holder of every primary.
        const fleet = new SessionFleet({
            instances: 89,
            dataCentres: 6,
            services: 6,
            workspaces: 87,
            sessions: 2_780,
        });
        fleet.startCallers();
        fleet.advance(5_000);
        fleet.resetCounts();
        fleet.advance(5_000);
        const overBudget = fleet.nodes.map(node => ({
            instanceId: node.peer.instanceId,
            bytesPerSecond: node.counters.floorBytes / 5,
            allowed: controlBytesPerSecond * Math.max(1, fleet.primariesHeldBy(node)),
        })).filter(({ bytesPerSecond, allowed }) => bytesPerSecond > allowed);
        assert.deepEqual(overBudget, []);
        assert.equal([...fleet.answers.keys()].filter(answer => answer !== "served").length, 0);
    });

    for (const lagMs of [60, 2_000]) {
        it(`serves no stale read while instances are frozen, killed and partitioned, at ${lagMs} ms of lag`, () => {
            // Guards against a position that another instance reports as more recent than it is.
            const fleet = new SessionFleet({
                instances: 30,
                dataCentres: 3,
                services: 6,
                workspaces: 8,
                sessions: 1_000,
                lagMs,
            });
            fleet.startCallers();
            fleet.advance(8_000);
            assert.deepEqual([...fleet.answers.keys()], ["served"]);
            const disturbedByDataCentre = ["dc0", "dc1", "dc2"].map(name => fleet.nonHolders(name).slice(0, 3));
            const peers = fleet.nodes.map(({ peer }) => peer);
            for (const [frozen, killed, partitioned] of disturbedByDataCentre as [FleetNode, FleetNode, FleetNode][]) {
                fleet.disturb(frozen, 2_500, () => frozen.frozen = true, () => frozen.unfreeze());
                fleet.advance(300);
                fleet.disturb(killed, 3_500, () => killed.kill(), () =>
                    fleet.nodes.forEach(node =>
                        node.post({
                            kind: PeerKind.InstancesKnown,
                            instances: peers.filter(peer => peer !== killed.peer),
                        } as Message)
                    ));
                fleet.disturb(
                    partitioned,
                    3_000,
                    () => partitioned.partitioned = true,
                    () => partitioned.partitioned = false,
                );
                fleet.advance(300);
            }
            fleet.advance(6_000);
            assert.deepEqual(fleet.staleStatementIds, []);
            assert.deepEqual([...fleet.answers.keys()], ["served"]);
        });
    }

    for (const seed of [3, 11]) {
        it(`serves no stale read while instances are disturbed one after the other (seed ${seed})`, () => {
            // Guards against a position that is taken to be more recent than it is after a late answer.
            const random = new SeededRandom(seed);
            const fleet = new SessionFleet({
                instances: 30,
                dataCentres: 3,
                services: 6,
                workspaces: 8,
                sessions: 1_000,
                lagMs: 2_000,
                seed,
            });
            fleet.startCallers();
            fleet.advance(8_000);
            for (let round = 0; round < 12; round++) {
                disturbRandomly(fleet, random, round);
                fleet.advance(200 + random.nextInteger(800));
            }
            fleet.advance(3_000);
            assert.deepEqual(fleet.staleStatementIds, []);
        });
    }

    for (const seed of [1, 2, 3]) {
        it(`answers each statement with its own answer when databases reply twice (seed ${seed})`, () => {
            // Guards against replies that are matched to commands by their order alone.
            const fleet = new SessionFleet({
                instances: 6,
                dataCentres: 3,
                services: 3,
                workspaces: 8,
                sessions: 400,
                transactionPauseMs: 5,
                seed,
            });
            fleet.databases.forEach(database => Object.assign(database, { repeatedShare: 0.03, busyShare: 0.01 }));
            fleet.startCallers();
            fleet.advance(20_000);
            assert.deepEqual(fleet.checker.violations, []);
            assert.deepEqual(fleet.staleStatementIds, []);
            assert.ok(fleet.answers.get("served")! > 0.99 * fleet.operationCount, JSON.stringify([...fleet.answers]));
        });
    }

    for (const hasCallers of [true, false]) {
        it(`loses no request while four holders drain, ${hasCallers ? "with" : "without"} callers`, () => {
            // Guards against holders that exit with transactions and tasks of other instances on their links.
            const fleet = new SessionFleet({
                instances: 24,
                dataCentres: 2,
                services: 6,
                workspaces: 8,
                sessions: 1_000,
                transactionPauseMs: 1_250,
            });
            const holders = new Set([...fleet.databases.values()].map(database => fleet.holderOf(database)));
            const stopped = fleet.nodes.filter(({ peer }) => peer.dataCentre === "dc0" && holders.has(peer)).slice(
                0,
                4,
            );
            assert.equal(stopped.length, 4);
            fleet.startCallers(hasCallers ? fleet.nodes : fleet.nodes.filter(node => !stopped.includes(node)));
            fleet.advance(8_000);
            assert.deepEqual([...fleet.answers.keys()], ["served"]);
            for (const node of stopped) {
                fleet.stop(node);
                fleet.advance(400);
            }
            fleet.advance(7_000);
            // A transaction that begins after the start of the drain may be aborted at the end of its first half.
            assert.deepEqual(
                [...fleet.answers.keys()].filter(answer => answer !== "aborted while leaving").sort(),
                hasCallers ? ["served", "served while leaving"] : ["served"],
            );
            assert.deepEqual(fleet.abortedSessionIds, []);
            assert.deepEqual(fleet.staleStatementIds, []);
        });
    }

    it("stays below the connection limits of all databases while messages between all instances are late", () => {
        // Guards against instances that mistake each other for unresponsive and open their own links to all databases.
        const fleet = congestedFleet();
        assert.equal([...fleet.databases.values()].reduce((sum, { refusedCount }) => sum + refusedCount, 0), 0);
        assert.deepEqual(fleet.staleStatementIds, []);
    });

    const disturbances = Object.values(Disturbance).flatMap(disturbance => [1, 3].map(seed => ({ disturbance, seed })));
    for (const { disturbance, seed } of disturbances) {
        it(`leaves a database to its holder and two others while it is ${disturbance} (seed ${seed})`, () => {
            // Guards against one holder taking over after another until every instance has a full pool.
            const fleet = new SessionFleet({
                instances: 89,
                dataCentres: 6,
                services: 6,
                workspaces: 87,
                sessions: 2_780,
                seed,
            });
            fleet.startCallers();
            fleet.advance(7_000);
            const database = fleet.databases.get("db0")!;
            if (disturbance === Disturbance.Slow) {
                database.answerDelayMs = 900;
            }
            else {
                database.unreachableUntilMs = fleet.schedule.nowMs + 3_000;
            }
            fleet.advance(3_000);
            database.answerDelayMs = 0;
            fleet.advance(5_000);
            assert.equal(database.refusedCount, 0);
            assert.deepEqual([...database.openingInstanceIds].slice(maximumOpeningInstances), []);
        });
    }

    it("serves while messages between all instances are late", () => {
        // Guards against reads that wait for more round trips than their deadline allows.
        assert.deepEqual([...congestedFleet().answers.keys()], ["served"]);
    });
});

/** Runs a fleet in which messages between instances take 250 ms longer one way for 4 s. */
function congestedFleet(): SessionFleet {
    const fleet = new SessionFleet({ instances: 89, dataCentres: 6, services: 6, workspaces: 87, sessions: 2_780 });
    fleet.startCallers();
    fleet.advance(7_000);
    fleet.congestionMs = 250;
    fleet.advance(4_000);
    fleet.congestionMs = 0;
    fleet.advance(2_000);
    return fleet;
}

/** Freezes, partitions or kills a random running instance, or delays all messages between instances for a while. */
function disturbRandomly(fleet: SessionFleet, random: SeededRandom, round: number): void {
    const node = fleet.nodes[random.nextInteger(fleet.nodes.length)]!;
    if (node.killed) {
        return;
    }
    const durationMs = 300 + random.nextInteger(3_000);
    const choice = random.nextInteger(4);
    if (choice === 0 && !node.frozen) {
        fleet.disturb(node, durationMs, () => node.frozen = true, () => node.unfreeze());
    }
    else if (choice === 1) {
        fleet.disturb(node, durationMs, () => node.partitioned = true, () => node.partitioned = false);
    }
    else if (choice === 2 && round % 3 === 0) {
        node.disturbed = true;
        node.kill();
    }
    else {
        fleet.congestionMs = random.nextInteger(300);
        fleet.schedule.after(durationMs, () => fleet.congestionMs = 0);
    }
}
