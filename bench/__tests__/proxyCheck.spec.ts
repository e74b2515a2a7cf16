import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { DatabaseRole } from "../../src/model/database.ts";
import { AcknowledgedWrites } from "../acknowledgedWrites.ts";
import { ModelDatabase } from "../modelDatabase.ts";

function createDatabase(role: DatabaseRole): ModelDatabase {
    const limits = { slots: 3, connectionLimit: 20 };
    return new ModelDatabase({ databaseId: role, groupId: "g0", dataCentre: 0, ...limits }, role);
}

describe("count of stale reads in the proxy model", () => {
    it("counts a read that misses a write acknowledged to the same caller before the read was sent", () => {
        const history = new AcknowledgedWrites();
        const replica = createDatabase(DatabaseRole.Replica);
        history.acknowledge("a", 1, 100);
        assert.equal(history.isStale(replica, "a", 101, 1_000), true);
        assert.equal(history.isStale(replica, "a", 100, 1_000), false);
        assert.equal(history.isStale(replica, "b", 101, 1_000), false);
    });

    it("counts a read that misses another caller's write older than the maximum age", () => {
        const history = new AcknowledgedWrites();
        const replica = createDatabase(DatabaseRole.Replica);
        history.acknowledge("a", 1, 100);
        assert.equal(history.isStale(replica, "b", 1_100, 1_000), false);
        assert.equal(history.isStale(replica, "b", 1_101, 1_000), true);
        replica.commit(1, 90);
        assert.equal(history.isStale(replica, "b", 1_101, 1_000), false);
    });

    it("detects acknowledged writes that a database removed to follow a new primary", () => {
        const history = new AcknowledgedWrites();
        const [oldPrimary, newPrimary] = [createDatabase(DatabaseRole.Primary), createDatabase(DatabaseRole.Replica)];
        oldPrimary.commit(1, 10);
        newPrimary.replicate(oldPrimary, 10);
        oldPrimary.commit(2, 20);
        history.acknowledge("a", 1, 15);
        history.acknowledge("a", 2, 25);
        assert.equal(history.isStale(oldPrimary, "a", 30, 1_000), false);
        newPrimary.promote(2, 30);
        oldPrimary.follow(newPrimary);
        assert.equal(history.isStale(oldPrimary, "a", 31, 1_000), true);
        assert.equal(history.hasLost(newPrimary), true);
        assert.deepEqual(oldPrimary.position, { term: 1, offset: 1 });
    });

    it("counts a statement that starts while all slots are in use", () => {
        const database = createDatabase(DatabaseRole.Primary);
        for (let running = 0; running < 4; running++) {
            database.startStatement();
        }
        assert.equal(database.startsBeyondSlots, 1);
    });
});
