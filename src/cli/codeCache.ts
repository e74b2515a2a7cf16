/** V8 code cache of the bundled program. Loading it shortens the start of a process by about a quarter. */
import { readFileSync, rmSync, writeFileSync } from "node:fs";
import Module, { createRequire } from "node:module";
import { join } from "node:path";
import { Script } from "node:vm";

const programFile = "program.cjs";
const cacheFile = "program.cache";

export interface Program {
    /**
     * False when the folder has no code cache, or V8 rejected it: it was made from another source, with other V8 flags
     * or by another version of Node.js.
     */
    readonly usesCache: boolean;
    /** Runs the program as a CommonJS module of its folder. */
    run(): void;
}

/**
 * Deletes the code cache. Must be called before the program is rebuilt: V8 compares only the length of the source, so
 * it would run the old code for a new program of the same length.
 */
export function removeCodeCache(folder: string): void {
    rmSync(join(folder, cacheFile), { force: true });
}

/** Loads the program of a folder, with its code cache if V8 accepts it. */
export function loadProgram(folder: string): Program {
    const script = compile(folder, readCache(folder));
    return { usesCache: script.cachedDataRejected === false, run: () => runScript(script, folder) };
}

/**
 * Runs the program of a folder, then writes the functions that V8 compiled meanwhile to the code cache. The process
 * must have the same V8 flags as the processes that load the cache, because V8 rejects it otherwise.
 */
export function writeCodeCache(folder: string): void {
    const script = compile(folder, undefined);
    runScript(script, folder);
    writeFileSync(join(folder, cacheFile), script.createCachedData());
}

function compile(folder: string, cachedData: Buffer | undefined): Script {
    const path = join(folder, programFile);
    return new Script(Module.wrap(readFileSync(path, "utf8")), { filename: path, cachedData });
}

function runScript(script: Script, folder: string): void {
    const path = join(folder, programFile);
    const module = { exports: {} };
    script.runInThisContext()(module.exports, createRequire(path), module, path, folder);
}

/** Returns undefined when the cache is missing or unreadable; the program then starts without it, only more slowly. */
function readCache(folder: string): Buffer | undefined {
    try {
        return readFileSync(join(folder, cacheFile));
    }
    catch {
        return undefined;
    }
}
