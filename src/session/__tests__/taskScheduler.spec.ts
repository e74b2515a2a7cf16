import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LinkLoss } from "../../model/linkMessages.ts";
import { Pace } from "../../model/pace.ts";
import { SessionStatementKind, StatementFault, TaskMode } from "../../model/sessionStatement.ts";
import { Holder, LinksWorld, slots, type TaskParts } from "./linksWorld.ts";

const connectionLimit = 70;
/** Time for which the simulated database works on a statement. */
const workMs = 24;

/** Places tasks at random times; `perSecond` by priority. */
function addDemand(
    world: LinksWorld,
    holder: Holder,
    { perSecond, fromMs, untilMs, ...parts }: TaskParts & {
        readonly perSecond: number;
        readonly fromMs: number;
        readonly untilMs: number;
    },
): void {
    for (let atMs = fromMs; atMs < untilMs; atMs += -Math.log(1 - world.random.nextFloat()) * 1_000 / perSecond) {
        world.schedule.at(atMs, () => holder.place({ ...parts, workspace: `w${world.random.nextInteger(76)}` }));
    }
}

function assertHonest(world: LinksWorld, ...holders: readonly Holder[]): void {
    assert.deepEqual(world.checker.violations, []);
    for (const holder of holders) {
        assert.deepEqual(holder.startsBeyondWindow, []);
        for (const taskId of holder.placedMs.keys()) {
            const attempt = holder.attempts.get(taskId);
            assert.ok(attempt !== undefined, `${taskId} has no result`);
            assert.ok((world.runs.get(taskId) ?? 0) <= 1, `${taskId} ran twice`);
            if (!attempt.attempted.sent) {
                assert.equal(world.runs.get(taskId), undefined, `${taskId} ran, but was reported as not sent`);
            }
        }
    }
}

function shareInTime(holder: Holder, priority: number, objectiveMs: number): number {
    const attempts = [...holder.attempts.values()]
        .filter(({ attempted }) => attempted.task.urgency!.priority === priority);
    const inTime = attempts.filter(({ attempted, atMs }) =>
        attempted.reply !== undefined && attempted.reply.fault === undefined
        && atMs - holder.placedMs.get(attempted.task.taskId)! <= objectiveMs
    );
    return inTime.length / attempts.length;
}

describe("tasks that wait for a database", () => {
    it("start as its links allow without a pace, and by two probes with one", () => {
        const startedAtOnce = (pace: Pace): number => {
            const world = new LinksWorld(connectionLimit);
            const holder = new Holder(world, "h", connectionLimit, pace);
            Array.from({ length: 30 }, (_, number) => holder.place({ workspace: `w${number}`, priority: 1 }));
            return holder.occupancy.inFlight;
        };
        assert.equal(startedAtOnce(Pace.Off), 30);
        assert.equal(startedAtOnce(Pace.Adaptive), 2);
    });

    it("are served by urgency when 76 workspaces rush with the least urgent one, without exceeding the window", () => {
        const world = new LinksWorld(connectionLimit);
        const holder = new Holder(world, "h", connectionLimit);
        addDemand(world, holder, {
            workspace: "",
            priority: 0,
            objectiveMs: 400,
            perSecond: 25,
            fromMs: 0,
            untilMs: 8_000,
        });
        addDemand(world, holder, { workspace: "", priority: 2, perSecond: 45, fromMs: 0, untilMs: 8_000 });
        addDemand(world, holder, { workspace: "", priority: 2, perSecond: 110, fromMs: 2_000, untilMs: 7_000 });
        world.schedule.advanceTo(15_000);
        assertHonest(world, holder);
        assert.ok(holder.maximumLinks <= 52);
        const urgent = shareInTime(holder, 0, 400);
        assert.ok(urgent >= 0.99, `${urgent}`);
        const refused = [...holder.attempts.values()].filter(({ attempted }) => attempted.retryAfterMs !== undefined);
        assert.ok(refused.every(({ attempted }) => attempted.task.urgency!.priority === 2 && !attempted.sent));
        assert.ok(refused.length > 0);
    });

    it("do not hold up the statements of an open transaction, which are not refused either", () => {
        const world = new LinksWorld(connectionLimit);
        const holder = new Holder(world, "h", connectionLimit);
        const mode = TaskMode.Transaction;
        const first = holder.place({ workspace: "w", priority: 2, mode, kind: SessionStatementKind.Write });
        world.schedule.advanceTo(200);
        assert.equal(holder.attempts.get(first)?.attempted.pinned, true);
        for (let index = 0; index < 300; index++) {
            holder.place({ workspace: "w", priority: 0 });
        }
        const commit = holder.place({
            workspace: "w",
            priority: 2,
            mode,
            kind: SessionStatementKind.Commit,
            sessionId: first,
        });
        world.schedule.advanceTo(200 + 12 * workMs);
        assert.equal(holder.faultOf(commit), undefined);
        world.schedule.advanceTo(20_000);
        assertHonest(world, holder);
    });

    it("are dropped when their callers leave", () => {
        const world = new LinksWorld(connectionLimit);
        const holder = new Holder(world, "h", connectionLimit);
        const taskIds = Array.from({ length: 50 }, () => holder.place({ workspace: "w", priority: 0 }));
        taskIds.slice(10).forEach(taskId => holder.abandon(taskId));
        world.schedule.advanceTo(5_000);
        taskIds.forEach((taskId, index) => assert.equal(world.runs.get(taskId), index < 10 ? 1 : undefined));
    });

    it("tell the load of the database with each result, by priority", () => {
        const world = new LinksWorld(connectionLimit);
        const holder = new Holder(world, "h", connectionLimit);
        const first = holder.place({ workspace: "w", priority: 0 });
        for (let index = 0; index < 100; index++) {
            holder.place({ workspace: "w", priority: index % 3, limitMs: 20_000, objectiveMs: 20_000 });
        }
        world.schedule.advanceTo(100);
        const load = holder.attempts.get(first)!.attempted.load!;
        assert.equal(load.expectedWaitsMs.length, 3);
        const [urgentMs, , leastUrgentMs] = load.expectedWaitsMs as [number, number, number];
        assert.ok(urgentMs > 0 && leastUrgentMs > 2 * urgentMs, load.expectedWaitsMs.join(","));
        assert.ok(load.window >= 2 && load.inFlight <= load.window);
        assert.ok(load.availableLinks > 0 && load.availableLinks < 52);
        assert.deepEqual(load.position, { term: 1, offset: 0 });
    });

    it("all move on when nothing listens at the address of their database", () => {
        const world = new LinksWorld(connectionLimit);
        const holder = new Holder(world, "h", connectionLimit);
        const taskIds = Array.from(
            { length: 100 },
            (_, index) => holder.place({ workspace: `w${index}`, priority: 0 }),
        );
        holder.breakLinks(LinkLoss.NoListener);
        taskIds.forEach(taskId => {
            assert.equal(holder.attempts.get(taskId)?.attempted.sent, false);
            assert.equal(holder.faultOf(taskId), "none");
        });
    });

    it("meet a few probes first when the database has forgotten its connections, and no write runs twice", () => {
        const world = new LinksWorld(connectionLimit);
        const holder = new Holder(world, "h", connectionLimit);
        const kind = SessionStatementKind.Write;
        addDemand(world, holder, { workspace: "", priority: 0, kind, perSecond: 80, fromMs: 0, untilMs: 4_000 });
        world.schedule.at(2_000, () => {
            holder.breakLinks();
            assert.ok(holder.occupancy.inFlight <= 2 && holder.occupancy.window === 2);
        });
        world.schedule.advanceTo(8_000);
        assertHonest(world, holder);
        const late = [...holder.attempts.values()].filter(({ attempted }) => attempted.reply === undefined);
        // Only what was in flight is in doubt.
        assert.ok(late.length <= 2 * slots + 12, `${late.length}`);
        assert.ok(holder.phases.includes("starting"));
        assert.ok(holder.occupancy.window >= slots);
    });

    it("get a result at both of two holders that overlap, within the connections of the database", () => {
        const world = new LinksWorld(connectionLimit);
        const holders = ["h1", "h2"].map(name => new Holder(world, name, connectionLimit));
        holders.forEach(holder =>
            addDemand(world, holder, { workspace: "", priority: 0, perSecond: 45, fromMs: 0, untilMs: 4_000 })
        );
        for (let atMs = 1; atMs < 4_000; atMs += 7) {
            world.schedule.at(atMs, () => assert.ok(world.database.connectionCount <= connectionLimit));
        }
        world.schedule.advanceTo(8_000);
        assertHonest(world, ...holders);
        holders.forEach(holder => {
            const attempts = [...holder.attempts.values()].map(({ attempted }) => attempted);
            const unconnected = attempts.filter(({ fault }) => fault === StatementFault.ConnectionLimit);
            // They were not sent, and routing tries them again.
            assert.ok(unconnected.every(({ sent }) => !sent));
            assert.ok(unconnected.length < 0.25 * attempts.length, `${unconnected.length} of ${attempts.length}`);
            const failed = attempts.filter(({ reply, fault }) =>
                reply === undefined && fault !== StatementFault.ConnectionLimit
            );
            assert.deepEqual(failed, []);
        });
    });

    it("keep the idle link of their workspace when a link is opened for another one", () => {
        // Guards against one opening that causes the next, 12 ms of a slot each, while workspaces wait for each other.
        const world = new LinksWorld(connectionLimit);
        const holder = new Holder(world, "h", connectionLimit);
        for (let index = 0; index < 52; index++) {
            world.schedule.at(50 * index, () => holder.place({ workspace: `w${index}`, priority: 0 }));
        }
        world.schedule.advanceTo(3_000);
        assert.equal(world.database.openedCount, 52);
        Array.from({ length: 20 }, (_, index) => holder.place({ workspace: `w${index}`, priority: 0 }));
        holder.place({ workspace: "new", priority: 0 });
        holder.place({ workspace: "w20", priority: 0 });
        world.schedule.advanceTo(6_000);
        assertHonest(world, holder);
        assert.equal(world.runs.size, 52 + 22);
        assert.equal(world.database.openedCount, 53);
    });

    it("do not keep the links of other workspaces from being closed when they have been idle for long", () => {
        // Guards against connections that the next holder of the database needs, and that nothing uses any more.
        const world = new LinksWorld(connectionLimit);
        const holder = new Holder(world, "h", connectionLimit);
        Array.from({ length: 20 }, (_, index) => holder.place({ workspace: `w${index}`, priority: 0 }));
        for (let atMs = 0; atMs < 70_000; atMs += 50) {
            world.schedule.at(atMs, () => holder.place({ workspace: "w0", priority: 0 }));
        }
        world.schedule.advanceTo(30_000);
        assert.ok(holder.occupancy.links >= 20);
        world.schedule.advanceTo(65_000);
        assert.ok(holder.occupancy.links <= 5, `${holder.occupancy.links} links of the holder`);
        Array.from({ length: 20 }, (_, index) => holder.place({ workspace: `w${index}`, priority: 0 }));
        world.schedule.advanceTo(65_400);
        assert.ok(holder.occupancy.links >= 20);
        holder.setHolder(false);
        world.schedule.advanceTo(66_000);
        assert.ok(holder.occupancy.links <= 2, `${holder.occupancy.links} links of another instance`);
        world.schedule.advanceTo(72_000);
        assertHonest(world, holder);
    });

    it("start soon after a pause in opening connections, also if they are alone in arriving during it", () => {
        // Guards against a task that waits until its deadline, because no link and no other task wakes it.
        const world = new LinksWorld(1);
        const [other, holder] = ["h1", "h2"].map(name => new Holder(world, name, connectionLimit)) as [Holder, Holder];
        other.place({ workspace: "w", priority: 0 });
        world.schedule.advanceTo(100);
        const refused = holder.place({ workspace: "w", priority: 0 });
        world.schedule.advanceTo(110);
        assert.equal(holder.faultOf(refused), StatementFault.ConnectionLimit);
        other.breakLinks();
        const waiting = holder.place({ workspace: "w", priority: 0 });
        world.schedule.advanceTo(300);
        assert.equal(world.runs.get(waiting), 1);
        assert.equal(holder.faultOf(waiting), undefined);
    });

    it("are refused with the time to come back when the database works on nothing else", () => {
        const world = new LinksWorld(connectionLimit);
        const holder = new Holder(world, "h", connectionLimit);
        const taskIds = Array.from(
            { length: 1_000 },
            () => holder.place({ workspace: "w", priority: 0, limitMs: 1_500 }),
        );
        const refused = taskIds.filter(taskId => holder.attempts.has(taskId));
        assert.ok(refused.length > 200, `${refused.length}`);
        refused.forEach(taskId => {
            const { attempted } = holder.attempts.get(taskId)!;
            assert.equal(attempted.fault, StatementFault.Busy);
            assert.ok(attempted.retryAfterMs! >= 10);
        });
        world.schedule.advanceTo(10_000);
        assertHonest(world, holder);
    });
});
