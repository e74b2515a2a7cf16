import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type LinkCommand, LinkCommandKind } from "../../model/linkMessages.ts";
import {
    emptySessionContext,
    type PreparedStatement,
    type SessionContext,
    SessionStatementKind,
    TaskMode,
} from "../../model/sessionStatement.ts";
import { Link } from "../link.ts";
import type { LinkTask } from "../taskMessages.ts";
import { statement } from "./sessionFixture.ts";

const seed = 20261207;

const execute = statement(SessionStatementKind.Execute, "e", { name: "n", argument: "item" });

function newLink(): Link {
    return new Link({ linkId: "l1", databaseId: "d", workspace: "w" });
}

function contextWith(prepared: PreparedStatement): SessionContext {
    return { ...emptySessionContext, prepared: new Map([["n", prepared]]) };
}

/** Returns the commands that run a prepared statement on a link. */
function commandsOf(link: Link, prepared: PreparedStatement): readonly LinkCommand[] {
    const context = contextWith(prepared);
    const task: LinkTask = {
        taskId: "t",
        sessionId: "s",
        service: "s",
        workspace: "w",
        mode: TaskMode.Single,
        statement: execute,
        writes: prepared.writes,
        needsPrimary: true,
        context,
        deadlineMs: 1_000,
    };
    return [...link.preludeCommands(context, execute), link.statementCommand({ task, floor: undefined })];
}

describe("prepared statements on a link", () => {
    it("never share a name, whatever their texts are", () => {
        // Guards against a text that the database reads as another name and another text.
        const words = fc.constantFrom("READ", "WRITE", "r_q1", "w_", "q1", " ", "q2", "p1", "\n", "AFTER");
        const shapes = fc.array(words, { minLength: 1, maxLength: 5 }).map(parts => parts.join(""));
        const texts = fc.array(fc.record({ writes: fc.boolean(), shape: shapes }, { noNullPrototype: true }), {
            minLength: 1,
            maxLength: 300,
        });
        fc.assert(
            fc.property(texts, used => {
                const link = newLink();
                const known = new Map<string, PreparedStatement>();
                for (const prepared of used) {
                    for (const command of commandsOf(link, prepared)) {
                        switch (command.kind) {
                            case LinkCommandKind.Reset:
                                known.clear();
                                break;
                            case LinkCommandKind.Prepare:
                                assert.match(command.name, /^p\d+$/);
                                assert.ok(!known.has(command.name), `${command.name} is prepared twice`);
                                known.set(command.name, command.prepared);
                                break;
                            case LinkCommandKind.Execute:
                                assert.deepEqual(known.get(command.name), prepared);
                                break;
                            default:
                                assert.fail(command.kind);
                        }
                    }
                }
            }),
            { seed },
        );
    });

    it("are prepared once, and again after a reset", () => {
        const link = newLink();
        const kinds = (prepared: PreparedStatement): readonly string[] =>
            commandsOf(link, prepared).map(({ kind }) => kind);
        const { Prepare, Execute, Reset } = LinkCommandKind;
        assert.deepEqual(kinds({ writes: false, shape: "q1" }), [Prepare, Execute]);
        assert.deepEqual(kinds({ writes: false, shape: "q1" }), [Execute]);
        assert.deepEqual(kinds({ writes: true, shape: "q1" }), [Prepare, Execute]);
        Array.from({ length: 255 }, (_, index) => kinds({ writes: false, shape: `other${index}` }));
        assert.deepEqual(kinds({ writes: false, shape: "q1" }), [Reset, Prepare, Execute]);
    });

    it("occupy a limited number of bytes", () => {
        const link = newLink();
        const shapes = Array.from({ length: 8 }, (_, index) => `${index}`.repeat(600_000));
        const resets = shapes.flatMap(shape => commandsOf(link, { writes: false, shape }))
            .filter(({ kind }) => kind === LinkCommandKind.Reset);
        assert.equal(resets.length, 3);
    });
});
