import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PromotionWait } from "../../model/promotionMessages.ts";
import { PromotionWorld } from "./promotionWorld.ts";
import type { SimulatedDatabase } from "./simulatedDatabase.ts";

/**
 * Takes away the instance and the two databases that know of the last commits; a stale replica and an instance that has seen
 * older commits alone are left.
 */
function loseLastCommits(world: PromotionWorld): PromotionWorld["instances"][number] {
    const [writer, reader] = world.instances;
    world.advance(5_000);
    reader!.writes = false;
    world.database(2).deaf = true;
    world.advance(3_000);
    world.crash(world.database(0));
    world.crash(world.database(1));
    world.killInstance(writer!);
    return writer!;
}

describe("changes of the primary of a service", () => {
    it("promotes a replica after a crash, and writes go on", () => {
        const world = new PromotionWorld();
        world.advance(5_000);
        world.crash(world.database(0));
        world.advance(2_500);
        assert.equal(world.promoted.length, 1);
        const before = world.acknowledgedCount;
        world.advance(1_000);
        assert.ok(world.acknowledgedCount - before >= 45, `${world.acknowledgedCount - before} commits in 1 s`);
        assert.deepEqual(world.lost, []);
    });

    it("promotes a replica although answers told of commits that no replica had received", () => {
        // Guards against a choice that waits for commits which were under way when the primary crashed.
        for (let crashAtMs = 5_000; crashAtMs < 5_020; crashAtMs++) {
            const world = new PromotionWorld();
            world.writeIntervalMs = 2;
            world.advance(crashAtMs);
            world.crash(world.database(0));
            world.advance(2_000);
            const before = world.acknowledgedCount;
            world.advance(1_000);
            assert.ok(
                world.acknowledgedCount - before >= 450,
                `crash at ${crashAtMs} ms: no commits, ${[...world.waits].join()}`,
            );
            assert.deepEqual(world.lost, []);
        }
    });

    it("promotes a replica of a service that has no commits yet", () => {
        // Guards against a choice that waits for ever because an empty log counts as a lost one.
        const world = new PromotionWorld();
        world.instances.forEach(instance => {
            instance.writes = false;
        });
        world.advance(5_000);
        world.crash(world.database(0));
        world.advance(15_000);
        assert.equal(world.promoted.length, 1);
    });

    it("does not promote a stale replica after all control members have restarted", () => {
        // Guards against the loss of commits if the leader takes the databases that have reported to it for all.
        const world = new PromotionWorld();
        world.advance(5_000);
        world.database(2).deaf = true;
        world.advance(3_000);
        world.crash(world.database(0));
        world.crash(world.database(1));
        world.advance(1_000);
        world.stopControl();
        world.advance(500);
        world.startControl();
        world.advance(4_000);
        assert.deepEqual(world.promoted, []);
        assert.ok(world.waits.has(PromotionWait.DatabaseWithLastCommit));
        world.database(2).deaf = false;
        world.restart(world.database(0));
        world.restart(world.database(1));
        world.advance(5_000);
        assert.deepEqual(world.lost, []);
        const before = world.acknowledgedCount;
        world.advance(1_000);
        assert.ok(world.acknowledgedCount > before);
    });

    it("keeps a remembered primary that serves and does not report after a restart of the control members", () => {
        // Guards against commits in doubt while a primary is replaced whose reports failed during the restart.
        const world = new PromotionWorld();
        world.advance(5_000);
        world.stopControl();
        world.silentDatabases.add(world.database(0));
        world.advance(1_000);
        const remembered = world.listDatabases();
        world.startControl(remembered);
        const before = world.acknowledgedCount;
        world.advance(8_000);
        assert.equal(world.record.fence, 0);
        assert.ok(world.acknowledgedCount - before >= 360, `${world.acknowledgedCount - before} commits in 8 s`);
        world.silentDatabases.clear();
        world.advance(2_000);
        assert.equal(world.record.fence, 0);
    });

    it("replaces a remembered primary that is gone after a restart of the control members", () => {
        const world = new PromotionWorld();
        world.advance(5_000);
        world.stopControl();
        const remembered = world.listDatabases();
        world.crash(world.database(0));
        world.advance(1_000);
        world.startControl(remembered);
        world.advance(5_000);
        assert.equal(world.promoted.length, 1);
        assert.deepEqual(world.lost, []);
    });

    it("replaces a remembered primary whose place another process has taken that does not lead", () => {
        // Guards against a service without a primary for as long as databases are remembered.
        const world = new PromotionWorld();
        world.advance(5_000);
        world.stopControl();
        const remembered = world.listDatabases();
        world.crash(world.database(0));
        const next = world.restart(world.database(0));
        next.leads = false;
        world.advance(1_000);
        world.startControl(remembered);
        world.advance(5_500);
        assert.equal(world.promoted.length, 1);
        assert.deepEqual(world.lost, []);
    });

    it("waits for a database if an instance that saw the last commits is gone", () => {
        // Guards against the loss of commits that only an instance without power has seen acknowledged.
        const world = new PromotionWorld();
        const writer = loseLastCommits(world);
        world.advance(3_500);
        world.startInstance(writer);
        world.database(2).deaf = false;
        world.advance(1_600);
        assert.deepEqual(world.promoted, []);
        world.restart(world.database(0));
        world.restart(world.database(1));
        world.advance(5_000);
        assert.deepEqual(world.lost, []);
        assert.ok(world.primary !== undefined);
    });

    it("knows of an instance that is gone after a restart of the control members", () => {
        // Guards against the loss of commits if a new leader asks only the instances that attach to it.
        const world = new PromotionWorld();
        loseLastCommits(world);
        world.stopControl();
        world.advance(500);
        world.startControl();
        world.advance(10_000);
        assert.deepEqual(world.promoted, []);
        assert.ok(world.waits.has(PromotionWait.CommitWitnesses));
    });

    it("orders one database only while the platform takes seconds for a call", () => {
        // Guards against orders for several databases, of which an earlier one is executed after a later one was chosen.
        const world = new PromotionWorld();
        world.platformDelayMs = 2_000;
        for (let crash = 0; crash < 4; crash++) {
            world.advance(10_000);
            const crashed = world.primary!;
            world.crash(crashed);
            world.advance(3_000);
            world.restart(crashed);
        }
        world.advance(15_000);
        assert.deepEqual(world.lost, []);
        assert.equal(world.promoted.length, 4);
    });

    it("promotes a replica if the primary that a new leader has found crashes as well", () => {
        // Guards against a choice that waits for ever for commits of the short-lived primary that no replica has received.
        const world = new PromotionWorld();
        world.writeIntervalMs = 2;
        world.platformDelayMs = 300;
        world.advance(5_000);
        const crashed = world.database(0);
        world.crash(crashed);
        for (let waitedMs = 0; world.orders.length === 0 && waitedMs < 3_000; waitedMs += 5) {
            world.advance(5);
        }
        world.stopControl();
        world.restart(crashed);
        world.advance(1_000);
        assert.equal(world.promoted.length, 1);
        world.startControl();
        for (let waitedMs = 0; world.progress?.phase !== "completing" && waitedMs < 3_000; waitedMs++) {
            world.advance(1);
        }
        world.advance(20);
        world.crash(world.primary!);
        world.advance(5_000);
        assert.equal(world.promoted.length, 2);
        assert.deepEqual(world.lost, []);
    });

    it("orders the same database again after a change of the leader", () => {
        // Guards against a second choice while the order of the previous leader may still be executed.
        const world = new PromotionWorld();
        world.platformDelayMs = 4_000;
        world.advance(5_000);
        world.crash(world.database(0));
        world.advance(1_500);
        world.stopControl();
        world.advance(200);
        world.startControl();
        world.advance(12_000);
        assert.equal(new Set(world.orders.map(order => order.split("/")[0])).size, 1);
        assert.equal(world.promoted.length, 1);
        assert.deepEqual(world.lost, []);
    });

    it("goes on after the primary and a replica have started again under other ids", () => {
        // Guards against a promotion that waits for processes that are gone, while no other one can begin.
        const world = new PromotionWorld();
        world.advance(5_000);
        world.database(0).dark = true;
        world.database(1).dark = true;
        world.advance(3_270);
        [0, 1].forEach(index => {
            const gone = world.database(index);
            gone.running = false;
            world.restart(gone);
        });
        world.advance(5_000);
        const before = world.acknowledgedCount;
        world.advance(1_000);
        assert.ok(world.acknowledgedCount > before);
        const leaving = world.primary!;
        leaving.draining = true;
        world.report(leaving);
        world.advance(3_000);
        assert.notEqual(world.primary?.id, leaving.id);
        assert.deepEqual(world.lost, []);
    });

    it("does not promote a stale replica after the other one has started again without its log", () => {
        // Guards against a database that counts for commits which its earlier process confirmed.
        const world = new PromotionWorld();
        world.advance(5_000);
        world.database(2).deaf = true;
        world.advance(2_000);
        const primary = world.database(0);
        world.crash(primary);
        world.restartEmpty(world.database(1), false);
        world.database(2).deaf = false;
        world.advance(6_000);
        assert.deepEqual(world.promoted, []);
        world.restart(primary);
        world.advance(5_000);
        assert.deepEqual(world.lost, []);
        assertCommits(world);
    });

    it("does not wait for the earlier process of a replica once that one has caught up", () => {
        // Guards against choices that take seconds because a replica started again some time ago.
        const world = new PromotionWorld();
        world.advance(5_000);
        world.restartEmpty(world.database(1), false);
        world.advance(3_000);
        world.killInstance(world.instances[0]!);
        world.advance(1_000);
        world.crash(world.database(0));
        world.advance(1_500);
        assert.equal(world.promoted.length, 1);
        assert.deepEqual(world.lost, []);
    });

    it("keeps what is acknowledged while a replica that was paused starts again behind a silent cut", () => {
        // Guards against commits that waited at the old primary and are confirmed after the choice.
        const world = cutOffPrimary(2_000);
        // The control members hear of it late.
        const restarted = world.restartEmpty(world.database(2), true);
        restarted.cutFromControl = true;
        world.advance(500);
        world.rejoin(restarted.address);
        world.advance(8_000);
        assert.deepEqual(world.lost, []);
        assertCommits(world);
    });

    it("keeps what is acknowledged while a replica joins after the choice", () => {
        // Guards against a replica that nobody has paused and that confirms commits of the old primary.
        const world = cutOffPrimary(2_000);
        world.join().cutFromControl = true;
        world.advance(8_000);
        assert.deepEqual(world.lost, []);
        assertCommits(world);
    });

    it("keeps what a replica has confirmed of which the control members have not heard", () => {
        // Guards against a choice that takes the databases that are known for all that can have confirmed a commit.
        const world = new PromotionWorld();
        world.writeIntervalMs = 2;
        world.advance(4_000);
        const joined = world.join();
        joined.cutFromControl = true;
        world.advance(1_000);
        [1, 2].forEach(index => {
            world.database(index).deaf = true;
        });
        world.advance(8);
        world.crash(world.database(0));
        world.advance(4_000);
        world.rejoin(joined.address);
        world.advance(4_000);
        assert.deepEqual(world.lost, []);
    });

    it("does not promote a stale replica after the database that had confirmed the commits has left", () => {
        // Guards against the loss of commits that the last promotion kept and the remaining replica never received.
        const world = new PromotionWorld();
        world.advance(5_000);
        world.database(2).deaf = true;
        world.advance(2_000);
        world.crash(world.database(0));
        world.advance(100);
        world.leave(world.database(0));
        world.advance(4_000);
        const primary = world.primary!;
        assert.equal(primary.id, "d1");
        world.crash(primary);
        world.database(1).deaf = false;
        world.advance(6_000);
        assert.deepEqual(world.lost, []);
        world.restart(primary);
        world.advance(5_000);
        assert.deepEqual(world.lost, []);
        assertCommits(world);
    });

    it("makes the platform refuse a late order for a database that has lost its log", () => {
        // Guards against an order that is executed seconds late, when the database is empty.
        const world = new PromotionWorld();
        const delaysMs = [4_000];
        world.nextPlatformDelayMs = () => delaysMs.shift() ?? 0;
        world.advance(5_000);
        world.database(0).cutFromControl = true;
        world.advance(1_400);
        const [ordered] = world.orders[0]!.split("/");
        const chosen = world.databases.find(({ id }) => id === ordered)!;
        chosen.cutFrom.add(world.database(0).address);
        const restarted = world.restartEmpty(chosen, false);
        restarted.cutFrom.add(world.database(0).address);
        world.advance(8_000);
        assert.deepEqual(world.lost, []);
        assert.ok(world.primary !== undefined && world.primary.id !== ordered);
    });

    it("repeats at once the order that makes the platform refuse one for a database that has lost its log", () => {
        // Guards against a late order that is executed because the one that revokes it is late too.
        const world = new PromotionWorld();
        const delaysMs = [1_500, 9_000, 9_000];
        world.nextPlatformDelayMs = () => delaysMs.shift() ?? 0;
        world.advance(5_000);
        world.crash(world.database(0));
        advanceUntilOrdered(world, 1);
        world.advance(600);
        world.restartEmpty(orderedDatabase(world), false);
        world.advance(6_000);
        assert.deepEqual(world.lost, []);
        assertCommits(world);
    });

    it("revokes a second order whose database has lost its log as well", () => {
        // Guards against an open order that is not revoked because the last one named the former primary.
        const world = cutOffPrimary(400, ({ databases }) => {
            databases[2]!.deaf = true;
        });
        const primary = world.database(0);
        world.platformDelayMs = 0;
        world.restartEmpty(orderedDatabase(world), false);
        advanceUntilOrdered(world, 2);
        world.advance(1_500);
        world.rejoin(primary.address);
        world.crash(primary);
        world.platformDelayMs = 1_500;
        advanceUntilOrdered(world, 3);
        world.advance(500);
        world.platformDelayMs = 0;
        world.restartEmpty(orderedDatabase(world), false);
        world.advance(3_000);
        assert.deepEqual(world.lost, []);
        world.restart(primary);
        world.advance(5_000);
        assert.deepEqual(world.lost, []);
        assertCommits(world);
    });

    it("revokes an order for the former primary that has lost its log", () => {
        // Guards against the way back of a planned change that is taken late, when the primary is empty.
        const world = new PromotionWorld();
        world.advance(5_000);
        const [leaving, replica] = world.databases;
        world.crash(world.database(2));
        [leaving!, replica!].forEach(database => {
            database.draining = true;
            world.report(database);
        });
        world.platformDelayMs = 2_000;
        world.advance(500);
        world.crash(replica!);
        advanceUntilOrdered(world, 1);
        assert.equal(orderedDatabase(world), leaving);
        world.platformDelayMs = 0;
        world.advance(500);
        world.restartEmpty(leaving!, false);
        world.advance(3_000);
        assert.deepEqual(world.lost, []);
        world.restart(replica!);
        world.advance(5_000);
        assert.deepEqual(world.lost, []);
        assertCommits(world);
    });

    it("replaces a primary that has started again under its id without its log", () => {
        // Guards against a service without a primary, because the recorded one answers and reports.
        const world = new PromotionWorld();
        world.advance(5_000);
        const crashed = world.database(0);
        world.crash(crashed);
        world.advance(3_000);
        world.restart(crashed);
        world.advance(1_000);
        world.restartEmpty(world.primary!, false);
        world.advance(4_000);
        assert.deepEqual(world.lost, []);
        assertCommits(world);
    });

    it("does not promote a primary that stepped down and lost its log", () => {
        // Guards against the way back of a planned change to a database that is empty.
        const world = new PromotionWorld();
        world.advance(5_000);
        const leaving = world.database(0);
        [1, 2].forEach(index => {
            world.database(index).deaf = true;
        });
        world.advance(40);
        leaving.draining = true;
        world.report(leaving);
        world.advance(300);
        world.restartEmpty(leaving, false);
        world.advance(3_000);
        assert.deepEqual(world.lost, []);
    });

    it("trusts the log of the former primary if the ordered database has not led", () => {
        // Guards against a wait without end although the logs show that nothing was acknowledged beyond them.
        const world = new PromotionWorld(5);
        world.advance(5_000);
        world.crash(world.database(0));
        world.advance(2_500);
        const former = world.primary!;
        const writer = world.instances[0]!;
        world.advance(2_000);
        world.nextPlatformDelayMs = () => 30_000;
        world.crash(former);
        advanceUntilOrdered(world, 2);
        const ordered = orderedDatabase(world);
        world.crash(ordered);
        world.killInstance(writer);
        world.databases.filter(database => database.running).forEach(database => world.restartEmpty(database, false));
        world.advance(100);
        world.startInstance(writer);
        world.nextPlatformDelayMs = () => 0;
        [former, ordered].forEach(database => world.restart(database).leads = false);
        world.advance(10_000);
        assert.deepEqual(world.lost, []);
        assertCommits(world);
    });

    it("does not take the position of a primary that lost its log for what replicas must have received", () => {
        // Guards against an empty replica that counts as caught up because the primary that stepped down is empty.
        const world = new PromotionWorld();
        world.advance(5_000);
        const [leaving, full] = world.databases;
        const empty = world.restartEmpty(world.database(2), false);
        empty.deaf = true;
        [leaving!, full!].forEach(database => {
            database.draining = true;
            world.report(database);
        });
        world.advance(300);
        world.restartEmpty(leaving!, false);
        world.advance(6_000);
        assert.deepEqual(world.lost, []);
        assertCommits(world);
    });

    it("waits for the lease of an instance that does not answer, and no longer", () => {
        // Guards against a choice while an instance may acknowledge commits that a replica confirms after it.
        for (const elapsedMs of [0, 800, 1_700]) {
            const world = new PromotionWorld();
            world.advance(5_000);
            world.killInstance(world.instances[0]!);
            world.advance(elapsedMs);
            world.crash(world.database(0));
            advanceUntilOrdered(world, 1);
            const orderedMs = world.nowMs - 5_000;
            const leaseMs = 1_600;
            const leastMs = Math.max(elapsedMs, leaseMs - 400);
            const mostMs = Math.max(elapsedMs + 200, leaseMs + 150);
            assert.ok(orderedMs > leastMs && orderedMs < mostMs, `ordered after ${orderedMs} ms`);
            assert.equal(world.waits.has(PromotionWait.AcknowledgementLeases), elapsedMs < leaseMs);
        }
    });

    it("grants a lease to an instance that returns during a promotion once it acknowledges for the new primary alone", () => {
        // Guards against acknowledgements by an instance that was not asked before the choice.
        const world = cutOffPrimary(2_000, world => world.cutInstance(world.instances[0]!));
        const [returned, other] = world.instances;
        other!.writes = false;
        world.joinInstance(returned!);
        const before = world.acknowledgedCount;
        const restarted = world.restartEmpty(world.database(2), true);
        restarted.cutFromControl = true;
        world.advance(1_000);
        assert.equal(world.acknowledgedCount, before);
        world.rejoin(restarted.address);
        world.advance(5_000);
        assert.deepEqual(world.lost, []);
        assertCommits(world);
    });

    it("counts on the leases that an earlier leader granted", () => {
        // Guards against a new leader that chooses while an instance holds a lease of the former one.
        const world = new PromotionWorld();
        world.advance(5_000);
        world.cutInstance(world.instances[0]!);
        world.stopControl();
        world.startControl(world.listDatabases());
        world.database(0).cutFromControl = true;
        advanceUntilOrdered(world, 1);
        assert.equal(world.instances[0]!.gate.hasLease(world.nowMs), false);
        world.advance(5_000);
        assert.deepEqual(world.lost, []);
    });

    it("keeps what an instance without contact to the control members is told after the choice", () => {
        // Guards against the loss of commits that a replica confirms which started again while the order was under way.
        const world = cutOffPrimary(2_000, world => world.cutInstance(world.instances[0]!));
        // The control members hear of it late.
        const restarted = world.restartEmpty(world.database(2), true);
        restarted.cutFromControl = true;
        world.advance(500);
        world.rejoin(restarted.address);
        world.advance(8_000);
        assert.deepEqual(world.lost, []);
    });
});

/**
 * The control members lose contact to the primary, which goes on with the instances and replicas; another one is chosen,
 * and the order for it is under way.
 * @param platformDelayMs time after which the platform executes the order
 */
function cutOffPrimary(platformDelayMs: number, prepare: (world: PromotionWorld) => void = () => {}): PromotionWorld {
    const world = new PromotionWorld();
    world.platformDelayMs = platformDelayMs;
    world.advance(5_000);
    prepare(world);
    world.database(0).cutFromControl = true;
    for (let waitedMs = 0; world.orders.length === 0 && waitedMs < 5_000; waitedMs += 10) {
        world.advance(10);
    }
    world.advance(100);
    assert.equal(world.primary?.id, "d0");
    return world;
}

/** Until that many calls to the platform were made. */
function advanceUntilOrdered(world: PromotionWorld, count: number): void {
    for (let waitedMs = 0; world.orders.length < count && waitedMs < 10_000; waitedMs += 5) {
        world.advance(5);
    }
    assert.ok(world.orders.length >= count, `${world.orders.length} orders`);
}

/** The database of the last order. */
function orderedDatabase(world: PromotionWorld): SimulatedDatabase {
    const [ordered] = world.orders.at(-1)!.split("/");
    return world.databases.find(({ id }) => id === ordered)!;
}

function assertCommits(world: PromotionWorld): void {
    const before = world.acknowledgedCount;
    world.advance(1_000);
    assert.ok(world.acknowledgedCount - before >= 40, `${world.acknowledgedCount - before} commits in 1 s`);
}
