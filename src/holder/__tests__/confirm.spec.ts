import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HolderPipeKind } from "../../model/holderPipeMessages.ts";
import { MajorityTracker } from "../majorityTracker.ts";
import { HolderFixture } from "./holderFixture.ts";

describe("confirm", () => {
    it("acknowledges no write before a majority has it, and says unknown after the limit", () => {
        const fixture = new HolderFixture().start();
        const confirmed = fixture.send("INSERT a");
        fixture.run(100);
        assert.equal(fixture.result(confirmed), undefined);
        fixture.databases.replicate("p", "r1");
        fixture.run(25);
        assert.equal(fixture.result(confirmed), "done");
        const unconfirmed = fixture.send("INSERT b", { sessionId: "s2" });
        fixture.run(2_990);
        assert.equal(fixture.result(unconfirmed), undefined);
        fixture.run(20);
        assert.equal(fixture.result(unconfirmed), "unconfirmed");
    });

    it("does not take the position of a later term for a confirmation, because a promotion may have dropped the write", () => {
        const fixture = new HolderFixture().start();
        const write = fixture.send("INSERT a");
        fixture.run(5);
        fixture.databases.get("r1").term = 2;
        fixture.run(25);
        assert.equal(fixture.result(write), "unconfirmed");
    });

    it("acknowledges nothing after its lease expired, unless the same lease is renewed", () => {
        for (const epoch of [1, 2]) {
            const fixture = new HolderFixture().start();
            const write = fixture.send("INSERT a");
            fixture.run(5);
            fixture.renewLeases(fixture.clock.nowMs() + 1);
            fixture.run(20);
            fixture.databases.replicate("p", "r1");
            fixture.databases.replicate("p", "r2");
            const read = fixture.send("SELECT 1", { sessionId: "s2" });
            fixture.run(100);
            assert.deepEqual([fixture.result(write), fixture.result(read)], [undefined, "holder_unavailable"]);
            fixture.renewLeases(fixture.clock.nowMs() + 10_000, epoch);
            fixture.run(100);
            assert.equal(fixture.result(write), epoch === 1 ? "done" : "unconfirmed");
        }
    });

    it("acknowledges nothing when the process was suspended past its lease and answers wait in its queue", () => {
        const fixture = new HolderFixture().start();
        fixture.renewLeases(fixture.clock.nowMs() + 100);
        const write = fixture.send("INSERT a");
        fixture.run(5);
        fixture.clock.suspend(500);
        // What sockets delivered meanwhile is processed before the timer that ends the lease.
        fixture.post({
            kind: HolderPipeKind.PositionKnown,
            ...{ databaseId: "r1", role: "replica", position: { term: 1, offset: 1 }, askedAtMs: 0 },
        });
        fixture.run(50);
        assert.equal(fixture.result(write), undefined);
    });

    it("acknowledges nothing on a database that is no longer the primary, by its own word or by the agreed state", () => {
        const fixture = new HolderFixture().start();
        const write = fixture.send("INSERT a");
        fixture.databases.get("p").role = "replica";
        fixture.run(5);
        assert.equal(fixture.result(write), "unconfirmed");
        fixture.databases.get("p").role = "primary";
        const second = fixture.send("INSERT b", { sessionId: "s2" });
        fixture.run(5);
        fixture.databases.get("p").role = "replica";
        fixture.announce();
        fixture.run(1);
        assert.equal(fixture.result(second), "unconfirmed");
    });

    it("counts no position of another term, because its log may have taken another course", () => {
        const majority = new MajorityTracker();
        majority.recordPosition("r1", { term: 1, offset: 10 });
        majority.recordPosition("r2", { term: 3, offset: 10 });
        assert.equal(majority.confirmedOffset(2, ["r1", "r2"], 3), -1);
        majority.recordPosition("r1", { term: 2, offset: 7 });
        assert.equal(majority.confirmedOffset(2, ["r1", "r2"], 3), 7);
        assert.equal(majority.confirmedOffset(2, ["r1", "r2"], 5), -1, "of five, two replicas must have it");
    });

    it("refuses new writes early while confirmations take longer than the waiting time left", () => {
        const fixture = new HolderFixture().start();
        fixture.send("INSERT a");
        fixture.run(300);
        const refused = fixture.send("INSERT b", { sessionId: "s2", deadlineMs: fixture.clock.nowMs() + 100 });
        fixture.run(5);
        assert.equal(fixture.result(refused), "overloaded");
        assert.equal(fixture.databases.timesCommitted("p", "INSERT b"), 0);
    });
});
