import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout } from "node:timers/promises";
import { DocumentKind, type DocumentPut, DocumentResult } from "../../model/document.ts";
import {
    type EvacuationAnswered,
    EvacuationKind,
    type EvacuationOrdered,
    EvacuationResult,
} from "../../model/evacuation.ts";
import type { DatabaseLeft, DatabaseReported } from "../../model/fleetMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { ControlServer } from "../controlServer.ts";

const bodyTimeoutMs = 1_500;

describe("HTTP API of a control member", () => {
    let server: ControlServer;
    let posted: Message[];

    beforeEach(async () => {
        posted = [];
        server = new ControlServer({ host: "127.0.0.1", port: 0, post: message => receive(message), bodyTimeoutMs });
        await server.listen();
    });

    afterEach(() => server[Symbol.asyncDispose]());

    /** Accepts every document. */
    function receive(message: Message): void {
        posted.push(message);
        if (message.kind === DocumentKind.Put) {
            const { requestId } = message as DocumentPut;
            const answer = { result: DocumentResult.Accepted, document: undefined, leaderAddress: undefined };
            server.deliver({ kind: DocumentKind.Answered, requestId, ...answer });
        }
    }

    async function send(path: string, body: Uint8Array | string): Promise<readonly [status: number, text: string]> {
        const response = await fetch(`http://127.0.0.1:${server.port}${path}`, { method: "POST", body });
        return [response.status, await response.text()];
    }

    const documentText = "{\"version\":3,\"routes\":[],\"services\":[],\"other\":\"\xe9\"}";

    it("refuses a document whose bytes cannot be read in full", async () => {
        assert.deepEqual(await send("/-/Config.Put", documentText), [200, "{}"]);
        const [status, text] = await send("/-/Config.Put", Buffer.from(documentText, "latin1"));
        assert.equal(status, 400);
        assert.match(text, /UTF-8/);
        assert.equal(posted.length, 1);
    });

    /** Answers each order with `result`, and returns what arrived. */
    async function sendOrder(
        path: string,
        result: EvacuationResult,
        request: RequestInit = {},
    ): Promise<readonly [Response, EvacuationOrdered | undefined]> {
        const answering = fetch(`http://127.0.0.1:${server.port}${path}`, {
            method: "POST",
            redirect: "manual",
            ...request,
        });
        while (!posted.some(({ kind }) => kind === EvacuationKind.Ordered)) {
            const ended = await Promise.race([
                answering.then(() => true),
                setTimeout(5),
            ]);
            if (ended === true) {
                return [await answering, undefined];
            }
        }
        const order = posted.pop() as EvacuationOrdered;
        const { requestId, action, dataCentre, orderedBy } = order;
        const answered: EvacuationAnswered = {
            kind: EvacuationKind.Answered,
            requestId,
            action,
            dataCentre,
            orderedBy,
            result,
            detail: "why \"so\"",
            leaderAddress: result === EvacuationResult.Redirect ? "10.0.0.9:7460" : undefined,
        };
        server.deliver(answered);
        return [await answering, order];
    }

    it("passes on evacuation orders, with the data centre as it was escaped, and answers when they are decided", async () => {
        const [begun, order] = await sendOrder("/-/Evacuations.Begin/north%20%C3%A9%2F1", EvacuationResult.Accepted);
        assert.equal(begun.status, 200);
        const { action, dataCentre, orderedBy, orderedAtUnixMs } = order!;
        assert.deepEqual([action, dataCentre, orderedBy], ["begin", "north \xe9/1", "127.0.0.1"]);
        assert.ok(Math.abs(Date.now() - orderedAtUnixMs) < 10_000);
        const [ended, end] = await sendOrder("/-/Evacuations.End/a", EvacuationResult.Accepted, { body: "ignored" });
        assert.deepEqual([ended.status, end!.action, end!.dataCentre], [200, "end", "a"]);
        const [refused] = await sendOrder("/-/Evacuations.Begin/unknown", EvacuationResult.Refused);
        assert.deepEqual([refused.status, await refused.json()], [400, { error: "why \"so\"" }]);
        const [unavailable] = await sendOrder("/-/Evacuations.End/a", EvacuationResult.Unavailable);
        assert.equal(unavailable.status, 503);
        const [redirected] = await sendOrder("/-/Evacuations.End/a%2Fb", EvacuationResult.Redirect);
        assert.equal(redirected.status, 307);
        assert.match(redirected.headers.get("Location")!, /^http:\/\/10\.0\.0\.9:\d+\/-\/Evacuations\.End\/a%2Fb$/);
    });

    it("takes no evacuation order by another method, without a data centre in the path, or in bytes", async () => {
        for (const request of [{ method: "GET" }, { method: "PUT" }]) {
            const [response, order] = await sendOrder("/-/Evacuations.Begin/a", EvacuationResult.Accepted, request);
            assert.deepEqual([response.status, order], [404, undefined]);
        }
        const [response, order] = await sendOrder("/-/Evacuations.Begin", EvacuationResult.Accepted);
        assert.deepEqual([response.status, order], [404, undefined]);
        assert.match(await sendRaw("/-/Evacuations.Begin/\xe9", ""), / 400 /);
        assert.deepEqual(posted, []);
    });

    /** @returns the status line of the answer to a request that `fetch` would escape */
    async function sendRaw(path: string, body: string): Promise<string> {
        const socket = connect({ host: "127.0.0.1", port: server.port });
        socket.write(
            `POST ${path} HTTP/1.1\r\nHost: x\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n`,
            "latin1",
        );
        socket.write(body);
        const [answer] = await once(socket, "data") as [Buffer];
        socket.destroy();
        return answer.toString("latin1").split("\r\n")[0]!;
    }

    const heartbeat = JSON.stringify({
        service: "s\xe9",
        address: "10.0.0.1:8080",
        zone: "z",
        state: "ready",
        db_role: "replica",
        seq: 4,
    });

    it("reads the id of a database as UTF-8", async () => {
        assert.equal(await sendRaw("/-/Instances.Heartbeat/i-%C3%A9", heartbeat), "HTTP/1.1 200 OK");
        const { report } = posted[0] as DatabaseReported;
        assert.deepEqual([report.databaseId, report.service], ["i-\xc3\xa9", "s\xc3\xa9"]);
    });

    for (const id of ["i-\xe9", "i-\xc3\xa9", "i-\x80"]) {
        it(`refuses the id of a database whose bytes are not escaped: ${JSON.stringify(id)}`, async () => {
            assert.equal(await sendRaw(`/-/Instances.Heartbeat/${id}`, heartbeat), "HTTP/1.1 400 Bad Request");
            assert.equal(await sendRaw(`/-/Instances.Leave/${id}`, "{}"), "HTTP/1.1 400 Bad Request");
            assert.deepEqual(posted, []);
        });
    }

    it("keeps ids apart whose bytes are not UTF-8", async () => {
        for (const id of ["i-%E8", "i-%E9"]) {
            assert.equal(await sendRaw(`/-/Instances.Leave/${id}`, "{}"), "HTTP/1.1 200 OK");
        }
        const ids = posted.map(message => (message as DatabaseLeft).databaseId);
        assert.equal(new Set(ids).size, 2);
    });

    it("refuses bodies whose decoding would take the memory of the process", async () => {
        // Guards against a body of 8 MiB that ends a member with "heap out of memory".
        const values = "{},".repeat(300_000);
        const [status, text] = await send("/-/Config.Put", documentText.replace("\"\xe9\"", `[${values}1]`));
        assert.equal(status, 400);
        assert.match(text, /250000 values/);
        const nested = "[".repeat(100_000) + "]".repeat(100_000);
        assert.equal((await send("/-/Instances.Heartbeat/i-1", nested))[0], 400);
        assert.equal((await send("/-/Instances.Leave/i-1", nested))[0], 400);
        assert.deepEqual(posted, []);
    });

    /** @returns the text that arrives for a request */
    async function exchange(socket: Socket, path: string, body: string): Promise<string> {
        const head = `POST ${path} HTTP/1.1\r\nHost: x\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n`;
        socket.write(head + body);
        const [answer] = await once(socket, "data") as [Buffer];
        return answer.toString();
    }

    const asciiHeartbeat = heartbeat.replace("s\xe9", "s");

    it("answers a request that crosses with its stop on an idle connection, and ends the connection", async () => {
        // Guards against heartbeats and configurations without an answer, because idle connections were closed at once.
        const socket = connect(server.port, "127.0.0.1");
        assert.match(await exchange(socket, "/-/Instances.Heartbeat/i-1", asciiHeartbeat), /^HTTP\/1\.1 200 /);
        await server.stop();
        const answer = await exchange(socket, "/-/Config.Put", documentText.replace("\xe9", "x".repeat(1_000_000)));
        assert.match(answer, /^HTTP\/1\.1 503 [^]*Connection: close/);
        assert.match(answer, /send the call to another one/);
        socket.resume();
        await once(socket, "close");
        assert.equal(posted.length, 1);
    });

    it("answers a caller that connects in its stop", async () => {
        await server.stop();
        assert.equal((await send("/-/Config.Put", documentText))[0], 503);
        assert.deepEqual(posted, []);
    });

    it("closes idle connections late, also if the process ends at once after its stop", async () => {
        const socket = connect(server.port, "127.0.0.1");
        assert.match(await exchange(socket, "/-/Instances.Heartbeat/i-1", asciiHeartbeat), /^HTTP\/1\.1 200 /);
        await server.stop();
        const disposed = server[Symbol.asyncDispose]();
        await setTimeout(100);
        assert.match(await exchange(socket, "/-/Config.Put", documentText), /^HTTP\/1\.1 503 /);
        const idle = connect(server.port, "127.0.0.1");
        await Promise.all([disposed, once(idle, "close")]);
    });

    it("waits in its stop for the requests in flight, and answers them", async () => {
        const answering = send("/-/Evacuations.End/a", "");
        while (posted.length === 0) {
            await setTimeout(5);
        }
        const order = posted[0] as EvacuationOrdered;
        let stopped = false;
        const stopping = server.stop().then(() => stopped = true);
        await setTimeout(50);
        assert.equal(stopped, false);
        const answer = { result: EvacuationResult.Accepted, detail: "", leaderAddress: undefined };
        server.deliver({ ...order, kind: EvacuationKind.Answered, ...answer });
        assert.equal((await answering)[0], 200);
        await stopping;
    });

    it("ends requests whose body does not end", { timeout: 10_000 }, async () => {
        const socket = connect(server.port, "127.0.0.1");
        socket.write("POST /-/Config.Put HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n{");
        const [answer] = await once(socket, "data") as [Buffer];
        assert.match(answer.toString("latin1"), /^HTTP\/1\.1 408 /);
        socket.destroy();
    });
});
