import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { SessionKind } from "../../model/sessionMessages.ts";
import {
    type SessionStatement,
    SessionStatementKind,
    StatementFault,
    TransactionState,
} from "../../model/sessionStatement.ts";
import { RouteConsistency } from "../../model/trafficPolicy.ts";
import { defaultSessionLimits, detachText, SessionMemory } from "../sessionLimits.ts";
import { position, route, SessionFixture, statement } from "./sessionFixture.ts";

const { maximumNames, contextBytes, queuedBytes, totalBytes } = defaultSessionLimits;

function setValue(name: string, argument: string): SessionStatement {
    return {
        kind: SessionStatementKind.SetValue,
        id: "i",
        text: `SET ${name} ${argument}`,
        name,
        argument,
        prepared: undefined,
    };
}

function prepare(name: string, shape: string): SessionStatement {
    const text = `PREPARE ${name} READ ${shape}`;
    const prepared = { writes: false, shape };
    return { kind: SessionStatementKind.Prepare, id: "i", text, name, argument: "", prepared };
}

function deallocate(name: string): SessionStatement {
    const text = `DEALLOC ${name}`;
    return { kind: SessionStatementKind.Deallocate, id: "i", text, name, argument: "", prepared: undefined };
}

function write(bytes: number): SessionStatement {
    return { ...statement(SessionStatementKind.Write, "w"), text: `WRITE a ${"x".repeat(bytes)}` };
}

function fixtureWithSessions(...sessionIds: readonly string[]): SessionFixture {
    const fixture = new SessionFixture(1_000);
    fixture.configure(route(RouteConsistency.Primary, "orders"));
    fixture.reportDatabase("p", true);
    sessionIds.forEach(sessionId => fixture.connect(sessionId, "orders"));
    return fixture;
}

describe("limits of sessions", () => {
    it("refuses names beyond the limit, keeps the session, and accepts a name again after DEALLOC", () => {
        const fixture = fixtureWithSessions("s1");
        for (let index = 0; index < 2 * maximumNames; index++) {
            fixture.request("s1", setValue(`v${index}`, "x"));
            fixture.request("s1", prepare(`p${index}`, "q1"));
        }
        const refused = fixture.answers.filter(({ answer }) => answer.fault === StatementFault.Malformed);
        assert.equal(fixture.answers.length, 4 * maximumNames);
        assert.equal(refused.length, 2 * maximumNames);
        fixture.request("s1", setValue("v0", "replaced"));
        assert.equal(fixture.lastFault(), undefined);
        fixture.request("s1", deallocate("p0"));
        fixture.request("s1", prepare("other", "q1"));
        assert.equal(fixture.lastFault(), undefined);
        assert.deepEqual(fixture.otherMessages.filter(({ kind }) => kind === SessionKind.Close), []);
    });

    it("refuses values and shapes that exceed the bytes of a session, and frees those of replaced ones", () => {
        const fixture = fixtureWithSessions("s1");
        fixture.request("s1", setValue("v", "x".repeat(contextBytes)));
        assert.equal(fixture.lastFault(), StatementFault.Malformed);
        for (let round = 0; round < 10; round++) {
            fixture.request("s1", setValue("v", "x".repeat(contextBytes / 2)));
            assert.equal(fixture.lastFault(), undefined);
        }
        fixture.request("s1", prepare("p", "x".repeat(contextBytes / 2)));
        assert.equal(fixture.lastFault(), StatementFault.Malformed);
        fixture.request("s1", setValue("v", ""));
        fixture.request("s1", prepare("p", "x".repeat(contextBytes / 2)));
        assert.equal(fixture.lastFault(), undefined);
    });

    it("keeps two values and two queued statements of the maximum size of a message", () => {
        const messageBytes = 1_048_576;
        const fixture = fixtureWithSessions("s1");
        for (const name of ["a", "b"]) {
            const value = "x".repeat(messageBytes - `QUERY i SET ${name} `.length);
            fixture.request("s1", setValue(name, value));
            assert.equal(fixture.lastFault(), undefined);
        }
        fixture.connect("s2", "orders");
        for (let index = 0; index < 3; index++) {
            fixture.request("s2", write(messageBytes - "QUERY w WRITE a ".length));
        }
        for (let index = 0; index < 3; index++) {
            fixture.openLinks();
            fixture.reply("l0", { position: position(1, index + 1) });
        }
        assert.deepEqual(fixture.answers.slice(2).map(({ answer }) => answer.fault), [undefined, undefined, undefined]);
    });

    it("refuses queued statements beyond the bytes in their turn, without running them", () => {
        const fixture = fixtureWithSessions("s1");
        const size = queuedBytes / 4;
        for (let index = 0; index < 8; index++) {
            fixture.request("s1", write(size));
        }
        for (let index = 0; index < 8; index++) {
            fixture.openLinks();
            fixture.reply("l0", { position: position(1, index + 1) });
        }
        const faults = fixture.answers.map(({ answer }) => answer.fault);
        assert.equal(faults.length, 8);
        assert.equal(faults.filter(fault => fault === undefined).length, 4);
        assert.equal(fixture.sent.length, 4);
        assert.deepEqual(faults.slice(4), Array.from({ length: 4 }, () => StatementFault.Busy));
    });

    it("fails a transaction whose statement was not kept, so that its COMMIT keeps nothing", () => {
        const fixture = fixtureWithSessions("s1");
        fixture.request("s1", statement(SessionStatementKind.Begin, "b"));
        fixture.request("s1", write(10));
        fixture.request("s1", write(queuedBytes));
        fixture.request("s1", statement(SessionStatementKind.Commit, "c"));
        fixture.openLinks();
        fixture.reply("l0", { transaction: TransactionState.Open, position: position(1, 1) });
        fixture.reply("l0", { transaction: TransactionState.Open, position: position(1, 1) });
        assert.deepEqual(fixture.answers.slice(2).map(({ answer }) => answer.fault), [
            StatementFault.Aborted,
            StatementFault.Aborted,
        ]);
        assert.ok(!fixture.sent.some(({ command }) => "statement" in command && command.statement.id === "c"));
    });

    it("keeps less than the total of a process whatever its callers send, and still serves small ones", () => {
        const callers = Array.from({ length: 208 }, (_, index) => `s${index}`);
        const fixture = fixtureWithSessions(...callers, "small");
        for (const caller of callers) {
            fixture.request(caller, setValue("v", "x".repeat(contextBytes - 1_000)));
            for (let index = 0; index < 3; index++) {
                fixture.request(caller, write(1_000_000));
            }
        }
        assert.ok(fixture.sessions.keptBytes <= totalBytes, `${fixture.sessions.keptBytes} bytes`);
        assert.ok(fixture.answers.some(({ answer }) => answer.fault === StatementFault.Busy));
        fixture.request("small", setValue("v", "x"));
        assert.equal(fixture.lastFault(), undefined);
        fixture.request("small", write(100));
        assert.notEqual(fixture.answers.at(-1)!.answer.fault, StatementFault.Busy);
        callers.forEach(sessionId => fixture.post({ kind: SessionKind.Closed, sessionId } as never));
        assert.ok(fixture.sessions.keptBytes < 10_000, `${fixture.sessions.keptBytes} bytes after the sessions ended`);
    });

    it("limits what sessions keep that wait for a configuration, and serves small ones after it", () => {
        const fixture = new SessionFixture(1_000);
        const callers = Array.from({ length: 100 }, (_, index) => `s${index}`);
        for (const caller of [...callers, "small"]) {
            fixture.connect(caller, "orders");
            for (let index = 0; index < (caller === "small" ? 1 : 8); index++) {
                fixture.request(caller, caller === "small" ? setValue("v", "x") : write(1_000_000));
            }
        }
        const refused = fixture.otherMessages.filter(({ kind }) => kind === SessionKind.Refuse);
        assert.equal(refused.length, 100);
        assert.ok(fixture.access.keptBytes <= totalBytes, `${fixture.access.keptBytes} bytes`);
        fixture.configure(route(RouteConsistency.Primary, "orders"));
        assert.deepEqual(fixture.answers.map(({ sessionId, answer }) => [sessionId, answer.fault]), [[
            "small",
            undefined,
        ]]);
        assert.equal(fixture.access.keptBytes, 0);
    });

    it("limits the names and keys that sessions keep", () => {
        const fixture = fixtureWithSessions();
        fixture.configure({ ...route(RouteConsistency.Primary, "orders"), open: true });
        const callers = Array.from({ length: 2_000 }, (_, index) => `s${index}`);
        callers.forEach(caller => fixture.connect(caller, "orders", "k".repeat(65_536)));
        const refused = fixture.otherMessages.filter(({ kind }) => kind === SessionKind.Refuse);
        assert.ok(refused.length > 1_000, `${refused.length} sessions refused`);
        assert.ok(fixture.sessions.keptBytes <= totalBytes, `${fixture.sessions.keptBytes} bytes`);
        fixture.connect("small", "orders");
        fixture.request("small", setValue("v", "x"));
        assert.equal(fixture.lastFault(), undefined);
    });

    it("does not keep a message alive of which a session keeps a short value", () => {
        setFlagsFromString("--expose-gc");
        const collectGarbage = runInNewContext("gc") as () => void;
        const kept: string[] = [];
        collectGarbage();
        const beforeBytes = process.memoryUsage().heapUsed;
        for (let index = 0; index < 64; index++) {
            const message = Buffer.alloc(1_048_576, 97).toString("latin1");
            kept.push(detachText(message.slice(100, 200)));
        }
        collectGarbage();
        const growthBytes = process.memoryUsage().heapUsed - beforeBytes;
        assert.ok(growthBytes < 8 * 1_048_576, `${growthBytes} bytes for ${kept.join("").length}`);
    });

    it("releases exactly what was added, for any order of additions", () => {
        const step = fc.record({
            session: fc.constantFrom("a", "b", "c"),
            bytes: fc.nat(60_000_000),
            ends: fc.boolean(),
        });
        fc.assert(
            fc.property(fc.array(step), steps => {
                const memory = new SessionMemory(defaultSessionLimits);
                for (const { session, bytes, ends } of steps) {
                    memory.tryAdd(session, bytes);
                    assert.ok(memory.totalBytes <= totalBytes + 3 * defaultSessionLimits.guaranteedBytes);
                    if (ends) {
                        memory.releaseSession(session);
                    }
                }
                ["a", "b", "c"].forEach(session => memory.releaseSession(session));
                assert.equal(memory.totalBytes, 0);
            }),
            { seed: 44 },
        );
    });
});
