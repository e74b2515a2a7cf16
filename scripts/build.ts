/**
 * Builds the single binary `dist/jasmineline`: bundles the program and injects the bundle into a copy of the Node.js
 * executable (single executable application).
 */
import { build, type Plugin } from "esbuild";
import { spawnSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, rmSync, statSync, writeFileSync } from "node:fs";
import { join } from "node:path";

const outputFolder = "dist";
const bundle = join(outputFolder, "jasmineline.cjs");
const blob = join(outputFolder, "jasmineline.blob");
const configuration = join(outputFolder, "sea.json");
const binary = join(outputFolder, "jasmineline");

// Sentinel by which postject finds the place in the Node.js executable for the application.
const sentinelFuse = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

/** Excludes the native module that the metrics library loads for Unix sockets; metrics are sent over UDP. */
const withoutUnixSockets: Plugin = {
    name: "without-unix-sockets",
    setup(builder) {
        builder.onResolve({ filter: /^unix-dgram$/ }, ({ path }) => ({ path, namespace: "left-out" }));
        builder.onLoad({ filter: /.*/, namespace: "left-out" }, () => ({
            contents: "throw new Error(\"Unix sockets are not supported\");",
        }));
    },
};

// mysql2 requires an optional module at run time; without this, Node.js prints a warning at each start of the binary.
const requireBuiltinsOnly = `{
    const platformRequire = require;
    const { isBuiltin } = platformRequire("node:module");
    require = name => {
        if (!isBuiltin(name)) {
            throw new Error(name + " is not part of the binary");
        }
        return platformRequire(name);
    };
}`;

async function bundleProgram(): Promise<void> {
    await build({
        entryPoints: ["src/cli/main.ts"],
        outfile: bundle,
        bundle: true,
        platform: "node",
        format: "cjs",
        target: "node20",
        plugins: [withoutUnixSockets],
        banner: { js: requireBuiltinsOnly },
        logLevel: "warning",
    });
}

function run(command: string, commandArguments: readonly string[]): void {
    const result = spawnSync(command, commandArguments, { encoding: "utf8" });
    if (result.status !== 0) {
        console.error(result.stdout, result.stderr);
        console.error(`${command} ${commandArguments.join(" ")} failed with ${result.status ?? result.signal}`);
        process.exit(1);
    }
}

mkdirSync(outputFolder, { recursive: true });
await bundleProgram();
writeFileSync(configuration, JSON.stringify({ main: bundle, output: blob, disableExperimentalSEAWarning: true }));
run(process.execPath, ["--experimental-sea-config", configuration]);
rmSync(binary, { force: true });
copyFileSync(process.execPath, binary);
chmodSync(binary, 0o755);
run("npx", ["--no-install", "postject", binary, "NODE_SEA_BLOB", blob, "--sentinel-fuse", sentinelFuse]);
console.log(`${binary}: ${(statSync(binary).size / 1e6).toFixed(1)} MB`);
