import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { LineReader } from "../wireLines.ts";

describe("readers of lines", () => {
    it("keep no more of a chunk than its incomplete line", () => {
        // Guards against short half messages that each hold 64 KiB of messages that were read before.
        setFlagsFromString("--expose-gc");
        const collectGarbage = runInNewContext("gc") as () => void;
        const readers = Array.from({ length: 500 }, () => new LineReader());
        const rest = "QUERY 1 READ half of a text";
        const chunk = Buffer.from(`${"x".repeat(65_000)}\r\n${rest}`);
        collectGarbage();
        const beforeBytes = process.memoryUsage().heapUsed;
        readers.forEach(reader => reader.push(chunk));
        collectGarbage();
        const growthBytes = process.memoryUsage().heapUsed - beforeBytes;
        assert.ok(growthBytes < 1_000_000, `${growthBytes} bytes`);
        assert.deepEqual(readers.map(reader => reader.push(Buffer.from("\r\n"))), readers.map(() => [rest]));
    });
});
