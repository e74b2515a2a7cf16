/** Bundles the processes of the users' platform into `target/`, with a cluster secret that they share. */
import { build } from "esbuild";
import { randomBytes } from "node:crypto";
import { existsSync, mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";

const outputFolder = "target";
const secretFile = join(outputFolder, "cluster-secret");

mkdirSync(outputFolder, { recursive: true });
await build({
    entryPoints: ["src/cli/platformMain.ts"],
    outfile: join(outputFolder, "jasmineline.cjs"),
    bundle: true,
    minify: true,
    keepNames: true,
    platform: "node",
    format: "cjs",
    target: "node20",
    define: { "import.meta.dirname": "__dirname" },
    logLevel: "warning",
});
if (!existsSync(secretFile)) {
    writeFileSync(secretFile, `${randomBytes(32).toString("hex")}\n`);
}
