import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { isSameStatement, parseReceived, parseStatement } from "../statementText.ts";

describe("texts of statements", () => {
    it("hold any bytes in their last field", () => {
        assert.deepEqual(parseStatement("WRITE a  b\nQUERY 1 WRITE c d "), {
            verb: "WRITE",
            fields: ["a", " b\nQUERY 1 WRITE c d "],
        });
        assert.deepEqual(parseStatement("PREPARE s READ q26 READ up"), {
            verb: "PREPARE",
            fields: ["s", "READ", "q26 READ up"],
        });
        assert.deepEqual(parseStatement("SET v "), { verb: "SET", fields: ["v", ""] });
    });

    it("are refused if the protocol has none such", () => {
        for (const text of ["COMMIT x", "BEGIN x", "SET v", "PREPARE s UP q", "READ", "constructor", "WRITE a"]) {
            assert.equal(parseStatement(text), undefined, text);
        }
    });

    it("carry a position before them at databases", () => {
        const { after, text, fields } = parseReceived("1", "AFTER 3.4 READ AFTER 5.6 a")!;
        assert.deepEqual([after, text, fields], ["3.4", "READ AFTER 5.6 a", ["AFTER 5.6 a"]]);
    });

    it("are the same only if nothing but a prepared name differs", () => {
        const isSame = (sent: string, received: string): boolean =>
            isSameStatement(parseStatement(sent)!, parseStatement(received)!);
        assert.ok(isSame("EXECUTE s1 a b", "EXECUTE p7 a b"));
        assert.ok(!isSame("EXECUTE s1 a b", "EXECUTE p7 a b "));
        assert.ok(!isSame("WRITE a b", "WRITE c b"));
        assert.ok(!isSame("SET v 1", "SET w 1"));
    });
});
