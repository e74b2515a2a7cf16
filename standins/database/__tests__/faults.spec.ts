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

async function openDatabase(changes: Partial<DatabaseSettings> = {}): Promise<DatabaseProcess> {
    const flags = "--database-id d1 --group-id g1 --service orders --data-centre flanders --listen 127.0.0.1:0";
    const quick = { lagMs: 0, connectDelayMs: 0, serviceMs: 0, password };
    return DatabaseProcess.open(
        { ...readDatabaseSettings(flags.split(" ")), ...quick, ...changes },
        new ClusterPeerCredentials({ cluster: "test", databaseId: "d1", clusterSecret: "a secret of the tests" }),
    );
}

async function connectTo(database: DatabaseProcess): Promise<mysql.Connection & AsyncDisposable> {
    const login = { ...database.listener.address, user: "jasmineline", password };
    const connection = await mysql.createConnection(login);
    connection.on("error", () => undefined);
    return Object.assign(connection, { [Symbol.asyncDispose]: async () => connection.destroy() });
}

async function fault(database: DatabaseProcess, request: object): Promise<number> {
    const url = `http://127.0.0.1:${database.admin.port}/fault`;
    return (await fetch(url, { method: "POST", body: JSON.stringify(request) })).status;
}

test("a silent connection never answers, while a new one works", async () => {
    await using database = await openDatabase();
    await using silent = await connectTo(database);
    await fault(database, { fault: "silence" });
    let answered = false;
    silent.query("SELECT 1").then(() => answered = true, () => undefined);
    await using fresh = await connectTo(database);
    for (let round = 0; round < 5; round++) {
        await fresh.query("SELECT 1");
    }
    await fault(database, { fault: "restore" });
    await fresh.query("SELECT 1");
    assert.equal(answered, false);
});

test("a paused database answers nothing until it is restored, also on new connections", async () => {
    await using database = await openDatabase();
    await using connection = await connectTo(database);
    await fault(database, { fault: "pause" });
    const events: string[] = [];
    const statement = connection.query("SELECT 1").then(() => events.push("statement"));
    const login = connectTo(database).then(async opened => {
        events.push("login");
        await opened[Symbol.asyncDispose]();
    });
    // Two exchanges with the admin listener give the statement its chance.
    await fault(database, { fault: "lag", ms: 0 });
    await fault(database, { fault: "lag", ms: 0 });
    assert.deepEqual(events, []);
    await fault(database, { fault: "restore" });
    await Promise.all([statement, login]);
});

test("a drop closes open connections and refuse closes new ones; an unknown fault is an error", async () => {
    await using database = await openDatabase();
    await using connection = await connectTo(database);
    await fault(database, { fault: "refuse" });
    await assert.rejects(connectTo(database));
    await connection.query("SELECT 1");
    await fault(database, { fault: "drop" });
    await assert.rejects(connection.query("SELECT 1"));
    await fault(database, { fault: "restore" });
    await using again = await connectTo(database);
    await again.query("SELECT 1");
    assert.equal(await fault(database, { fault: "typo" }), 400);
});

test("a replica that is cut off stays where it is and catches up after the repair", async () => {
    await using primary = await openDatabase();
    const following = { role: "replica", primary: formatAddress(primary.listener.address) } as const;
    await using replica = await openDatabase(following);
    await using connection = await connectTo(primary);
    const caughtUp = async () => {
        while (replica.node.position.offset < primary.node.position.offset) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
    };
    await caughtUp();
    await fault(primary, { fault: "cut" });
    await connection.query("CREATE TABLE t (x INT)");
    assert.ok(replica.node.position.offset < primary.node.position.offset);
    await fault(primary, { fault: "restore" });
    await connection.query("INSERT INTO t VALUES (1)");
    await caughtUp();
});

test("a wrong password is refused and a client that sends garbage ends nothing but its own connection", async () => {
    await using database = await openDatabase();
    const login = { ...database.listener.address, user: "jasmineline", password: "wrong" };
    await assert.rejects(mysql.createConnection(login), { errno: 1045 });
    const socket = connect(database.listener.address);
    await once(socket, "data");
    socket.write(Buffer.alloc(64, 0xff));
    socket.destroy();
    await using connection = await connectTo(database);
    await connection.query("SELECT 1");
});
