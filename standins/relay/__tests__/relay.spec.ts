import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { test } from "node:test";
import { Relay } from "../relay.ts";
import { RelayMatrix } from "../relayMatrix.ts";

async function openEcho(): Promise<Server & AsyncDisposable> {
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

test("a cut relay holds bytes of open and new connections back, and passes them after the repair", async () => {
    await using echo = await openEcho();
    await using relay = await Relay.open(portOf(echo));
    const early = connect(relay.port, "127.0.0.1");
    early.write("one");
    assert.equal(await readText(early, 3), "one");
    assert.equal(relay.bytes, 6);
    relay.disconnect();
    const late = connect(relay.port, "127.0.0.1");
    await once(late, "connect");
    let received = "";
    for (const socket of [early, late]) {
        socket.on("data", chunk => received += String(chunk));
        socket.write("two");
    }
    // A direct exchange that starts later and ends shows that the relayed bytes had their chance.
    const direct = connect(portOf(echo), "127.0.0.1");
    direct.write("direct");
    await readText(direct, 6);
    assert.equal(received, "");
    const repaired = Promise.all([readText(early, 3), readText(late, 3)]);
    relay.reconnect();
    assert.deepEqual(await repaired, ["two", "two"]);
    [early, late, direct].forEach(socket => socket.destroy());
});

test("only lines that cross a data centre's border are relayed", async () => {
    await using echo = await openEcho();
    const instances = [{ dataCentre: "flanders", rpcPort: portOf(echo) }];
    await using matrix = await RelayMatrix.open(["flanders", "wallonia"], instances);
    assert.equal(matrix.portFor("flanders", "flanders", portOf(echo)), portOf(echo));
    assert.notEqual(matrix.portFor("wallonia", "flanders", portOf(echo)), portOf(echo));
});
