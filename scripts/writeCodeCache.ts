/** Writes the V8 code cache of the program to a folder; must run with the V8 flags of the deploy file. */
import { resolve } from "node:path";
import { writeCodeCache } from "../src/cli/codeCache.ts";

const folder = process.argv[2];
if (folder === undefined) {
    console.error("usage: writeCodeCache.ts FOLDER");
    process.exit(2);
}
writeCodeCache(resolve(folder));
// Exits here, because the program that writeCodeCache started has no settings and would end with a usage error.
process.exit(0);
