import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { memoizeEncoder } from "../memoizeEncoder.ts";

describe("encoding for many receivers", () => {
    it("encodes a value once although others are encoded in between", () => {
        let encodings = 0;
        const encode = memoizeEncoder(({ name }: { readonly name: string; }) => {
            encodings += 1;
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
        assert.equal(encodings, 4);
    });
});
