import "disposablestack/auto";
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { open } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { settingsVariable } from "../../src/platform/platformSettings.ts";
import { ProcessGroup } from "../processGroup.ts";

describe("a process of the users' platform that still starts", { timeout: 60_000 }, () => {
    it("is not ended by SIGHUP", async () => {
        // Guards against a change of the settings file that ends the processes which are just starting.
        const folder = mkdtempSync(join(tmpdir(), "jasmineline-startup-"));
        const settingsPipe = join(folder, "settings");
        assert.equal(spawnSync("mkfifo", [settingsPipe]).status, 0);
        const group = new ProcessGroup();
        try {
            const started = group.start({
                name: "front",
                program: process.execPath,
                commandArguments: ["--import", "tsx", "src/cli/platformMain.ts"],
                environment: { [settingsVariable]: settingsPipe },
            });
            // The pipe opens when the process reads its settings, and holds it there until it is closed.
            const pipe = await open(settingsPipe, "w");
            rmSync(settingsPipe);
            writeFileSync(settingsPipe, "{}");
            started.signal("SIGHUP");
            await pipe.close();
            // Invalid settings end the process with a code; the signal would have ended it before.
            assert.equal(typeof await started.ended, "number");
        }
        finally {
            await group[Symbol.asyncDispose]();
            rmSync(folder, { recursive: true });
        }
    });

    it("is not ended by SIGHUP while its launcher loads the program", async () => {
        // Guards against a signal that ends a process which starts slowly beside others.
        const folder = mkdtempSync(join(tmpdir(), "jasmineline-launcher-"));
        const build = ["--import", "tsx", "scripts/buildPlatform.ts", folder];
        assert.equal(spawnSync(process.execPath, build).status, 0);
        const programPipe = join(folder, "program.cjs");
        rmSync(programPipe);
        assert.equal(spawnSync("mkfifo", [programPipe]).status, 0);
        const group = new ProcessGroup();
        try {
            const started = group.start({
                name: "front",
                program: process.execPath,
                commandArguments: [join(folder, "jasmineline.cjs")],
            });
            // The pipe opens when the launcher reads the program, and holds it there until it is closed.
            const pipe = await open(programPipe, "w");
            started.signal("SIGHUP");
            await pipe.write("process.on('SIGHUP', () => process.exit(7)); setTimeout(() => undefined, 5_000);");
            await pipe.close();
            assert.equal(await started.ended, 7);
        }
        finally {
            await group[Symbol.asyncDispose]();
            rmSync(folder, { recursive: true });
        }
    });
});
