import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, it } from "node:test";
import { loadProgram, writeCodeCache } from "../codeCache.ts";

let folder: string;

/** Writes a program that records each run with its label, its `__dirname` and a value from a required module. */
function writeProgram(label: string): void {
    const source = `globalThis.codeCacheRuns.push([${JSON.stringify(label)}, __dirname, require("node:path").sep]);`;
    writeFileSync(join(folder, "program.cjs"), source);
}

function recordedRuns(): unknown[] {
    return (globalThis as unknown as { codeCacheRuns: unknown[]; }).codeCacheRuns;
}

describe("code cache", () => {
    beforeEach(() => {
        folder = mkdtempSync(join(tmpdir(), "jasmineline-code-"));
        Object.assign(globalThis, { codeCacheRuns: [] });
    });

    afterEach(() => rmSync(folder, { recursive: true }));

    it("is used when the same program is loaded again", () => {
        writeProgram("first");
        writeCodeCache(folder);
        const program = loadProgram(folder);
        assert.equal(program.usesCache, true);
        program.run();
        assert.deepEqual(recordedRuns(), [["first", folder, "/"], ["first", folder, "/"]]);
    });

    it("is rejected for a changed program, which runs without it", () => {
        // Guards against running the old code after a build.
        writeProgram("first");
        assert.equal(loadProgram(folder).usesCache, false);
        writeCodeCache(folder);
        writeProgram("the second one");
        const program = loadProgram(folder);
        assert.equal(program.usesCache, false);
        program.run();
        assert.deepEqual(recordedRuns().at(-1), ["the second one", folder, "/"]);
    });
});
