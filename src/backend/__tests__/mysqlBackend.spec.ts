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

/** A backend with one connection `a` to a fake server. */
class Session implements AsyncDisposable {
    readonly server = new FakeMysqlServer();
    readonly posted: Message[] = [];
    private readonly waiters: (() => void)[] = [];
    readonly backend = new MysqlBackend({
        adapter: new MysqlAdapter({ user: "jasmineline", password: "" }),
        post: message => {
            this.posted.push(message);
            this.waiters.splice(0).forEach(wake => wake());
        },
    });

    async start(): Promise<this> {
        await this.server.start();
        await this.ask<BackendOpened>({ kind: BackendKind.Open, linkId: "a", timeoutMs: 5_000 }, BackendKind.Opened);
        return this;
    }

    /** Delivers an effect and waits for the first message of `kind` after it. */
    async ask<Kind extends Message>(effect: object, kind: Kind["kind"]): Promise<Kind> {
        const before = this.posted.length;
        const full = { linkId: "a", executionId: "e", databaseId: "p", address: this.server.address, ...effect };
        this.backend.deliver(full as unknown as Parameters<MysqlBackend["deliver"]>[0]);
        for (;;) {
            const found = this.posted.slice(before).find(message => message.kind === kind);
            if (found !== undefined) {
                return found as Kind;
            }
            await new Promise<void>(resolve => this.waiters.push(resolve));
        }
    }

    run(text: string): Promise<BackendResult> {
        return this.ask<BackendResult>({ kind: BackendKind.Execute, text }, BackendKind.Result);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.backend[Symbol.asyncDispose]();
        await this.server[Symbol.asyncDispose]();
    }
}

describe("mysql backend", () => {
    it("returns rows as text, binary cells byte by byte, and NULL as undefined", async () => {
        await using session = await new Session().start();
        const { outcome, inTransaction } = await session.run("SELECT bytes");
        assert.ok(outcome.kind === OutcomeKind.Rows);
        assert.deepEqual(outcome.rows, [["\u0000\u00ff\u0080", "\u00e9"], [undefined, ""]]);
        assert.deepEqual(outcome.columns.map(({ characterSet, type }) => [characterSet, type]), [[63, 253], [45, 253]]);
        assert.equal(inTransaction, true, "the status flags of a result set count as well");
    });

    it("reports the result and the transaction state, also after an error that ends the transaction", async () => {
        await using session = await new Session().start();
        const done = await session.run("INSERT x");
        assert.deepEqual(done.outcome, { kind: OutcomeKind.Done, affectedRows: 2, insertId: 9 });
        assert.deepEqual([done.inTransaction, (await session.run("BEGIN")).inTransaction], [false, true]);
        const failed = await session.run("FAIL");
        const { outcome } = failed;
        assert.equal(outcome.kind === OutcomeKind.Refused && outcome.refusal.databaseErrno, 1064);
        assert.deepEqual([failed.inTransaction, (await session.run("DEADLOCK")).inTransaction], [true, false]);
    });

    it("reads the position and sends orders", async () => {
        await using session = await new Session().start();
        const read = await session.ask<BackendPositionRead>(
            { kind: BackendKind.ReadPosition },
            BackendKind.PositionRead,
        );
        assert.deepEqual([read.role, read.position], ["primary", { term: 3, offset: 41 }]);
        const follow = { kind: BackendKind.Follow, term: 4, primaryAddress: "10.0.0.1:3306" };
        assert.equal((await session.ask<BackendOrdered>(follow, BackendKind.Ordered)).failure, undefined);
        await session.ask({ kind: BackendKind.Promote, term: 5 }, BackendKind.Ordered);
        const orders = ["JASMINE FOLLOW '10.0.0.1:3306' TERM 4", "JASMINE PROMOTE TERM 5"];
        assert.deepEqual(session.server.statements.slice(-2), orders);
    });

    it("says only that the connection ended when it ends before the answer, and says it once", async () => {
        await using session = await new Session().start();
        session.backend.deliver({ kind: BackendKind.Execute, linkId: "a", executionId: "e", text: "HANG" });
        const closed = await session.ask<BackendClosed>({ kind: BackendKind.Close }, BackendKind.Closed);
        assert.equal(closed.linkId, "a");
        await session.ask({ kind: BackendKind.Open, linkId: "b", timeoutMs: 5_000 }, BackendKind.Opened);
        session.server.cutAll();
        const cut = await session.ask<BackendClosed>(
            { kind: BackendKind.ReadPosition, linkId: "b" },
            BackendKind.Closed,
        );
        assert.equal(cut.linkId, "b");
        const ends = session.posted.filter(({ kind }) => kind === BackendKind.Closed || kind === BackendKind.Result);
        assert.equal(ends.length, 2);
    });

    it("reports a server that accepts but never greets, instead of waiting for ever", async () => {
        await using session = await new Session().start();
        session.server.silent = true;
        const open = { kind: BackendKind.Open, linkId: "b", timeoutMs: 50 };
        const failed = await session.ask<BackendOpenFailed>(open, BackendKind.OpenFailed);
        assert.match(failed.reason, /ETIMEDOUT/);
    });
});
