import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { memoizeEncoder } from "../memoizeEncoder.ts";

describe("memoized encoder", () => {
    it("encodes a value once, even if other values are encoded in between", () => {
        let encodeCount = 0;
        const encode = memoizeEncoder(({ name }: { readonly name: string; }) => {
            encodeCount += 1;
            return name;
        });
        const list = { name: "list" };
        const answers = ["a", "b", "c"].map(name => ({ name }));
        assert.deepEqual(answers.flatMap(answer => [encode(list), encode(answer)]), [
            "list",
            "a",
            "list",
            "b",
            "list",
            "c",
        ]);
        assert.equal(encodeCount, 4);
    });
});
