import "disposablestack/auto";
import fc from "fast-check";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { CallerKind, type CallerLogin, type CallerStatement } from "../../model/callerMessages.ts";
import { OutcomeKind } from "../../model/outcome.ts";
import { RefusalCode, refuse } from "../../model/refusal.ts";
import type { Message } from "../../pipeline/message.ts";
import { MysqlFrontend } from "../mysqlFrontend.ts";
import { PacketSizeGuard } from "../packetSizeGuard.ts";

/**
 * Accepts each login and answers each statement.
 * @param texts filled with the texts of the statements
 */
async function openFrontend(loginLimitMs = 10_000, texts: string[] = []): Promise<MysqlFrontend> {
    const post = (message: Message): void => {
        if (message.kind === CallerKind.Login) {
            const { connectionId } = message as CallerLogin;
            setImmediate(() =>
                frontend.deliver({ kind: CallerKind.LoginResult, connectionId, refusal: undefined } as never)
            );
        }
        if (message.kind === CallerKind.Statement) {
            const { connectionId, sequence, text } = message as CallerStatement;
            texts.push(text);
            const outcome = { kind: OutcomeKind.Done, affectedRows: 0, insertId: 0 };
            setImmediate(() =>
                frontend.deliver(
                    { kind: CallerKind.Answer, connectionId, sequence, outcome, inTransaction: false } as never,
                )
            );
        }
    };
    const frontend = new MysqlFrontend({ host: "127.0.0.1", port: 0, post, serverVersion: "8.0.0", loginLimitMs });
    await frontend.listen();
    return frontend;
}

function packet(sequenceId: number, payload: Buffer): Buffer {
    const header = Buffer.alloc(4);
    header.writeUIntLE(payload.length, 0, 3);
    header[3] = sequenceId;
    return Buffer.concat([header, payload]);
}

const protocol41WithSecureConnection = 0x8200;

function loginPacket(characterSet = 45): Buffer {
    const fixedPart = Buffer.alloc(32);
    fixedPart.writeUInt32LE(protocol41WithSecureConnection, 0);
    fixedPart[8] = characterSet;
    return packet(1, Buffer.concat([fixedPart, Buffer.from("user\0\0", "latin1")]));
}

async function openSocket({ port }: MysqlFrontend): Promise<Socket> {
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => undefined);
    await once(socket, "data");
    return socket;
}

async function logIn(frontend: MysqlFrontend, characterSet?: number): Promise<Socket> {
    const socket = await openSocket(frontend);
    socket.write(loginPacket(characterSet));
    await once(socket, "data");
    return socket;
}

/** Returns the error number of the answer; 0 for one that is no error. */
async function sendStatement(socket: Socket, text: Buffer): Promise<number> {
    socket.write(packet(0, Buffer.concat([Buffer.from([3]), text])));
    const [answer] = await once(socket, "data") as [Buffer];
    return answer[4] === 0xff ? answer.readUInt16LE(5) : 0;
}

const characterSets = { latin1: 8, ascii: 11, sjis: 13, gbk: 28, utf8mb3: 33, utf8mb4: 45, binary: 63 } as const;

describe("packets of callers", () => {
    it("answers EXECUTE as text, so that no caller waits indefinitely", async () => {
        await using frontend = await openFrontend();
        const socket = await logIn(frontend);
        socket.write(packet(0, Buffer.from("\x03EXECUTE s1", "latin1")));
        const [answer] = await Promise.race([once(socket, "data"), delay(5_000, [Buffer.alloc(5)])]) as [Buffer];
        assert.equal(answer[4], 0xff);
        assert.equal(answer.readUInt16LE(5), 1_295);
        socket.destroy();
    });

    it("ends a connection that announces a large packet before its login", async () => {
        await using frontend = await openFrontend();
        const socket = await openSocket(frontend);
        socket.write(Buffer.from([0xff, 0xff, 0xff, 1]));
        const ended = await Promise.race([once(socket, "close").then(() => "closed"), delay(5_000, "still open")]);
        assert.equal(ended, "closed");
    });

    it("ends a connection that does not log in within its time, however it spreads its bytes", async () => {
        await using frontend = await openFrontend(300);
        const socket = await openSocket(frontend);
        const bytes = loginPacket();
        let sent = 0;
        // A byte that crosses the end of the connection is answered with a reset, before the close.
        socket.on("error", () => undefined);
        const closed = new Promise(resolve => socket.once("close", () => resolve("closed")));
        const timer = setInterval(() => socket.write(bytes.subarray(sent, ++sent)), 40);
        const ended = await Promise.race([closed, delay(1_500, "still open")]);
        clearInterval(timer);
        socket.destroy();
        assert.equal(ended, "closed");
    });

    it("finds the packets above the limit for any split into chunks", () => {
        fc.assert(
            fc.property(
                fc.array(fc.nat(40), { maxLength: 8 }),
                fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1, maxLength: 20 }),
                (sizes, chunkSizes) => {
                    const bytes = Buffer.concat(sizes.map((size, index) => packet(index, Buffer.alloc(size, 255))));
                    const guard = new PacketSizeGuard(30);
                    let accepted = true;
                    for (let offset = 0, index = 0; offset < bytes.length && accepted; index++) {
                        const end = offset + chunkSizes[index % chunkSizes.length]!;
                        accepted = guard.accepts(bytes.subarray(offset, end));
                        offset = end;
                    }
                    assert.equal(accepted, sizes.every(size => size <= 30));
                },
            ),
            { seed: 45 },
        );
    });

    it("serves others after any packets before and after the login", async t => {
        for (const method of ["trace", "warn"] as const) {
            t.mock.method(console, method, () => undefined);
        }
        await using frontend = await openFrontend();
        const anyPacket = fc.uint8Array({ maxLength: 60 }).map(payload => packet(0, Buffer.from(payload)));
        const anyBytes = fc.uint8Array({ maxLength: 80 }).map(bytes => Buffer.from(bytes));
        const anyCommand = fc.tuple(fc.constantFrom(0, 2, 3, 4, 9, 14, 17, 22, 23, 25, 28, 31), fc.uint8Array())
            .map(([command, rest]) => packet(0, Buffer.from([command, ...rest])));
        const anyLogin = fc.nat(255).map(characterSet => loginPacket(characterSet));
        await fc.assert(
            fc.asyncProperty(
                fc.oneof(anyLogin, anyPacket, anyBytes),
                fc.array(fc.oneof(anyCommand, anyPacket, anyBytes), { maxLength: 4 }),
                async (login, packets) => {
                    const socket = await openSocket(frontend);
                    socket.on("data", () => undefined);
                    const closed = once(socket, "close");
                    socket.end(Buffer.concat([login, ...packets]));
                    await Promise.race([closed, delay(20)]);
                    socket.destroy();
                },
            ),
            { seed: 46, numRuns: 300 },
        );
        const socket = await logIn(frontend);
        socket.write(packet(0, Buffer.from("\x03SELECT 1", "latin1")));
        const [answer] = await once(socket, "data") as [Buffer];
        assert.equal(answer[4], 0);
        socket.destroy();
    });

    it("passes the bytes of a statement on as they are, or refuses it as not run", async () => {
        // Guards against acknowledged writes of another text than the caller has sent.
        const texts: string[] = [];
        await using frontend = await openFrontend(undefined, texts);
        const anyText = fc.oneof(
            fc.uint8Array({ maxLength: 12 }).map(bytes => Buffer.from(bytes)),
            fc.string({ unit: "grapheme", maxLength: 12 }).map(text => Buffer.from(text)),
        );
        await fc.assert(
            fc.asyncProperty(fc.constantFrom(...Object.values(characterSets)), anyText, async (characterSet, part) => {
                texts.length = 0;
                const bytes = Buffer.concat([Buffer.from("INSERT "), part]);
                const socket = await logIn(frontend, characterSet);
                const errno = await sendStatement(socket, bytes);
                socket.destroy();
                assert.deepEqual(
                    [errno, texts.map(text => Buffer.from(text).toString("hex"))],
                    errno === 0
                        ? [0, [bytes.toString("hex")]]
                        : [1_235, []],
                );
            }),
            { seed: 20261207, numRuns: 300 },
        );
    });

    for (const [name, characterSet] of Object.entries(characterSets)) {
        const isUtf8 = name.startsWith("utf8");
        it(`reads letters as UTF-8 ${isUtf8 ? "" : "only after SET NAMES "}from a caller with ${name}`, async () => {
            const texts: string[] = [];
            await using frontend = await openFrontend(undefined, texts);
            const socket = await logIn(frontend, characterSet);
            const letters = "INSERT 'größe 🌿'";
            assert.equal(await sendStatement(socket, Buffer.from("INSERT 'size'")), 0);
            assert.equal(await sendStatement(socket, Buffer.from(letters)), isUtf8 ? 0 : 1_235);
            assert.equal(await sendStatement(socket, Buffer.from("SET NAMES utf8mb4")), 0);
            assert.equal(await sendStatement(socket, Buffer.from(letters)), 0);
            assert.deepEqual(texts.filter(text => text !== "SET NAMES utf8mb4"), [
                "INSERT 'size'",
                ...isUtf8 ? [letters] : [],
                letters,
            ]);
            socket.destroy();
        });
    }

    it("keeps another character set after a SET NAMES that is refused", async () => {
        await using frontend = new MysqlFrontend({
            host: "127.0.0.1",
            port: 0,
            serverVersion: "8.0.0",
            post: message => {
                if (message.kind === CallerKind.Login) {
                    const { connectionId } = message as CallerLogin;
                    frontend.deliver({ kind: CallerKind.LoginResult, connectionId, refusal: undefined });
                }
                else if (message.kind === CallerKind.Statement) {
                    const { connectionId, sequence } = message as CallerStatement;
                    const refusal = refuse(RefusalCode.StatementUnsupported, "classify");
                    const outcome = { kind: OutcomeKind.Refused, refusal } as const;
                    frontend.deliver({
                        kind: CallerKind.Answer,
                        connectionId,
                        sequence,
                        outcome,
                        inTransaction: false,
                    });
                }
            },
        });
        await frontend.listen();
        const socket = await logIn(frontend, characterSets.latin1);
        assert.equal(await sendStatement(socket, Buffer.from("SET NAMES gbk")), 1_235);
        socket.write(packet(0, Buffer.from("\x03INSERT 'größe'")));
        const [answer] = await once(socket, "data") as [Buffer];
        assert.match(answer.toString("latin1"), /not run: .*step=frontend/);
        socket.destroy();
    });
});
