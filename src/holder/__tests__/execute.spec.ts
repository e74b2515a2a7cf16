import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { OutcomeKind } from "../../model/outcome.ts";
import { HolderFixture, isWorkLink } from "./holderFixture.ts";

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
        fixture.databases.links.forEach((link, id) => link.unresponsive = isWorkLink(id));
        const silent = fixture.send("INSERT a");
        fixture.run(200);
        const outcome = fixture.answer(failed)?.outcome;
        assert.equal(outcome?.kind === OutcomeKind.Refused && outcome.refusal.databaseErrno, 1064);
        assert.deepEqual([fixture.result(failed), fixture.result(silent)], ["database_failed", "connection_lost"]);
    });

    it("replaces idle connections that have gone silent before a statement meets them", () => {
        const fixture = new HolderFixture().start();
        fixture.databases.links.forEach((link, id) => link.unresponsive = isWorkLink(id));
        fixture.run(8_000);
        const read = fixture.send("SELECT 1");
        fixture.run(5);
        assert.equal(fixture.result(read), "rows");
    });

    it("repeats a read on another connection within its budget, and a write never", () => {
        const fixture = new HolderFixture({ settings: { retryRatio: 0 } }).start();
        const results = (text: string): (string | undefined)[] =>
            Array.from({ length: 12 }, () => {
                fixture.databases.links.forEach((link, id) => link.closesAfterNext = isWorkLink(id));
                const requestId = fixture.send(text, { repeatable: true });
                fixture.run(3);
                fixture.databases.links.forEach(link => link.closesAfterNext = false);
                fixture.run(60);
                return fixture.result(requestId);
            });
        assert.ok(results("INSERT a").every(result => result === "connection_lost"));
        const reads = results("SELECT 1");
        assert.equal(reads.filter(result => result === "rows").length, 10, "ten repeats are saved up at the start");
    });
});
