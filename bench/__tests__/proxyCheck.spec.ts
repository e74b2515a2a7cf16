import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { DatabaseRole } from "../../src/model/database.ts";
import { AcknowledgedWrites } from "../acknowledgedWrites.ts";
import { ModelDatabase } from "../modelDatabase.ts";

function database(role: DatabaseRole): ModelDatabase {
    const limits = { slots: 3, connectionLimit: 20 };
    return new ModelDatabase({ databaseId: role, groupId: "g0", dataCentre: 0, ...limits }, role);
}

describe("count of stale reads in the proxy model", () => {
    it("finds a read that misses a write acknowledged to its own key before it was sent", () => {
        const history = new AcknowledgedWrites();
        const replica = database(DatabaseRole.Replica);
        history.acknowledge("a", 1, 100);
        assert.equal(history.isStale(replica, "a", 101, 1_000), true);
        assert.equal(history.isStale(replica, "a", 100, 1_000), false);
        assert.equal(history.isStale(replica, "b", 101, 1_000), false);
    });

    it("finds a read that misses a write of another key which is older than the class accepts", () => {
        const history = new AcknowledgedWrites();
        const replica = database(DatabaseRole.Replica);
        history.acknowledge("a", 1, 100);
        assert.equal(history.isStale(replica, "b", 1_100, 1_000), false);
        assert.equal(history.isStale(replica, "b", 1_101, 1_000), true);
        replica.commit(1, 90);
        assert.equal(history.isStale(replica, "b", 1_101, 1_000), false);
    });

    it("finds writes again that a database dropped when it followed another primary", () => {
        const history = new AcknowledgedWrites();
        const [old, next] = [database(DatabaseRole.Primary), database(DatabaseRole.Replica)];
        old.commit(1, 10);
        next.replicate(old, 10);
        old.commit(2, 20);
        history.acknowledge("a", 1, 15);
        history.acknowledge("a", 2, 25);
        assert.equal(history.isStale(old, "a", 30, 1_000), false);
        next.promote(2, 30);
        old.follow(next);
        assert.equal(history.isStale(old, "a", 31, 1_000), true);
        assert.equal(history.hasLost(next), true);
        assert.deepEqual(old.position, { term: 1, offset: 1 });
    });

    it("notices a statement beyond the slots", () => {
        const busy = database(DatabaseRole.Primary);
        for (let running = 0; running < 4; running++) {
            busy.startStatement();
        }
        assert.equal(busy.startsBeyondSlots, 1);
    });
});
