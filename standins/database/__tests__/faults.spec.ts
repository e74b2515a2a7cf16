import mysql from "mysql2/promise";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import { formatAddress } from "../address.ts";
import { DatabaseProcess } from "../databaseProcess.ts";
import { ClusterPeerCredentials } from "../peerCredentials.ts";
import { type DatabaseSettings, readDatabaseSettings } from "../settings.ts";

const password = "test-password";

async function openDatabase(overrides: Partial<DatabaseSettings> = {}): Promise<DatabaseProcess> {
    const flags = "--database-id d1 --group-id g1 --service orders --data-centre flanders --listen 127.0.0.1:0";
    const withoutDelays = { lagMs: 0, connectDelayMs: 0, serviceMs: 0, password };
    return DatabaseProcess.open(
        { ...readDatabaseSettings(flags.split(" ")), ...withoutDelays, ...overrides },
        new ClusterPeerCredentials({ cluster: "test", databaseId: "d1", clusterSecret: "a secret of the tests" }),
    );
}

async function connectTo(database: DatabaseProcess): Promise<mysql.Connection & AsyncDisposable> {
    const loginOptions = { ...database.listener.address, user: "jasmineline", password };
    const connection = await mysql.createConnection(loginOptions);
    connection.on("error", () => undefined);
    return Object.assign(connection, { [Symbol.asyncDispose]: async () => connection.destroy() });
}

async function injectFault(database: DatabaseProcess, request: object): Promise<number> {
    const url = `http://127.0.0.1:${database.admin.port}/fault`;
    return (await fetch(url, { method: "POST", body: JSON.stringify(request) })).status;
}

test("never responds on a silenced connection, while a new one works", async () => {
    await using database = await openDatabase();
    await using silencedConnection = await connectTo(database);
    await injectFault(database, { fault: "silence" });
    let responded = false;
    silencedConnection.query("SELECT 1").then(() => responded = true, () => undefined);
    await using newConnection = await connectTo(database);
    for (let round = 0; round < 5; round++) {
        await newConnection.query("SELECT 1");
    }
    await injectFault(database, { fault: "restore" });
    await newConnection.query("SELECT 1");
    assert.equal(responded, false);
});

test("sends no responses while paused, neither on open nor on new connections", async () => {
    await using database = await openDatabase();
    await using connection = await connectTo(database);
    await injectFault(database, { fault: "pause" });
    const events: string[] = [];
    const statement = connection.query("SELECT 1").then(() => events.push("statement"));
    const loginAttempt = connectTo(database).then(async opened => {
        events.push("login");
        await opened[Symbol.asyncDispose]();
    });
    // Two round trips to the admin server would give a statement that is not paused enough time to complete.
    await injectFault(database, { fault: "lag", ms: 0 });
    await injectFault(database, { fault: "lag", ms: 0 });
    assert.deepEqual(events, []);
    await injectFault(database, { fault: "restore" });
    await Promise.all([statement, loginAttempt]);
});

test("closes open connections on drop, new ones under refuse, and rejects an unknown fault", async () => {
    await using database = await openDatabase();
    await using connection = await connectTo(database);
    await injectFault(database, { fault: "refuse" });
    await assert.rejects(connectTo(database));
    await connection.query("SELECT 1");
    await injectFault(database, { fault: "drop" });
    await assert.rejects(connection.query("SELECT 1"));
    await injectFault(database, { fault: "restore" });
    await using newConnection = await connectTo(database);
    await newConnection.query("SELECT 1");
    assert.equal(await injectFault(database, { fault: "typo" }), 400);
});

test("stops replication during a cut and catches up after restore", async () => {
    await using primary = await openDatabase();
    const replicaSettings = { role: "replica", primary: formatAddress(primary.listener.address) } as const;
    await using replica = await openDatabase(replicaSettings);
    await using connection = await connectTo(primary);
    const waitForReplica = async () => {
        while (replica.node.position.offset < primary.node.position.offset) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
    };
    await waitForReplica();
    await injectFault(primary, { fault: "cut" });
    await connection.query("CREATE TABLE t (x INT)");
    assert.ok(replica.node.position.offset < primary.node.position.offset);
    await injectFault(primary, { fault: "restore" });
    await connection.query("INSERT INTO t VALUES (1)");
    await waitForReplica();
});

test("rejects a wrong password, and malformed packets affect only their own connection", async () => {
    await using database = await openDatabase();
    const loginOptions = { ...database.listener.address, user: "jasmineline", password: "wrong" };
    await assert.rejects(mysql.createConnection(loginOptions), { errno: 1045 });
    const socket = connect(database.listener.address);
    await once(socket, "data");
    socket.write(Buffer.alloc(64, 0xff));
    socket.destroy();
    await using connection = await connectTo(database);
    await connection.query("SELECT 1");
});
