import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ClusterKind } from "../../model/clusterMessages.ts";
import { type DatabaseHealth, HolderHealthKind, type HolderOrderDone, OrderKind } from "../../model/healthMessages.ts";
import { type HolderFloorAnswer, HolderKind } from "../../model/holderMessages.ts";
import { HolderPipeKind } from "../../model/holderPipeMessages.ts";
import { OutcomeKind } from "../../model/outcome.ts";
import { StatementKind } from "../../model/statement.ts";
import type { Message } from "../../pipeline/message.ts";
import { Majority } from "../majority.ts";
import { HolderFixture, isWorkLink } from "./holderFixture.ts";

describe("acquire", () => {
    it("gives quiet workspaces their share beside one at five times its rate", () => {
        const fixture = new HolderFixture({ serviceMs: 5 }).start();
        const quiet: string[] = [];
        // 7 x 48/s and 750/s on 3 slots of 200/s each: the noisy one alone asks for more than the database can do.
        for (let tick = 0; tick < 3_000; tick++) {
            const send = (workspace: string): string =>
                fixture.send(`SELECT ${tick}`, { workspace, sessionId: `${workspace} ${tick}` });
            if (tick % 21 === 0) {
                [1, 2, 3, 4, 5, 6, 7].forEach(number => quiet.push(send(`w${number}`)));
            }
            if (tick % 4 !== 0) {
                send("noisy");
            }
            fixture.run(1);
        }
        fixture.run(2_000);
        const served = quiet.filter(requestId => fixture.result(requestId) === "rows").length;
        assert.ok(served >= 0.99 * quiet.length, `${served} of ${quiet.length}`);
        assert.equal(fixture.databases.get("p").mostRunning, 3);
        // 600/s for 3 s, less a start of 12 ms for the first connections: no slot was idle while work waited.
        assert.ok(fixture.databases.sentTexts.length >= 1_790, `${fixture.databases.sentTexts.length} ran`);
    });

    it("refuses at once what cannot meet its deadline, instead of letting it wait in vain", () => {
        const fixture = new HolderFixture({ slots: 1, serviceMs: 50 }).start();
        fixture.send("SELECT 0");
        fixture.run(60);
        const sent = [1, 2, 3, 4, 5, 6].map(number =>
            fixture.send(`SELECT ${number}`, { sessionId: `s${number}`, deadlineMs: fixture.clock.nowMs() + 120 })
        );
        fixture.run(1);
        assert.equal(fixture.result(sent[5]!), "overloaded");
        fixture.run(500);
        const results = sent.map(requestId => fixture.result(requestId));
        assert.equal(results.filter(result => result === "rows").length, 3, results.join());
        assert.ok(!fixture.databases.sentTexts.includes("SELECT 6"));
    });

    it("prefers the class whose deadline is nearest", () => {
        const fixture = new HolderFixture({ slots: 1, serviceMs: 10 }).start();
        const busy = fixture.send("SELECT 0", { sessionId: "s0" });
        const later = fixture.send("SELECT later", { workClass: "a", sessionId: "s1" });
        const deadlineMs = fixture.clock.nowMs() + 100;
        const sooner = fixture.send("SELECT sooner", { workClass: "b", sessionId: "s2", deadlineMs });
        fixture.run(25);
        assert.deepEqual([busy, sooner, later].map(id => fixture.result(id)), ["rows", "rows", undefined]);
    });

    it("opens connections ahead of need and never more than the limit less the reserved ones", () => {
        const fixture = new HolderFixture({ slots: 3, connectionLimit: 6 }).start();
        const work = (): number =>
            [...fixture.databases.links].filter(([id, link]) => isWorkLink(id) && link.databaseId === "p").length;
        assert.equal(work(), 4);
        [1, 2, 3, 4, 5, 6].forEach(number => fixture.send("BEGIN", { sessionId: `s${number}` }));
        fixture.run(100);
        assert.equal(work(), 4);
    });

    it("rolls a session's transaction back when the session ends and when its stream is lost", () => {
        const fixture = new HolderFixture().start();
        for (const end of ["session", "stream"]) {
            const origin = `stream:${end}`;
            const steps = ["BEGIN", `INSERT ${end}`];
            steps.forEach(text => {
                fixture.send(text, { origin, sessionId: end, pinned: text !== "BEGIN" });
                fixture.run(5);
            });
            const kind = end === "session" ? HolderKind.SessionEnd : HolderKind.StreamLost;
            const all = { origin, sessionId: end, databaseId: "p", holderAddress: undefined, requestIds: [] };
            fixture.post({ kind, ...all } as Message);
            fixture.run(50);
            assert.ok(fixture.databases.sentTexts.includes(`INSERT ${end}`));
            assert.equal([...fixture.databases.links.values()].filter(link => link.transaction).length, 0);
        }
    });

    it("tells a session that its transaction was lost, and runs nothing of it on another connection", () => {
        const fixture = new HolderFixture().start();
        fixture.send("BEGIN");
        fixture.run(5);
        fixture.databases.cut(isWorkLink);
        fixture.run(50);
        const write = fixture.send("INSERT a", { pinned: false });
        fixture.run(5);
        assert.equal(fixture.result(write), "transaction_lost", "also for a sender that does not track sessions");
        const other = fixture.send("INSERT b", { pinned: true, sessionId: "of another holder" });
        fixture.run(5);
        assert.equal(fixture.result(other), "transaction_lost");
        assert.deepEqual(fixture.databases.sentTexts, ["BEGIN"]);
    });

    it("refuses as not run while the database cannot be reached, and recovers", () => {
        const fixture = new HolderFixture().start();
        fixture.databases.get("p").accepts = false;
        fixture.databases.cut(() => true);
        fixture.run(150);
        const refused = fixture.send("SELECT 1");
        fixture.run(1);
        assert.equal(fixture.result(refused), "connect_failed");
        fixture.databases.get("p").accepts = true;
        fixture.run(1_100);
        const served = fixture.send("SELECT 2");
        fixture.run(5);
        assert.equal(fixture.result(served), "rows");
    });

    it("lets transactions end during a drain, refuses new ones, then gives the lease back", () => {
        const fixture = new HolderFixture().start();
        fixture.send("BEGIN");
        fixture.run(5);
        fixture.post({ kind: ClusterKind.DrainStarted, deadlineMs: 30_000 } as Message);
        const begin = fixture.send("BEGIN", { sessionId: "s2" });
        const read = fixture.send("SELECT 1", { sessionId: "s3" });
        fixture.run(20);
        assert.deepEqual([fixture.result(begin), fixture.result(read)], ["shutting_down", "rows"]);
        assert.deepEqual(fixture.seen(HolderHealthKind.LeaseIdle), []);
        const commit = fixture.send("COMMIT", { pinned: true });
        fixture.run(5);
        assert.deepEqual(fixture.seen(HolderHealthKind.LeaseIdle), [], "the commit is not confirmed yet");
        fixture.replicateUntil(fixture.clock.nowMs() + 30);
        assert.equal(fixture.result(commit), "done");
        assert.equal(fixture.seen(HolderHealthKind.LeaseIdle).length, 1);
    });
});

describe("execute", () => {
    it("returns the first outcome to a resend with the same request id", () => {
        const fixture = new HolderFixture().start();
        const first = fixture.send("INSERT a", { idempotencyId: "id" });
        fixture.replicateUntil(fixture.clock.nowMs() + 50);
        const second = fixture.send("INSERT a", { idempotencyId: "id", sessionId: "s2" });
        fixture.replicateUntil(fixture.clock.nowMs() + 50);
        assert.deepEqual(fixture.answer(second)?.outcome, fixture.answer(first)?.outcome);
        assert.equal(fixture.databases.timesCommitted("p", "INSERT a"), 1);
    });

    it("commits a transaction once although its COMMIT is resent with the same request id", () => {
        const fixture = new HolderFixture().start();
        for (const attempt of [1, 2]) {
            const commits = ["BEGIN", "INSERT a", "COMMIT"].map(text => {
                const id = text === "COMMIT" ? { idempotencyId: "Order/1" } : {};
                const requestId = fixture.send(text, { ...id, pinned: text !== "BEGIN", sessionId: `s${attempt}` });
                fixture.replicateUntil(fixture.clock.nowMs() + 40);
                return requestId;
            });
            assert.equal(fixture.result(commits[2]!), "done");
        }
        assert.equal(fixture.databases.timesCommitted("p", "INSERT a"), 1);
    });

    it("says that the outcome is unknown after a silent connection, and that a failed statement failed", () => {
        const fixture = new HolderFixture({ settings: { statementLimitMs: 100 } }).start();
        const failed = fixture.send("FAIL");
        fixture.run(5);
        fixture.databases.links.forEach((link, id) => link.silent = isWorkLink(id));
        const silent = fixture.send("INSERT a");
        fixture.run(200);
        const outcome = fixture.answer(failed)?.outcome;
        assert.equal(outcome?.kind === OutcomeKind.Refused && outcome.refusal.databaseErrno, 1064);
        assert.deepEqual([fixture.result(failed), fixture.result(silent)], ["database_failed", "connection_lost"]);
    });

    it("repeats a read on another connection within its budget, and a write never", () => {
        const fixture = new HolderFixture({ settings: { retryShare: 0 } }).start();
        const results = (text: string): (string | undefined)[] =>
            Array.from({ length: 12 }, () => {
                fixture.databases.links.forEach((link, id) => link.dropsNext = isWorkLink(id));
                const requestId = fixture.send(text, { repeatable: true });
                fixture.run(3);
                fixture.databases.links.forEach(link => link.dropsNext = false);
                fixture.run(60);
                return fixture.result(requestId);
            });
        assert.ok(results("INSERT a").every(result => result === "connection_lost"));
        const reads = results("SELECT 1");
        assert.equal(reads.filter(result => result === "rows").length, 10, "ten repeats are saved up at the start");
    });
});

describe("confirm", () => {
    it("acknowledges no write before a majority has it, and says unknown after the limit", () => {
        const fixture = new HolderFixture().start();
        const confirmed = fixture.send("INSERT a");
        fixture.run(100);
        assert.equal(fixture.result(confirmed), undefined);
        fixture.databases.replicate("p", "r1");
        fixture.run(25);
        assert.equal(fixture.result(confirmed), "done");
        const unconfirmed = fixture.send("INSERT b", { sessionId: "s2" });
        fixture.run(2_990);
        assert.equal(fixture.result(unconfirmed), undefined);
        fixture.run(20);
        assert.equal(fixture.result(unconfirmed), "unconfirmed");
    });

    it("does not take the position of a later term for a confirmation, because a promotion may have dropped the write", () => {
        const fixture = new HolderFixture().start();
        const write = fixture.send("INSERT a");
        fixture.run(5);
        fixture.databases.get("r1").term = 2;
        fixture.run(25);
        assert.equal(fixture.result(write), "unconfirmed");
    });

    it("acknowledges nothing after its lease expired, unless the same lease is renewed", () => {
        for (const epoch of [1, 2]) {
            const fixture = new HolderFixture().start();
            const write = fixture.send("INSERT a");
            fixture.run(5);
            fixture.renew(fixture.clock.nowMs() + 1);
            fixture.run(20);
            fixture.databases.replicate("p", "r1");
            fixture.databases.replicate("p", "r2");
            const read = fixture.send("SELECT 1", { sessionId: "s2" });
            fixture.run(100);
            assert.deepEqual([fixture.result(write), fixture.result(read)], [undefined, "holder_unavailable"]);
            fixture.renew(fixture.clock.nowMs() + 10_000, epoch);
            fixture.run(100);
            assert.equal(fixture.result(write), epoch === 1 ? "done" : "unconfirmed");
        }
    });

    it("acknowledges nothing when the process was suspended past its lease and answers wait in its queue", () => {
        const fixture = new HolderFixture().start();
        fixture.renew(fixture.clock.nowMs() + 100);
        const write = fixture.send("INSERT a");
        fixture.run(5);
        fixture.databases.replicate("p", "r1");
        fixture.clock.freeze(500);
        fixture.run(50);
        assert.equal(fixture.databases.timesCommitted("r1", "INSERT a"), 1);
        assert.equal(fixture.result(write), undefined);
    });

    it("counts no position of another term, because its log may have taken another course", () => {
        const majority = new Majority();
        majority.note("r1", { term: 1, offset: 10 });
        majority.note("r2", { term: 3, offset: 10 });
        assert.equal(majority.confirmedOffset(2, ["r1", "r2"], 3), -1);
        majority.note("r1", { term: 2, offset: 7 });
        assert.equal(majority.confirmedOffset(2, ["r1", "r2"], 3), 7);
        assert.equal(majority.confirmedOffset(2, ["r1", "r2"], 5), -1, "of five, two replicas must have it");
    });

    it("refuses new writes early while confirmations take longer than the waiting time left", () => {
        const fixture = new HolderFixture().start();
        fixture.send("INSERT a");
        fixture.run(300);
        const refused = fixture.send("INSERT b", { sessionId: "s2", deadlineMs: fixture.clock.nowMs() + 100 });
        fixture.run(5);
        assert.equal(fixture.result(refused), "overloaded");
        assert.equal(fixture.databases.timesCommitted("p", "INSERT b"), 0);
    });
});

describe("freshness", () => {
    it("runs a read on a replica once it has reached the floor, and refuses it after a part of the waiting time", () => {
        const fixture = new HolderFixture({ held: ["p", "r1"] }).start();
        fixture.send("INSERT a");
        fixture.run(5);
        const floor = { term: 1, offset: 1 };
        const late = fixture.send("SELECT late", { databaseId: "r1", floor, sessionId: "s2" });
        fixture.run(490);
        assert.equal(fixture.result(late), undefined);
        fixture.run(20);
        assert.equal(fixture.result(late), "no_fresh_replica");
        const read = fixture.send("SELECT 1", { databaseId: "r1", floor, sessionId: "s3" });
        fixture.run(20);
        fixture.databases.replicate("p", "r1");
        fixture.run(25);
        assert.equal(fixture.result(read), "rows");
        assert.ok(!fixture.databases.sentTexts.includes("SELECT late"));
    });

    it("sends no write to a replica", () => {
        const fixture = new HolderFixture({ held: ["r1"] }).start();
        const write = fixture.send("INSERT a", { databaseId: "r1" });
        fixture.run(5);
        assert.equal(fixture.result(write), "no_primary");
    });
});

describe("floors", () => {
    const ask = (fixture: HolderFixture, callerIds: readonly string[]): HolderFloorAnswer | undefined => {
        const requestId = `f${fixture.clock.nowMs()}`;
        fixture.post({ kind: HolderKind.FloorRequest, origin: "", requestId, databaseId: "p", callerIds } as Message);
        fixture.run(30);
        return fixture.seen<HolderFloorAnswer>(HolderKind.FloorAnswer).find(answer => answer.requestId === requestId);
    };

    it("answers the last written position of a caller, and the position at the takeover for everyone else", () => {
        const fixture = new HolderFixture({ settings: { floorEntries: 2 } });
        fixture.databases.get("p").log.push({ texts: ["before"] });
        fixture.start();
        assert.deepEqual(ask(fixture, ["k1"])?.floors, [{ term: 1, offset: 1 }]);
        fixture.send("INSERT a", { callerId: "k1" });
        fixture.run(5);
        fixture.send("INSERT b", { callerId: "k2", sessionId: "s2" });
        fixture.run(5);
        const offsets = (ids: readonly string[]): unknown => ask(fixture, ids)?.floors?.map(floor => floor.offset);
        assert.deepEqual(offsets(["k1", "k2", "k3"]), [2, 3, 1]);
        fixture.send("INSERT c", { callerId: "k4", sessionId: "s3" });
        fixture.run(5);
        assert.deepEqual(offsets(["k1", "k3"]), [2, 2], "an evicted caller keeps its floor, now as the base");
    });

    it("answers nothing without a valid lease or from a position that is older than the takeover", () => {
        const fixture = new HolderFixture().start();
        fixture.renew(fixture.clock.nowMs() + 1);
        fixture.run(5);
        assert.equal(ask(fixture, ["k1"])?.floors, undefined);
        fixture.databases.get("p").log.push({ texts: ["by another holder"] });
        fixture.renew(1_000_000, 2);
        assert.deepEqual(ask(fixture, ["k1"])?.floors, [{ term: 1, offset: 1 }]);
    });
});

describe("floors after a takeover", () => {
    it("takes no position that was asked for before the takeover as the base", () => {
        const fixture = new HolderFixture({ settings: { positionIntervalMs: 10_000 } });
        fixture.start();
        const positionOf = (offset: number, askedAtMs: number): Message => ({
            kind: HolderPipeKind.PositionKnown,
            ...{ databaseId: "p", role: "primary", position: { term: 1, offset }, askedAtMs },
        });
        fixture.renew(1_000_000, 2);
        fixture.run(0);
        fixture.post(positionOf(4, fixture.clock.nowMs() - 1));
        fixture.post(
            { kind: HolderKind.FloorRequest, origin: "", requestId: "f", databaseId: "p", callerIds: ["k"] } as Message,
        );
        fixture.run(0);
        assert.deepEqual(fixture.seen(HolderKind.FloorAnswer), []);
        fixture.post(positionOf(5, fixture.clock.nowMs()));
        fixture.run(0);
        const floors = fixture.seen<HolderFloorAnswer>(HolderKind.FloorAnswer)[0]?.floors;
        assert.deepEqual(floors, [{ term: 1, offset: 5 }]);
    });
});

describe("monitor and orders", () => {
    const lastHealth = (fixture: HolderFixture): DatabaseHealth | undefined =>
        fixture.seen<DatabaseHealth>(HolderHealthKind.DatabaseHealth).at(-1);

    it("reports a database as unreachable only when fresh connections fail, and every 500 ms", () => {
        const fixture = new HolderFixture().start();
        fixture.databases.links.forEach(link => link.silent = true);
        fixture.run(3_000);
        const health = fixture.seen<DatabaseHealth>(HolderHealthKind.DatabaseHealth);
        assert.ok(health.length >= 6 && health.every(({ reachable }) => reachable));
        fixture.databases.get("p").accepts = false;
        fixture.databases.cut(() => true);
        fixture.run(900);
        assert.ok(lastHealth(fixture)!.consecutiveFailures >= 3);
        fixture.databases.get("p").accepts = true;
        fixture.run(300);
        assert.deepEqual([lastHealth(fixture)?.reachable, lastHealth(fixture)?.consecutiveFailures], [true, 0]);
    });

    it("carries out an order on a fresh connection and reports a failure", () => {
        const fixture = new HolderFixture({ held: ["r1"] }).start();
        const order = { kind: OrderKind.Promote, term: 2 };
        fixture.post({ kind: HolderHealthKind.Order, orderId: "o1", databaseId: "r1", order } as Message);
        fixture.post({ kind: HolderHealthKind.Order, orderId: "o2", databaseId: "r2", order } as Message);
        fixture.run(30);
        const done = fixture.seen<HolderOrderDone>(HolderHealthKind.OrderDone);
        assert.deepEqual(done.find(({ orderId }) => orderId === "o1")?.failure, undefined);
        assert.match(done.find(({ orderId }) => orderId === "o2")?.failure ?? "", /does not hold/);
        assert.equal(fixture.databases.get("r1").role, "primary");
    });

    it("keeps session state on its connection and closes it when the session ends", () => {
        const fixture = new HolderFixture().start();
        const set = fixture.send("SET @a = 1", { statementKind: StatementKind.SessionState });
        fixture.run(5);
        assert.equal(fixture.answer(set)?.pinned, true);
        const before = new Set(fixture.databases.links.keys());
        fixture.post({ kind: HolderKind.SessionEnd, origin: "", sessionId: "s1", databaseId: "p" } as Message);
        fixture.run(5);
        assert.equal([...before].filter(id => !fixture.databases.links.has(id)).length, 1);
    });
});
