import fc from "fast-check";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:net";
import { describe, it } from "node:test";
import { setImmediate, setTimeout } from "node:timers/promises";
import { LinkKind } from "../../model/linkMessages.ts";
import { SessionKind } from "../../model/sessionMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { WireClient } from "../../platform/wireClient.ts";
import { BoundaryCaller, WireWorld } from "./wireWorld.ts";

const seed = 20261207;

/** Bytes that could be read as structure, among any others. */
const bytes = fc.oneof(
    {
        weight: 6,
        arbitrary: fc.constantFrom(" ", "\r", "\n", "READ", "QUERY 9 ", "COMPLETE x", "READY I 1.1", "AFTER 1.1 "),
    },
    { weight: 2, arbitrary: fc.constantFrom("-", "a", "q1", "p1", "\0") },
    { weight: 2, arbitrary: fc.integer({ min: 0, max: 255 }).map(byte => String.fromCharCode(byte)) },
);
const texts = fc.array(bytes, { maxLength: 8 }).map(parts => parts.join("")).filter(isOneField);
const verbs = fc.constantFrom(
    "READ ",
    "WRITE ",
    "SET v ",
    "PREPARE n READ ",
    "PREPARE n WRITE ",
    "EXECUTE n ",
    "DEALLOC ",
    "",
);
const chunkSizes = fc.array(fc.integer({ min: 1, max: 12 }), { maxLength: 4 });

function isOneField(text: string): boolean {
    return !text.includes("\r\n") && !text.endsWith("\r");
}

/** What a caller has set on its session, by its own reading of the protocol. */
class Expectation {
    private readonly values = new Map<string, string>();
    private readonly shapes = new Map<string, string>();

    /** Returns how the database must see a statement that succeeded; undefined if it must not see it. */
    record(text: string): { readonly text: string; readonly values: readonly string[]; } | undefined {
        const match = /^(\S+) ([^ ]+) ([^]*)$/.exec(text);
        if (match?.[1] === "SET") {
            this.values.set(match[2]!, match[3]!);
        }
        if (match?.[1] === "PREPARE") {
            this.shapes.set(match[2]!, match[3]!);
        }
        const values = [...this.values].map(([name, value]) => `${name} ${value}`).sort();
        switch (text.slice(0, text.indexOf(" "))) {
            case "READ":
            case "WRITE":
                return { text, values };
            case "EXECUTE":
                return { text: `EXECUTE <${this.shapes.get(match![2]!)}> ${match![3]}`, values };
            default:
                return undefined;
        }
    }
}

let nextId = 0;

/** Sends a statement and checks what the database ran and what the caller received. */
async function checkStatement(
    world: WireWorld,
    caller: BoundaryCaller,
    expectation: Expectation,
    statement: { readonly text: string; readonly idSuffix: string; readonly chunkBytes: readonly number[]; },
): Promise<void> {
    const { text, idSuffix, chunkBytes } = statement;
    const id = `${nextId++}${idSuffix}`;
    const { database } = world;
    const runBefore = database.run.length;
    const { rows, outcome, isClosed } = await caller.ask(`QUERY ${id} ${text}`, chunkBytes);
    assert.equal(isClosed, false);
    const run = database.run.slice(runBefore);
    if (outcome === "COMPLETE -") {
        assert.equal(expectation.record(text), undefined);
        assert.deepEqual([run, rows], [[], []]);
    }
    else if (outcome!.startsWith("COMPLETE ")) {
        assert.deepEqual(run, [{ id, ...expectation.record(text) }]);
        assert.equal(outcome, `COMPLETE ${database.signatureOf(id)}`);
        assert.deepEqual(rows, database.rows);
    }
    else {
        // A busy machine may not answer in time.
        assert.match(outcome!, /^ERROR (MALFORMED|UNKNOWN|BUSY) /);
        assert.deepEqual(run, []);
    }
}

describe("the boundary of the wire protocol", () => {
    it("passes statements, rows and signatures byte for byte, through one proxy and through two", async () => {
        // Guards against text of a caller or of a row that is read as structure on any part of its way.
        await using world = await WireWorld.start();
        const statements = fc.array(
            fc.record(
                {
                    text: fc.tuple(verbs, texts).map(([verb, text]) => verb + text).filter(isOneField),
                    idSuffix: fc.constantFrom("", "\n", "\r", "\xff", "-"),
                    chunkBytes: chunkSizes,
                },
                { noNullPrototype: true },
            ),
            { minLength: 1, maxLength: 6 },
        );
        let served = 0;
        await fc.assert(
            fc.asyncProperty(statements, fc.array(texts, { maxLength: 3 }), async (sent, rows) => {
                world.database.rows = rows;
                for (const caller of await world.openCallers()) {
                    const expectation = new Expectation();
                    for (const statement of sent) {
                        await checkStatement(world, caller, expectation, statement);
                    }
                    caller.socket.destroy();
                }
                assert.deepEqual(world.database.complaints, []);
                served = world.database.run.length;
            }),
            { seed, numRuns: 100 },
        );
        assert.ok(served > 100, `${served} statements`);
        assert.ok(world.passedTasks > 50, `${world.passedTasks} passed`);
    });

    it("answers any bytes of a caller without a second session, and serves the next caller", async () => {
        // Guards against a process that ends, and a session that is opened by the text of another one.
        await using world = await WireWorld.start();
        const streams = fc.array(fc.oneof(bytes, fc.constantFrom("\r\n", "CONNECT orders k", "QUIT")), {
            maxLength: 20,
        });
        await fc.assert(
            fc.asyncProperty(streams, fc.boolean(), async (parts, connects) => {
                const [proxy] = world.proxies;
                const before = proxy!.posted.filter(({ kind }) => kind === SessionKind.Opened).length;
                const [caller, other] = await world.openCallers();
                caller!.socket.destroy();
                other!.socket.write(Buffer.from(`${parts.join("")}\r\n`, "latin1"));
                const raw = (await world.openCallers())[0]!;
                raw.socket.write(Buffer.from(`${connects ? "" : "\r\n"}${parts.join("")}\r\n`, "latin1"));
                raw.socket.end();
                await new Promise(resolve => raw.socket.once("close", resolve));
                other!.socket.destroy();
                assert.equal(proxy!.posted.filter(({ kind }) => kind === SessionKind.Opened).length, before + 2);
            }),
            { seed, numRuns: 60 },
        );
        const [caller] = await world.openCallers();
        assert.match((await caller!.ask("QUERY last READ x")).outcome!, /^COMPLETE 1\.last/);
        caller!.socket.destroy();
    });

    it("leaves connections to the callers of others, however many sessions one key opens, and counts none twice", async () => {
        await using world = await WireWorld.start(20);
        const { port } = world.proxies[0]!.server;
        for (let round = 0; round < 3; round++) {
            const many = Array.from({ length: 40 }, () => new BoundaryCaller(port));
            const answers = await Promise.all(many.map(caller => caller.ask("CONNECT orders k")));
            assert.equal(answers.filter(({ isClosed }) => !isClosed).length, 18);
            const other = new BoundaryCaller(port);
            assert.equal((await other.ask("CONNECT orders kv")).isClosed, false);
            [...many, other].forEach(({ socket }) => socket.destroy());
            await setTimeout(50);
        }
    });

    it("closes the connection of a caller whose message does not end", async () => {
        await using world = await WireWorld.start();
        const [caller, other] = await world.openCallers();
        const closed = new Promise(resolve => caller!.socket.once("close", resolve));
        const chunk = Buffer.alloc(65_536, "QUERY 1 READ x\n");
        for (let sent = 0; sent < 40 && !caller!.socket.destroyed; sent++) {
            await new Promise(resolve => caller!.socket.write(chunk, resolve));
        }
        await closed;
        other!.socket.destroy();
        assert.deepEqual(world.database.run, []);
    });

    it("survives any bytes of a database, and reports the end of its link once", async () => {
        const replies = fc.array(
            fc.oneof(
                bytes,
                fc.constantFrom(
                    "\r\n",
                    "ROW x\r\n",
                    "COMPLETE a\r\n",
                    "READY I 1.1\r\n",
                    "ERROR BUSY x\r\n",
                    "READY X \r\n",
                ),
            ),
            { maxLength: 20 },
        );
        await fc.assert(
            fc.asyncProperty(replies, async parts => {
                const server = createServer(socket => {
                    socket.on("error", () => undefined);
                    socket.end(Buffer.from(parts.join(""), "latin1"));
                });
                server.listen(0, "127.0.0.1");
                await once(server, "listening");
                const posted: Message[] = [];
                await using client = new WireClient({ post: message => posted.push(message) });
                const { port } = server.address() as { readonly port: number; };
                const open = {
                    kind: LinkKind.Open,
                    linkId: "l",
                    service: "s",
                    workspace: "w",
                    databaseId: "d",
                } as const;
                client.deliver({ ...open, address: `127.0.0.1:${port}` });
                while (posted.at(-1)?.kind !== LinkKind.Lost) {
                    await setImmediate();
                }
                server.close();
                const kinds = posted.map(({ kind }) => kind);
                assert.equal(kinds.filter(kind => kind === LinkKind.Lost).length, 1);
                assert.ok(kinds.filter(kind => kind === LinkKind.Opened).length <= 1);
                assert.equal(kinds.at(-1), LinkKind.Lost);
            }),
            { seed, numRuns: 100 },
        );
    });
});
