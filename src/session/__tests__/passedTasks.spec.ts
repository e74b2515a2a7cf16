import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FleetKind } from "../../model/fleetMessages.ts";
import { LinkCommandKind } from "../../model/linkMessages.ts";
import { type PassedResult, type PeerAnswer, PeerKind, type PeerQuestion } from "../../model/peerMessages.ts";
import { SessionKind } from "../../model/sessionMessages.ts";
import { SessionStatementKind, StatementFault, TransactionState } from "../../model/sessionStatement.ts";
import { RouteConsistency } from "../../model/trafficPolicy.ts";
import { TaskMode } from "../taskMessages.ts";
import { position, route, SessionFixture, statement } from "./sessionFixture.ts";

/** A holder that stops, and another instance that passes tasks to it. */
class Fixture extends SessionFixture {
    constructor() {
        super();
        this.configure(route(RouteConsistency.Primary, "orders"));
        this.reportDatabase("p", true);
    }

    pass(kind: SessionStatementKind, taskId: string, mode: TaskMode, databaseId = "p"): void {
        const question: PeerQuestion = {
            kind: "task",
            taskId,
            sessionId: "s1",
            service: "s",
            workspace: "w",
            mode,
            statement: statement(kind, taskId),
            writes: kind !== SessionStatementKind.Read,
            needsPrimary: true,
            values: [],
            prepared: undefined,
            databaseId,
            floor: undefined,
            remainingMs: 10_000,
        };
        this.ask(question);
    }

    ask(question: PeerQuestion): void {
        this.post({ kind: PeerKind.Asked, streamId: "w0", question } as never);
    }

    stop(): void {
        const drain = { kind: FleetKind.DrainStarted, transactionsUntilMs: 3_000, answersUntilMs: 5_400 };
        this.post({ ...drain, final: false } as never);
        this.advance(2_400);
        this.post({ ...drain, final: true } as never);
    }

    /** Begins a transaction of the other instance. */
    begin(): void {
        this.pass(SessionStatementKind.Write, "t1", TaskMode.Transaction);
        this.openLinks();
        this.reply("l0", { transaction: TransactionState.Open });
        this.reply("l0", { transaction: TransactionState.Open });
    }

    get drained(): boolean {
        return this.otherMessages.some(({ kind }) => kind === FleetKind.Drained);
    }

    get results(): readonly (readonly unknown[])[] {
        return this.otherMessages.filter(({ kind }) => kind === PeerKind.Answer)
            .map(message => (message as PeerAnswer).result as PassedResult)
            .map(({ taskId, reply, fault, sent }) => [taskId, reply === undefined ? "none" : "reply", fault, sent]);
    }
}

describe("passed tasks of a stopping holder", () => {
    it("are finished before the holder ends", () => {
        // Guards against writes of other instances in doubt because a holder without callers of its own ended.
        const fixture = new Fixture();
        fixture.pass(SessionStatementKind.Write, "t1", TaskMode.Single);
        fixture.openLinks();
        fixture.stop();
        assert.equal(fixture.drained, false);
        fixture.reply("l0", { position: position(1, 1) });
        assert.deepEqual(fixture.results, [["t1", "reply", undefined, true]]);
        assert.equal(fixture.drained, true);
    });

    it("have half of the time for their transactions", () => {
        // Guards against transactions of other instances that end with a holder without callers of its own.
        const fixture = new Fixture();
        fixture.begin();
        fixture.stop();
        assert.equal(fixture.drained, false);
        fixture.pass(SessionStatementKind.Commit, "t2", TaskMode.Transaction, "");
        fixture.reply("l0", { position: position(1, 1) });
        assert.deepEqual(fixture.results.at(-1), ["t2", "reply", undefined, true]);
        assert.equal(fixture.drained, true);
    });

    it("are rolled back when their transactions stay open for longer", () => {
        const fixture = new Fixture();
        fixture.begin();
        fixture.stop();
        fixture.pass(SessionStatementKind.Write, "t2", TaskMode.Transaction, "");
        fixture.advance(600);
        // What runs is not interrupted; the transaction ends behind it.
        assert.equal(fixture.drained, false);
        fixture.reply("l0", { transaction: TransactionState.Open });
        assert.deepEqual(fixture.results.at(-1), ["t2", "reply", undefined, true]);
        assert.equal(fixture.sent.at(-1)?.command.kind, LinkCommandKind.Rollback);
        assert.equal(fixture.drained, true);
    });

    it("get their answer when the time of the stop is up", () => {
        const fixture = new Fixture();
        fixture.pass(SessionStatementKind.Write, "sent", TaskMode.Single);
        fixture.openLinks();
        fixture.pass(SessionStatementKind.Write, "queued", TaskMode.Single);
        fixture.stop();
        fixture.advance(3_000);
        assert.deepEqual(fixture.results.map(([taskId, , , sent]) => [taskId, sent]).sort(), [
            ["queued", false],
            ["sent", true],
        ]);
        assert.equal(fixture.drained, true);
    });

    it("are refused as not run once the holder has nothing left to do", () => {
        // Guards against a task that arrives while the process ends, and that nobody answers.
        const fixture = new Fixture();
        fixture.stop();
        assert.equal(fixture.drained, true);
        fixture.pass(SessionStatementKind.Write, "t1", TaskMode.Single);
        fixture.pass(SessionStatementKind.Write, "t2", TaskMode.Transaction, "");
        assert.deepEqual(fixture.results, [
            ["t1", "none", StatementFault.Busy, false],
            ["t2", "none", StatementFault.Aborted, false],
        ]);
        assert.deepEqual(fixture.opened, []);
    });

    it("keep no holder that stops when their askers are gone or gave them up", () => {
        const fixture = new Fixture();
        fixture.pass(SessionStatementKind.Write, "t9", TaskMode.Single);
        fixture.stop();
        fixture.ask({ kind: "abandon", sessionId: "s1", taskId: "t9" });
        assert.equal(fixture.drained, true);
        const other = new Fixture();
        other.begin();
        other.stop();
        other.post({ kind: PeerKind.Gone, streamId: "w0" } as never);
        assert.equal(other.drained, true);
    });

    it("keep no holder that stops for a session that has closed", () => {
        const fixture = new Fixture();
        fixture.connect("s2", "orders");
        fixture.begin();
        fixture.stop();
        assert.deepEqual(fixture.otherMessages.filter(({ kind }) => kind === SessionKind.Close).length, 1);
        fixture.advance(700);
        assert.equal(fixture.drained, true);
    });
});
