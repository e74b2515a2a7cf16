import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { runCtl } from "../ctlCommand.ts";
import { ExitCode } from "../exitCode.ts";
import { escapeControls } from "../terminalText.ts";
import { renderTable } from "../textTable.ts";

const anyText = fc.oneof(
    fc.string({ unit: "binary" }),
    fc.array(fc.constantFrom("a", "\n", "\r", "\x1b[2J", "\x9b", "\u2028", "\u202e", "\\"), { maxLength: 6 })
        .map(parts => parts.join("")),
);

describe("text for a terminal", () => {
    it("prints one line per row whatever the names hold, and no control character", () => {
        fc.assert(
            fc.property(fc.array(fc.tuple(anyText, fc.nat()), { minLength: 1, maxLength: 5 }), rows => {
                const lines = renderTable(["NAME", "VERSION"], rows).split("\n");
                assert.equal(lines.length, rows.length + 1);
                lines.forEach(line => assert.doesNotMatch(line, /[\x00-\x1f\x7f-\x9f\u2028-\u202e\u2066-\u2069]/));
            }),
            { seed: 47, numRuns: 500 },
        );
    });

    it("leaves ordinary text as it is", () => {
        assert.equal(escapeControls("größe d'été 板 \\n"), "größe d'été 板 \\n");
        assert.equal(escapeControls("a\r\nb\x1b[2J\u202e"), "a\\x0d\\x0ab\\x1b[2J\\u202e");
    });

    it("repeats an unknown command of any words without their control characters", async t => {
        const printed = t.mock.method(console, "error", () => undefined);
        assert.equal(await runCtl(["key\x1b]0;title\x07", "issue\nkey issued"]), ExitCode.Usage);
        const [firstLine] = String(printed.mock.calls[0]!.arguments[0]).split("\n");
        assert.equal(firstLine, "There is no ctl command \"key\\x1b]0;title\\x07 issue\\x0akey issued\".");
    });
});
