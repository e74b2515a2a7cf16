import { assert as check, constantFrom, integer, type JsonValue, jsonValue, property, tuple } from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type FleetFrame, ReportedState } from "../../model/fleetMessages.ts";
import type { PeerQuestion, PeerResult } from "../../model/peerMessages.ts";
import { SessionStatementKind, StatementFault, TaskMode, TransactionState } from "../../model/sessionStatement.ts";
import { decodeFrame, encodeFrame } from "../fleetCodec.ts";
import { decodeJson, encodeJson } from "../logCodec.ts";
import { decodeQuestion, decodeResult, encodeQuestion, encodeResult } from "../taskCodec.ts";

const seed = 20261205;
const numRuns = Number(process.env["MALFORMED_FRAME_RUNS"] ?? 3_000);

const instance = { instanceId: "a", address: "10.0.0.1:1", dataCentre: "dc" };
const report = {
    databaseId: "d1",
    service: "s",
    address: "10.0.0.9:1",
    dataCentre: "dc",
    slots: 3,
    state: ReportedState.Ready,
    leads: true,
    sequence: 7,
    bornUnixMs: 1_700_000_000_000,
};

const frames: readonly FleetFrame[] = [
    { kind: "hello", ...instance, serves: true, leaving: false },
    { kind: "leaving" },
    { kind: "follow_instances", followed: true },
    { kind: "instances", instances: [instance] },
    { kind: "instances_changed", joined: [instance], left: ["b"] },
    {
        kind: "status",
        instanceId: "a",
        leading: true,
        term: 2,
        members: ["10.0.0.1:1"],
        configurationVersion: 4,
        instanceCount: 5,
    },
    { kind: "status_asked" },
    { kind: "configuration", version: 3 },
    { kind: "databases", reports: [report, { ...report, databaseId: "d2", coldLeftMs: 4_000.5 }] },
    { kind: "database_left", databaseId: "d1", bornUnixMs: 1_700_000_000_000 },
    { kind: "database_left", databaseId: "d1", bornUnixMs: undefined },
    { kind: "want", sequence: 4, heard: 3, term: 2, wants: [["w", 1, 2, 3, 4]] },
    { kind: "permits", term: 2, sequence: 4, answers: [["w", 1], ["v", 0, 12.5], ["u", 1, 0, 250_000, 300]] },
    { kind: "cold_want", sequence: 4, wants: [["d1", 3]] },
    { kind: "cold_grant", sequence: 4, validMs: 300, grants: [["d1", 3]] },
    { kind: "suspect", databaseId: "d1" },
    { kind: "assess", databaseId: "d1" },
    { kind: "assessment", databaseId: "d1", answeredAgeMs: 1.5, unansweredAgeMs: undefined },
    { kind: "commits_asked", questionId: "q", service: "s", fence: 3 },
    {
        kind: "commits_seen",
        questionId: "q",
        service: "s",
        highest: { term: 1, offset: 2 },
        sentAgeMs: undefined,
        watchedMs: 9,
    },
];

const questions: readonly PeerQuestion[] = [
    {
        kind: "task",
        taskId: "t1",
        sessionId: "s1",
        service: "s",
        workspace: "w",
        mode: TaskMode.Single,
        statement: {
            kind: SessionStatementKind.Execute,
            id: "5c",
            text: "",
            name: "n",
            argument: "i d",
            prepared: undefined,
        },
        writes: true,
        needsPrimary: true,
        values: [["a", "1"]],
        prepared: { writes: true, shape: "q" },
        databaseId: "d1",
        floor: { term: 3, offset: 9 },
        remainingMs: 500,
    },
    { kind: "abandon", sessionId: "s1", taskId: "t1" },
    { kind: "floor", questionId: "f1", service: "s", workspace: "w", maximumProofAgeMs: 750 },
];

const results: readonly PeerResult[] = [
    {
        kind: "task",
        taskId: "t1",
        reply: {
            rows: ["x y"],
            signature: "7.1",
            fault: StatementFault.Failed,
            detail: "d",
            transaction: TransactionState.Open,
            position: { term: 1, offset: 2 },
            status: undefined,
        },
        fault: undefined,
        sent: true,
        leads: true,
        pinned: false,
    },
    { kind: "floor", questionId: "f1", position: { term: 1, offset: 2 }, proofAgeMs: 3 },
];

interface Format {
    readonly name: string;
    readonly examples: readonly Buffer[];
    readonly decode: (body: Buffer) => unknown;
    readonly encode: (value: never) => { readonly body: Uint8Array; };
}

const formats: readonly Format[] = [
    {
        name: "frames of attachments",
        examples: frames.map(frame => Buffer.from(encodeFrame(frame).body)),
        decode: body => decodeFrame({ body }),
        encode: encodeFrame,
    },
    {
        name: "questions",
        examples: questions.map(question => Buffer.from(encodeQuestion(question).body)),
        decode: body => decodeQuestion({ body }),
        encode: encodeQuestion,
    },
    {
        name: "results",
        examples: results.map(result => Buffer.from(encodeResult(result).body)),
        decode: body => decodeResult({ body }),
        encode: encodeResult,
    },
];

const oddValues = JSON.parse(
    `[null, -1, 0.5, 1e300, "", "x", true, [], {}, [[]], { "kind": "hello" }]`,
) as readonly JsonValue[];

/** Replaces the value at a random place of a JSON document. */
function replaceAt(document: JsonValue, place: number, replacement: JsonValue): JsonValue {
    const places = countPlaces(document);
    let remaining = place % places;
    const walk = (value: JsonValue): JsonValue => {
        remaining -= 1;
        if (remaining === -1) {
            return replacement;
        }
        if (Array.isArray(value)) {
            return value.map(walk);
        }
        return isContainer(value)
            ? Object.fromEntries(Object.entries(value).map(([key, member]) => [key, walk(member as JsonValue)]))
            : value;
    };
    return walk(document);
}

function countPlaces(value: JsonValue): number {
    return isContainer(value)
        ? 1 + Object.values(value).reduce<number>((sum, member) => sum + countPlaces(member as JsonValue), 0)
        : 1;
}

function isContainer(value: JsonValue): value is JsonValue & object {
    return Object(value) === value;
}

describe("messages between instances", () => {
    for (const { name, examples, decode, encode } of formats) {
        it(`${name}: are decoded as they were encoded`, () => {
            for (const example of examples) {
                const encoded = encode(decode(example) as never).body;
                assert.deepEqual(decodeJson(encoded), decodeJson(example));
            }
        });

        // What is accepted is encoded again without loss, so it has the types that the filters rely on.
        it(`${name}: are refused with an error when a value is odd, or hold the types of a valid one`, () => {
            let refused = 0;
            const mutation = tuple(
                constantFrom(...examples),
                integer({ min: 0, max: 1_000 }),
                constantFrom(...oddValues),
            );
            check(
                property(mutation, jsonValue(), ([example, place, odd], random) => {
                    for (const replacement of [odd, random]) {
                        const changed = replaceAt(decodeJson(example) as JsonValue, place, replacement);
                        const body = encodeJson(changed);
                        let decoded: unknown;
                        try {
                            decoded = decode(body);
                        }
                        catch (error) {
                            refused += 1;
                            assert.ok(error instanceof Error && error.message.length > 0);
                            continue;
                        }
                        if (decoded !== undefined) {
                            // The encoding rounds durations, so the second round trip is the first without a change.
                            const again = decode(Buffer.from(encode(decoded as never).body));
                            assert.deepEqual(decode(Buffer.from(encode(again as never).body)), again);
                        }
                    }
                }),
                { seed, numRuns },
            );
            assert.ok(refused > numRuns / 2, `only ${refused} refused`);
        });

        it(`${name}: are refused when they are truncated`, () => {
            for (const example of examples) {
                for (let length = 0; length < example.length; length++) {
                    assert.throws(() => decode(example.subarray(0, length)));
                }
            }
        });
    }

    it("ignores frames of a later release, and fields that it adds", () => {
        assert.equal(decodeFrame({ body: encodeJson({ kind: "later", field: 1 }) }), undefined);
        assert.deepEqual(decodeFrame({ body: encodeJson({ kind: "leaving", field: 1 }) }), { kind: "leaving" });
    });
});
