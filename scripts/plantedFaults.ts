/**
 * Plants faults of the boundaries one at a time in a copy of the sources and runs the specs that should find them:
 * `node --import tsx scripts/plantedFaults.ts [--only NAME]`. Prints one JSON line a fault. Ends with 1 if a fault was not
 * found within a minute, with 2 if a fault does not fit the sources or the specs fail without one.
 */
import { spawn } from "node:child_process";
import { cpSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { parseArgs } from "node:util";
import { type PlantedFault, plantedFaults } from "./plantedFaultList.ts";

const timeLimitMs = 60_000;
const copiedPaths = ["src", "standins", "scripts", "bench", "proto", "package.json", "tsconfig.json"];

interface SpecRun {
    readonly failedTests: readonly string[];
    readonly seconds: number;
    /** The time limit ended the run. */
    readonly timedOut: boolean;
}

const { values } = parseArgs({ options: { only: { type: "string" } } });
const faults = plantedFaults.filter(({ name }) => values.only === undefined || name === values.only);
if (faults.length === 0) {
    console.error(
        `no planted fault is called "${values.only}"; there are ${plantedFaults.map(({ name }) => name).join(", ")}`,
    );
    process.exit(2);
}
const folder = mkdtempSync(join(tmpdir(), "jasmineline-planted-"));
try {
    copiedPaths.forEach(path => cpSync(path, join(folder, path), { recursive: true }));
    symlinkSync(resolve("node_modules"), join(folder, "node_modules"));
    await requireSoundSpecs();
    const unfound: string[] = [];
    for (const fault of faults) {
        const run = await runWithFault(fault);
        const found = run.failedTests.length > 0;
        console.log(JSON.stringify({ fault: fault.name, found, ...run }));
        unfound.push(...found ? [] : [fault.name]);
    }
    process.exitCode = unfound.length === 0 ? 0 : 1;
}
finally {
    rmSync(folder, { recursive: true });
}

/** A spec that fails without a fault would find each of them. */
async function requireSoundSpecs(): Promise<void> {
    for (const spec of new Set(faults.flatMap(({ specs }) => specs))) {
        const { failedTests, timedOut } = await runSpecs([spec]);
        if (failedTests.length > 0 || timedOut) {
            console.error(`${spec} fails without a planted fault: ${failedTests.join(", ") || "no end in time"}`);
            rmSync(folder, { recursive: true });
            process.exit(2);
        }
    }
}

async function runWithFault({ name, file, original, replacement, specs }: PlantedFault): Promise<SpecRun> {
    const path = join(folder, file);
    const source = readFileSync(path, "utf8");
    if (source.split(original).length !== 2) {
        console.error(`"${name}": the text to replace is not in ${file}, or more than once`);
        rmSync(folder, { recursive: true });
        process.exit(2);
    }
    writeFileSync(path, source.replace(original, () => replacement));
    try {
        return await runSpecs(specs);
    }
    finally {
        writeFileSync(path, source);
    }
}

function runSpecs(specs: readonly string[]): Promise<SpecRun> {
    const startedMs = performance.now();
    const child = spawn(process.execPath, ["--import", "tsx", "--test", "--test-reporter=tap", ...specs], {
        cwd: folder,
        stdio: ["ignore", "pipe", "inherit"],
        env: { ...process.env, NODE_TEST_CONTEXT: undefined },
    });
    let output = "";
    let timedOut = false;
    child.stdout.on("data", chunk => output += String(chunk));
    const timer = setTimeout(() => {
        timedOut = true;
        child.kill("SIGTERM");
    }, timeLimitMs);
    return new Promise((resolveRun, reject) => {
        child.once("error", reject);
        child.once("close", () => {
            clearTimeout(timer);
            const failedTests = [...output.matchAll(/^\s*not ok \d+ - (.*)$/gm)].map(([, test]) => test!.trim());
            const seconds = Math.round((performance.now() - startedMs) / 100) / 10;
            resolveRun({ failedTests: failedTests.filter(test => !test.endsWith(".spec.ts")), seconds, timedOut });
        });
    });
}
