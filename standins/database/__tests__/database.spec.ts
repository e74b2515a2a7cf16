import mysql from "mysql2/promise";
import assert from "node:assert/strict";
import { test } from "node:test";
import { formatAddress } from "../address.ts";
import { DatabaseProcess } from "../databaseProcess.ts";
import { ClusterPeerCredentials } from "../peerCredentials.ts";
import { type DatabaseSettings, readDatabaseSettings } from "../settings.ts";

const password = "test-password";

async function openDatabase(overrides: Partial<DatabaseSettings> = {}): Promise<DatabaseProcess> {
    const flags =
        "--database-id d1 --group-id g1 --service orders --data-centre flanders --listen 127.0.0.1:0 --lag-ms 0 --connect-delay-ms 0 --service-ms 0";
    const settings = { ...readDatabaseSettings(flags.split(" ")), password, ...overrides };
    return DatabaseProcess.open(
        settings,
        new ClusterPeerCredentials({ cluster: "test", databaseId: "d1", clusterSecret: "a secret of the tests" }),
    );
}

function replicaSettings(primary: DatabaseProcess): Partial<DatabaseSettings> {
    return { databaseId: "d2", role: "replica", primary: formatAddress(primary.listener.address) };
}

async function connectTo(database: DatabaseProcess): Promise<mysql.Connection & AsyncDisposable> {
    const { host, port } = database.listener.address;
    const connection = await mysql.createConnection({ host, port, user: "jasmineline", password });
    return Object.assign(connection, { [Symbol.asyncDispose]: () => connection.end() });
}

async function waitForPosition(database: DatabaseProcess, expected: object): Promise<void> {
    while (JSON.stringify(database.node.position) !== JSON.stringify(expected)) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
}

const createOrders =
    "CREATE TABLE orders (id BIGINT NOT NULL AUTO_INCREMENT PRIMARY KEY, item VARCHAR(40)) ENGINE=InnoDB";

test("replicates a committed transaction as one record, and no rolled-back transaction", async () => {
    await using primary = await openDatabase();
    await using replica = await openDatabase(replicaSettings(primary));
    await using connection = await connectTo(primary);
    await connection.query(createOrders);
    await connection.query("BEGIN");
    await connection.query("INSERT INTO orders (item) VALUES ('lost')");
    await connection.query("ROLLBACK");
    await connection.query("BEGIN");
    await connection.query("INSERT INTO orders (item) VALUES ('board')");
    const [result] = await connection.query<mysql.ResultSetHeader>("INSERT INTO orders (item) VALUES ('it''s')");
    assert.equal(result.insertId, 2);
    await connection.query("COMMIT");
    await waitForPosition(replica, { term: 1, offset: 3 });
    assert.equal(replica.node.store.contentHash(), primary.node.store.contentHash());
    await using reader = await connectTo(replica);
    const [rows] = await reader.query("SELECT id, item FROM orders ORDER BY id");
    assert.deepEqual(rows, [{ id: 1, item: "board" }, { id: 2, item: "it's" }]);
});

test("shows uncommitted rows only to the connection that wrote them", async () => {
    await using primary = await openDatabase();
    await using writer = await connectTo(primary);
    await using reader = await connectTo(primary);
    await writer.query(createOrders);
    await writer.query("BEGIN");
    await writer.query("INSERT INTO orders (item) VALUES ('board')");
    assert.equal((await writer.query<mysql.RowDataPacket[]>("SELECT * FROM orders"))[0].length, 1);
    assert.equal((await reader.query<mysql.RowDataPacket[]>("SELECT * FROM orders"))[0].length, 0);
    await writer.query("COMMIT");
    assert.equal((await reader.query<mysql.RowDataPacket[]>("SELECT * FROM orders"))[0].length, 1);
});

test("rejects writes on a replica with error 1290 and a promotion with a stale term", async () => {
    await using primary = await openDatabase();
    await using replica = await openDatabase(replicaSettings(primary));
    await using connection = await connectTo(replica);
    await assert.rejects(connection.query(createOrders), { errno: 1290 });
    await assert.rejects(connection.query("JASMINE PROMOTE TERM 1"), { errno: 1105 });
    await connection.query("JASMINE PROMOTE TERM 2");
    const [rows] = await connection.query<mysql.RowDataPacket[]>("SHOW JASMINE POSITION");
    assert.equal(rows[0]!.role, "primary");
    assert.equal(rows[0]!.term, 2);
    await connection.query(createOrders);
});

test("lets an old primary accept writes until it has to follow, then discards only its divergent records", async () => {
    await using first = await openDatabase();
    await using second = await openDatabase(replicaSettings(first));
    await using oldPrimaryConnection = await connectTo(first);
    await oldPrimaryConnection.query(createOrders);
    await oldPrimaryConnection.query("INSERT INTO orders (item) VALUES ('kept')");
    await waitForPosition(second, { term: 1, offset: 3 });
    await using newPrimaryConnection = await connectTo(second);
    await newPrimaryConnection.query("JASMINE PROMOTE TERM 2");
    await oldPrimaryConnection.query("INSERT INTO orders (item) VALUES ('divergent')");
    await newPrimaryConnection.query("INSERT INTO orders (item) VALUES ('new')");
    await oldPrimaryConnection.query(`JASMINE FOLLOW '${formatAddress(second.listener.address)}' TERM 2`);
    await waitForPosition(first, { term: 2, offset: 5 });
    assert.equal(first.node.store.contentHash(), second.node.store.contentHash());
    const [rows] = await oldPrimaryConnection.query<mysql.RowDataPacket[]>("SELECT item FROM orders ORDER BY id");
    assert.deepEqual(rows.map(row => row.item), ["kept", "new"]);
});

test("keeps a replica running when its primary is lost, and catches up with the next primary", async () => {
    await using first = await openDatabase();
    await using second = await openDatabase(replicaSettings(first));
    await using third = await openDatabase(replicaSettings(first));
    await waitForPosition(third, { term: 1, offset: 1 });
    await waitForPosition(second, { term: 1, offset: 1 });
    await first[Symbol.asyncDispose]();
    await using connection = await connectTo(third);
    // Long enough for several connection attempts to the lost primary.
    await new Promise(resolve => setTimeout(resolve, 200));
    await using newPrimaryConnection = await connectTo(second);
    await newPrimaryConnection.query("JASMINE PROMOTE TERM 2");
    await connection.query(`JASMINE FOLLOW '${formatAddress(second.listener.address)}' TERM 2`);
    await waitForPosition(third, { term: 2, offset: 2 });
});

test("rolls back the open transaction on a role change and rejects its COMMIT", async () => {
    await using primary = await openDatabase();
    await using connection = await connectTo(primary);
    await using adminConnection = await connectTo(primary);
    await connection.query(createOrders);
    await connection.query("BEGIN");
    await connection.query("INSERT INTO orders (item) VALUES ('board')");
    await adminConnection.query("JASMINE FOLLOW '127.0.0.1:9' TERM 2");
    await assert.rejects(connection.query("COMMIT"), { errno: 1290 });
    const [rows] = await connection.query<mysql.RowDataPacket[]>("SELECT * FROM orders");
    assert.equal(rows.length, 0);
});

test("releases the write lock of an idle transaction on a role change", async () => {
    await using primary = await openDatabase({ lockTimeoutMs: 50 });
    await using idle = await connectTo(primary);
    await using adminConnection = await connectTo(primary);
    await idle.query(createOrders);
    await idle.query("BEGIN");
    await idle.query("INSERT INTO orders (item) VALUES ('board')");
    await adminConnection.query("JASMINE FOLLOW '127.0.0.1:9' TERM 2");
    await adminConnection.query("JASMINE PROMOTE TERM 3");
    await adminConnection.query("INSERT INTO orders (item) VALUES ('later')");
    const [rows] = await adminConnection.query<mysql.RowDataPacket[]>("SELECT item FROM orders");
    assert.deepEqual(rows, [{ item: "later" }]);
});

test("commits an open transaction on BEGIN", async () => {
    await using primary = await openDatabase();
    await using connection = await connectTo(primary);
    await connection.query(createOrders);
    await connection.query("BEGIN");
    await connection.query("INSERT INTO orders (item) VALUES ('board')");
    await connection.query("BEGIN");
    await connection.query("ROLLBACK");
    const [rows] = await connection.query<mysql.RowDataPacket[]>("SELECT item FROM orders");
    assert.equal(rows.length, 1);
});

test("rejects a connection above the limit with error 1040", async () => {
    await using primary = await openDatabase({ connectionLimit: 1 });
    await using openConnection = await connectTo(primary);
    await assert.rejects(connectTo(primary), { errno: 1040 });
    await openConnection.query("SELECT 1");
});

test("queues a second writer behind the first and rejects it with error 1205 after the lock timeout", async () => {
    await using primary = await openDatabase({ lockTimeoutMs: 30 });
    await using first = await connectTo(primary);
    await using second = await connectTo(primary);
    await first.query(createOrders);
    await first.query("BEGIN");
    await first.query("INSERT INTO orders (item) VALUES ('a')");
    await assert.rejects(second.query("INSERT INTO orders (item) VALUES ('b')"), { errno: 1205 });
    await first.query("COMMIT");
    await second.query("INSERT INTO orders (item) VALUES ('b')");
});

test("handles status flags, connection reset and prepared statements like MySQL", async () => {
    await using primary = await openDatabase();
    await using connection = await connectTo(primary);
    const [beginResult] = await connection.query<mysql.ResultSetHeader & { serverStatus: number; }>("BEGIN");
    assert.equal(beginResult.serverStatus & 1, 1);
    await connection.reset();
    const [result] = await connection.query<mysql.ResultSetHeader & { serverStatus: number; }>("COMMIT");
    assert.equal(result.serverStatus & 1, 0);
    await connection.query("SET NAMES utf8mb4");
    await assert.rejects(connection.execute("SELECT 1"), { errno: 1295 });
    await connection.ping();
    await assert.rejects(connection.query("SELECT * FROM absent"), { errno: 1146 });
});
