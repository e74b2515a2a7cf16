import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
    type BackendClosed,
    BackendKind,
    type BackendOpened,
    type BackendOpenFailed,
    type BackendOrdered,
    type BackendPositionRead,
    type BackendResult,
} from "../../model/backendMessages.ts";
import { OutcomeKind } from "../../model/outcome.ts";
import type { Message } from "../../pipeline/message.ts";
import { MysqlAdapter } from "../mysqlAdapter.ts";
import { MysqlBackend } from "../mysqlBackend.ts";
import { FakeMysqlServer } from "./fakeMysqlServer.ts";

/** A backend with one open connection, with link id `a`, to a fake server. */
class BackendFixture implements AsyncDisposable {
    readonly server = new FakeMysqlServer();
    readonly posted: Message[] = [];
    private readonly waiters: (() => void)[] = [];
    readonly backend = new MysqlBackend({
        adapter: new MysqlAdapter({ user: "jasmineline", password: "" }),
        post: message => {
            this.posted.push(message);
            this.waiters.splice(0).forEach(resolve => resolve());
        },
    });

    async start(): Promise<this> {
        await this.server.start();
        await this.deliverAndWait<BackendOpened>(
            { kind: BackendKind.Open, linkId: "a", timeoutMs: 5_000 },
            BackendKind.Opened,
        );
        return this;
    }

    /** Delivers an effect and waits for the first message of `kind` that is posted after it. */
    async deliverAndWait<Kind extends Message>(effect: object, kind: Kind["kind"]): Promise<Kind> {
        const posted = this.waitFor<Kind>(kind);
        const completeEffect = {
            linkId: "a",
            executionId: "e",
            databaseId: "p",
            address: this.server.address,
            ...effect,
        };
        this.backend.deliver(completeEffect as unknown as Parameters<MysqlBackend["deliver"]>[0]);
        return posted;
    }

    /** Waits for the first message of `kind` that is posted after the call. */
    async waitFor<Kind extends Message>(kind: Kind["kind"]): Promise<Kind> {
        const firstIndex = this.posted.length;
        for (;;) {
            const found = this.posted.slice(firstIndex).find(message => message.kind === kind);
            if (found !== undefined) {
                return found as Kind;
            }
            await new Promise<void>(resolve => this.waiters.push(resolve));
        }
    }

    execute(text: string): Promise<BackendResult> {
        return this.deliverAndWait<BackendResult>({ kind: BackendKind.Execute, text }, BackendKind.Result);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.backend[Symbol.asyncDispose]();
        await this.server[Symbol.asyncDispose]();
    }
}

describe("mysql backend", () => {
    it("returns rows as text, binary cells byte by byte, and NULL as undefined", async () => {
        await using fixture = await new BackendFixture().start();
        const { outcome, inTransaction } = await fixture.execute("SELECT bytes");
        assert.ok(outcome.kind === OutcomeKind.Rows);
        assert.deepEqual(outcome.rows, [["\u0000\u00ff\u0080", "\u00e9"], [undefined, ""]]);
        assert.deepEqual(outcome.columns.map(({ characterSet, type }) => [characterSet, type]), [[63, 253], [45, 253]]);
        assert.equal(inTransaction, true, "the status flags of a result set are used as well");
    });

    it("reports the result and the transaction state, also after an error that ends the transaction", async () => {
        await using fixture = await new BackendFixture().start();
        const done = await fixture.execute("INSERT x");
        assert.deepEqual(done.outcome, { kind: OutcomeKind.Done, affectedRows: 2, insertId: 9 });
        assert.deepEqual([done.inTransaction, (await fixture.execute("BEGIN")).inTransaction], [false, true]);
        const failed = await fixture.execute("FAIL");
        const { outcome } = failed;
        assert.equal(outcome.kind === OutcomeKind.Refused && outcome.refusal.databaseErrno, 1064);
        assert.deepEqual([failed.inTransaction, (await fixture.execute("DEADLOCK")).inTransaction], [true, false]);
    });

    it("reads the position and executes orders", async () => {
        await using fixture = await new BackendFixture().start();
        const read = await fixture.deliverAndWait<BackendPositionRead>(
            { kind: BackendKind.ReadPosition },
            BackendKind.PositionRead,
        );
        assert.deepEqual([read.role, read.position], ["primary", { term: 3, offset: 41 }]);
        const follow = { kind: BackendKind.Follow, term: 4, primaryAddress: "10.0.0.1:3306" };
        assert.equal((await fixture.deliverAndWait<BackendOrdered>(follow, BackendKind.Ordered)).failure, undefined);
        await fixture.deliverAndWait({ kind: BackendKind.Promote, term: 5 }, BackendKind.Ordered);
        const orders = ["JASMINE FOLLOW '10.0.0.1:3306' TERM 4", "JASMINE PROMOTE TERM 5"];
        assert.deepEqual(fixture.server.statements.slice(-2), orders);
    });

    it("reports only the end of a connection that ends before the answer, and reports it once", async () => {
        await using fixture = await new BackendFixture().start();
        fixture.backend.deliver({ kind: BackendKind.Execute, linkId: "a", executionId: "e", text: "HANG" });
        const closed = await fixture.deliverAndWait<BackendClosed>({ kind: BackendKind.Close }, BackendKind.Closed);
        assert.equal(closed.linkId, "a");
        await fixture.deliverAndWait({ kind: BackendKind.Open, linkId: "b", timeoutMs: 5_000 }, BackendKind.Opened);
        fixture.server.closeConnections();
        const closedByServer = await fixture.deliverAndWait<BackendClosed>(
            { kind: BackendKind.ReadPosition, linkId: "b" },
            BackendKind.Closed,
        );
        assert.equal(closedByServer.linkId, "b");
        const closedOrResults = fixture.posted.filter(({ kind }) =>
            kind === BackendKind.Closed || kind === BackendKind.Result
        );
        assert.equal(closedOrResults.length, 2);
    });

    it("fails to open a connection if the server accepts it but sends no handshake in time", async () => {
        await using fixture = await new BackendFixture().start();
        fixture.server.unresponsive = true;
        const open = { kind: BackendKind.Open, linkId: "b", timeoutMs: 50 };
        const failed = await fixture.deliverAndWait<BackendOpenFailed>(open, BackendKind.OpenFailed);
        assert.match(failed.reason, /ETIMEDOUT/);
    });

    it("closes a connection on which an answer comes again while no statement runs", async () => {
        await using fixture = await new BackendFixture().start();
        await fixture.execute("INSERT x");
        const closed = fixture.waitFor<BackendClosed>(BackendKind.Closed);
        fixture.server.repeatAnswers();
        assert.equal((await closed).linkId, "a");
    });

    it("does not take a repeated end of the handshake for the answer to an order", async () => {
        // Guards against an instance that reports a promotion that no database has carried out.
        await using fixture = await new BackendFixture().start();
        fixture.server.repeatsBeforeAnswer = true;
        await fixture.deliverAndWait<BackendClosed>({ kind: BackendKind.Promote, term: 5 }, BackendKind.Closed);
        assert.deepEqual(fixture.posted.filter(({ kind }) => kind === BackendKind.Ordered), []);
    });

    for (
        const { first, second } of [
            { first: "BEGIN", second: "COMMIT" },
            { first: "BEGIN", second: "rollback;" },
            { first: "INSERT x", second: "BEGIN" },
            { first: "SELECT bytes", second: "START TRANSACTION" },
            { first: "SELECT bytes", second: "COMMIT" },
        ]
    ) {
        it(`does not take a repeated answer to ${first} for the answer to ${second}`, async () => {
            // Guards against a commit that is acknowledged although its transaction is still open.
            await using fixture = await new BackendFixture().start();
            await fixture.execute(first);
            fixture.server.repeatsBeforeAnswer = true;
            await fixture.deliverAndWait<BackendClosed>(
                { kind: BackendKind.Execute, text: second },
                BackendKind.Closed,
            );
            assert.equal(fixture.posted.filter(({ kind }) => kind === BackendKind.Result).length, 1);
        });
    }
});
