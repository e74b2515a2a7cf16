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

function write(node: DatabaseNode, sql: string): void {
    node.store.beginTransaction();
    node.store.executeInTransaction(sql);
    node.commit();
}

function pullAll(replica: DatabaseNode, primary: DatabaseNode): void {
    for (;;) {
        const answer = createPullResponse(primary, { term: replica.term, after: replica.position });
        if (answer === undefined || !applyPullResponse(replica, answer)) {
            return;
        }
    }
}

test("a replica of a newer term takes no records from a primary of an older one", async () => {
    const primary = await openNode("primary");
    const replica = await openNode("replica");
    write(primary, "CREATE TABLE t (x)");
    replica.follow("127.0.0.1:1", 2);
    pullAll(replica, primary);
    assert.deepEqual(replica.position, { term: 0, offset: 0 });
});

test("a replica that lacks acknowledged writes does not pass one that has them by following a new term", async () => {
    const primary = await openNode("primary");
    const behind = await openNode("replica");
    const ahead = await openNode("replica");
    pullAll(behind, primary);
    write(primary, "CREATE TABLE t (x)");
    pullAll(ahead, primary);
    behind.follow("127.0.0.1:1", 2);
    assert.ok(behind.position.term <= ahead.position.term && behind.position.offset < ahead.position.offset);
});

test("log and role survive a restart, and a partial last line is dropped", async () => {
    const folder = mkdtempSync(join(tmpdir(), "jasmineline-log-"));
    const path = join(folder, "log");
    const open = async () =>
        new DatabaseNode({
            store: await SqlStore.open(),
            log: new GroupLog(new FileLogStorage(path)),
            roleStorage: new FileRoleStorage(`${path}.role`),
            initialState: { role: "primary", term: 1, primaryAddress: "" },
            lockTimeoutMs: 10,
        });
    try {
        const first = await open();
        first.promote(4);
        write(first, "CREATE TABLE t (x)");
        appendFileSync(path, "{\"term\":4,\"off");
        const second = await open();
        assert.equal(second.term, 4);
        assert.deepEqual(second.position, first.position);
        assert.equal(second.store.contentHash(), first.store.contentHash());
        write(second, "INSERT INTO t VALUES (1)");
        assert.deepEqual((await open()).position, second.position);
    }
    finally {
        rmSync(folder, { recursive: true });
    }
});

test("comments neither hide a statement's class nor reach the rows, and literals keep their text", () => {
    assert.equal(classifyStatement("/* it's */ SELECT 1 /*class='a'*/"), "read");
    assert.equal(classifyStatement("SELECT x FROM t WHERE id = 1 FOR UPDATE /*request_id='r'*/"), "locking_read");
    assert.equal(classifyStatement("UPDATE t SET x = 'SELECT'"), "write");
    const translated = translateStatement("INSERT INTO t VALUES ('NOW() /*a*/ it\\'s', NOW()) /*x='y'*/", "2026-01-01");
    assert.equal(translated, "INSERT INTO t VALUES ('NOW() /*a*/ it''s', '2026-01-01')");
});
