import "disposablestack/auto";
import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { findFreePorts, type ManagedProcess, ProcessGroup } from "../processGroup.ts";

describe("process group", () => {
    it("writes the whole output of a process to its log file, also after a restart", async () => {
        const folder = mkdtempSync(join(tmpdir(), "jasmineline-logs-"));
        try {
            await using group = new ProcessGroup(join(folder, "logs"));
            const script = "for (let line = 0; line < 60; line++) console.log(`line ${line}`); console.error('failed')";
            const command = { name: "writer", program: process.execPath, commandArguments: ["-e", script] };
            await group.start(command).ended;
            await group.start(command).ended;
            const lines = readFileSync(join(folder, "logs", "writer.log"), "utf8").trimEnd().split("\n");
            assert.equal(lines.length, 122);
            assert.equal(lines.filter(line => line === "line 0").length, 2);
            assert.equal(lines.filter(line => line === "failed").length, 2);
        }
        finally {
            rmSync(folder, { recursive: true });
        }
    });

    it("waits for a line, and tells the last output if the process ends or a time passes before it", async () => {
        await using group = new ProcessGroup();
        const start = (script: string): ManagedProcess =>
            group.start({ name: "writer", program: process.execPath, commandArguments: ["-e", script] });
        const running = start(
            "console.log('first'); setTimeout(() => console.log('second'), 50); setTimeout(() => 0, 1e5)",
        );
        assert.equal(await running.waitForLine("second", 10_000), "second");
        assert.equal(await running.waitForLine(line => line.startsWith("fi"), 10_000), "first");
        await assert.rejects(running.waitForLine("third", 20), /no line with third \(timeout\):\nfirst\nsecond/);
        const ended = start("console.log('only'); process.exit(3)");
        await assert.rejects(ended.waitForLine("third", 10_000), /no line with third \(3\):\nonly/);
    });

    it("finds distinct ports outside the ephemeral range, so that no connection takes a chosen port", async () => {
        const ports = await findFreePorts(20);
        assert.equal(new Set(ports).size, 20);
        assert.ok(ports.every(port => port >= 15_000 && port < 32_000), ports.join());
    });
});
