import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ClusterKind } from "../../model/clusterMessages.ts";
import { DatabaseRole } from "../../model/database.ts";
import { HolderHealthKind } from "../../model/healthMessages.ts";
import { HolderKind } from "../../model/holderMessages.ts";
import type { Message } from "../../pipeline/message.ts";
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
        assert.equal(fixture.databases.get("p").maximumRunning, 3);
        // 600/s for 3 s, less a start of 12 ms for the first connections: no slot was idle while work waited.
        assert.ok(fixture.databases.executedTexts.length >= 1_790, `${fixture.databases.executedTexts.length} ran`);
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
        assert.ok(!fixture.databases.executedTexts.includes("SELECT 6"));
    });

    it("keeps a slot for each open transaction, so that statements waiting for its locks cannot block it", () => {
        const fixture = new HolderFixture({ slots: 2, serviceMs: 100 }).start();
        fixture.send("BEGIN", { sessionId: "t" });
        fixture.run(150);
        ["s1", "s2", "s3"].forEach(sessionId => fixture.send(`UPDATE a SET b = '${sessionId}'`, { sessionId }));
        fixture.send("SELECT 1", { sessionId: "s4" });
        fixture.run(110);
        // The fake records a statement when its service time has passed.
        assert.deepEqual(fixture.databases.executedTexts, ["BEGIN", "UPDATE a SET b = 's1'", "SELECT 1"]);
        fixture.send("UPDATE a SET b = 't'", { sessionId: "t", pinned: true });
        fixture.run(110);
        assert.ok(fixture.databases.executedTexts.includes("UPDATE a SET b = 't'"));
    });

    it("sends no change to a new primary before the database itself knows of its promotion", () => {
        const fixture = new HolderFixture().start();
        // The view still names it the primary, as it does between the agreed change and the order of promotion.
        fixture.databases.get("p").role = DatabaseRole.Replica;
        fixture.run(300);
        const write = fixture.send("UPDATE a SET b = 1");
        fixture.run(300);
        assert.equal(fixture.result(write), undefined);
        assert.ok(!fixture.databases.executedTexts.includes("UPDATE a SET b = 1"));
        fixture.databases.get("p").role = DatabaseRole.Primary;
        fixture.run(300);
        fixture.databases.replicate("p", "r1");
        fixture.run(100);
        assert.equal(fixture.result(write), "done");
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
        const workLinks = (fixture: HolderFixture): number =>
            [...fixture.databases.links].filter(([id, link]) => isWorkLink(id) && link.databaseId === "p").length;
        assert.equal(workLinks(new HolderFixture({ slots: 3, connectionLimit: 20 }).start()), 4);
        const fixture = new HolderFixture({ slots: 3, connectionLimit: 6 }).start();
        [1, 2, 3, 4, 5, 6].forEach(number => fixture.send("BEGIN", { sessionId: `s${number}` }));
        fixture.run(100);
        assert.equal(workLinks(fixture), 4);
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
            assert.ok(fixture.databases.executedTexts.includes(`INSERT ${end}`));
            assert.equal([...fixture.databases.links.values()].filter(link => link.transaction).length, 0);
        }
    });

    it("tells a session that its transaction was lost, and runs nothing of it on another connection", () => {
        const fixture = new HolderFixture().start();
        fixture.send("BEGIN");
        fixture.run(5);
        fixture.databases.closeLinks(isWorkLink);
        fixture.run(50);
        const write = fixture.send("INSERT a", { pinned: false });
        fixture.run(5);
        assert.equal(fixture.result(write), "transaction_lost", "also for a sender that does not track sessions");
        const other = fixture.send("INSERT b", { pinned: true, sessionId: "of another holder" });
        fixture.run(5);
        assert.equal(fixture.result(other), "transaction_lost");
        assert.deepEqual(fixture.databases.executedTexts, ["BEGIN"]);
    });

    it("refuses as not run while the database cannot be reached, and recovers", () => {
        const fixture = new HolderFixture().start();
        fixture.databases.get("p").acceptsConnections = false;
        fixture.databases.closeLinks(() => true);
        fixture.run(150);
        const refused = fixture.send("SELECT 1");
        fixture.run(1);
        assert.equal(fixture.result(refused), "connect_failed");
        fixture.databases.get("p").acceptsConnections = true;
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
        assert.deepEqual(fixture.messagesOf(HolderHealthKind.LeaseIdle), []);
        const commit = fixture.send("COMMIT", { pinned: true });
        fixture.run(5);
        assert.deepEqual(fixture.messagesOf(HolderHealthKind.LeaseIdle), [], "the commit is not confirmed yet");
        fixture.replicateUntil(fixture.clock.nowMs() + 30);
        assert.equal(fixture.result(commit), "done");
        assert.equal(fixture.messagesOf(HolderHealthKind.LeaseIdle).length, 1);
    });
});
