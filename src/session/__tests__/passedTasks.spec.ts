import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FleetKind } from "../../model/fleetMessages.ts";
import { LinkCommandKind } from "../../model/linkMessages.ts";
import {
    type PassedResult,
    type PassedTask,
    type PeerAnswer,
    PeerKind,
    type PeerQuestion,
} from "../../model/peerMessages.ts";
import { SessionKind } from "../../model/sessionMessages.ts";
import { SessionStatementKind, StatementFault, TaskMode, TransactionState } from "../../model/sessionStatement.ts";
import { RouteConsistency } from "../../model/trafficPolicy.ts";
import { position, route, SessionFixture, statement } from "./sessionFixture.ts";

/** A holder, and another instance that passes tasks to it. */
class HolderFixture extends SessionFixture {
    constructor() {
        super();
        this.configure(route(RouteConsistency.Primary, "orders"));
        this.reportDatabase("p", true);
    }

    passTask(
        kind: SessionStatementKind,
        taskId: string,
        mode: TaskMode,
        databaseId = "p",
        parts: Partial<PassedTask> = {},
    ): void {
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
            ...parts,
        };
        this.receiveQuestion(question);
    }

    receiveQuestion(question: PeerQuestion): void {
        this.post({ kind: PeerKind.Asked, streamId: "w0", question } as never);
    }

    startDrain(): void {
        const drain = { kind: FleetKind.DrainStarted, transactionsUntilMs: 3_000, answersUntilMs: 5_400 };
        this.post({ ...drain, final: false } as never);
        this.advance(2_400);
        this.post({ ...drain, final: true } as never);
    }

    /** Opens a transaction of the other instance. */
    beginTransaction(): void {
        this.passTask(SessionStatementKind.Write, "t1", TaskMode.Transaction);
        this.openLinks();
        this.reply("l0", { transaction: TransactionState.Open });
        this.reply("l0", { transaction: TransactionState.Open });
    }

    get isDrained(): boolean {
        return this.otherMessages.some(({ kind }) => kind === FleetKind.Drained);
    }

    get results(): readonly (readonly unknown[])[] {
        return this.otherMessages.filter(({ kind }) => kind === PeerKind.Answer)
            .map(message => (message as PeerAnswer).result as PassedResult)
            .map(({ taskId, reply, fault, sent }) => [taskId, reply === undefined ? "none" : "reply", fault, sent]);
    }
}

describe("passed tasks of a draining holder", () => {
    it("run to their end before the holder exits", () => {
        // Guards against in-doubt writes of other instances because a holder without own sessions has exited.
        const fixture = new HolderFixture();
        fixture.passTask(SessionStatementKind.Write, "t1", TaskMode.Single);
        fixture.openLinks();
        fixture.startDrain();
        assert.equal(fixture.isDrained, false);
        fixture.reply("l0", { position: position(1, 1) });
        assert.deepEqual(fixture.results, [["t1", "reply", undefined, true]]);
        assert.equal(fixture.isDrained, true);
    });

    it("may end their transactions during the first half of the drain", () => {
        // Guards against aborted transactions of other instances because a holder without own sessions has exited.
        const fixture = new HolderFixture();
        fixture.beginTransaction();
        fixture.startDrain();
        assert.equal(fixture.isDrained, false);
        fixture.passTask(SessionStatementKind.Commit, "t2", TaskMode.Transaction, "");
        fixture.reply("l0", { position: position(1, 1) });
        assert.deepEqual(fixture.results.at(-1), ["t2", "reply", undefined, true]);
        assert.equal(fixture.isDrained, true);
    });

    it("have their transactions rolled back after the first half of the drain", () => {
        const fixture = new HolderFixture();
        fixture.beginTransaction();
        fixture.startDrain();
        fixture.passTask(SessionStatementKind.Write, "t2", TaskMode.Transaction, "");
        fixture.advance(600);
        // A running statement is not interrupted; its transaction is rolled back after it.
        assert.equal(fixture.isDrained, false);
        fixture.reply("l0", { transaction: TransactionState.Open });
        assert.deepEqual(fixture.results.at(-1), ["t2", "reply", undefined, true]);
        assert.equal(fixture.sent.at(-1)?.command.kind, LinkCommandKind.Rollback);
        assert.equal(fixture.isDrained, true);
    });

    it("get their results at the drain deadline", () => {
        const fixture = new HolderFixture();
        fixture.passTask(SessionStatementKind.Write, "sent", TaskMode.Single);
        fixture.openLinks();
        fixture.passTask(SessionStatementKind.Write, "queued", TaskMode.Single);
        fixture.startDrain();
        fixture.advance(3_000);
        assert.deepEqual(fixture.results.map(([taskId, , , sent]) => [taskId, sent]).sort(), [
            ["queued", false],
            ["sent", true],
        ]);
        assert.equal(fixture.isDrained, true);
    });

    it("are refused as not run once the holder is drained", () => {
        // Guards against tasks without an answer because they arrive while the process exits.
        const fixture = new HolderFixture();
        fixture.startDrain();
        assert.equal(fixture.isDrained, true);
        fixture.passTask(SessionStatementKind.Write, "t1", TaskMode.Single);
        fixture.passTask(SessionStatementKind.Write, "t2", TaskMode.Transaction, "");
        assert.deepEqual(fixture.results, [
            ["t1", "none", StatementFault.Busy, false],
            ["t2", "none", StatementFault.Aborted, false],
        ]);
        assert.deepEqual(fixture.opened, []);
    });

    it("do not delay the drain after the passing instance has disconnected or abandoned them", () => {
        const fixture = new HolderFixture();
        fixture.passTask(SessionStatementKind.Write, "t9", TaskMode.Single);
        fixture.startDrain();
        fixture.receiveQuestion({ kind: "abandon", sessionId: "s1", taskId: "t9" });
        assert.equal(fixture.isDrained, true);
        const other = new HolderFixture();
        other.beginTransaction();
        other.startDrain();
        other.post({ kind: PeerKind.Gone, streamId: "w0" } as never);
        assert.equal(other.isDrained, true);
    });

    it("let the holder exit when they end after its own sessions have closed", () => {
        const fixture = new HolderFixture();
        fixture.connect("s2", "orders");
        fixture.beginTransaction();
        fixture.startDrain();
        assert.deepEqual(fixture.otherMessages.filter(({ kind }) => kind === SessionKind.Ending).length, 1);
        fixture.advance(700);
        assert.equal(fixture.isDrained, true);
    });
});

describe("passed tasks that wait", () => {
    /** Fills the window of the database, so that further tasks wait. */
    function fill(fixture: HolderFixture): void {
        ["f1", "f2"].forEach(taskId => fixture.passTask(SessionStatementKind.Write, taskId, TaskMode.Single));
    }

    function sentIds(fixture: HolderFixture): readonly string[] {
        return fixture.sent.flatMap(({ command }) => "statement" in command ? command.statement.id : []);
    }

    it("start by the urgency that they were passed with, and last without one", () => {
        // Load: more than the database has room for, of instances of this and of an earlier release.
        const fixture = new HolderFixture();
        fill(fixture);
        const pass = (taskId: string, parts: Partial<PassedTask>): void =>
            fixture.passTask(SessionStatementKind.Write, taskId, TaskMode.Single, "p", parts);
        pass("earlier", {});
        pass("late", { urgency: { priority: 0, objectiveMs: 0 } });
        pass("less", { urgency: { priority: 1, objectiveMs: 5_000 } });
        pass("urgent", { urgency: { priority: 0, objectiveMs: 5_000 } });
        fixture.openLinks();
        for (let index = 0; index < 20; index++) {
            fixture.openLinks();
            [...new Set(fixture.sent.map(({ linkId }) => linkId))]
                .forEach(linkId => fixture.reply(linkId, { position: position(1, index + 1) }));
        }
        assert.deepEqual(sentIds(fixture).filter(id => !id.startsWith("f")), ["urgent", "late", "less", "earlier"]);
    });

    it("are never sent once the stream of their instance has ended", () => {
        const fixture = new HolderFixture();
        fill(fixture);
        for (let index = 0; index < 100; index++) {
            fixture.passTask(SessionStatementKind.Write, `t${index}`, TaskMode.Single);
        }
        fixture.post({ kind: PeerKind.Gone, streamId: "w0" } as never);
        fixture.openLinks();
        assert.deepEqual(sentIds(fixture), []);
        fixture.passTask(SessionStatementKind.Write, "next", TaskMode.Single);
        assert.deepEqual(sentIds(fixture), ["next"]);
    });

    it("are refused with the time to come back if they cannot start in time", () => {
        const fixture = new HolderFixture();
        fill(fixture);
        for (let index = 0; index < 200; index++) {
            fixture.passTask(SessionStatementKind.Write, `t${index}`, TaskMode.Single, "p", { remainingMs: 300 });
        }
        const refused = fixture.otherMessages.filter(({ kind }) => kind === PeerKind.Answer)
            .map(message => (message as PeerAnswer).result as PassedResult);
        assert.ok(refused.length > 0);
        refused.forEach(({ sent, fault, retryAfterMs, load }) => {
            assert.deepEqual([sent, fault], [false, StatementFault.Busy]);
            assert.ok(retryAfterMs! > 0 && load!.expectedWaitsMs.length > 0);
        });
    });
});
