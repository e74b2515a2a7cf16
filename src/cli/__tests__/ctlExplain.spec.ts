import type { Server } from "@grpc/grpc-js";
import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, it, type TestContext } from "node:test";
import { endExplanation, type ExplanationAsked, type Finding, Verdict } from "../../model/explanation.ts";
import { ExplanationService } from "../../rpc/explanationService.ts";
import { PeerAuthentication } from "../../rpc/peerAuthentication.ts";
import { createPeerServer, listen } from "../../rpc/peerChannel.ts";
import { SettingsError } from "../../settings/settingsTable.ts";
import { runCtl } from "../ctlCommand.ts";
import { ExitCode } from "../exitCode.ts";

const findings: readonly Finding[] = [
    {
        step: "routing",
        subject: "orders-2",
        verdict: Verdict.Chosen,
        reason: "the lowest cost",
        facts: { data_centre: "dc1", cost_ms: 26 },
    },
    { step: "routing", subject: "orders\n1", verdict: Verdict.PassedOver, reason: "a higher cost", facts: {} },
];

describe("ctl explain", () => {
    let folder: string;
    let server: Server;
    let address: string;
    let asked: ExplanationAsked["request"][];

    beforeEach(async () => {
        asked = [];
        folder = mkdtempSync(join(tmpdir(), "jasmineline-explain-"));
        writeFileSync(join(folder, "secret"), "the secret of the cluster\n");
        server = createPeerServer(
            new PeerAuthentication({ cluster: "c", instanceId: "front1", secret: "the secret of the cluster" }),
        );
        const service: ExplanationService = new ExplanationService({
            instanceId: "front1",
            post: message => {
                asked.push((message as ExplanationAsked).request);
                service.deliver(endExplanation(message as ExplanationAsked, findings));
            },
        });
        service.register(server);
        address = `127.0.0.1:${await listen(server, "127.0.0.1:0")}`;
    });

    afterEach(() => {
        server.forceShutdown();
        rmSync(folder, { recursive: true });
    });

    async function run(t: TestContext, ...flags: readonly string[]): Promise<string> {
        const printed = t.mock.method(console, "log", () => undefined);
        const exitCode = await runCtl(["explain", "orders", ...commonFlags(), ...flags]);
        assert.equal(exitCode, ExitCode.Success);
        return String(printed.mock.calls[0]!.arguments[0]);
    }

    function commonFlags(): readonly string[] {
        return ["--server", address, "--cluster-name", "c", "--cluster-secret-file", join(folder, "secret")];
    }

    it("prints one line for each finding, without control characters of names", async t => {
        assert.deepEqual((await run(t, "--workspace", "dealers")).split("\n"), [
            "as instance front1 sees it now; nothing was sent",
            "",
            "STEP     SUBJECT      VERDICT      REASON           FACTS",
            "routing  orders-2     chosen       the lowest cost  data_centre=dc1 cost_ms=26",
            "routing  orders\\x0a1  passed over  a higher cost",
        ]);
        assert.deepEqual(asked, [{ database: "orders", workspace: "dealers", writes: false }]);
    });

    it("asks for a write of a caller without a key, and prints one object", async t => {
        const output = JSON.parse(await run(t, "--effect", "write", "--output", "json")) as {
            readonly findings: unknown;
        };
        assert.deepEqual(asked, [{ database: "orders", workspace: "", writes: true }]);
        assert.deepEqual(output, {
            instanceId: "front1",
            findings: findings.map(({ facts, ...finding }) => ({
                ...finding,
                facts: Object.fromEntries(Object.entries(facts).map(([name, value]) => [name, String(value)])),
            })),
        });
    });

    it("ends with an exit code of its own if the instance does not answer", async t => {
        const printed = t.mock.method(console, "error", () => undefined);
        server.forceShutdown();
        assert.equal(
            await runCtl(["explain", "orders", ...commonFlags(), "--timeout-ms", "300"]),
            ExitCode.Unreachable,
        );
        assert.ok(String(printed.mock.calls[0]!.arguments[0]).startsWith(`${address}: `));
    });

    it("needs the name of a database, and a known effect", async () => {
        await assert.rejects(runCtl(["explain", ...commonFlags()]), SettingsError);
        await assert.rejects(runCtl(["explain", "orders", ...commonFlags(), "--effect", "both"]), SettingsError);
    });
});
