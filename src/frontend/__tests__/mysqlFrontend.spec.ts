import "disposablestack/auto";
import mariadb, { type SqlError } from "mariadb";
import mysql from "mysql2/promise";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { setTimeout } from "node:timers/promises";
import {
    type CallerConnected,
    CallerKind,
    type CallerLogin,
    type CallerStatement,
} from "../../model/callerMessages.ts";
import { ClusterKind } from "../../model/clusterMessages.ts";
import { emptyConfiguration } from "../../model/configuration.ts";
import { OutcomeKind } from "../../model/outcome.ts";
import { RefusalCode, refuse } from "../../model/refusal.ts";
import { StatementKind } from "../../model/statement.ts";
import { EventLoop } from "../../pipeline/eventLoop.ts";
import type { Filter } from "../../pipeline/filter.ts";
import type { Message } from "../../pipeline/message.ts";
import { Pipe } from "../../pipeline/pipe.ts";
import { AcceptFilter } from "../../request/accept.ts";
import { AnswerFilter } from "../../request/answer.ts";
import { AuthenticateFilter } from "../../request/authenticate.ts";
import { ClassifyFilter } from "../../request/classify.ts";
import { type AnsweredRequest, type ClassifiedRequest, RequestKind } from "../../request/requestMessages.ts";
import { SystemClock } from "../../wiring/systemClock.ts";
import { MysqlFrontend } from "../mysqlFrontend.ts";
import { doubleSha1Hex, NativePasswordVerifier } from "../proofVerifier.ts";

const keyId = "key-1";
const secret = "a secret of the caller";

/** Replaces the filters behind classification. */
class FakeDatabase implements Filter<ClassifiedRequest, AnsweredRequest> {
    readonly step = "fake";
    readonly accepts = [RequestKind.Classified];
    readonly received: string[] = [];
    private inTransaction = false;

    process(request: ClassifiedRequest): readonly AnsweredRequest[] {
        if (request.statementKind === StatementKind.Begin || request.statementKind === StatementKind.Commit) {
            this.inTransaction = request.statementKind === StatementKind.Begin;
        }
        const { connectionId, sequence } = request;
        this.received.push(request.text);
        const { inTransaction } = this;
        const outcome = this.createOutcome(request);
        return [{
            kind: RequestKind.Answered,
            connectionId,
            sequence,
            outcome,
            inTransaction,
            request,
            startedAtMs: 0,
        }];
    }

    private createOutcome({ statementKind, text }: ClassifiedRequest): AnsweredRequest["outcome"] {
        if (text.includes("missing")) {
            const refusal = refuse(RefusalCode.DatabaseFailed, "execute", {
                detail: "no table größe",
                databaseErrno: 1_146,
            });
            return { kind: OutcomeKind.Refused, refusal };
        }
        if (statementKind === StatementKind.Read) {
            const columns = [
                { name: "id", type: 3, characterSet: 63, flags: 0 },
                { name: "größe", type: 253, characterSet: 45, flags: 0 },
                { name: "photo", type: 252, characterSet: 63, flags: 0 },
            ];
            return { kind: OutcomeKind.Rows, columns, rows: [["1", "grün 🌿", "\xff\x00\x80"], ["2", undefined, ""]] };
        }
        return { kind: OutcomeKind.Done, affectedRows: 3, insertId: 7 };
    }
}

async function withFrontend(
    runTest: (port: number, post: (message: Message) => void, database: FakeDatabase) => Promise<void>,
): Promise<void> {
    const database = new FakeDatabase();
    const verifier = new NativePasswordVerifier();
    const filters = [
        new AcceptFilter({ maximumConnections: 100, maximumStatementBytes: 10_000 }),
        new AuthenticateFilter(verifier),
        new ClassifyFilter(),
        database,
        new AnswerFilter(),
    ];
    const frontend = new MysqlFrontend({
        host: "127.0.0.1",
        port: 0,
        serverVersion: "8.0.0-test",
        post: message => loop.post(message),
    });
    const ignoringSink = { accepts: [RequestKind.SessionEnded], deliver: () => undefined };
    const loop = new EventLoop({
        clock: new SystemClock(),
        pipes: [new Pipe("request", filters)],
        sinks: [frontend, ignoringSink],
    });
    const configuration = {
        ...emptyConfiguration,
        workspaces: [{ name: "shop", ratePerSecond: 1, burst: 1, keyValidityMs: 1e9, version: 1 }],
        keys: [{ id: keyId, workspace: "shop", doubleSha1Hex: doubleSha1Hex(secret), version: 1 }],
    };
    loop.post({ kind: ClusterKind.ConfigurationApplied, configuration } as never);
    loop.post({ kind: ClusterKind.ConfigurationProved, version: 0, provedAtMs: performance.now() } as never);
    await using stack = new AsyncDisposableStack();
    stack.use(loop);
    stack.use(frontend);
    await frontend.listen();
    await runTest(frontend.port, message => loop.post(message), database);
}

const drainStarted = { kind: ClusterKind.DrainStarted, deadlineMs: 1e9 } as Message;

/** Accepts every login, or ends each connection at once with `refusalCode`. */
function createFrontend(
    onStatement: (statement: CallerStatement) => void,
    refusalCode?: RefusalCode,
): MysqlFrontend {
    const frontend: MysqlFrontend = new MysqlFrontend({
        host: "127.0.0.1",
        port: 0,
        serverVersion: "8.0.0-test",
        post: message => {
            if (message.kind === CallerKind.Connected && refusalCode !== undefined) {
                const { connectionId } = message as CallerConnected;
                const refusal = refuse(refusalCode, "accept");
                queueMicrotask(() => frontend.deliver({ kind: CallerKind.Disconnect, connectionId, refusal }));
            }
            else if (message.kind === CallerKind.Login) {
                const { connectionId } = message as CallerLogin;
                frontend.deliver({ kind: CallerKind.LoginResult, connectionId, refusal: undefined });
            }
            else if (message.kind === CallerKind.Statement) {
                onStatement(message as CallerStatement);
            }
        },
    });
    return frontend;
}

interface ErrorLike {
    readonly errno: number;
    readonly message: string;
}

function isNotRun({ errno, message }: ErrorLike): boolean {
    return errno === 1_053 && /not run/.test(message);
}

interface Caller {
    query(text: string): Promise<unknown>;
    on(event: "error", listener: (error: ErrorLike) => void): unknown;
}

const clientLibraries: Readonly<Record<string, (port: number) => Promise<Caller>>> = {
    mysql2: port => mysql.createConnection({ host: "127.0.0.1", port, user: keyId, password: secret }),
    mariadb: port => mariadb.createConnection({ host: "127.0.0.1", port, user: keyId, password: secret }),
};

describe("MySQL front end", () => {
    it("serves rows, errors and an accurate transaction status to a client library other than mysql2", async () => {
        await withFrontend(async port => {
            const caller = await mariadb.createConnection({
                host: "127.0.0.1",
                port,
                user: keyId,
                password: secret,
                database: "boards",
            });
            const rows = await caller.query("SELECT * FROM boards");
            assert.deepEqual([...rows], [
                { id: 1, größe: "grün 🌿", photo: Buffer.from([0xff, 0, 0x80]) },
                // eslint-disable-next-line no-restricted-syntax
                { id: 2, größe: null, photo: Buffer.alloc(0) },
            ]);
            const done = await caller.query("INSERT INTO boards VALUES (1)");
            assert.equal(done.affectedRows, 3);
            await caller.beginTransaction();
            await caller.ping();
            await caller.commit();
            await assert.rejects(caller.query("SELECT * FROM missing /* größe */"), (error: SqlError) => {
                assert.match(error.message, /ran and failed: .*no table größe.*step=execute/);
                return error.errno === 1_146;
            });
            await assert.rejects(
                caller.query("SELECT 1 /*class='unheard'*/"),
                (error: SqlError) => error.errno === 9_002 && /not run/.test(error.message),
            );
            await caller.end();
        });
    });

    it("refuses a wrong secret and an unknown key with the same error", async () => {
        await withFrontend(async port => {
            for (const [user, password] of [[keyId, "wrong"], ["key-2", secret], [keyId, ""]] as const) {
                const options = { host: "127.0.0.1", port, user, password, database: "boards" };
                await assert.rejects(
                    mariadb.createConnection(options),
                    (error: SqlError) => error.errno === 1_045,
                );
            }
        });
    });

    it("answers unsupported commands, so that no client waits indefinitely, without sequence warnings", async t => {
        const warnings = t.mock.method(console, "warn");
        await withFrontend(async port => {
            const caller = await mysql.createConnection({
                host: "127.0.0.1",
                port,
                user: keyId,
                password: secret,
                database: "boards",
            });
            await assert.rejects(caller.execute("SELECT 1"), { errno: 1_295 });
            await assert.rejects(caller.changeUser({ user: "x" }));
            caller.destroy();
            const secondCaller = await mysql.createConnection({
                host: "127.0.0.1",
                port,
                user: keyId,
                password: secret,
            });
            await secondCaller.query("SELECT 1");
            await secondCaller.ping();
            await assert.rejects(secondCaller.query(`SELECT '${"x".repeat(10_000)}'`), { errno: 1_153 });
            await assert.rejects((secondCaller as unknown as { reset(): Promise<void>; }).reset());
            secondCaller.destroy();
        });
        assert.deepEqual(warnings.mock.calls.map(call => call.arguments[0]), []);
    });

    it("continues to serve callers after arbitrary bytes instead of a handshake", async () => {
        await withFrontend(async port => {
            for (let seed = 1; seed <= 40; seed++) {
                const bytes = Buffer.from(
                    Array.from({ length: 64 }, (_, index) => (seed * 31 + index * seed * 7) % 256),
                );
                await sendBytes(port, bytes);
            }
            const caller = await mariadb.createConnection({ host: "127.0.0.1", port, user: keyId, password: secret });
            await caller.query("SELECT 1");
            await caller.end();
        });
    });
});

describe("MySQL front end in a stop", () => {
    for (const [library, connectCaller] of Object.entries(clientLibraries)) {
        it(`answers a statement that crosses with the end of its idle connection as not run (${library})`, async t => {
            // Guards against statements that are read and dropped, so that their caller sees a lost connection only.
            t.mock.method(console, "error", () => undefined);
            await withFrontend(async (port, post, database) => {
                const caller = await connectCaller(port);
                caller.on("error", () => undefined);
                await caller.query("SELECT 1");
                post(drainStarted);
                await assert.rejects(caller.query("SELECT 2"), isNotRun);
                assert.deepEqual(database.received, ["SELECT 1"]);
            });
        });

        it(`answers every statement of a caller that sends the next one at once (${library})`, async t => {
            // Guards against statements that cross with the close after the last answer.
            t.mock.method(console, "error", () => undefined);
            await withFrontend(async (port, post, database) => {
                const caller = await connectCaller(port);
                caller.on("error", () => undefined);
                await caller.query("BEGIN");
                post(drainStarted);
                await caller.query("SELECT 1");
                await caller.query("COMMIT");
                // The library may have read the end of the connection with the answer, and then sends nothing.
                await assert.rejects(
                    caller.query("SELECT 2"),
                    (error: ErrorLike) =>
                        isNotRun(error) || /^(Can't add new command|Cannot execute new commands)/.test(error.message),
                );
                assert.deepEqual(database.received, ["BEGIN", "SELECT 1", "COMMIT"]);
            });
        });

        it(`tells an idle caller why its connection ends (${library})`, async () => {
            await withFrontend(async (port, post) => {
                const caller = await connectCaller(port);
                const ended = new Promise<ErrorLike>(resolve => caller.on("error", resolve));
                post(drainStarted);
                assert.match((await ended).message, /not run: this instance is shutting down; reconnect/);
                await assert.rejects(caller.query("SELECT 1"));
            });
        });

        it(`answers a statement in flight when the process ends (${library})`, async () => {
            // Guards against statements that are cut at the drain limit, or by a second signal.
            const frontend = createFrontend(() => void frontend[Symbol.asyncDispose]());
            await frontend.listen();
            const caller = await connectCaller(frontend.port);
            caller.on("error", () => undefined);
            await assert.rejects(
                caller.query("SELECT 1"),
                (error: ErrorLike) => error.errno === 9_041 && /outcome unknown/.test(error.message),
            );
        });

        it(`answers a statement in flight before it closes its connection (${library})`, async () => {
            // Guards against statements that are read before their key is withdrawn and get no answer.
            await using frontend = createFrontend(({ connectionId, sequence }) => {
                const refusal = refuse(RefusalCode.KeyWithdrawn, "authenticate");
                frontend.deliver({ kind: CallerKind.Disconnect, connectionId, refusal });
                const outcome = { kind: OutcomeKind.Done, affectedRows: 5, insertId: 0 } as const;
                frontend.deliver({ kind: CallerKind.Answer, connectionId, sequence, outcome, inTransaction: false });
            });
            await frontend.listen();
            const caller = await connectCaller(frontend.port);
            const ended = new Promise<ErrorLike>(resolve => caller.on("error", resolve));
            await caller.query("INSERT INTO boards VALUES (1)");
            assert.match((await ended).message, /not run: the key was withdrawn/);
        });

        it(`answers a login that is on its way (${library})`, async () => {
            // Guards against connections that are closed between the greeting and the login.
            await withFrontend(async (port, post) => {
                const connecting = connectCaller(port);
                const refused = assert.rejects(connecting, isNotRun);
                await setTimeout(0);
                post(drainStarted);
                await refused;
            });
        });
    }

    for (const [library, connectCaller] of Object.entries(clientLibraries)) {
        it(`answers the login of a caller above the limit of connections (${library})`, async () => {
            // Guards against connections that are closed between the greeting and the login.
            await using frontend = createFrontend(() => undefined, RefusalCode.Overloaded);
            await frontend.listen();
            await assert.rejects(
                connectCaller(frontend.port),
                (error: ErrorLike) => error.errno === 9_011 && /not run/.test(error.message),
            );
        });
    }

    it("ends a connection whose caller does not log in", { timeout: 10_000 }, async () => {
        await withFrontend(async (port, post) => {
            const socket = connect(port, "127.0.0.1");
            await once(socket, "data");
            post(drainStarted);
            socket.resume();
            await once(socket, "close");
        });
    });
});

function sendBytes(port: number, bytes: Buffer): Promise<void> {
    return new Promise(resolve => {
        const socket = connect(port, "127.0.0.1", () => socket.end(bytes));
        socket.on("data", () => undefined);
        socket.on("error", () => undefined);
        socket.on("close", () => resolve());
    });
}
