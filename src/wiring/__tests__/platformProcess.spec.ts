import assert from "node:assert/strict";
import { once } from "node:events";
import { mkdtemp, rm } from "node:fs/promises";
import { connect, createServer, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { text } from "node:stream/consumers";
import { describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { decodePlatformSettings, type PlatformSettings } from "../../platform/platformSettings.ts";
import { ExplanationClient } from "../../rpc/explanationClient.ts";
import type { ExplainResponse } from "../../rpc/generated/explanations.ts";
import { UnreachableError } from "../../rpc/operatorClient.ts";
import { PeerAuthentication } from "../../rpc/peerAuthentication.ts";
import { PeerClientFactory } from "../../rpc/peerClientFactory.ts";
import { type PlatformProcess, startPlatformProcess } from "../platformProcess.ts";

/** Returns a port that is free at present. */
async function findFreePort(): Promise<number> {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as { readonly port: number; };
    server.close();
    await once(server, "close");
    return port;
}

async function memberSettings(dataFolder: string): Promise<PlatformSettings> {
    const rpcAddress = `127.0.0.1:${await findFreePort()}`;
    return {
        instanceId: "core1",
        host: "127.0.0.1",
        dataCentre: "dc1",
        dataCentres: new Set(["dc1", "dc2"]),
        evacuationBoundMs: 5_000,
        dataCentreRegions: new Map(),
        callerEndpoint: undefined,
        readinessEndpoint: undefined,
        controlEndpoint: { host: "127.0.0.1", port: await findFreePort() },
        rpcAddress,
        seeds: [{ memberId: "127.0.0.1", address: rpcAddress }, { memberId: "127.0.0.2", address: "127.0.0.2:1" }],
        isBootstrap: true,
        dataFolder,
        reportIntervalMs: 500,
        rateTolerance: { windowMs: 1_000, share: 0, operations: 0 },
        coldTolerance: { excess: 1, statements: 0 },
        terminationGracePeriodMs: 6_000,
        faultTolerance: 0,
        promotionOrderAddress: undefined,
    };
}

async function connectTo(settings: PlatformSettings): Promise<Socket> {
    const socket = connect(settings.controlEndpoint!);
    await once(socket, "connect");
    return socket;
}

async function startProxy(): Promise<{ readonly proxy: PlatformProcess; readonly settings: PlatformSettings; }> {
    const callerEndpoint = { host: "127.0.0.1", port: await findFreePort() };
    const memberOnly = { controlEndpoint: undefined, dataFolder: undefined };
    const settings = { ...await memberSettings(""), ...memberOnly, callerEndpoint, instanceId: "front1" };
    return { proxy: await startPlatformProcess({ settings, clusterSecret: "0123456789abcdef", seed: 1 }), settings };
}

describe("proxy process", () => {
    it("takes no caller any more once it has ended, and has answered all others", async () => {
        // Guards against callers whose CONNECT is read and not answered while the streams of other instances end.
        const { proxy, settings } = await startProxy();
        const ended = proxy.ended.then(() => "ended");
        proxy.drain();
        const notAccepted = "not accepted";
        const answers: string[] = [];
        while (await Promise.race([ended, delay(20)]) === undefined) {
            const caller = connect({ ...settings.callerEndpoint!, allowHalfOpen: true });
            caller.write("CONNECT orders k\r\n");
            answers.push(await text(caller).catch(() => notAccepted));
            caller.end();
        }
        const late = connect(settings.callerEndpoint!);
        const lateOutcome = await once(late, "connect").then(() => "connected", ({ code }) => code as string);
        late.destroy();
        await proxy[Symbol.asyncDispose]();
        assert.equal(lateOutcome, "ECONNREFUSED");
        const codes = answers.filter(answer => answer !== notAccepted).map(answer => answer.split(" ", 2).join(" "));
        assert.deepEqual([...new Set(codes)], ["ERROR BUSY"]);
    });

    it("ends once no new callers arrive, even if a caller keeps its connection open", async () => {
        const dataFolder = undefined as never;
        const controlEndpoint = undefined;
        const callerEndpoint = { host: "127.0.0.1", port: await findFreePort() };
        const settings = { ...await memberSettings(dataFolder), controlEndpoint, callerEndpoint, instanceId: "front1" };
        const proxy = await startPlatformProcess({ settings, clusterSecret: "0123456789abcdef", seed: 1 });
        const caller = connect({ ...callerEndpoint, allowHalfOpen: true });
        caller.write("CONNECT orders k\r\n");
        caller.resume();
        await once(caller, "connect");
        proxy.drain();
        proxy.drain();
        const limit = AbortSignal.timeout(settings.terminationGracePeriodMs);
        await proxy.ended;
        await proxy[Symbol.asyncDispose]();
        assert.equal(limit.aborted, false);
        caller.destroy();
    });
});

describe("a question where a statement would go", () => {
    async function askAt({ rpcAddress }: PlatformSettings): Promise<ExplainResponse> {
        const secret = "0123456789abcdef";
        const authentication = new PeerAuthentication({ cluster: "jasmineline", instanceId: "operator", secret });
        const clientFactory = new PeerClientFactory({ authentication });
        await using client = new ExplanationClient({ server: rpcAddress, clientFactory, timeoutMs: 5_000 });
        return await client.explain({ database: "orders", workspace: "w", writes: true });
    }

    it("is answered by a proxy", async () => {
        const { proxy, settings } = await startProxy();
        const { instanceId, findings } = await askAt(settings);
        await proxy[Symbol.asyncDispose]();
        assert.equal(instanceId, "front1");
        assert.deepEqual(findings, [{
            step: "sessions",
            subject: "orders",
            verdict: "refused",
            reason: "no configuration yet",
            facts: { version: "0" },
        }]);
    });

    it("is not for a control member, which serves no callers", async () => {
        const folder = await mkdtemp(join(tmpdir(), "member-"));
        const settings = await memberSettings(folder);
        const member = await startPlatformProcess({ settings, clusterSecret: "0123456789abcdef", seed: 1 });
        const asked = askAt(settings);
        await assert.rejects(asked, UnreachableError);
        await member[Symbol.asyncDispose]();
        await rm(folder, { recursive: true });
    });
});

describe("control member process", () => {
    it("goes on with its settings when the changed ones cannot be read", async () => {
        const folder = await mkdtemp(join(tmpdir(), "member-"));
        const settings = await memberSettings(folder);
        const member = await startPlatformProcess({ settings, clusterSecret: "0123456789abcdef", seed: 1 });
        member.reload(() => decodePlatformSettings("{ \"node\": ", "settings.json"));
        const call = await connectTo(settings);
        call.write("GET /-/other HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n");
        assert.match(await text(call), /^HTTP\/1.1 \d{3} /);
        await member[Symbol.asyncDispose]();
        await rm(folder, { recursive: true });
    });

    it("answers the calls that are in progress before it ends", async () => {
        // Guards against calls of operators and databases that are aborted at each restart of a member.
        const folder = await mkdtemp(join(tmpdir(), "member-"));
        const settings = await memberSettings(folder);
        const member = await startPlatformProcess({ settings, clusterSecret: "0123456789abcdef", seed: 1 });
        const pendingCall = await connectTo(settings);
        pendingCall.write("POST /-/Instances.Leave/db1 HTTP/1.1\r\nHost: m\r\nContent-Length: 2\r\n\r\n{");
        const idleConnection = await connectTo(settings);
        idleConnection.write("GET /-/other HTTP/1.1\r\nHost: m\r\n\r\n");
        await once(idleConnection, "data");
        const lateCall = await connectTo(settings);
        // Time for the member to accept the connection before the drain starts.
        await new Promise(resolve => setTimeout(resolve, 50));
        member.drain();
        const ended = member.ended.then(() => member[Symbol.asyncDispose]());
        setTimeout(() => pendingCall.end("}"), 200);
        member.drain();
        lateCall.write("GET /-/Config.Get HTTP/1.1\r\nHost: m\r\n\r\n");
        assert.equal((await text(lateCall)).split("\r\n")[0], "HTTP/1.1 503 Service Unavailable");
        const answer = await text(pendingCall).catch((error: Error) => error.message);
        assert.equal(answer.split("\r\n")[0], "HTTP/1.1 200 OK");
        await ended;
        idleConnection.destroy();
        await rm(folder, { recursive: true });
    });

    it("refuses invalid entries of other writers, and continues to run", async () => {
        // Guards against an entry or configuration that crashes every member that reads it.
        const folder = await mkdtemp(join(tmpdir(), "member-"));
        const settings = await memberSettings(folder);
        const member = await startPlatformProcess({ settings, clusterSecret: "0123456789abcdef", seed: 1 });
        const { host, port } = settings.controlEndpoint!;
        const post = async (path: string, body: string): Promise<number> =>
            (await fetch(`http://${host}:${port}${path}`, { method: "POST", body })).status;
        const nested = "[".repeat(200_000) + "]".repeat(200_000);
        const entry = {
            service: "s",
            address: "10.0.0.1:99999",
            zone: "z",
            slots: 1,
            state: "ready",
            db_role: "primary",
            seq: 1,
        };
        const statuses = [
            await post("/-/Instances.Heartbeat/odd", JSON.stringify(entry)),
            await post("/-/Instances.Heartbeat/odd", `{"service":${nested}}`),
            await post("/-/Config.Put", `{"version":3,"routes":[],"services":[],"other":${nested}}`),
            await post("/-/Instances.Heartbeat/db1", JSON.stringify({ ...entry, address: "10.0.0.1:80" })),
        ];
        assert.deepEqual(statuses, [400, 400, 400, 200]);
        member.drain();
        await member.ended;
        await member[Symbol.asyncDispose]();
        await rm(folder, { recursive: true });
    });

    it("sends databases to another member once it has known no leader for some time", async () => {
        // Guards against a removed member that acknowledges heartbeats of which nobody else learns.
        const folder = await mkdtemp(join(tmpdir(), "member-"));
        const settings = await memberSettings(folder);
        await using member = await startPlatformProcess({ settings, clusterSecret: "0123456789abcdef", seed: 1 });
        const { host, port } = settings.controlEndpoint!;
        const beat = async (seq: number): Promise<number> => {
            const address = "10.0.0.1:80";
            const body = { service: "s", address, zone: "z", slots: 1, state: "ready", db_role: "primary", seq };
            const url = `http://${host}:${port}/-/Instances.Heartbeat/db1`;
            return (await fetch(url, { method: "POST", body: JSON.stringify(body) })).status;
        };
        assert.equal(await beat(1), 200);
        await new Promise(resolve => setTimeout(resolve, 3_200));
        assert.equal(await beat(2), 503);
        member.drain();
        await member.ended;
        await rm(folder, { recursive: true });
    });
});
