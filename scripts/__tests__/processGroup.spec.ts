import "disposablestack/auto";
import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { findFreePorts, ProcessGroup } from "../processGroup.ts";

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

    it("finds distinct ports outside the ephemeral range, so that no connection takes a chosen port", async () => {
        const ports = await findFreePorts(20);
        assert.equal(new Set(ports).size, 20);
        assert.ok(ports.every(port => port >= 15_000 && port < 32_000), ports.join());
    });
});
