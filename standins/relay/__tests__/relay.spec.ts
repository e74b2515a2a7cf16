import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { test } from "node:test";
import { Relay } from "../relay.ts";
import { RelayMatrix } from "../relayMatrix.ts";

async function openEchoServer(): Promise<Server & AsyncDisposable> {
    const server = createServer(socket => socket.pipe(socket)).listen(0, "127.0.0.1");
    await once(server, "listening");
    return Object.assign(server, { [Symbol.asyncDispose]: async () => void server.close() });
}

function portOf(server: Server): number {
    return (server.address() as AddressInfo).port;
}

async function readText(socket: Socket, length: number): Promise<string> {
    let text = "";
    while (text.length < length) {
        text += String((await once(socket, "data"))[0]);
    }
    return text;
}

test("holds back data of open and new connections while disconnected and forwards it after reconnecting", async () => {
    await using echoServer = await openEchoServer();
    await using relay = await Relay.open(portOf(echoServer));
    const connectedBefore = connect(relay.port, "127.0.0.1");
    connectedBefore.write("one");
    assert.equal(await readText(connectedBefore, 3), "one");
    assert.equal(relay.bytes, 6);
    relay.disconnect();
    const connectedAfter = connect(relay.port, "127.0.0.1");
    await once(connectedAfter, "connect");
    let received = "";
    for (const socket of [connectedBefore, connectedAfter]) {
        socket.on("data", chunk => received += String(chunk));
        socket.write("two");
    }
    // A direct round trip that starts later has completed, so the relayed data had enough time to arrive.
    const direct = connect(portOf(echoServer), "127.0.0.1");
    direct.write("direct");
    await readText(direct, 6);
    assert.equal(received, "");
    const forwarded = Promise.all([readText(connectedBefore, 3), readText(connectedAfter, 3)]);
    relay.reconnect();
    assert.deepEqual(await forwarded, ["two", "two"]);
    [connectedBefore, connectedAfter, direct].forEach(socket => socket.destroy());
});

test("relays only connections between different data centres", async () => {
    await using echoServer = await openEchoServer();
    const instances = [{ dataCentre: "flanders", rpcPort: portOf(echoServer) }];
    await using matrix = await RelayMatrix.open(["flanders", "wallonia"], instances);
    assert.equal(matrix.portFor("flanders", "flanders", portOf(echoServer)), portOf(echoServer));
    assert.notEqual(matrix.portFor("wallonia", "flanders", portOf(echoServer)), portOf(echoServer));
});
