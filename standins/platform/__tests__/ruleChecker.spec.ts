import "disposablestack/auto";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { DatabaseRole } from "../../../src/model/database.ts";
import type { RouteKind } from "../acknowledgedCommits.ts";
import { AnswerFaults } from "../answerFaults.ts";
import type { ClientAnswer, ClientSession } from "../clientSession.ts";
import { Database } from "../database.ts";
import type { DatabaseConnection } from "../databaseConnection.ts";
import { DatabaseGroup } from "../databaseGroup.ts";
import type { Commit } from "../replicatedLog.ts";
import { noRuleBroken, type Operation, type Rule, RuleChecker } from "../ruleChecker.ts";
import { parseReceived } from "../statementText.ts";
import { lastFieldRoom } from "../wireMessages.ts";

const signature = "i-1.1.ab";

/** A client and two databases, of which only the calls to the checker are played. */
class Scene {
    readonly checker = new RuleChecker();
    readonly group = new DatabaseGroup("ledger");
    readonly primary = this.addDatabase("i-1", DatabaseRole.Primary);
    readonly replica = this.addDatabase("i-2", DatabaseRole.Replica);
    readonly session = { values: new Map(), shapes: new Map() } as unknown as ClientSession;

    operation(id: string, isTransaction = false, kind: RouteKind = { name: "primary" }): Operation {
        return { id, session: this.session, kind, isTransaction, startedAtMs: performance.now() };
    }

    connection(transactionOwner?: string): DatabaseConnection {
        const transaction = transactionOwner === undefined
            ? undefined
            : { isReadOnly: false, writes: ["w"], owner: transactionOwner };
        return { values: new Map(), shapes: new Map(), transaction } as unknown as DatabaseConnection;
    }

    run(id: string, text: string, connection = this.connection()): void {
        this.checker.ran(this.primary, connection, parseReceived(id, text)!);
    }

    commit(id: string): Commit {
        const commit = this.primary.log.append(1, [id]);
        this.checker.committed(commit);
        return commit;
    }

    /** A write that runs, is committed at the primary and acknowledged. */
    write(id: string): void {
        this.checker.ask(id, this.operation(`o-${id}`), "WRITE a b");
        this.run(id, "WRITE a b");
        this.commit(id);
        this.checker.signed(id, signature, []);
        this.checker.answered(id, answer({ signature }), [id]);
    }

    brokenRules(): readonly string[] {
        const { broken } = this.checker.finish(this.group.leader!.log);
        return Object.keys(noRuleBroken).filter(rule => broken[rule as Rule] > 0);
    }

    private addDatabase(id: string, role: DatabaseRole): Database {
        const { group, checker } = this;
        const place = { host: "127.0.0.1", port: 1, dataCentre: "zone-a", controls: () => [] };
        return new Database({ ...place, id, role, group, checker, faults: new AnswerFaults(1) });
    }
}

function answer(parts: Partial<ClientAnswer>): ClientAnswer {
    return { rows: [], signature: undefined, error: undefined, state: "I", ...parts };
}

const cases: readonly { readonly what: string; readonly rule?: Rule; readonly play: (scene: Scene) => void; }[] = [
    { what: "a write that is kept", play: scene => scene.write("w1") },
    {
        what: "the rows of another statement",
        rule: "MIXED",
        play: scene => {
            scene.checker.ask("r1", scene.operation("o1"), "READ a");
            scene.checker.signed("r1", signature, ["1"]);
            scene.checker.answered("r1", answer({ signature, rows: ["2"] }), []);
        },
    },
    {
        what: "a row that is cut in two",
        rule: "MIXED",
        play: scene => {
            scene.checker.ask("r1", scene.operation("o1"), "READ a");
            scene.checker.signed("r1", signature, ["1\n2"]);
            scene.checker.answered("r1", answer({ signature, rows: ["1", "2"] }), []);
        },
    },
    {
        what: "a success without the database's signature",
        rule: "MIXED",
        play: scene => {
            scene.checker.ask("r1", scene.operation("o1"), "READ a");
            scene.checker.answered("r1", answer({ signature: "-" }), []);
        },
    },
    {
        what: "a read in the transaction of another client",
        rule: "PINNED",
        play: scene => {
            scene.checker.ask("r1", scene.operation("o1"), "READ a");
            scene.run("r1", "READ a", scene.connection("o2"));
        },
    },
    {
        what: "a statement outside its transaction",
        rule: "PINNED",
        play: scene => {
            scene.checker.ask("r1", scene.operation("o1", true), "READ a");
            scene.run("r1", "READ a");
        },
    },
    {
        what: "a transaction on two connections",
        rule: "PINNED",
        play: scene => {
            const operation = scene.operation("o1", true);
            scene.checker.ask("r1", operation, "READ a");
            scene.checker.ask("r2", operation, "READ a");
            scene.run("r1", "READ a", scene.connection("o1"));
            scene.run("r2", "READ a", scene.connection("o1"));
        },
    },
    {
        what: "other session values",
        rule: "PINNED",
        play: scene => {
            scene.session.values.set("v", "1");
            scene.checker.ask("r1", scene.operation("o1"), "READ a");
            scene.run("r1", "READ a");
        },
    },
    {
        what: "a session value that holds the names of others",
        rule: "PINNED",
        play: scene => {
            scene.session.values.set("v", "1,w=2");
            scene.checker.ask("r1", scene.operation("o1"), "READ a");
            const connection = scene.connection();
            connection.values.set("v", "1");
            connection.values.set("w", "2");
            scene.run("r1", "READ a", connection);
        },
    },
    {
        what: "another shape under a prepared name",
        rule: "PINNED",
        play: scene => {
            scene.session.shapes.set("s1", "READ q1");
            scene.checker.ask("r1", scene.operation("o1"), "EXECUTE s1 a");
            const connection = scene.connection();
            connection.shapes.set("other", "READ q2");
            scene.run("r1", "EXECUTE other a", connection);
        },
    },
    { what: "a statement that no client sent", rule: "UNASKED", play: scene => scene.run("r1", "READ a") },
    {
        what: "a changed text",
        rule: "UNASKED",
        play: scene => {
            scene.checker.ask("r1", scene.operation("o1"), "READ a");
            scene.run("r1", "READ b");
        },
    },
    {
        what: "operands with a byte more",
        rule: "UNASKED",
        play: scene => {
            scene.session.shapes.set("s1", "READ q1");
            scene.checker.ask("r1", scene.operation("o1"), "EXECUTE s1 a");
            const connection = scene.connection();
            connection.shapes.set("s1", "READ q1");
            scene.run("r1", "EXECUTE s1 a ", connection);
        },
    },
    { what: "a write under the proxy's own id", rule: "UNASKED", play: scene => scene.run("-", "WRITE a b") },
    {
        what: "a statement that is refused as malformed",
        rule: "PROTOCOL",
        play: scene => {
            scene.checker.ask("r1", scene.operation("o1"), "READ a");
            scene.checker.answered("r1", answer({ error: "MALFORMED" }), []);
        },
    },
    {
        what: "a statement that is refused because a position would make it too long",
        play: scene => {
            scene.checker.ask("r1", scene.operation("o1"), `READ ${"a".repeat(lastFieldRoom("QUERY", "r1") - 5)}`);
            scene.checker.answered("r1", answer({ error: "MALFORMED" }), []);
        },
    },
    { what: "what is no message", rule: "PROTOCOL", play: scene => scene.checker.violated("not a message") },
    {
        what: "a commit that the client of the transaction has not asked for",
        rule: "UNASKED",
        play: scene => scene.run("-", "COMMIT", scene.connection("o1")),
    },
    {
        what: "a write that is committed twice",
        rule: "TWICE",
        play: scene => {
            scene.write("w1");
            scene.commit("w1");
        },
    },
    {
        what: "a write that is kept after a promise that it is not",
        rule: "REFUSED",
        play: scene => {
            scene.checker.ask("w1", scene.operation("o1"), "WRITE a b");
            scene.commit("w1");
            scene.checker.answered("w1", answer({ error: "BUSY" }), ["w1"]);
        },
    },
    {
        what: "a write in doubt that is kept",
        play: scene => {
            scene.checker.ask("w1", scene.operation("o1"), "WRITE a b");
            scene.commit("w1");
            scene.checker.answered("w1", answer({ error: "INDOUBT" }), ["w1"]);
        },
    },
    {
        what: "an acknowledged write that was never committed",
        rule: "LOST",
        play: scene => {
            scene.checker.ask("w1", scene.operation("o1"), "WRITE a b");
            scene.checker.signed("w1", signature, []);
            scene.checker.answered("w1", answer({ signature }), ["w1"]);
        },
    },
    {
        what: "an acknowledged write that the promoted database lacks",
        rule: "LOST",
        play: scene => {
            scene.write("w1");
            scene.group.leader = scene.replica;
            scene.checker.promoted(scene.replica);
        },
    },
    {
        what: "a read that lacks an acknowledged write",
        rule: "STALE",
        play: scene => {
            scene.write("w1");
            scene.checker.ask("r1", scene.operation("o1"), "READ a");
            scene.checker.read(scene.replica, "r1");
        },
    },
    {
        what: "a bounded read that lacks a recent write of another session",
        play: scene => {
            scene.write("w1");
            const kind = { name: "bounded", maximumAgeMs: 1_000 } as const;
            scene.checker.ask("r1", scene.operation("o1", false, kind), "READ a");
            scene.checker.read(scene.replica, "r1");
        },
    },
    {
        what: "an own read that lacks a write of its session",
        rule: "STALE",
        play: scene => {
            scene.write("w1");
            const kind = { name: "own", maximumAgeMs: 1_000 } as const;
            scene.checker.ask("r1", scene.operation("o1", false, kind), "READ a");
            scene.checker.read(scene.replica, "r1");
        },
    },
    {
        what: "two holders that order with one token",
        rule: "ONE",
        play: scene => {
            scene.checker.ordered(3, "core-1");
            scene.checker.ordered(3, "core-2");
        },
    },
];

describe("rule checker", () => {
    for (const { what, rule, play } of cases) {
        it(`${rule === undefined ? "accepts" : `tells ${rule} from`} ${what}`, () => {
            const scene = new Scene();
            play(scene);
            assert.deepEqual(scene.brokenRules(), rule === undefined ? [] : [rule]);
        });
    }
});
