import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { match as matchOfTsPattern, P as patternsOfTsPattern } from "ts-pattern";
import { match, P } from "../match.ts";

/** Evaluates the same branches with the given implementation. */
function branch(
    { match: matchWith, P: patterns }: { match: typeof match; P: typeof P; },
    value: unknown,
): string {
    return matchWith(value)
        .with({ kind: "a", frame: { kind: "x" } }, () => "nested")
        .with({ kind: "a", frame: patterns.any }, () => "any")
        .with({ kind: "b", address: undefined }, () => "undefined")
        .with({ kind: "b", address: patterns.string }, () => "string")
        .with({ kind: patterns.union("c", "d") }, { kind: "e" }, ({ kind }) => `union ${kind}`)
        .with({ kind: "f", frame: { kind: patterns.union("x", "y") } }, () => "nested union")
        .with("text", () => "literal")
        .with(patterns.union("one", undefined), () => "literal union")
        .otherwise(() => "otherwise");
}

const word = fc.constantFrom("a", "b", "c", "d", "e", "f", "x", "y", "text", "one", undefined, 1);
const frame = fc.oneof(word, fc.record({ kind: word }, { requiredKeys: [] }));
const message = fc.oneof(word, fc.record({ kind: word, frame, address: word }, { requiredKeys: [] }));

describe("match", () => {
    it("takes the same branch as ts-pattern", () => {
        fc.assert(
            fc.property(message, value => {
                const expected = branch({ match: matchOfTsPattern, P: patternsOfTsPattern }, value);
                assert.equal(branch({ match, P }, value), expected);
            }),
            { numRuns: 2_000 },
        );
    });

    it("evaluates the first handler that matches, once", () => {
        const calls: string[] = [];
        const result = match<{ kind: string; }, number>({ kind: "a" })
            .with({ kind: "a" }, () => calls.push("first"))
            .with({ kind: "a" }, () => calls.push("second"))
            .otherwise(() => calls.push("otherwise"));
        assert.equal(result, 1);
        assert.deepEqual(calls, ["first"]);
    });

    it("names the kind of a message without a branch, and nothing else of it", () => {
        const value = { kind: "unknown", key: "secret" } as unknown as { kind: "a"; };
        assert.throws(() => match(value).with({ kind: "a" }, () => 1).exhaustive(), {
            message: "no branch for unknown",
        });
    });
});
