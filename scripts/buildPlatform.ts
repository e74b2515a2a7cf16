/**
 * Bundles the programs for the users' platform and creates the cluster secret that they share:
 * `buildPlatform.ts [FOLDER]`, by default into `target/`.
 */
import { build } from "esbuild";
import { spawnSync } from "node:child_process";
import { randomBytes } from "node:crypto";
import { existsSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { removeCodeCache } from "../src/cli/codeCache.ts";

const deployFile = "deploy/system.toml";
const outputFolder = process.argv[2] ?? "target";
const secretFile = join(outputFolder, "cluster-secret");

mkdirSync(outputFolder, { recursive: true });
removeCodeCache(outputFolder);
await bundle("src/cli/platformMain.ts", "program.cjs");
await bundle("src/cli/platformLauncher.ts", "jasmineline.cjs");
if (!existsSync(secretFile)) {
    writeFileSync(secretFile, `${randomBytes(32).toString("hex")}\n`);
}
writeCodeCache();

async function bundle(entryPoint: string, name: string): Promise<void> {
    await build({
        entryPoints: [entryPoint],
        outfile: join(outputFolder, name),
        bundle: true,
        minify: true,
        keepNames: true,
        platform: "node",
        format: "cjs",
        target: "node20",
        define: { "import.meta.dirname": "__dirname" },
        logLevel: "warning",
    });
}

/** V8 accepts a code cache only under the flags that produced it, so the flags are read from the deploy file. */
function writeCodeCache(): void {
    const runCommand = /^run = "node ((?:--\S+ )*)/m.exec(readFileSync(deployFile, "utf8"));
    const flags = (runCommand?.[1] ?? "").split(" ").filter(flag => flag !== "");
    const result = spawnSync(
        process.execPath,
        [...flags, "--import", "tsx", "scripts/writeCodeCache.ts", outputFolder],
        { stdio: ["ignore", "inherit", "ignore"] },
    );
    if (result.status !== 0) {
        console.error(`writing the code cache failed with ${result.status ?? result.signal}`);
        process.exit(1);
    }
}
