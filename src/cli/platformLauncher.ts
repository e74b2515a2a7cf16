/** Script that the deploy file starts: loads and runs the bundled program with its code cache. */
import { resolve } from "node:path";
import { loadProgram } from "./codeCache.ts";
import { StartupSignals } from "./startupSignals.ts";

const signals = new StartupSignals();
const program = loadProgram(resolve(import.meta.dirname));
if (!program.usesCache) {
    console.error(
        JSON.stringify({ level: "warn", event: "no_code_cache", detail: "build again with the flags of run" }),
    );
}
program.run();
// The program has installed handlers of its own by now.
signals.repeat();
