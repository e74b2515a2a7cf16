/** Keeps the compiled code of the program in a folder; run with the V8 flags of the deploy file. */
import { resolve } from "node:path";
import { writeCodeCache } from "../src/cli/codeCache.ts";

const folder = process.argv[2];
if (folder === undefined) {
    console.error("usage: writeCodeCache.ts FOLDER");
    process.exit(2);
}
writeCodeCache(resolve(folder));
// The program itself has no settings here and would end with a usage error.
process.exit(0);
