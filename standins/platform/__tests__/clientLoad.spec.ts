import "disposablestack/auto";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:net";
import { describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { findFreePorts } from "../../../scripts/processGroup.ts";
import { DatabaseRole } from "../../../src/model/database.ts";
import { AnswerFaults } from "../answerFaults.ts";
import { ClientLoad } from "../clientLoad.ts";
import { ClientSession } from "../clientSession.ts";
import { Database } from "../database.ts";
import { DatabaseGroup } from "../databaseGroup.ts";
import { OddTexts } from "../oddTexts.ts";
import { noRuleBroken, RuleChecker } from "../ruleChecker.ts";

/** Number of odd texts, and of odd rows, that are played; a busy machine takes longer for them. */
const oddCount = 150;
const playLimitMs = 20_000;
const pauseMs = 100;

const host = "127.0.0.1";

describe("clients of the users' platform", () => {
    it("break no rule with odd texts when nothing stands between them and a database", async () => {
        const group = new DatabaseGroup("ledger");
        const checker = new RuleChecker();
        const texts = new OddTexts({ seed: 1, share: 0.5 });
        const [first, second] = await findFreePorts(2);
        const place = { host, dataCentre: "zone-a", controls: () => [], group, checker, texts };
        const faults = new AnswerFaults(1);
        await using primary = new Database({ ...place, id: "i-1", port: first!, role: DatabaseRole.Primary, faults });
        await using replica = new Database({ ...place, id: "i-2", port: second!, role: DatabaseRole.Replica, faults });
        await primary.start();
        await replica.start();
        const load = new ClientLoad({
            seed: 1,
            oddShare: 0.5,
            sessions: 12,
            routes: [{ database: "ledger", kind: { name: "primary" } }],
            port: first!,
            proxies: () => [host],
            key: "tenant",
            checker,
        });
        for (const startMs = performance.now(); performance.now() - startMs < playLimitMs;) {
            await delay(pauseMs);
            if (load.oddCount > oddCount && texts.count > oddCount) {
                break;
            }
        }
        await load.stop();
        const { broken, examples, answers } = checker.finish(primary.log);
        assert.deepEqual(broken, noRuleBroken, examples.join("\n"));
        assert.deepEqual(Object.keys(answers), ["served"]);
        assert.ok(load.oddCount > oddCount && texts.count > oddCount, `${load.oddCount} and ${texts.count} odd texts`);
    });

    const unasked = [
        { text: "ERROR BUSY shutdown", told: [] },
        { text: "COMPLETE -", told: ["COMPLETE \"-\" while nothing was asked"] },
        { text: "READY I 1.1", told: ["READY \"I 1.1\" while nothing was asked"] },
        { text: "ready", told: ["not a message: \"ready\""] },
    ];
    for (const { text, told } of unasked) {
        it(`leave at "${text}" that nobody asked for`, async () => {
            await using proxy = await ScriptedProxy.listen(["READY I -", text]);
            const { session, violations } = await proxy.connect();
            await session.closed();
            assert.deepEqual(violations, told);
        });
    }

    const disordered = [
        ["ROW a"],
        ["COMPLETE -", "ROW a"],
        ["COMPLETE -", "ERROR BUSY b"],
        ["READY I 1.1"],
        ["COMPLETE -", "READY X 1.1"],
    ];
    for (const lines of disordered) {
        it(`take "${lines.join(", ")}" for no answer to a statement`, async () => {
            await using proxy = await ScriptedProxy.listen(["READY I -"], [...lines, "READY I 1.1"]);
            const { session, violations } = await proxy.connect();
            assert.equal((await session.query("1", "READ a")).error, "malformed");
            assert.equal(violations.length, 1);
            await session.closed();
        });
    }
});

/** Answers each message of a client with the lines that were given for it. */
class ScriptedProxy implements AsyncDisposable {
    private readonly server: Server;
    private readonly port: number;

    private constructor(port: number, answers: readonly (readonly string[])[]) {
        this.port = port;
        this.server = createServer(socket => {
            const waiting = [...answers];
            socket.on("error", () => undefined);
            socket.on("data", () => socket.write((waiting.shift() ?? []).map(line => `${line}\r\n`).join("")));
        });
    }

    static async listen(...answers: readonly (readonly string[])[]): Promise<ScriptedProxy> {
        const [port] = await findFreePorts(1);
        const proxy = new ScriptedProxy(port!, answers);
        proxy.server.listen(port, host);
        await once(proxy.server, "listening");
        return proxy;
    }

    /** Opens a session that keeps what it finds wrong. */
    async connect(): Promise<{ readonly session: ClientSession; readonly violations: readonly string[]; }> {
        const violations: string[] = [];
        const address = { host, port: this.port, database: "ledger", key: "tenant" };
        const session = await ClientSession.open(address, { onViolation: text => violations.push(text) });
        return { session: session!, violations };
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await new Promise(resolve => this.server.close(resolve));
    }
}
