/**
 * Generates `src/rpc/generated` from `proto/` and `docs/settings.md` from the settings tables.
 * With `--check`, writes nothing and fails if a committed file is out of date.
 */
import { spawnSync } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { ctlSettingsTable } from "../src/settings/ctlSettings.ts";
import { entrySettingsTable } from "../src/settings/entrySettings.ts";
import { platformSettingsTable } from "../src/settings/platformSettingsTable.ts";
import { settingsAsMarkdown } from "../src/settings/settingsTable.ts";

const settingsPage = "docs/settings.md";
const generatedFolder = "src/rpc/generated";
const isCheckOnly = process.argv.includes("--check");

generateProtocol();
generateSettingsPage();

function generateProtocol(): void {
    const target = isCheckOnly ? mkdtempSync(join(tmpdir(), "jasmineline-generated-")) : generatedFolder;
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
    if (isCheckOnly) {
        compareFolders(target, generatedFolder);
        rmSync(target, { recursive: true });
    }
}

function generateSettingsPage(): void {
    const page = [
        "# Settings",
        "",
        "Made from the tables in `src/settings/` by `npm run generate`. A flag goes before its variable. Secrets come from",
        "files, never from flags or variables.",
        "",
        "## jasmineline entry",
        "",
        settingsAsMarkdown(entrySettingsTable),
        "",
        "## Processes on the users' platform",
        "",
        "In the `run` command of `deploy/system.toml`; everything else stands in the settings file of the platform.",
        "",
        settingsAsMarkdown(platformSettingsTable),
        "",
        "## jasmineline ctl",
        "",
        "Every command takes these; `COMMAND --help` lists its own flags too.",
        "",
        settingsAsMarkdown(ctlSettingsTable),
        "",
    ].join("\n");
    if (!isCheckOnly) {
        writeFileSync(settingsPage, page);
    }
    else if (readOrEmpty(settingsPage) !== page) {
        console.error(`${settingsPage} is out of date; run "npm run generate"`);
        process.exit(1);
    }
}

function compareFolders(generated: string, committed: string): void {
    const different = readdirSync(generated, { recursive: true, encoding: "utf8" })
        .filter(path => path.endsWith(".ts"))
        .filter(path => readFileSync(join(generated, path), "utf8") !== readOrEmpty(join(committed, path)));
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
