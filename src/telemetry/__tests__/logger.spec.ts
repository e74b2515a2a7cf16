import { assert as check, constantFrom, oneof, property, string } from "fast-check";
import assert from "node:assert/strict";
import { describe, it, type TestContext } from "node:test";
import { createLogger, type LoggerOptions } from "../logger.ts";

const oddTexts = oneof(
    string({ unit: "binary" }),
    constantFrom("a\r\nb", "\u001b[2J", "\u009b2J", "\u2028", "\u0085", "\", \"level\":\"error", "\ud800"),
);

function writtenBy(context: TestContext, options: Partial<LoggerOptions>, detail: string): string {
    let output = "";
    const { mock } = context.mock.method(process.stderr, "write", (text: string) => {
        output += text;
        return true;
    });
    createLogger({ format: "json", level: "info", instanceId: "i1", ...options }).info("event", { detail, after: 1 });
    mock.restore();
    return output;
}

describe("logger", () => {
    for (const format of ["json", "text"] as const) {
        it(`writes one line without control characters whatever a value holds: ${format}`, context => {
            check(
                property(oddTexts, detail => {
                    const output = writtenBy(context, { format }, detail);

                    assert.match(output, /^[^\u0000-\u001f\u007f-\u009f\u2028\u2029]+\n$/);
                    if (format === "json") {
                        const { level, detail: read, after } = JSON.parse(output) as Record<string, unknown>;
                        assert.deepEqual([level, after, read], ["info", 1, detail]);
                    }
                }),
                { seed: 20261207, numRuns: 2_000 },
            );
        });
    }

    it("cuts a value that a peer sent at the limit of a message, so that lines stay short", context => {
        const output = writtenBy(context, {}, "x".repeat(1_000_000));
        assert.ok(output.length < 5_000, `a line of ${output.length} characters`);
        assert.match(output, /\(1000000 characters\)/);
    });
});
