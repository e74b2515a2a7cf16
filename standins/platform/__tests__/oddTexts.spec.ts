import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { OddTexts } from "../oddTexts.ts";
import { encodeMessage, lastFieldRoom, maximumMessageBytes, MessageKind } from "../wireMessages.ts";

const seed = 20261207;

describe("odd texts", () => {
    it("are the same for the same seed, fit a message, and are cut without a change", () => {
        const draw = (): readonly string[] => {
            const texts = new OddTexts({ seed, share: 0.9 });
            return Array.from({ length: 2_000 }, () => {
                const text = texts.replace("plain", lastFieldRoom(MessageKind.Row));
                const bytes = encodeMessage(MessageKind.Row, text);
                assert.ok(Buffer.concat(texts.cut(bytes)).equals(bytes));
                return text;
            });
        };
        const drawn = draw();
        assert.deepEqual(draw(), drawn);
        assert.ok(drawn.some(text => text === ""));
        assert.ok(drawn.some(text => text.length > maximumMessageBytes - 300));
        assert.ok(drawn.some(text => /\n(QUERY|COMPLETE|READY) /.test(text)));
        assert.equal(new Set(drawn.join("")).size, 256);
    });

    it("are none at a share of 0", () => {
        const texts = new OddTexts({ seed, share: 0 });
        assert.equal(texts.extend("plain", 10), "plain");
        assert.deepEqual(texts.cut(Buffer.from("plain")), [Buffer.from("plain")]);
        assert.equal(texts.count, 0);
    });
});
