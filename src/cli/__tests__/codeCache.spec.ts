import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, it } from "node:test";
import { loadProgram, writeCodeCache } from "../codeCache.ts";

let folder: string;

/** A program that notes its runs, its folder and what it requires. */
function writeProgram(label: string): void {
    const source = `globalThis.codeCacheRuns.push([${JSON.stringify(label)}, __dirname, require("node:path").sep]);`;
    writeFileSync(join(folder, "program.cjs"), source);
}

function recordedRuns(): unknown[] {
    return (globalThis as unknown as { codeCacheRuns: unknown[]; }).codeCacheRuns;
}

describe("compiled code of a program", () => {
    beforeEach(() => {
        folder = mkdtempSync(join(tmpdir(), "jasmineline-code-"));
        Object.assign(globalThis, { codeCacheRuns: [] });
    });

    afterEach(() => rmSync(folder, { recursive: true }));

    it("is used by the next start of the same program", () => {
        writeProgram("first");
        writeCodeCache(folder);
        const program = loadProgram(folder);
        assert.equal(program.usesCache, true);
        program.run();
        assert.deepEqual(recordedRuns(), [["first", folder, "/"], ["first", folder, "/"]]);
    });

    it("does not hide a changed program, and is not needed to run", () => {
        // Guards against old code that goes on running after a build.
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
