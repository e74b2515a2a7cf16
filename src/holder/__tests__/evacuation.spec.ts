import * as fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { OutcomeKind } from "../../model/outcome.ts";
import { Execution } from "../../model/refusal.ts";
import { HolderFixture } from "./holderFixture.ts";

/** Time after the acknowledgement of an evacuation from which no statement may reach a database. */
const boundMs = 5_000;

/** Parts of the bound after which a primary gets no new work, and open transactions end. */
const primaryMs = 2_000;
const transactionMs = 3_000;

const propertyRuns = Number(process.env["EVACUATION_RUNS"] ?? 25);

function evacuate(fixture: HolderFixture): HolderFixture {
    fixture.announce({ evacuated: true });
    fixture.run(1);
    return fixture;
}

function retryAfterMs(fixture: HolderFixture, requestId: string): number | undefined {
    const outcome = fixture.answer(requestId)?.outcome;
    return outcome?.kind === OutcomeKind.Refused ? outcome.refusal.retryAfterMs : undefined;
}

describe("a holder in an evacuated data centre", () => {
    it("refuses what other instances still send to a replica, as not run", () => {
        const fixture = evacuate(new HolderFixture({ held: ["r1"] }).start());
        const read = fixture.send("SELECT 1", { databaseId: "r1", origin: "i2" });
        fixture.run(50);
        assert.equal(fixture.result(read), "no_fresh_replica");
        assert.equal(fixture.execution(read), Execution.NotRun);
        assert.deepEqual(fixture.databases.executedTexts, []);
    });

    it("serves the primary for a part of the bound, and then refuses it with a time to come back", () => {
        const fixture = evacuate(new HolderFixture().start());
        const early = fixture.send("SELECT 1", { origin: "i2" });
        fixture.run(primaryMs - 20);
        const late = fixture.send("SELECT 2", { origin: "i2" });
        fixture.run(50);
        const refused = ["SELECT 3", "UPDATE a SET b = 1", "BEGIN"].map(text => fixture.send(text, { origin: "i2" }));
        fixture.run(50);
        assert.deepEqual([early, late].map(id => fixture.result(id)), ["rows", "rows"]);
        for (const requestId of refused) {
            assert.equal(fixture.result(requestId), "no_primary");
            assert.equal(fixture.execution(requestId), Execution.NotRun);
            assert.equal(retryAfterMs(fixture, requestId), boundMs);
        }
        assert.deepEqual(fixture.databases.executedTexts, ["SELECT 1", "SELECT 2"]);
    });

    it("refuses statements that wait for a slot, and answers those that run", () => {
        const fixture = new HolderFixture({ held: ["r1"], slots: 1, serviceMs: 200 }).start();
        const [running, waiting] = ["a", "b"].map(sessionId =>
            fixture.send(`SELECT '${sessionId}'`, { databaseId: "r1", sessionId })
        );
        fixture.run(20);
        evacuate(fixture);
        assert.equal(fixture.result(waiting!), "no_fresh_replica");
        assert.equal(fixture.execution(waiting!), Execution.NotRun);
        fixture.run(300);
        assert.equal(fixture.result(running!), "rows");
        assert.deepEqual(fixture.databases.executedTexts, ["SELECT 'a'"]);
    });

    it("lets open transactions end, and rolls back those that last too long", () => {
        const fixture = new HolderFixture().start();
        ["short", "long"].forEach(sessionId => fixture.send("BEGIN", { sessionId }));
        fixture.run(20);
        evacuate(fixture);
        fixture.run(transactionMs - 100);
        const commit = fixture.send("COMMIT", { sessionId: "short", pinned: true });
        const read = fixture.send("SELECT 1", { sessionId: "long", pinned: true });
        fixture.replicateUntil(fixture.clock.nowMs() + 50);
        assert.deepEqual([commit, read].map(id => fixture.result(id)), ["done", "rows"]);
        fixture.run(100);
        const late = fixture.send("SELECT 2", { sessionId: "long", pinned: true });
        fixture.run(50);
        assert.equal(fixture.result(late), "transaction_lost");
        assert.ok(!fixture.databases.executedTexts.includes("SELECT 2"));
    });

    it("answers the statement that runs when the time of a transaction is over, and then rolls back", () => {
        const fixture = new HolderFixture({ serviceMs: 300 }).start();
        fixture.send("BEGIN");
        fixture.run(400);
        evacuate(fixture);
        fixture.run(transactionMs - 100);
        const running = fixture.send("SELECT 1", { pinned: true });
        fixture.run(50);
        const waiting = fixture.send("SELECT 2", { pinned: true });
        fixture.run(400);
        assert.equal(fixture.result(running), "rows");
        assert.equal(fixture.result(waiting), "transaction_lost");
        assert.ok(!fixture.databases.executedTexts.includes("SELECT 2"));
    });

    it("serves again after the end", () => {
        const fixture = evacuate(new HolderFixture({ held: ["p", "r1"] }).start());
        fixture.run(boundMs);
        fixture.announce();
        fixture.run(50);
        const reads = ["p", "r1"].map(databaseId => fixture.send("SELECT 1", { databaseId }));
        fixture.run(50);
        assert.deepEqual(reads.map(id => fixture.result(id)), ["rows", "rows"]);
    });

    it("sends nothing once the bound is over, whatever other instances send", () => {
        const sent = fc.record({
            text: fc.constantFrom("SELECT 1", "UPDATE a SET b = 1", "BEGIN", "COMMIT", "SET @a = 1"),
            sessionId: fc.constantFrom("a", "b", "c", "d"),
            databaseId: fc.constantFrom("p", "r1"),
            pinned: fc.boolean(),
            pauseMs: fc.integer({ min: 0, max: 900 }),
        });
        const serviceTimes = fc.constantFrom(1, 60, 700);
        fc.assert(
            fc.property(fc.array(sent, { minLength: 10, maxLength: 30 }), serviceTimes, (statements, serviceMs) => {
                const fixture = new HolderFixture({ held: ["p", "r1"], serviceMs }).start();
                const half = Math.floor(statements.length / 2);
                const play = (from: number, to: number): void =>
                    statements.slice(from, to).forEach(({ pauseMs, ...fields }) => {
                        fixture.send(fields.text, { ...fields, origin: "i2" });
                        fixture.run(pauseMs);
                    });
                play(0, 3);
                evacuate(fixture);
                const evacuatedAtMs = fixture.clock.nowMs();
                play(3, half);
                fixture.run(Math.max(0, evacuatedAtMs + boundMs - fixture.clock.nowMs()));
                const { length } = fixture.databases.executedTexts;
                play(half, statements.length);
                fixture.run(boundMs);
                assert.deepEqual(fixture.databases.executedTexts.slice(length), []);
            }),
            { numRuns: propertyRuns },
        );
    });
});
