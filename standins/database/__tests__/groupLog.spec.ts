import assert from "node:assert/strict";
import { appendFileSync, mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { DatabaseNode } from "../databaseNode.ts";
import { classifyStatement, translateStatement } from "../dialect.ts";
import { FileLogStorage, FileRoleStorage, VolatileRoleStorage } from "../fileStorage.ts";
import { GroupLog, VolatileLogStorage } from "../groupLog.ts";
import { applyPullResponse } from "../replicationClient.ts";
import { createPullResponse } from "../replicationServer.ts";
import { SqlStore } from "../sqlStore.ts";

async function openNode(role: "primary" | "replica"): Promise<DatabaseNode> {
    return new DatabaseNode({
        store: await SqlStore.open(),
        log: new GroupLog(new VolatileLogStorage()),
        roleStorage: new VolatileRoleStorage(),
        initialState: { role, term: 1, primaryAddress: "" },
        lockTimeoutMs: 10,
    });
}

function commitStatement(node: DatabaseNode, sql: string): void {
    node.store.beginTransaction();
    node.store.executeInTransaction(sql);
    node.commit();
}

function replicateAll(replica: DatabaseNode, primary: DatabaseNode): void {
    for (;;) {
        const response = createPullResponse(primary, { term: replica.term, after: replica.position });
        if (response === undefined || !applyPullResponse(replica, response)) {
            return;
        }
    }
}

test("pulls no records from a primary of an older term", async () => {
    const primary = await openNode("primary");
    const replica = await openNode("replica");
    commitStatement(primary, "CREATE TABLE t (x)");
    replica.follow("127.0.0.1:1", 2);
    replicateAll(replica, primary);
    assert.deepEqual(replica.position, { term: 0, offset: 0 });
});

test("does not rank a lagging replica above an up-to-date one because it follows a newer term", async () => {
    const primary = await openNode("primary");
    const laggingReplica = await openNode("replica");
    const currentReplica = await openNode("replica");
    replicateAll(laggingReplica, primary);
    commitStatement(primary, "CREATE TABLE t (x)");
    replicateAll(currentReplica, primary);
    laggingReplica.follow("127.0.0.1:1", 2);
    assert.ok(
        laggingReplica.position.term <= currentReplica.position.term
            && laggingReplica.position.offset < currentReplica.position.offset,
    );
});

test("restores log and role after a restart and drops a partial last line", async () => {
    const folder = mkdtempSync(join(tmpdir(), "jasmineline-log-"));
    const path = join(folder, "log");
    const reopen = async () =>
        new DatabaseNode({
            store: await SqlStore.open(),
            log: new GroupLog(new FileLogStorage(path)),
            roleStorage: new FileRoleStorage(`${path}.role`),
            initialState: { role: "primary", term: 1, primaryAddress: "" },
            lockTimeoutMs: 10,
        });
    try {
        const first = await reopen();
        first.promote(4);
        commitStatement(first, "CREATE TABLE t (x)");
        appendFileSync(path, "{\"term\":4,\"off");
        const second = await reopen();
        assert.equal(second.term, 4);
        assert.deepEqual(second.position, first.position);
        assert.equal(second.store.contentHash(), first.store.contentHash());
        commitStatement(second, "INSERT INTO t VALUES (1)");
        assert.deepEqual((await reopen()).position, second.position);
    }
    finally {
        rmSync(folder, { recursive: true });
    }
});

test("ignores comments when classifying, removes them when translating, and preserves literals", () => {
    assert.equal(classifyStatement("/* it's */ SELECT 1 /*class='a'*/"), "read");
    assert.equal(classifyStatement("SELECT x FROM t WHERE id = 1 FOR UPDATE /*request_id='r'*/"), "locking_read");
    assert.equal(classifyStatement("UPDATE t SET x = 'SELECT'"), "write");
    const translated = translateStatement("INSERT INTO t VALUES ('NOW() /*a*/ it\\'s', NOW()) /*x='y'*/", "2026-01-01");
    assert.equal(translated, "INSERT INTO t VALUES ('NOW() /*a*/ it''s', '2026-01-01')");
});
