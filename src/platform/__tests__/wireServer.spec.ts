import assert from "node:assert/strict";
import { EventEmitter, once } from "node:events";
import { connect, type Socket } from "node:net";
import { text } from "node:stream/consumers";
import { describe, it } from "node:test";
import { setImmediate } from "node:timers/promises";
import {
    MessageDefect,
    type SessionAnswer,
    SessionKind,
    type SessionMessageRefused,
} from "../../model/sessionMessages.ts";
import { StatementFault, TransactionState } from "../../model/sessionStatement.ts";
import type { Message } from "../../pipeline/message.ts";
import { maximumLineBytes } from "../wireLines.ts";
import { maximumNameBytes, toWireName } from "../wireNames.ts";
import { WireServer } from "../wireServer.ts";
import { defaultWireServerLimits, type WireServerLimits } from "../wireServerLimits.ts";

/** Rows of the maximum size of a message; together larger than the socket buffers of the system. */
const rowBytes = maximumLineBytes - "ROW ".length;
const answerBytes = 3 * rowBytes;

function createLargeAnswer(sessionId: string): SessionAnswer {
    const answer = {
        rows: Array.from({ length: answerBytes / rowBytes }, () => "x".repeat(rowBytes)),
        signature: "signature",
        fault: undefined,
        detail: "",
        transaction: TransactionState.None,
        position: undefined,
    };
    return { kind: SessionKind.Answer, sessionId, answer };
}

/** A server that accepts connections, and what it posts. */
class ServerFixture implements AsyncDisposable {
    readonly posted: Message[] = [];
    readonly postedMessages = new EventEmitter();
    readonly server: WireServer;

    private constructor(limits: WireServerLimits) {
        this.server = new WireServer({ host: "127.0.0.1", port: 0, post: message => this.post(message), limits });
    }

    static async start(limits = defaultWireServerLimits): Promise<ServerFixture> {
        const fixture = new ServerFixture(limits);
        await fixture.server.listen();
        return fixture;
    }

    connect(): Socket {
        return connect({ host: "127.0.0.1", port: this.server.port });
    }

    /** Connects a caller that does not read yet. */
    async openSession(): Promise<{ socket: Socket; sessionId: string; }> {
        const socket = this.connect();
        const opened = once(this.postedMessages, SessionKind.Opened);
        socket.write("CONNECT orders k\r\n");
        const [message] = await opened as [{ readonly sessionId: string; }];
        return { socket, sessionId: message.sessionId };
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.server[Symbol.asyncDispose]();
    }

    private post(message: Message): void {
        this.posted.push(message);
        this.postedMessages.emit(message.kind, message);
    }
}

describe("connections of callers", () => {
    for (const isClosed of [true, false]) {
        it(`deliver the last answer before shutdown if the session is ${isClosed ? "closed" : "open"}`, async () => {
            // Guards against the loss of answers that are still buffered for a slow connection when the process stops.
            await using fixture = await ServerFixture.start();
            const { server } = fixture;
            const { socket, sessionId } = await fixture.openSession();
            server.deliver(createLargeAnswer(sessionId));
            if (isClosed) {
                server.deliver({ kind: SessionKind.Close, sessionId });
            }
            let receivedBytes = 0;
            setTimeout(() => socket.on("data", chunk => receivedBytes += chunk.length), 20);
            await server[Symbol.asyncDispose]();
            assert.equal(receivedBytes > answerBytes, true);
            socket.destroy();
        });
    }

    it("get all of their last answer when more of them end than the listener keeps", async () => {
        // Guards against the reset of closed sessions, whose answers are still buffered, in a stop of many at once.
        const limits = { ...defaultWireServerLimits, maximumEnded: 0 };
        await using fixture = await ServerFixture.start(limits);
        const { server } = fixture;
        const { socket, sessionId } = await fixture.openSession();
        const answers = Array.from({ length: 3 }, () => createLargeAnswer(sessionId));
        answers.forEach(answer => server.deliver(answer));
        server.deliver({ kind: SessionKind.Close, sessionId });
        assert.ok((await text(socket)).length > answers.length * answerBytes);
    });

    it("keep no more of a key than the longest one of a configuration has, and one byte", async () => {
        await using fixture = await ServerFixture.start();
        const { posted } = fixture;
        const key = "k".repeat(1_000_000);
        const socket = fixture.connect();
        socket.write(`CONNECT orders ${key}\r\n`);
        while (posted.length === 0) {
            await setImmediate();
        }
        socket.destroy();
        assert.deepEqual(posted[0], {
            kind: SessionKind.Opened,
            sessionId: (posted[0] as SessionAnswer).sessionId,
            database: "orders",
            key: key.slice(0, maximumNameBytes + 1),
        });
    });

    it("leave a trace of each message that is refused, without its text", async () => {
        await using fixture = await ServerFixture.start();
        const { posted } = fixture;
        const streams = [
            "QUERY 1 READ x\r\n",
            "CONNECT orders k\r\nHELLO x\r\nQUERY 1 READ\r\n",
            `CONNECT orders k\r\n${"x".repeat(maximumLineBytes + 1)}`,
        ];
        for (const sent of streams) {
            const socket = fixture.connect();
            socket.end(sent);
            socket.resume();
            await once(socket, "close");
        }
        const refusals = posted.filter(({ kind }) => kind === SessionKind.MessageRefused) as SessionMessageRefused[];
        assert.deepEqual(
            refusals.map(({ sessionId, defect, bytes }) => [sessionId, defect, bytes > maximumLineBytes || bytes]),
            [
                ["s0", MessageDefect.NotConnected, 14],
                ["s1", MessageDefect.UnknownKind, 7],
                ["s1", MessageDefect.InvalidStatement, 12],
                ["s2", MessageDefect.TooLong, true],
            ],
        );
    });

    it("get an answer of many rows of maximum size, if they read it", async () => {
        // Guards against the end of a session whose answer alone is larger than the backlog that is allowed.
        await using fixture = await ServerFixture.start();
        const { server } = fixture;
        const { socket, sessionId } = await fixture.openSession();
        const { answer } = createLargeAnswer(sessionId);
        const rows = [...answer.rows, ...answer.rows];
        server.deliver({ kind: SessionKind.Answer, sessionId, answer: { ...answer, rows } } as SessionAnswer);
        server.deliver({ kind: SessionKind.Close, sessionId });
        assert.equal(
            (await text(socket)).length,
            6 * (maximumLineBytes + 2) + "COMPLETE signature\r\nREADY I -\r\n".length,
        );
    });

    it("end without an answer that holds a message of its own", async () => {
        await using fixture = await ServerFixture.start();
        const { server } = fixture;
        for (const parts of [{ rows: ["x\r\nCOMPLETE forged"] }, { signature: "a\r\nb" }, { rows: ["\u010d\u010a"] }]) {
            const { socket, sessionId } = await fixture.openSession();
            const { answer } = createLargeAnswer(sessionId);
            const refused = once(fixture.postedMessages, SessionKind.AnswerRefused);
            server.deliver({ kind: SessionKind.Answer, sessionId, answer: { ...answer, ...parts } } as SessionAnswer);
            assert.equal(await text(socket), "");
            await refused;
        }
    });

    it("get error texts of others as one message", async () => {
        // Guards against the name of a route or a text of a database that ends the message in which it is told.
        await using fixture = await ServerFixture.start();
        const { server } = fixture;
        const { socket, sessionId } = await fixture.openSession();
        const { answer } = createLargeAnswer(sessionId);
        for (const detail of ["a\r\nREADY I -", "\u010d\u010a", "x".repeat(maximumLineBytes)]) {
            const fault = StatementFault.Failed;
            server.deliver(
                {
                    kind: SessionKind.Answer,
                    sessionId,
                    answer: { ...answer, rows: [], fault, detail },
                } as SessionAnswer,
            );
        }
        server.deliver({ kind: SessionKind.Close, sessionId });
        const lines = (await text(socket)).split("\r\n");
        assert.deepEqual(lines.slice(0, 4), ["ERROR FAILED a  READY I -", "READY I -", "ERROR FAILED ??", "READY I -"]);
        assert.equal(lines[4]!.length, maximumLineBytes);
        assert.deepEqual(lines.slice(5), ["READY I -", ""]);
    });

    it("name their database and key by their bytes, as the configuration does", async () => {
        await using fixture = await ServerFixture.start();
        const socket = fixture.connect();
        const opened = once(fixture.postedMessages, SessionKind.Opened);
        socket.write("CONNECT b\u00e9 k\u010d 1\r\n");
        const [message] = await opened as [{ readonly database: string; readonly key: string; }];
        assert.deepEqual([message.database, message.key], [toWireName("b\u00e9"), toWireName("k\u010d 1")]);
        socket.destroy();
    });

    it("do not delay the shutdown if callers neither read nor close", async () => {
        await using fixture = await ServerFixture.start();
        const { server } = fixture;
        const { socket, sessionId } = await fixture.openSession();
        server.deliver(createLargeAnswer(sessionId));
        const timeoutSignal = AbortSignal.timeout(400);
        await server[Symbol.asyncDispose]();
        assert.equal(timeoutSignal.aborted, false);
        socket.destroy();
    });

    it("get all of a large answer when their session ends in a stop right after it", async () => {
        // Guards against answers that are cut because the ERROR that tells the end exceeds the limit of unsent bytes.
        await using fixture = await ServerFixture.start();
        const { server } = fixture;
        const { socket, sessionId } = await fixture.openSession();
        const large = createLargeAnswer(sessionId);
        const rows = Array.from({ length: 6 }, () => large.answer.rows).flat();
        server.deliver({ ...large, answer: { ...large.answer, rows } });
        server.deliver({
            kind: SessionKind.Ending,
            sessionId,
            fault: StatementFault.Busy,
            detail: "not run",
            transaction: TransactionState.None,
        });
        let received = "";
        socket.setEncoding("latin1").on("data", (chunk: string) => {
            received += chunk;
            if (received.endsWith("ERROR BUSY not run\r\n")) {
                socket.end();
            }
        });
        await once(socket, "close");
        assert.ok(received.endsWith("READY I -\r\nERROR BUSY not run\r\n"));
    });

    it("get the rest of the answer to a request that crosses with the end of the process", async () => {
        // Guards against requests that are read after the event loop has closed and whose callers have the ERROR only.
        await using fixture = await ServerFixture.start();
        const { server } = fixture;
        const { socket, sessionId } = await fixture.openSession();
        const received = text(socket);
        server.deliver({
            kind: SessionKind.Ending,
            sessionId,
            fault: StatementFault.Busy,
            detail: "not run",
            transaction: TransactionState.None,
        });
        const disposed = server[Symbol.asyncDispose]();
        socket.write("QUERY q1 READ a\r\n");
        await disposed;
        assert.match(await received, /^ERROR BUSY not run\r\nREADY I -\r\n/);
    });

    it("are refused in full when they connect just before the listener closes", async () => {
        // Guards against a CONNECT that is read while the process ends, and never answered.
        await using fixture = await ServerFixture.start();
        const { server } = fixture;
        const socket = fixture.connect();
        const answer = text(socket);
        await once(socket, "connect");
        // The server accepts the connection in one turn of its loop.
        await setImmediate();
        const stopped = server.stopAccepting(5_000);
        const opened = once(fixture.postedMessages, SessionKind.Opened);
        socket.write("CONNECT orders k\r\n");
        const [{ sessionId }] = await opened as [{ readonly sessionId: string; }];
        server.deliver({ kind: SessionKind.Refuse, sessionId, fault: StatementFault.Busy, detail: "not run" });
        await stopped;
        assert.equal(await answer, "ERROR BUSY not run\r\n");
        await server[Symbol.asyncDispose]();
    });
});
