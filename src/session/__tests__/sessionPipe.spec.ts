import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FleetKind } from "../../model/fleetMessages.ts";
import { LinkCommandKind, LinkKind, LinkLoss } from "../../model/linkMessages.ts";
import { PeerKind, type PeerSend } from "../../model/peerMessages.ts";
import { SessionKind } from "../../model/sessionMessages.ts";
import { SessionStatementKind, StatementFault, TransactionState } from "../../model/sessionStatement.ts";
import { RouteConsistency } from "../../model/trafficPolicy.ts";
import { position, route, SessionFixture, statement } from "./sessionFixture.ts";

function primaryFixture(permits?: number): SessionFixture {
    const fixture = new SessionFixture(permits);
    fixture.configure(route(RouteConsistency.Primary, "orders"));
    fixture.reportDatabase("p", true);
    fixture.connect("s1", "orders");
    return fixture;
}

function kindsOf(fixture: SessionFixture): readonly string[] {
    return fixture.sent.map(({ command }) => command.kind);
}

describe("session pipe", () => {
    it("reads a primary route only inside a transaction that proves the lead", () => {
        // Guards against a stale read at a database that was replaced without noticing.
        const fixture = primaryFixture();
        fixture.request("s1", statement(SessionStatementKind.Read, "r1"));
        fixture.openLinks();
        assert.deepEqual(kindsOf(fixture), [LinkCommandKind.Begin]);
        fixture.reply("l0", { transaction: TransactionState.Open, position: position(1, 5) });
        assert.deepEqual(kindsOf(fixture), [LinkCommandKind.Begin, LinkCommandKind.Run, LinkCommandKind.Rollback]);
        fixture.reply("l0", { rows: ["x"], transaction: TransactionState.Open, position: position(1, 5) });
        assert.deepEqual(fixture.answers[0]!.answer.rows, ["x"]);
        assert.equal(fixture.answers[0]!.answer.transaction, TransactionState.None);
    });

    it("does not run the read when the database denies to lead", () => {
        const fixture = primaryFixture();
        fixture.request("s1", statement(SessionStatementKind.Read, "r1"));
        fixture.openLinks();
        fixture.reply("l0", { fault: StatementFault.ReadOnly, signature: undefined });
        assert.ok(!kindsOf(fixture).includes(LinkCommandKind.Run));
        fixture.advance(1_000);
        // The repeated attempts found no answer, so the last word is that nothing was run.
        assert.equal(fixture.lastFault(), StatementFault.Busy);
        assert.ok(!kindsOf(fixture).includes(LinkCommandKind.Run));
    });

    it("answers a lost write as in doubt and does not send it again", () => {
        const fixture = primaryFixture();
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        fixture.openLinks();
        assert.deepEqual(kindsOf(fixture), [LinkCommandKind.Run]);
        fixture.post({ kind: LinkKind.Lost, linkId: "l0", loss: LinkLoss.Broken, fault: undefined } as never);
        fixture.advance(1_000);
        assert.equal(fixture.lastFault(), StatementFault.InDoubt);
        assert.equal(fixture.sent.length, 1);
    });

    it("sends a write again that the database certainly did not run", () => {
        const fixture = primaryFixture();
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        fixture.openLinks();
        fixture.reply("l0", { fault: StatementFault.Busy, signature: undefined });
        fixture.advance(50);
        assert.equal(fixture.sent.length, 2);
        fixture.reply("l0", { position: position(1, 6) });
        assert.equal(fixture.lastFault(), undefined);
    });

    it("gives up the first statement of a transaction without an answer as aborted, once", () => {
        // Guards against one transaction on two connections.
        const fixture = primaryFixture();
        fixture.request("s1", statement(SessionStatementKind.Begin, "b"));
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        fixture.openLinks();
        fixture.reply("l0", { transaction: TransactionState.Open });
        fixture.post({ kind: LinkKind.Lost, linkId: "l0", loss: LinkLoss.Broken, fault: undefined } as never);
        fixture.advance(1_000);
        assert.equal(fixture.lastFault(), StatementFault.Aborted);
        assert.equal(kindsOf(fixture).filter(kind => kind === LinkCommandKind.Run).length, 1);
    });

    it("answers a commit without an answer as in doubt", () => {
        const fixture = primaryFixture();
        fixture.request("s1", statement(SessionStatementKind.Begin, "b"));
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        fixture.openLinks();
        fixture.reply("l0", { transaction: TransactionState.Open });
        fixture.reply("l0", { transaction: TransactionState.Open });
        fixture.request("s1", statement(SessionStatementKind.Commit, "c"));
        fixture.advance(1_001);
        assert.equal(fixture.lastFault(), StatementFault.InDoubt);
        assert.deepEqual(fixture.closed, ["l0"]);
    });

    it("keeps a transaction on its link, and rolls back when the caller leaves", () => {
        const fixture = primaryFixture();
        fixture.request("s1", statement(SessionStatementKind.Begin, "b"));
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        fixture.openLinks();
        fixture.reply("l0", { transaction: TransactionState.Open });
        fixture.reply("l0", { transaction: TransactionState.Open });
        fixture.connect("s2", "orders");
        fixture.request("s2", statement(SessionStatementKind.Write, "w2"));
        fixture.openLinks();
        assert.equal(fixture.sent.at(-1)!.linkId, "l1");
        fixture.post({ kind: SessionKind.Closed, sessionId: "s1" } as never);
        assert.deepEqual(fixture.sent.at(-1), {
            linkId: "l0",
            databaseId: "p",
            workspace: "w",
            command: { kind: LinkCommandKind.Rollback },
        });
    });

    it("reads a bounded route at a near copy after a proved position, and the session's own commit", () => {
        const fixture = new SessionFixture();
        fixture.configure(route(RouteConsistency.Session, "status", 2_500));
        fixture.reportDatabase("p", true, "dc2");
        fixture.reportDatabase("r", false, "dc1");
        fixture.connect("s1", "status");
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        fixture.openLinks();
        fixture.reply("l0", { position: position(1, 9) });
        fixture.request("s1", statement(SessionStatementKind.Read, "r1"));
        fixture.openLinks();
        const { databaseId, command } = fixture.sent.at(-1)!;
        assert.equal(databaseId, "r");
        assert.deepEqual(command.kind === LinkCommandKind.Run && command.floor, position(1, 9));
    });

    it("asks the primary for its position before the first read, and reads nothing until it is known", () => {
        const fixture = new SessionFixture();
        fixture.configure(route(RouteConsistency.Bounded, "lookup", 1_500));
        fixture.reportDatabase("p", true, "dc2");
        fixture.reportDatabase("r", false, "dc1");
        fixture.connect("s1", "lookup");
        fixture.request("s1", statement(SessionStatementKind.Read, "r1"));
        fixture.openLinks();
        assert.deepEqual(fixture.sent.map(({ databaseId, command }) => [databaseId, command.kind]), [
            ["p", LinkCommandKind.Begin],
            ["p", LinkCommandKind.Rollback],
        ]);
        fixture.reply("l0", { transaction: TransactionState.Open, position: position(2, 4) });
        fixture.openLinks();
        const { databaseId, command } = fixture.sent.at(-1)!;
        assert.equal(databaseId, "r");
        assert.deepEqual(command.kind === LinkCommandKind.Run && command.floor, position(2, 4));
    });

    it("carries session values and prepared statements to whichever link it uses, and no other session's", () => {
        const fixture = primaryFixture();
        const prepared = { writes: true, shape: "q1" };
        fixture.request("s1", statement(SessionStatementKind.SetValue, "a", { name: "x", argument: "1" }));
        fixture.request("s1", statement(SessionStatementKind.Prepare, "b", { name: "n", prepared }));
        fixture.request("s1", statement(SessionStatementKind.Execute, "e", { name: "n", argument: "i d" }));
        fixture.openLinks();
        assert.deepEqual(kindsOf(fixture), [
            LinkCommandKind.SetValue,
            LinkCommandKind.Prepare,
            LinkCommandKind.Execute,
        ]);
        fixture.reply("l0");
        fixture.reply("l0");
        fixture.reply("l0", { position: position(1, 1) });
        fixture.connect("s2", "orders");
        fixture.request("s2", statement(SessionStatementKind.Write, "w"));
        assert.deepEqual(kindsOf(fixture).slice(3), [LinkCommandKind.Reset, LinkCommandKind.Run]);
    });

    it("uses no link of another workspace", () => {
        const fixture = primaryFixture();
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        fixture.openLinks();
        fixture.reply("l0", { position: position(1, 1) });
        fixture.connect("s2", "orders", "kv");
        fixture.request("s2", statement(SessionStatementKind.Write, "w2"));
        fixture.openLinks();
        assert.deepEqual(fixture.sent.map(({ workspace }) => workspace), ["w", "v"]);
    });

    it("refuses an unknown database and a withdrawn key, also inside a transaction", () => {
        const fixture = primaryFixture();
        fixture.connect("s2", "nowhere");
        fixture.connect("s3", "orders", "unknown");
        const refusals = fixture.otherMessages.filter(({ kind }) => kind === SessionKind.Refuse);
        assert.deepEqual(refusals.map(refusal => (refusal as never as { fault: string; }).fault), [
            StatementFault.UnknownDatabase,
            StatementFault.NotAuthorized,
        ]);
        fixture.request("s1", statement(SessionStatementKind.Begin, "b"));
        fixture.configureWithoutKeys();
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        assert.equal(fixture.lastFault(), StatementFault.Aborted);
        assert.equal(fixture.sent.length, 0);
    });

    it("refuses above the rate as not run, with the time to come back", () => {
        const fixture = primaryFixture(1);
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        fixture.connect("s2", "orders");
        fixture.request("s2", statement(SessionStatementKind.Write, "w2"));
        fixture.advance(130);
        assert.equal(fixture.lastFault(), StatementFault.Busy);
        assert.match(fixture.answers.at(-1)!.answer.detail, /not run, retry after \d+ ms/);
        assert.ok(fixture.otherMessages.some(({ kind }) => kind === FleetKind.PermitsNeeded));
    });

    it("passes a task to the holder, and tells a write without an answer as in doubt", () => {
        // Guards against a promise that nothing is kept for a write that the holder has sent.
        const fixture = primaryFixture();
        const instances = [{ instanceId: "front2", address: "f2:1", dataCentre: "dc1" }];
        fixture.post({ kind: PeerKind.InstancesKnown, instances } as never);
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        const sends = fixture.otherMessages.filter(({ kind }) => kind === PeerKind.Send) as PeerSend[];
        assert.equal(sends[0]!.address, "f2:1");
        fixture.post({ kind: PeerKind.Lost, address: "f2:1" } as never);
        fixture.advance(1_000);
        assert.equal(fixture.lastFault(), StatementFault.InDoubt);
        assert.equal(fixture.sent.length, 0);
    });

    it("passes a read without an answer to another holder", () => {
        const fixture = new SessionFixture();
        fixture.configure(route(RouteConsistency.Session, "status", 2_500));
        fixture.reportDatabase("p", true);
        fixture.connect("s1", "status");
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        fixture.openLinks();
        fixture.reply("l0", { position: position(1, 9) });
        const instances = [{ instanceId: "front2", address: "f2:1", dataCentre: "dc1" }];
        fixture.post({ kind: PeerKind.InstancesKnown, instances } as never);
        fixture.request("s1", statement(SessionStatementKind.Read, "r1"));
        assert.equal(fixture.sent.length, 1);
        fixture.advance(420);
        fixture.openLinks();
        assert.equal(fixture.sent.at(-1)!.command.kind, LinkCommandKind.Run);
    });

    it("closes idle sessions when it stops, and ends with the last one", () => {
        const fixture = primaryFixture();
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        fixture.openLinks();
        const drain = { kind: FleetKind.DrainStarted, transactionsUntilMs: 3_000, answersUntilMs: 5_400, final: true };
        fixture.post(drain as never);
        assert.ok(!fixture.otherMessages.some(({ kind }) => kind === FleetKind.Drained));
        fixture.reply("l0", { position: position(1, 1) });
        assert.equal(fixture.lastFault(), undefined);
        assert.ok(fixture.otherMessages.some(({ kind }) => kind === SessionKind.Close));
        assert.ok(fixture.otherMessages.some(({ kind }) => kind === FleetKind.Drained));
    });

    it("closes idle sessions with the last step of a stop, at whatever time it comes", () => {
        // Guards against a timer that fires a fraction of a millisecond early: sessions stayed open and were cut off.
        const fixture = primaryFixture();
        const drain = { kind: FleetKind.DrainStarted, transactionsUntilMs: 3_000, answersUntilMs: 5_400 };
        fixture.post({ ...drain, final: false } as never);
        fixture.advance(2_399.7);
        assert.ok(!fixture.otherMessages.some(({ kind }) => kind === SessionKind.Close));
        fixture.post({ ...drain, final: true } as never);
        assert.ok(fixture.otherMessages.some(({ kind }) => kind === SessionKind.Close));
        assert.ok(fixture.otherMessages.some(({ kind }) => kind === FleetKind.Drained));
    });

    it("closes a session whose last transaction the stop has ended", () => {
        // Guards against a session that stays open after an answer of the proxy itself, and is cut off with a request.
        const fixture = primaryFixture();
        fixture.request("s1", statement(SessionStatementKind.Begin, "b"));
        const drain = { kind: FleetKind.DrainStarted, transactionsUntilMs: 1_000, answersUntilMs: 5_400, final: true };
        fixture.post(drain as never);
        fixture.advance(1_001);
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        assert.equal(fixture.lastFault(), StatementFault.Aborted);
        fixture.request("s1", statement(SessionStatementKind.Rollback, "r"));
        assert.equal(fixture.lastFault(), undefined);
        assert.ok(fixture.otherMessages.some(({ kind }) => kind === SessionKind.Close));
    });

    it("takes no new session once callers no longer arrive", () => {
        // Guards against a request that is read shortly before the process ends and never answered.
        const fixture = primaryFixture();
        const drain = { kind: FleetKind.DrainStarted, transactionsUntilMs: 3_000, answersUntilMs: 5_400 };
        fixture.post({ ...drain, final: false } as never);
        fixture.connect("s2", "orders");
        assert.ok(fixture.otherMessages.some(({ kind }) => kind === SessionKind.Accept));
        fixture.otherMessages.length = 0;
        fixture.post({ ...drain, final: true } as never);
        fixture.connect("s3", "orders");
        assert.deepEqual(fixture.otherMessages.filter(({ kind }) => kind === SessionKind.Refuse).length, 1);
        assert.ok(!fixture.otherMessages.some(({ kind }) => kind === SessionKind.Accept));
    });

    it("gives every running request its final answer before a stopping instance ends", () => {
        // Guards against connections that end without an answer because statements may take longer than a stop.
        const fixture = new SessionFixture();
        fixture.configure({ ...route(RouteConsistency.Primary, "orders"), statementLimitMs: 20_000 });
        fixture.reportDatabase("p", true);
        ["sent", "read", "late"].forEach(sessionId => fixture.connect(sessionId, "orders"));
        fixture.request("sent", statement(SessionStatementKind.Write, "w1"));
        fixture.request("read", statement(SessionStatementKind.Read, "r1"));
        fixture.openLinks();
        fixture.reply("l1", { transaction: TransactionState.Open });
        fixture.advance(500);
        const startMs = fixture.clock.nowMs();
        const drain = {
            kind: FleetKind.DrainStarted,
            transactionsUntilMs: startMs + 3_000,
            answersUntilMs: startMs + 5_400,
        };
        fixture.post({ ...drain, final: false } as never);
        fixture.advance(2_400);
        fixture.request("late", statement(SessionStatementKind.Write, "w3"));
        fixture.post({ ...drain, final: true } as never);
        fixture.advance(3_100);
        assert.deepEqual(
            fixture.answers.map(({ sessionId, answer }) => [sessionId, answer.fault]).sort(),
            [["late", StatementFault.Busy], ["read", StatementFault.TimedOut], ["sent", StatementFault.InDoubt]],
        );
        assert.deepEqual(
            fixture.otherMessages.map(({ kind }) => kind).filter(kind => kind === FleetKind.Drained).length,
            1,
        );
    });

    for (const permits of [0, 100]) {
        it(`answers what runs or waits when its key and workspace are removed (${permits} permits)`, () => {
            const fixture = primaryFixture(permits);
            fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
            fixture.openLinks();
            fixture.configureWithoutKeys();
            fixture.advance(1_100);
            assert.deepEqual(
                fixture.answers.map(({ answer }) => answer.fault),
                [permits === 0 ? StatementFault.Busy : StatementFault.InDoubt],
            );
        });
    }

    it("stops by the first signal when a second one comes", () => {
        // Guards against a second signal that gives requests time beyond the kill, and sessions that open again.
        const fixture = new SessionFixture();
        fixture.configure({ ...route(RouteConsistency.Primary, "orders"), statementLimitMs: 20_000 });
        fixture.reportDatabase("p", true);
        fixture.connect("s1", "orders");
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        fixture.openLinks();
        const drain = { kind: FleetKind.DrainStarted, transactionsUntilMs: 3_000, answersUntilMs: 5_400 };
        fixture.post({ ...drain, final: true } as never);
        fixture.advance(3_500);
        const second = { kind: FleetKind.DrainStarted, transactionsUntilMs: 6_500, answersUntilMs: 8_900 };
        fixture.post({ ...second, final: false } as never);
        fixture.connect("s2", "orders");
        assert.deepEqual(
            fixture.otherMessages.map(({ kind }) => kind).filter(kind => kind === SessionKind.Refuse).length,
            1,
        );
        fixture.advance(2_000);
        assert.equal(fixture.lastFault(), StatementFault.InDoubt);
        assert.equal(fixture.otherMessages.at(-1)?.kind, FleetKind.Drained);
    });

    it("answers what waits behind a running statement when the time of a stop is up", () => {
        // Guards against statements sent ahead of the answer that are cut off with the connection.
        const fixture = new SessionFixture();
        fixture.configure({ ...route(RouteConsistency.Primary, "orders"), statementLimitMs: 20_000 });
        fixture.reportDatabase("p", true);
        fixture.connect("s1", "orders");
        fixture.request("s1", statement(SessionStatementKind.Begin, "b"));
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        fixture.request("s1", statement(SessionStatementKind.Commit, "c"));
        fixture.openLinks();
        fixture.reply("l0", { transaction: TransactionState.Open });
        const drain = { kind: FleetKind.DrainStarted, transactionsUntilMs: 3_000, answersUntilMs: 5_400, final: true };
        fixture.post(drain as never);
        fixture.advance(5_400);
        assert.deepEqual(
            fixture.answers.map(({ answer }) => answer.fault),
            [undefined, StatementFault.Aborted, StatementFault.Aborted],
        );
        assert.equal(fixture.otherMessages.at(-1)?.kind, FleetKind.Drained);
    });

    it("leaves the links of others alone when a session ends whose link was lost", () => {
        // Guards against a transaction that is rolled back after its first statement and goes on on another link.
        const fixture = primaryFixture();
        fixture.connect("s2", "orders");
        fixture.request("s1", statement(SessionStatementKind.Begin, "b1"));
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        fixture.openLinks();
        fixture.reply("l0", { transaction: TransactionState.Open });
        fixture.reply("l0", { transaction: TransactionState.Open });
        fixture.request("s2", statement(SessionStatementKind.Write, "w2"));
        fixture.openLinks();
        fixture.reply("l1", { position: position(1, 1) });
        fixture.post({ kind: LinkKind.Lost, linkId: "l0", loss: LinkLoss.Broken, fault: undefined } as never);
        fixture.post({ kind: SessionKind.Closed, sessionId: "s1" } as never);
        fixture.request("s2", statement(SessionStatementKind.Begin, "b3"));
        fixture.request("s2", statement(SessionStatementKind.Write, "w3"));
        fixture.reply("l1", { transaction: TransactionState.Open });
        fixture.reply("l1", { transaction: TransactionState.Open });
        fixture.request("s2", statement(SessionStatementKind.Write, "w4"));
        const last = fixture.sent.at(-1)!;
        assert.deepEqual([last.linkId, last.command.kind], ["l1", LinkCommandKind.Run]);
        assert.deepEqual(
            fixture.sent.filter(({ command }) => command.kind === LinkCommandKind.Rollback),
            [],
        );
    });

    it("fails a transaction that is not open any more after a statement", () => {
        // Guards against a transaction whose later statements run outside the one that its first began.
        const fixture = primaryFixture();
        fixture.request("s1", statement(SessionStatementKind.Begin, "b"));
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        fixture.openLinks();
        fixture.reply("l0", { transaction: TransactionState.Open });
        fixture.reply("l0", { transaction: TransactionState.None });
        assert.equal(fixture.lastFault(), StatementFault.Aborted);
        assert.equal(fixture.answers.at(-1)!.answer.transaction, TransactionState.Failed);
        const count = fixture.sent.length;
        fixture.request("s1", statement(SessionStatementKind.Write, "w2"));
        assert.equal(fixture.sent.length, count);
    });

    it("ends a transaction that is idle too long", () => {
        const fixture = primaryFixture();
        fixture.request("s1", statement(SessionStatementKind.Begin, "b"));
        fixture.advance(3_001);
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        assert.equal(fixture.lastFault(), StatementFault.Aborted);
    });
});
