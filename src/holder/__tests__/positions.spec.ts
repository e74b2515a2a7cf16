import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type DatabaseHealth, HolderHealthKind, type HolderOrderDone, OrderKind } from "../../model/healthMessages.ts";
import { type HolderFloorAnswer, HolderKind } from "../../model/holderMessages.ts";
import { HolderPipeKind } from "../../model/holderPipeMessages.ts";
import { StatementKind } from "../../model/statement.ts";
import type { Message } from "../../pipeline/message.ts";
import { HolderFixture } from "./holderFixture.ts";

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
        assert.ok(!fixture.databases.executedTexts.includes("SELECT late"));
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
        return fixture.messagesOf<HolderFloorAnswer>(HolderKind.FloorAnswer).find(answer =>
            answer.requestId === requestId
        );
    };

    it("answers the last written position of a caller, and the position at the takeover for everyone else", () => {
        const fixture = new HolderFixture({ settings: { maximumFloorEntries: 2 } });
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
        fixture.renewLeases(fixture.clock.nowMs() + 1);
        fixture.run(5);
        assert.equal(ask(fixture, ["k1"])?.floors, undefined);
        fixture.databases.get("p").log.push({ texts: ["by another holder"] });
        fixture.renewLeases(1_000_000, 2);
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
        fixture.renewLeases(1_000_000, 2);
        fixture.run(0);
        fixture.post(positionOf(4, fixture.clock.nowMs() - 1));
        fixture.post(
            { kind: HolderKind.FloorRequest, origin: "", requestId: "f", databaseId: "p", callerIds: ["k"] } as Message,
        );
        fixture.run(0);
        assert.deepEqual(fixture.messagesOf(HolderKind.FloorAnswer), []);
        fixture.post(positionOf(5, fixture.clock.nowMs()));
        fixture.run(0);
        const floors = fixture.messagesOf<HolderFloorAnswer>(HolderKind.FloorAnswer)[0]?.floors;
        assert.deepEqual(floors, [{ term: 1, offset: 5 }]);
    });
});

describe("monitor and orders", () => {
    const lastHealth = (fixture: HolderFixture): DatabaseHealth | undefined =>
        fixture.messagesOf<DatabaseHealth>(HolderHealthKind.DatabaseHealth).at(-1);

    it("reports a database as unreachable only when fresh connections fail, and every 500 ms", () => {
        const fixture = new HolderFixture().start();
        fixture.databases.links.forEach(link => link.unresponsive = true);
        fixture.run(3_000);
        const health = fixture.messagesOf<DatabaseHealth>(HolderHealthKind.DatabaseHealth);
        assert.ok(health.length >= 6 && health.every(({ reachable }) => reachable));
        fixture.databases.get("p").acceptsConnections = false;
        fixture.databases.closeLinks(() => true);
        fixture.run(900);
        assert.ok(lastHealth(fixture)!.consecutiveFailures >= 3);
        fixture.databases.get("p").acceptsConnections = true;
        fixture.run(300);
        assert.deepEqual([lastHealth(fixture)?.reachable, lastHealth(fixture)?.consecutiveFailures], [true, 0]);
    });

    it("carries out an order on a fresh connection and reports a failure", () => {
        const fixture = new HolderFixture({ held: ["r1"] }).start();
        const order = { kind: OrderKind.Promote, term: 2 };
        fixture.post({ kind: HolderHealthKind.Order, orderId: "o1", databaseId: "r1", order } as Message);
        fixture.post({ kind: HolderHealthKind.Order, orderId: "o2", databaseId: "r2", order } as Message);
        fixture.run(30);
        const done = fixture.messagesOf<HolderOrderDone>(HolderHealthKind.OrderDone);
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
