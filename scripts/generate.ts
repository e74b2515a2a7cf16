/**
 * Generates `src/rpc/generated` from `proto/`, and `docs/settings.md` from the settings table.
 * With `--check`, fails when a committed file differs from what would be generated.
 */
import { spawnSync } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const generatedFolder = "src/rpc/generated";
const check = process.argv.includes("--check");

generateProtocol();

function generateProtocol(): void {
    const target = check ? mkdtempSync(join(tmpdir(), "jasmineline-generated-")) : generatedFolder;
    const template = JSON.stringify({
        version: "v2",
        plugins: [{
            local: "./node_modules/.bin/protoc-gen-ts_proto",
            out: target,
            opt: [
                "outputServices=grpc-js",
                "esModuleInterop=true",
                "importSuffix=.ts",
                "env=node",
                "useOptionals=none",
                "outputJsonMethods=false",
                "outputPartialMethods=false",
                "useDate=false",
                "forceLong=number",
            ],
        }],
    });
    const result = spawnSync("npx", ["--no-install", "buf", "generate", "proto", "--template", template], {
        stdio: "inherit",
    });
    if (result.status !== 0) {
        process.exit(result.status ?? 1);
    }
    if (check) {
        compareFolders(target, generatedFolder);
        rmSync(target, { recursive: true });
    }
}

function compareFolders(fresh: string, committed: string): void {
    const different = readdirSync(fresh, { recursive: true, encoding: "utf8" })
        .filter(path => path.endsWith(".ts"))
        .filter(path => readFileSync(join(fresh, path), "utf8") !== readOrEmpty(join(committed, path)));
    if (different.length > 0) {
        console.error(`generated code is out of date: ${different.join(", ")}; run "npm run generate"`);
        process.exit(1);
    }
}

function readOrEmpty(path: string): string {
    try {
        return readFileSync(path, "utf8");
    }
    catch {
        return "";
    }
}
