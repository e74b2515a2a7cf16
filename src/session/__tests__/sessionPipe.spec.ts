import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { type CommitsSeenFrame, FleetKind, type FrameReceived, type SendFrame } from "../../model/fleetMessages.ts";
import { LinkCommandKind, LinkKind, LinkLoss } from "../../model/linkMessages.ts";
import { type PassedResult, type PassedTask, PeerKind, type PeerSend } from "../../model/peerMessages.ts";
import {
    type SessionAccept,
    SessionKind,
    type SessionRefuse,
    type SessionStopProgressed,
    StopPhase,
} from "../../model/sessionMessages.ts";
import { SessionStatementKind, StatementFault, TransactionState } from "../../model/sessionStatement.ts";
import { RouteConsistency } from "../../model/trafficPolicy.ts";
import type { Message } from "../../pipeline/message.ts";
import { Sessions } from "../sessions.ts";
import { TaskKind } from "../taskMessages.ts";
import { position, route, SessionFixture, statement } from "./sessionFixture.ts";

function primaryFixture(permits?: number): SessionFixture {
    const fixture = new SessionFixture(permits);
    fixture.configure(route(RouteConsistency.Primary, "orders"));
    fixture.reportDatabase("p", true);
    fixture.connect("s1", "orders");
    return fixture;
}

function refusalsOf({ otherMessages }: SessionFixture): readonly string[] {
    return otherMessages.filter(({ kind }) => kind === SessionKind.Refuse)
        .map(refusal => (refusal as SessionRefuse).fault);
}

function acceptedSessions({ otherMessages }: SessionFixture): readonly string[] {
    return otherMessages.filter(({ kind }) => kind === SessionKind.Accept)
        .map(accept => (accept as SessionAccept).sessionId);
}

function kindsOf(fixture: SessionFixture): readonly string[] {
    return fixture.sent.map(({ command }) => command.kind);
}

describe("session pipe", () => {
    it("reads on a primary route only inside a transaction that proves that the database is the primary", () => {
        // Guards against stale reads from a former primary that has not noticed its replacement.
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

    it("does not run a read on a primary route at a database that is not the primary", () => {
        const fixture = primaryFixture();
        fixture.request("s1", statement(SessionStatementKind.Read, "r1"));
        fixture.openLinks();
        fixture.reply("l0", { fault: StatementFault.ReadOnly, signature: undefined });
        assert.ok(!kindsOf(fixture).includes(LinkCommandKind.Run));
        fixture.advance(1_000);
        // All attempts failed before the statement was sent, so the answer is that it was not run.
        assert.equal(fixture.lastFault(), StatementFault.Busy);
        assert.ok(!kindsOf(fixture).includes(LinkCommandKind.Run));
    });

    it("answers a write whose link was lost as in doubt, and does not retry it", () => {
        const fixture = primaryFixture();
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        fixture.openLinks();
        assert.deepEqual(kindsOf(fixture), [LinkCommandKind.Run]);
        fixture.post({ kind: LinkKind.Lost, linkId: "l0", loss: LinkLoss.Broken, fault: undefined } as never);
        fixture.advance(1_000);
        assert.equal(fixture.lastFault(), StatementFault.InDoubt);
        assert.equal(fixture.sent.length, 1);
    });

    it("retries a write that the database refused as not run", () => {
        const fixture = primaryFixture();
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        fixture.openLinks();
        fixture.reply("l0", { fault: StatementFault.Busy, position: position(1, 5) });
        fixture.advance(50);
        fixture.openLinks();
        assert.equal(fixture.sent.length, 2);
        // On the first link, a second refusal could not be told from a repeated one.
        fixture.reply("l1", { position: position(1, 6) });
        assert.equal(fixture.lastFault(), undefined);
    });

    it("answers the first statement of a transaction as aborted when its link is lost, without a retry", () => {
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

    it("answers a commit as in doubt when the database does not answer", () => {
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

    describe("asked by a promotion for acknowledged commits", () => {
        const open = { transaction: TransactionState.Open };
        let fixture: SessionFixture;

        function runInTransaction(kind: SessionStatementKind): void {
            fixture.request("s1", statement(SessionStatementKind.Begin, "b"));
            fixture.request("s1", statement(kind, "x"));
            fixture.openLinks();
            fixture.reply("l0", { ...open, position: position(1, 5) });
            fixture.reply("l0", { ...open, position: position(1, 7) });
        }

        function commit(): void {
            fixture.request("s1", statement(SessionStatementKind.Commit, "c"));
            fixture.reply("l0", { position: position(1, 9) });
        }

        function askForCommits(): CommitsSeenFrame {
            const frame = { kind: "commits_asked", questionId: "q", service: "s", fence: 1 } as const;
            fixture.post({ kind: FleetKind.FrameReceived, attachmentId: "f1", frame } as FrameReceived);
            const answer = fixture.otherMessages.findLast(({ kind }) => kind === FleetKind.SendFrame) as SendFrame;
            return answer.frame as CommitsSeenFrame;
        }

        beforeEach(() => {
            fixture = primaryFixture();
        });

        it("tells of the commit of a transaction that has written, and of none before", () => {
            // Guards against a choice that waits for writes which were never committed.
            runInTransaction(SessionStatementKind.Write);
            assert.equal(askForCommits().highest, undefined);
            fixture = primaryFixture();
            runInTransaction(SessionStatementKind.Write);
            commit();
            const { highest, reached } = askForCommits();
            assert.deepEqual([highest, reached], [position(1, 9), position(1, 8)]);
        });

        it("tells of no commit, and withholds none, where a transaction has written nothing", () => {
            runInTransaction(SessionStatementKind.Read);
            assert.equal(askForCommits().highest, undefined);
            commit();
            assert.equal(fixture.lastFault(), undefined);
            assert.equal(askForCommits().highest, undefined);
        });
    });

    it("reserves a link for its open transaction, which is rolled back when the caller disconnects", () => {
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

    it("reads from a local replica with a floor that includes the session's own commit", () => {
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

    it("reads from a new primary that lacks the position with which the old one answered the session's commit", () => {
        // Guards against reads that are refused until the next commit, because that position covered commits that were not kept.
        const fixture = new SessionFixture();
        fixture.configure(route(RouteConsistency.Session, "status", 2_500));
        fixture.reportDatabase("p", true);
        fixture.connect("s1", "status");
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        fixture.openLinks();
        fixture.reply("l0", { position: position(1, 9) });
        fixture.reportDatabase("r", true);
        fixture.post({ kind: FleetKind.DatabaseRemoved, databaseId: "p" } as Message);
        fixture.request("s1", statement(SessionStatementKind.Read, "r1"));
        fixture.openLinks();
        fixture.reply("l1", { fault: StatementFault.Lagging, position: position(1, 8) });
        assert.deepEqual(kindsOf(fixture).slice(-1), [LinkCommandKind.Begin]);
        fixture.reply("l1", { transaction: TransactionState.Open, position: position(1, 8) });
        fixture.reply("l1", { rows: ["x"], transaction: TransactionState.Open, position: position(1, 8) });
        assert.deepEqual(fixture.answers.at(-1)!.answer.rows, ["x"]);
    });

    it("reads without a floor for writes of a transaction that was rolled back", () => {
        // Guards against reads that wait for commits of others, which the position of an open transaction's write covers.
        const fixture = new SessionFixture();
        fixture.configure(route(RouteConsistency.Session, "status", 2_500));
        fixture.reportDatabase("p", true, "dc2");
        fixture.reportDatabase("r", false, "dc1");
        fixture.connect("s1", "status");
        fixture.learnFloor(position(1, 5));
        fixture.request("s1", statement(SessionStatementKind.Begin, "b"));
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        fixture.openLinks();
        const open = { transaction: TransactionState.Open };
        fixture.reply("l0", { ...open, position: position(1, 5) });
        fixture.reply("l0", { ...open, position: position(1, 9) });
        fixture.request("s1", statement(SessionStatementKind.Rollback, "c"));
        fixture.reply("l0", { position: position(1, 9) });
        fixture.request("s1", statement(SessionStatementKind.Read, "r1"));
        fixture.openLinks();
        const { databaseId, command } = fixture.sent.at(-1)!;
        assert.deepEqual([databaseId, command.kind === LinkCommandKind.Run && command.floor], ["r", position(1, 5)]);
    });

    it("probes the log position of the primary before the first bounded read", () => {
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

    it("reads from the primary, which proves that it is the primary, while the log position is late", () => {
        // Guards against reads that wait for their floor until their deadline.
        const fixture = new SessionFixture();
        fixture.configure(route(RouteConsistency.Bounded, "lookup", 1_500));
        fixture.reportDatabase("p", true, "dc2");
        fixture.reportDatabase("r", false, "dc1");
        fixture.connect("s1", "lookup");
        fixture.request("s1", statement(SessionStatementKind.Read, "r1"));
        fixture.advance(70);
        fixture.openLinks();
        const probe = [LinkCommandKind.Begin, LinkCommandKind.Rollback];
        assert.deepEqual(kindsOf(fixture), probe);
        fixture.advance(60);
        fixture.openLinks();
        assert.deepEqual(kindsOf(fixture), [...probe, LinkCommandKind.Begin]);
        fixture.reply("l1", { transaction: TransactionState.Open, position: position(2, 4) });
        fixture.reply("l1", { rows: ["x"], transaction: TransactionState.Open, position: position(2, 4) });
        assert.deepEqual(fixture.answers[0]!.answer.rows, ["x"]);
        assert.deepEqual([...new Set(fixture.sent.map(({ databaseId }) => databaseId))], ["p"]);
        fixture.request("s1", statement(SessionStatementKind.Read, "r2"));
        fixture.openLinks();
        const { databaseId, command } = fixture.sent.at(-1)!;
        assert.deepEqual([databaseId, command.kind === LinkCommandKind.Run && command.floor], ["r", position(2, 4)]);
    });

    it("sets the session's variables and prepared statements on its link, and resets those of other sessions", () => {
        const fixture = primaryFixture();
        const prepared = { writes: true, shape: "q1" };
        fixture.request("s1", statement(SessionStatementKind.SetValue, "a", { name: "x", argument: "1" }));
        fixture.request("s1", statement(SessionStatementKind.Prepare, "b", { name: "n", prepared }));
        fixture.request("s1", statement(SessionStatementKind.Execute, "e", { name: "n", argument: "i d" }));
        fixture.openLinks();
        const setup = [LinkCommandKind.SetValue, LinkCommandKind.Prepare];
        const gate = [LinkCommandKind.Begin, LinkCommandKind.Rollback];
        assert.deepEqual(kindsOf(fixture), [...setup, ...gate]);
        fixture.reply("l0");
        fixture.reply("l0");
        fixture.reply("l0", { transaction: TransactionState.Open, position: position(1, 0) });
        fixture.reply("l0", { position: position(1, 0) });
        assert.deepEqual(kindsOf(fixture).slice(4), [LinkCommandKind.Execute]);
        fixture.reply("l0", { position: position(1, 1) });
        fixture.connect("s2", "orders");
        fixture.request("s2", statement(SessionStatementKind.Write, "w"));
        assert.deepEqual(kindsOf(fixture).slice(5), [LinkCommandKind.Reset, ...gate]);
    });

    it("does not run a statement behind a refused command that sets its session state", () => {
        // Guards against statements with the values of another session.
        const fixture = primaryFixture();
        fixture.request("s1", statement(SessionStatementKind.SetValue, "a", { name: "x", argument: "1" }));
        fixture.request("s1", statement(SessionStatementKind.Write, "w"));
        fixture.openLinks();
        fixture.reply("l0", { fault: StatementFault.Busy });
        assert.deepEqual(fixture.closed, ["l0"]);
        assert.ok(!kindsOf(fixture).includes(LinkCommandKind.Run));
    });

    it("does not use links of other workspaces", () => {
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

    it("refuses a new session for good only once the newest policy is proved not to admit it", () => {
        // Guards against an instance that is cut off, stood still or lags, and refuses what was added meanwhile.
        const fixture = new SessionFixture();
        fixture.leaderProves = false;
        fixture.configureWithoutKeys();
        fixture.connect("s1", "orders", "k");
        fixture.connect("s2", "orders", "unknown");
        assert.equal(refusalsOf(fixture).length, 0);
        assert.ok(fixture.proofsNeeded > 0);
        fixture.configure(route(RouteConsistency.Primary, "orders"));
        assert.deepEqual(acceptedSessions(fixture), ["s1"]);
        fixture.provePolicy();
        fixture.advance(0);
        assert.deepEqual(refusalsOf(fixture), [StatementFault.NotAuthorized]);
        fixture.advance(1_500);
        fixture.connect("s3", "orders", "unknown");
        assert.equal(refusalsOf(fixture).length, 1, "a proof of that age says nothing about the newest policy");
    });

    it("tells a caller to come back when nobody proves the policy, at once when nobody can", () => {
        const fixture = new SessionFixture();
        fixture.leaderProves = false;
        fixture.configure(route(RouteConsistency.Primary, "orders"));
        fixture.connect("s1", "orders", "unknown");
        fixture.advance(1_000);
        assert.deepEqual(refusalsOf(fixture), [StatementFault.Busy]);
        fixture.connect("s2", "nowhere");
        fixture.post({ kind: FleetKind.PolicyProofUnavailable });
        assert.deepEqual(refusalsOf(fixture), [StatementFault.Busy, StatementFault.Busy]);
        fixture.connect("s3", "orders");
        assert.deepEqual(acceptedSessions(fixture), ["s3"]);
    });

    it("refuses a statement of an open session as not run while the policy that lacks its key is not proved", () => {
        const fixture = primaryFixture();
        fixture.leaderProves = false;
        fixture.configureWithoutKeys();
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        assert.equal(fixture.lastFault(), StatementFault.Busy);
        fixture.provePolicy();
        fixture.request("s1", statement(SessionStatementKind.Write, "w2"));
        assert.equal(fixture.lastFault(), StatementFault.NotAuthorized);
        assert.equal(fixture.sent.length, 0);
    });

    it("refuses statements above the rate as not run, with a retry delay", () => {
        const fixture = primaryFixture(1);
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        fixture.connect("s2", "orders");
        fixture.request("s2", statement(SessionStatementKind.Write, "w2"));
        fixture.advance(130);
        assert.equal(fixture.lastFault(), StatementFault.Busy);
        assert.match(fixture.answers.at(-1)!.answer.detail, /not run, retry after \d+ ms/);
        assert.ok(fixture.otherMessages.some(({ kind }) => kind === FleetKind.PermitsNeeded));
    });

    it("passes a write to the holder, and answers it as in doubt when the holder disconnects", () => {
        // Guards against reporting a write as not run that the holder has sent to the database.
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

    it("refuses a write as not run, or tries it elsewhere, when a drained holder ends without an answer", () => {
        // Guards against writes in doubt that crossed with the end of a planned stop, and were never read.
        const fixture = primaryFixture();
        const instances = [{ instanceId: "front2", address: "f2:1", dataCentre: "dc1" }];
        fixture.post({ kind: PeerKind.InstancesKnown, instances } as never);
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        fixture.post({ kind: PeerKind.Lost, address: "f2:1", unansweredNotRun: true } as never);
        fixture.advance(200);
        fixture.openLinks();
        fixture.reply("l0", { position: position(1, 1) });
        assert.deepEqual(fixture.answers.map(({ answer }) => answer.fault), [undefined]);
        assert.equal(fixture.sent.filter(({ command }) => command.kind === LinkCommandKind.Run).length, 1);
    });

    it("aborts a transaction whose statement crosses with the end of its drained holder", () => {
        const fixture = primaryFixture();
        const instances = [{ instanceId: "front2", address: "f2:1", dataCentre: "dc1" }];
        fixture.post({ kind: PeerKind.InstancesKnown, instances } as never);
        fixture.request("s1", statement(SessionStatementKind.Begin, "b"));
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        const [send] = fixture.otherMessages.filter(({ kind }) => kind === PeerKind.Send) as PeerSend[];
        const { taskId } = send!.question as PassedTask;
        const result: PassedResult = {
            kind: "task",
            taskId,
            reply: {
                rows: [],
                signature: "x",
                fault: undefined,
                detail: "",
                transaction: TransactionState.Open,
                position: undefined,
                status: undefined,
            },
            fault: undefined,
            sent: true,
            leads: true,
            pinned: true,
        };
        fixture.post({ kind: PeerKind.Answered, address: "f2:1", result } as never);
        fixture.request("s1", statement(SessionStatementKind.Commit, "c"));
        fixture.post({ kind: PeerKind.Lost, address: "f2:1", unansweredNotRun: true } as never);
        assert.equal(fixture.lastFault(), StatementFault.Aborted);
    });

    it("retries a read that its holder does not answer", () => {
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

    it("ends idle sessions during a drain, and is drained when the last caller has left", () => {
        const fixture = primaryFixture();
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        fixture.openLinks();
        const drain = { kind: FleetKind.DrainStarted, transactionsUntilMs: 3_000, answersUntilMs: 5_400, final: true };
        fixture.post(drain as never);
        assert.ok(!fixture.otherMessages.some(({ kind }) => kind === FleetKind.Drained));
        fixture.reply("l0", { position: position(1, 1) });
        assert.equal(fixture.lastFault(), undefined);
        assert.ok(fixture.otherMessages.some(({ kind }) => kind === SessionKind.Ending));
        assert.ok(fixture.otherMessages.some(({ kind }) => kind === FleetKind.Drained));
    });

    it("is drained after the deadline for answers, even if a caller that was told the end has not left", () => {
        // Guards against tasks of other instances that are in doubt after a stop in which one caller stays silent.
        const fixture = primaryFixture();
        fixture.callersLeave = false;
        const drain = { kind: FleetKind.DrainStarted, transactionsUntilMs: 3_000, answersUntilMs: 5_400, final: true };
        fixture.post(drain as never);
        fixture.advance(5_500);
        assert.ok(fixture.otherMessages.some(({ kind }) => kind === FleetKind.Drained));
    });

    it("ends idle sessions at the final step of a drain, whenever it arrives", () => {
        // Guards against aborted sessions that stayed open because a timer fired a fraction of a millisecond early.
        const fixture = primaryFixture();
        const drain = { kind: FleetKind.DrainStarted, transactionsUntilMs: 3_000, answersUntilMs: 5_400 };
        fixture.post({ ...drain, final: false } as never);
        fixture.advance(2_399.7);
        assert.ok(!fixture.otherMessages.some(({ kind }) => kind === SessionKind.Ending));
        fixture.post({ ...drain, final: true } as never);
        assert.ok(fixture.otherMessages.some(({ kind }) => kind === SessionKind.Ending));
        assert.ok(fixture.otherMessages.some(({ kind }) => kind === FleetKind.Drained));
    });

    it("tells what is left of its sessions at each phase of a stop, and how many requests came too late", () => {
        const fixture = primaryFixture();
        fixture.callersLeave = false;
        fixture.connect("s2", "orders");
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        const drain = { kind: FleetKind.DrainStarted, transactionsUntilMs: 3_000, answersUntilMs: 5_400, final: true };
        fixture.post(drain as never);
        fixture.request("s2", statement(SessionStatementKind.Read, "r1"));
        fixture.openLinks();
        fixture.reply("l0", { position: position(1, 1) });
        fixture.advance(5_400);
        const left = fixture.otherMessages.filter(({ kind }) => kind === SessionKind.StopProgressed);
        assert.deepEqual(
            (left as SessionStopProgressed[]).map((
                { phase, sessions, running, crossed },
            ) => [phase, sessions, running, crossed]),
            [[StopPhase.LastStep, 2, 1, 0], [StopPhase.Deadline, 2, 0, 1], [StopPhase.Ended, 2, 0, 1]],
        );
    });

    it("tells once that its sessions have ended, though their callers leave after the deadline for answers", () => {
        // Guards against a stop whose last steps look at all sessions for each session that ends.
        const sessions = new Sessions();
        const drain = { kind: FleetKind.DrainStarted, transactionsUntilMs: 3_000, answersUntilMs: 5_400, final: true };
        const outputs = [
            { kind: SessionKind.Opened, sessionId: "s1", database: "orders", key: "k" },
            { kind: SessionKind.Opened, sessionId: "s2", database: "orders", key: "k" },
            drain,
            { kind: TaskKind.DrainDue },
            { kind: SessionKind.Closed, sessionId: "s1" },
            { kind: SessionKind.Closed, sessionId: "s2" },
        ].map(message => sessions.process(message as never, 5_400));
        const told = outputs.map(messages => messages.filter(({ kind }) => kind === TaskKind.SessionsEnded).length);
        assert.deepEqual(told, [0, 0, 0, 1, 0, 0]);
    });

    it("ends a session after its transaction was ended by the drain", () => {
        // Guards against a session that stays open because its last answer came from the proxy itself, and is aborted
        // later during a request.
        const fixture = primaryFixture();
        fixture.request("s1", statement(SessionStatementKind.Begin, "b"));
        const drain = { kind: FleetKind.DrainStarted, transactionsUntilMs: 1_000, answersUntilMs: 5_400, final: true };
        fixture.post(drain as never);
        fixture.advance(1_001);
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        assert.equal(fixture.lastFault(), StatementFault.Aborted);
        fixture.request("s1", statement(SessionStatementKind.Rollback, "r"));
        assert.equal(fixture.lastFault(), undefined);
        assert.ok(fixture.otherMessages.some(({ kind }) => kind === SessionKind.Ending));
    });

    it("accepts no new session after the final step of a drain", () => {
        // Guards against requests that are received shortly before the process exits and never answered.
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

    it("refuses a new session that waits for a proof before a stopping instance ends", () => {
        // Guards against a connection that ends without an answer because only admitted sessions delay the end.
        const fixture = primaryFixture();
        fixture.leaderProves = false;
        fixture.connect("s2", "added");
        const drain = { kind: FleetKind.DrainStarted, transactionsUntilMs: 3_000, answersUntilMs: 5_400 };
        fixture.post({ ...drain, final: false } as never);
        assert.deepEqual(refusalsOf(fixture), []);
        fixture.post({ ...drain, final: true } as never);
        assert.deepEqual(refusalsOf(fixture), [StatementFault.Busy]);
        assert.equal(fixture.otherMessages.at(-1)?.kind, FleetKind.Drained);
        fixture.connect("s3", "added");
        assert.deepEqual(refusalsOf(fixture), [StatementFault.Busy, StatementFault.Busy]);
    });

    it("answers a request that came before its session was admitted", () => {
        // Guards against requests that are dropped while their session waits for a proof of the policy.
        const fixture = new SessionFixture();
        fixture.leaderProves = false;
        fixture.configureWithoutKeys();
        fixture.connect("s1", "orders");
        fixture.request("s1", statement(SessionStatementKind.Begin, "b"));
        fixture.request("s1", statement(SessionStatementKind.Rollback, "r"));
        assert.equal(fixture.answers.length, 0);
        fixture.configure(route(RouteConsistency.Primary, "orders"));
        assert.deepEqual(acceptedSessions(fixture), ["s1"]);
        assert.deepEqual(fixture.answers.map(({ answer }) => answer.transaction), [
            TransactionState.Open,
            TransactionState.None,
        ]);
    });

    it("refuses a session that waits with more requests than a session may have", () => {
        const fixture = new SessionFixture();
        fixture.leaderProves = false;
        fixture.configureWithoutKeys();
        fixture.connect("s1", "orders");
        for (let index = 0; index < 65; index++) {
            assert.deepEqual(refusalsOf(fixture), []);
            fixture.request("s1", statement(SessionStatementKind.Read, `r${index}`));
        }
        assert.deepEqual(refusalsOf(fixture), [StatementFault.Busy]);
    });

    it("answers every running request before a draining instance exits", () => {
        // Guards against connections that end without an answer because a statement may take longer than a drain.
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

    it("answers a request that waits for a permit at the drain deadline", () => {
        // Guards against a wait, long on routes with a long target latency, that outlives the instance.
        const fixture = new SessionFixture(0);
        fixture.configure({
            ...route(RouteConsistency.Primary, "orders"),
            statementLimitMs: 20_000,
            targetLatencyMs: 20_000,
        });
        fixture.reportDatabase("p", true);
        fixture.connect("s1", "orders");
        fixture.advance(10);
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        const drain = { kind: FleetKind.DrainStarted, transactionsUntilMs: 3_000, answersUntilMs: 5_400, final: true };
        fixture.post(drain as never);
        fixture.advance(5_400);
        assert.equal(fixture.lastFault(), StatementFault.Busy);
        assert.equal(fixture.otherMessages.at(-1)?.kind, FleetKind.Drained);
    });

    for (const permits of [0, 100]) {
        it(`answers running and waiting statements after the removal of their key (${permits} permits)`, () => {
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

    it("keeps the deadlines of the first drain when a second one starts", () => {
        // Guards against a second signal that extends the deadlines beyond the kill and accepts sessions again.
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

    it("answers statements that are queued behind a running one at the drain deadline", () => {
        // Guards against pipelined statements that never get an answer because the connection is closed.
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

    it("does not roll back on links of other sessions when a session closes whose link was lost", () => {
        // Guards against the rollback of another session's transaction, which would then continue on another link.
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

    it("fails a transaction that the database no longer has open after a statement", () => {
        // Guards against later statements that run outside the transaction of the first one.
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

    it("does not answer a statement with the repeated answer to the one before", () => {
        const fixture = primaryFixture();
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        fixture.openLinks();
        fixture.reply("l0", { signature: "first", position: position(1, 1) });
        fixture.request("s1", statement(SessionStatementKind.Write, "w2"));
        fixture.repeat("l0", { signature: "first", position: position(1, 1) });
        assert.equal(fixture.answers.length, 1);
        fixture.reply("l0", { signature: "second", position: position(1, 2) });
        assert.deepEqual(fixture.answers.map(({ answer }) => answer.signature), ["first", "second"]);
    });

    it("begins a transaction on another link if the answer could not be told from an earlier one", () => {
        // Guards against a statement outside its transaction after the beginning was refused.
        const fixture = primaryFixture();
        fixture.request("s1", statement(SessionStatementKind.Begin, "b1"));
        fixture.request("s1", statement(SessionStatementKind.Read, "r1"));
        fixture.openLinks();
        fixture.reply("l0", { transaction: TransactionState.Open, position: position(1, 1) });
        fixture.reply("l0", { transaction: TransactionState.Open, position: position(1, 1) });
        fixture.request("s1", statement(SessionStatementKind.Commit, "c1"));
        fixture.reply("l0", { position: position(1, 1) });
        fixture.request("s1", statement(SessionStatementKind.Begin, "b2"));
        fixture.request("s1", statement(SessionStatementKind.Write, "w2"));
        fixture.openLinks();
        assert.deepEqual([fixture.sent.at(-1)!.linkId, fixture.sent.at(-1)!.command.kind], ["l1", "begin"]);
        fixture.reply("l1", { transaction: TransactionState.Open, position: position(1, 1) });
        fixture.reply("l1", { transaction: TransactionState.Open, position: position(1, 1) });
        fixture.request("s1", statement(SessionStatementKind.Commit, "c2"));
        fixture.reply("l1", { position: position(1, 2) });
        fixture.request("s1", statement(SessionStatementKind.Begin, "b3"));
        fixture.request("s1", statement(SessionStatementKind.Write, "w3"));
        assert.equal(fixture.sent.at(-1)!.linkId === "l0" || fixture.sent.at(-1)!.linkId === "l1", true);
        assert.equal(fixture.opened.length, 2);
    });

    it("answers a statement as not run when a reply that fits no command comes before it was sent", () => {
        const fixture = primaryFixture();
        fixture.request("s1", statement(SessionStatementKind.Begin, "b"));
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        fixture.openLinks();
        fixture.repeat("l0", { signature: "of nobody" });
        assert.deepEqual(fixture.closed, ["l0"]);
        fixture.advance(1_001);
        assert.equal(fixture.lastFault(), StatementFault.Busy);
    });

    it("reports a reply that belongs to no command", () => {
        // Guards against a database that replies twice without a trace in the log.
        const fixture = primaryFixture();
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        fixture.openLinks();
        fixture.reply("l0", { position: position(1, 1) });
        fixture.repeat("l0", { position: position(1, 1) });
        assert.ok(fixture.otherMessages.some(({ kind }) => kind === LinkKind.ReplyDiscarded));
    });

    it("does not take the repeated answer to an earlier setting for that to the beginning of a transaction", () => {
        // Guards against "not run" for a write that runs alone, behind a beginning that the database has refused.
        const fixture = primaryFixture();
        const open = { transaction: TransactionState.Open };
        fixture.request("s1", statement(SessionStatementKind.Begin, "b1"));
        fixture.request("s1", statement(SessionStatementKind.Read, "r1"));
        fixture.openLinks();
        fixture.reply("l0", { ...open, position: position(1, 1) });
        fixture.reply("l0", { ...open, position: position(1, 1) });
        fixture.request("s1", statement(SessionStatementKind.SetValue, "a", { name: "x", argument: "1" }));
        fixture.request("s1", statement(SessionStatementKind.Read, "r2"));
        fixture.repeat("l0", { ...open, position: position(1, 1) });
        fixture.reply("l0", { ...open, position: position(1, 2) });
        fixture.reply("l0", { ...open, position: position(1, 2) });
        fixture.request("s1", statement(SessionStatementKind.Commit, "c1"));
        fixture.reply("l0", { position: position(1, 2) });
        fixture.request("s1", statement(SessionStatementKind.Begin, "b2"));
        fixture.request("s1", statement(SessionStatementKind.Write, "w"));
        fixture.openLinks();
        fixture.repeat("l0", { ...open, position: position(1, 2) });
        const last = fixture.sent.at(-1)!;
        assert.notDeepEqual([last.linkId, last.command.kind], ["l0", LinkCommandKind.Run]);
    });

    it("keeps a link until its rollback is answered, although the fault before it is repeated", () => {
        // Guards against a link that counts as in a failed transaction and answers nothing until its time-out.
        const fixture = primaryFixture();
        const failed = {
            fault: StatementFault.Failed,
            transaction: TransactionState.Failed,
            position: position(1, 1),
        };
        fixture.request("s1", statement(SessionStatementKind.Begin, "b"));
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        fixture.openLinks();
        fixture.reply("l0", { transaction: TransactionState.Open, position: position(1, 1) });
        fixture.reply("l0", failed);
        fixture.repeat("l0", failed);
        fixture.connect("s2", "orders");
        fixture.request("s2", statement(SessionStatementKind.Read, "r"));
        assert.equal(kindsOf(fixture).at(-1), LinkCommandKind.Rollback);
    });

    it("does not keep a link for ever whose rollback is answered at a position that went back", () => {
        // Guards against links that are lost one by one at a database whose log was rolled back.
        const fixture = primaryFixture();
        const open = { transaction: TransactionState.Open };
        fixture.request("s1", statement(SessionStatementKind.Begin, "b1"));
        fixture.request("s1", statement(SessionStatementKind.Read, "r1"));
        fixture.openLinks();
        fixture.reply("l0", { ...open, position: position(3, 5) });
        fixture.reply("l0", { ...open, position: position(3, 9) });
        fixture.post({ kind: SessionKind.Closed, sessionId: "s1" } as never);
        fixture.reply("l0", { position: position(3, 7) });
        fixture.advance(10_000);
        assert.deepEqual(fixture.closed, ["l0"]);
    });

    it("does not keep a link for ever whose rollback is not answered", () => {
        const fixture = primaryFixture();
        fixture.request("s1", statement(SessionStatementKind.Begin, "b1"));
        fixture.request("s1", statement(SessionStatementKind.Read, "r1"));
        fixture.openLinks();
        fixture.reply("l0", { transaction: TransactionState.Open, position: position(3, 5) });
        fixture.reply("l0", { transaction: TransactionState.Open, position: position(3, 9) });
        fixture.post({ kind: SessionKind.Closed, sessionId: "s1" } as never);
        fixture.advance(10_000);
        assert.deepEqual(fixture.closed, ["l0"]);
    });

    it("aborts a transaction that is idle for too long", () => {
        const fixture = primaryFixture();
        fixture.request("s1", statement(SessionStatementKind.Begin, "b"));
        fixture.advance(3_001);
        fixture.request("s1", statement(SessionStatementKind.Write, "w1"));
        assert.equal(fixture.lastFault(), StatementFault.Aborted);
    });
});
