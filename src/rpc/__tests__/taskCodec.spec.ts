import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { PeerQuestion, PeerResult } from "../../model/peerMessages.ts";
import { SessionStatementKind, StatementFault, TransactionState } from "../../model/sessionStatement.ts";
import { decodeQuestion, decodeResult, encodeQuestion, encodeResult } from "../taskCodec.ts";

/** Limit of a message between instances (`peerChannel.ts`). */
const maximumFrameBytes = 64 * 1024 * 1024;

const base = { taskId: "t1", sessionId: "s1", service: "s", workspace: "w", mode: "single", remainingMs: 500 } as const;

describe("task codec", () => {
    it("decodes each question as it was encoded", () => {
        const read = {
            kind: SessionStatementKind.Read,
            id: "5c",
            text: "READ 1a4",
            name: "",
            argument: "",
            prepared: undefined,
        };
        const executed = { ...read, kind: SessionStatementKind.Execute, text: "", name: "n", argument: "i d" };
        const questions: readonly PeerQuestion[] = [
            {
                ...base,
                kind: "task",
                statement: read,
                writes: false,
                needsPrimary: false,
                values: [["a", "1 2"]],
                prepared: undefined,
                databaseId: "i-1",
                floor: { term: 3, offset: 9 },
            },
            {
                ...base,
                kind: "task",
                statement: executed,
                writes: true,
                needsPrimary: true,
                values: [],
                prepared: { writes: true, shape: "q" },
                databaseId: "",
                floor: undefined,
            },
            { kind: "abandon", sessionId: "s1", taskId: undefined },
            { kind: "abandon", sessionId: "s1", taskId: "t1" },
            { kind: "floor", questionId: "f1", service: "s", workspace: "w", maximumProofAgeMs: 750 },
            { kind: "members", questionId: "m1" },
        ];
        questions.forEach(question => assert.deepEqual(decodeQuestion(encodeQuestion(question)), question));
    });

    it("passes any bytes of a statement and of a reply", () => {
        // Guards against a text that a database gets through two instances in another form than through one.
        const texts = fc.string({ unit: fc.integer({ min: 0, max: 255 }).map(byte => String.fromCharCode(byte)) });
        const empty = { name: "", argument: "", prepared: undefined };
        fc.assert(
            fc.property(texts, texts, texts, fc.array(texts), (id, first, second, rows) => {
                const write = { ...empty, kind: SessionStatementKind.Write, id, text: first };
                const execute = {
                    ...empty,
                    kind: SessionStatementKind.Execute,
                    id,
                    text: "",
                    name: first,
                    argument: second,
                };
                const task = {
                    ...base,
                    kind: "task",
                    writes: true,
                    needsPrimary: true,
                    values: [[first, second]],
                    databaseId: "d",
                    floor: undefined,
                } as const;
                const questions: readonly PeerQuestion[] = [
                    { ...task, statement: write, prepared: undefined },
                    { ...task, statement: execute, prepared: { writes: true, shape: second } },
                ];
                questions.forEach(question => assert.deepEqual(decodeQuestion(encodeQuestion(question)), question));
                const reply = {
                    rows,
                    signature: `${first}x`,
                    fault: undefined,
                    detail: second,
                    transaction: TransactionState.None,
                    position: undefined,
                    status: undefined,
                };
                const flags = { fault: undefined, sent: true, leads: false, pinned: false };
                const result = { kind: "task", taskId: "t", reply, ...flags } as const;
                assert.deepEqual(decodeResult(encodeResult(result)), result);
            }),
            { seed: 20261207 },
        );
    });

    it("passes the urgency of a task and the load of a database, and does without a load that is out of range", () => {
        const task = {
            ...base,
            kind: "task",
            writes: false,
            needsPrimary: false,
            values: [],
            databaseId: "d",
        } as const;
        const statement = { kind: SessionStatementKind.Read, id: "5c", text: "READ x", name: "", argument: "" };
        const question: PeerQuestion = {
            ...task,
            statement: { ...statement, prepared: undefined },
            prepared: undefined,
            floor: undefined,
            urgency: { priority: 0, objectiveMs: 399 },
        };
        assert.deepEqual(decodeQuestion(encodeQuestion(question)), question);
        const flags = { fault: undefined, sent: true, leads: false, pinned: false };
        const load = {
            expectedWaitsMs: [0, 12, 80],
            window: 6,
            inFlight: 4,
            availableLinks: 17,
            busyShare: 0.25,
            position: { term: 3, offset: 1_209 },
            positionAgeMs: 8,
        };
        const withoutLoad = { kind: "task", taskId: "t", reply: undefined, ...flags } as const;
        const refused = { ...withoutLoad, sent: false, fault: StatementFault.Busy, retryAfterMs: 420 };
        assert.deepEqual(decodeResult(encodeResult(refused)), refused);
        const result = { ...withoutLoad, load };
        const encoded = encodeResult(result);
        assert.deepEqual(decodeResult(encoded), result);
        for (
            const invalid of [{ expectedWaitsMs: [] }, { busyThousandths: 1_001 }, {
                expectedWaitsMs: Array(17).fill(1),
            }]
        ) {
            const frame = { ...encoded, load: { ...encoded.load!, ...invalid } };
            assert.deepEqual(decodeResult(frame), withoutLoad);
        }
    });

    it("passes a statement and a reply of maximum size, whatever their bytes are", () => {
        const text = `WRITE x ${"\0".repeat(1_048_576 - 18)}`;
        const statement = {
            kind: SessionStatementKind.Write,
            id: "5c",
            text,
            name: "",
            argument: "",
            prepared: undefined,
        };
        const task = {
            ...base,
            kind: "task",
            statement,
            prepared: undefined,
            writes: true,
            needsPrimary: true,
        } as const;
        const question: PeerQuestion = { ...task, values: [], databaseId: "d", floor: undefined };
        const encoded = encodeQuestion(question);
        assert.ok(encoded.body.length < maximumFrameBytes);
        assert.deepEqual(decodeQuestion(encoded), question);
        const reply = {
            rows: Array.from({ length: 8 }, () => "\0".repeat(1_048_572 - 64)),
            signature: "7.1",
            fault: undefined,
            detail: "",
            transaction: TransactionState.None,
            position: undefined,
            status: undefined,
        };
        const flags = { fault: undefined, sent: true, leads: false, pinned: false };
        const encodedResult = encodeResult({ kind: "task", taskId: "t", reply, ...flags });
        assert.ok(encodedResult.body.length < maximumFrameBytes, `${encodedResult.body.length}`);
    });

    it("refuses a task that the links could not run", () => {
        // Guards against a frame that ends the process of the instance that receives it.
        const encode = (...fields: readonly unknown[]): { readonly body: Buffer; } => ({
            body: Buffer.from(JSON.stringify(fields)),
        });
        const rest = [0, 0, [], 0, "d", 0, 500];
        const prepared = [0, 0, [], [0, "q"], "d", 0, 500];
        const head = ["t", "s", "s", "w"];
        const invalid = [
            [...head, "single", 0, ...rest],
            [...head, "probe", ["read", "1", "READ x"], ...rest],
            [...head, "probe", 0, ...prepared],
            [...head, "single", ["execute", "1", "n", "i"], ...rest],
            [...head, "single", ["execute", "1", "n"], ...prepared],
            [...head, "single", ["read", "1", "READ x", "y"], ...rest],
        ];
        invalid.forEach(fields => assert.throws(() => decodeQuestion(encode(...fields)), TypeError, `${fields}`));
    });

    it("decodes every flag and fault of a result as it was encoded", () => {
        const reply = {
            rows: ["x y"],
            signature: "7.1",
            fault: undefined,
            detail: "",
            transaction: TransactionState.Open,
            position: { term: 1, offset: 2 },
            status: undefined,
        };
        const results: readonly PeerResult[] = [
            { kind: "task", taskId: "t1", reply, fault: undefined, sent: true, leads: true, pinned: true },
            {
                kind: "task",
                taskId: "t1",
                reply: undefined,
                fault: StatementFault.Busy,
                sent: false,
                leads: false,
                pinned: false,
            },
            { kind: "task", taskId: "t1", reply: undefined, fault: undefined, sent: true, leads: false, pinned: false },
            { kind: "floor", questionId: "f1", position: { term: 1, offset: 2 }, proofAgeMs: 40 },
            { kind: "floor", questionId: "f1", position: undefined, proofAgeMs: 0 },
            { kind: "members", questionId: "m1", addresses: [] },
            { kind: "members", questionId: "m1", addresses: ["10.0.0.1:7560", "10.0.0.2:7560"] },
        ];
        results.forEach(result => assert.deepEqual(decodeResult(encodeResult(result)), result));
    });
});
