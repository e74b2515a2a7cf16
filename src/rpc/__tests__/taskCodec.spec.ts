import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { PeerQuestion, PeerResult } from "../../model/peerMessages.ts";
import { SessionStatementKind, StatementFault, TransactionState } from "../../model/sessionStatement.ts";
import { decodeQuestion, decodeResult, encodeQuestion, encodeResult } from "../taskCodec.ts";

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
