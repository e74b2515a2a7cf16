import { Client, credentials, type MethodDefinition, status } from "@grpc/grpc-js";
import {
    array,
    assert as check,
    asyncProperty,
    boolean,
    constantFrom,
    integer,
    oneof,
    string,
    tuple,
    uint8Array,
} from "fast-check";
import assert from "node:assert/strict";
import { once } from "node:events";
import { mkdtemp, rm } from "node:fs/promises";
import { type AddressInfo, connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { AnnouncementService } from "../../rpc/generated/announcement.ts";
import { type HeartbeatResponse, HeartbeatService } from "../../rpc/generated/health.ts";
import { type ChangeResponse, OperatorService } from "../../rpc/generated/operator.ts";
import { type AcquireResponse, PermitsService } from "../../rpc/generated/permits.ts";
import { PeerAuthentication } from "../../rpc/peerAuthentication.ts";
import { peerClientOptions } from "../../rpc/peerChannel.ts";
import { readEntrySettings } from "../../settings/entrySettings.ts";
import { parseInitialConfiguration } from "../../settings/initialConfiguration.ts";
import { type EntryProcess, startEntry } from "../entryProcess.ts";

const seed = 20261207;
const numRuns = Number(process.env["MALFORMED_CALL_RUNS"] ?? 300);

/** Time after which a call counts as open; the server itself gives a change 10 s. */
const callLimitMs = 12_000;
const maximumGrowthBytes = 32 * 1_048_576;

const secret = "a secret of the tests";
const workspace = { name: "shop", ratePerSecond: 1_000, burst: 1_000, keyValidityMs: 60_000 };
const workClass = { name: "orders", maximumAgeMs: 0, waitingMs: 100, repeat: "never", objectiveShare: 0.99 };

const announcement = {
    cluster: "c",
    databaseId: "d1",
    groupId: "g1",
    service: "orders",
    dataCentre: "north",
    address: "127.0.0.1:1",
    slots: 3,
    connectionLimit: 20,
    role: "primary",
    position: { term: 2, offset: 70 },
    groupSize: 1,
    departing: false,
};

const lease = { resource: "database", resourceId: "d1", epoch: 4 };

const heartbeat = {
    instanceId: "i2",
    address: "127.0.0.1:1",
    dataCentre: "north",
    incarnation: "a1",
    configurationVersion: 9,
    directoryTerm: 1,
    directoryRevision: 2,
    draining: false,
    heard: [{ announcement, ageMs: 40 }],
    heardUnchanged: [{ databaseId: "d2", ageMs: 30 }],
    leases: [lease],
    givenBack: [{ ...lease, resource: "permits", resourceId: "shop@north" }],
    held: [{
        databaseId: "d1",
        reachable: true,
        consecutiveFailures: 0,
        position: announcement.position,
        askId: "q",
    }],
    demands: [{ workspace: "shop", wantedPerSecond: 2.5, versionInForce: 7 }],
    orderResults: [{ orderId: "o1", failure: "refused" }],
};

const question = {
    requestId: "r1",
    workspace: "shop",
    wanted: 2,
    returned: 1,
    settledRequestId: "r0",
    held: 1,
    sentMs: 5,
};

const noChange = {
    operationId: "o1",
    expectedVersion: 0,
    setWorkClass: undefined,
    removeWorkClass: undefined,
    setWorkspace: undefined,
    removeWorkspace: undefined,
    issueKey: undefined,
    withdrawKey: undefined,
    setOpenRoute: undefined,
    removeOpenRoute: undefined,
    beginEvacuation: undefined,
    endEvacuation: undefined,
};

const changes = [
    { ...noChange, setWorkClass: workClass },
    { ...noChange, setWorkspace: { ...workspace, name: "desk" } },
    { ...noChange, issueKey: { id: "k", workspace: "desk", doubleSha1Hex: "0".repeat(40) } },
    { ...noChange, setOpenRoute: { service: "orders", workspace: "desk" } },
    { ...noChange, beginEvacuation: { dataCentre: "north", orderedBy: "o", orderedAtUnixMs: 1 } },
    { ...noChange, endEvacuation: "north" },
];

type UnaryMethod = Pick<MethodDefinition<never, unknown>, "path" | "requestSerialize" | "responseDeserialize">;

/** `Operator.Drain` has no field: any message that can be read is an order to stop. */
const samples: readonly (readonly [UnaryMethod, object])[] = [
    [AnnouncementService.announce, announcement],
    [HeartbeatService.beat, heartbeat],
    [PermitsService.acquire, { instanceId: "i2", questions: [question, { ...question, requestId: "r2" }] }],
    [PermitsService.retire, { resourceId: "shop@north", epoch: 3 }],
    ...changes.map(change => [OperatorService.change, change] as const),
    [OperatorService.changePrimary, { groupId: "g1" }],
    [OperatorService.show, {}],
    [OperatorService.status, {}],
    [OperatorService.burn, {}],
];

const oddTexts = oneof(
    constantFrom("", "i1", "i2", "d1", "g1", "orders", "north", "shop", "primary", "replica", "permits", "shop@north"),
    constantFrom("a/b", "x\n", "\u0000", "__proto__", "constructor", "x".repeat(65_536), "127.0.0.1:1", "[::1]:0"),
    string(),
);
const oddNumbers = constantFrom(
    0,
    1,
    -1,
    0.5,
    2 ** 31,
    2 ** 32 - 1,
    Number.MAX_SAFE_INTEGER,
    1e308,
    NaN,
    Infinity,
    -Infinity,
);
const oddValues = oneof(oddTexts, oddNumbers, boolean());

/** Paths of all values of a message. */
function pathsOf(value: unknown, path: readonly string[] = []): readonly (readonly string[])[] {
    return typeof value === "object"
        ? [path, ...Object.entries(value!).flatMap(([name, part]) => pathsOf(part, [...path, name]))]
        : [path];
}

/** Replaces a value by one of the same type; a message is left out, and a list doubled. */
function replaceAt(value: unknown, [name, ...rest]: readonly string[], replacement: unknown): unknown {
    if (name === undefined) {
        return Array.isArray(value)
            ? [...value, ...value]
            : typeof value === typeof replacement
            ? replacement
            : typeof value === "object"
            ? undefined
            : value;
    }
    const part = replaceAt((value as Record<string, unknown> | undefined)?.[name], rest, replacement);
    return Array.isArray(value)
        ? value.map((each, index) => `${index}` === name ? part : each)
        : { ...value as object, [name]: part };
}

function serialize({ requestSerialize }: UnaryMethod, message: unknown): Buffer {
    try {
        return requestSerialize(message as never);
    }
    catch {
        // A value that the field cannot hold.
        return Buffer.from(JSON.stringify(message));
    }
}

const oddMessages = constantFrom(...samples).chain(([method, sample]) => {
    const paths = pathsOf(sample).filter(path => path.length > 0);
    const path = paths.length === 0 ? constantFrom<readonly string[]>([]) : constantFrom(...paths);
    return array(tuple(path, oddValues), { minLength: 1, maxLength: 3 }).map(replacements => {
        const message = replacements.reduce<unknown>(
            (result, [place, value]) => place.length === 0 ? result : replaceAt(result, place, value),
            sample,
        );
        return { method, bytes: serialize(method, message) };
    });
});

const splicedMessages = tuple(
    constantFrom(...samples),
    integer({ min: 0, max: 200 }),
    integer({ min: 0, max: 9 }),
    uint8Array({ maxLength: 12 }),
)
    .map(([[method, sample], start, length, inserted]) => {
        const bytes = serialize(method, sample);
        const at = start % (bytes.length + 1);
        return { method, bytes: Buffer.concat([bytes.subarray(0, at), inserted, bytes.subarray(at + length)]) };
    });

const rawMessages = tuple(constantFrom(...samples), uint8Array({ maxLength: 64 }))
    .map(([[method], bytes]) => ({ method, bytes: Buffer.from(bytes) }));

const calls = oneof({ arbitrary: oddMessages, weight: 4 }, { arbitrary: splicedMessages, weight: 2 }, rawMessages);

async function freePort(): Promise<number> {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    return port;
}

async function until(description: string, isDone: () => Promise<boolean>): Promise<void> {
    for (const endMs = Date.now() + 40_000; !await isDone();) {
        assert.ok(Date.now() < endMs, `not reached: ${description}`);
        await delay(100);
    }
}

function usedHeapBytes(): number {
    setFlagsFromString("--expose_gc");
    (runInNewContext("gc") as () => void)();
    return process.memoryUsage().heapUsed;
}

describe("malformed calls to an entry instance", () => {
    let folder = "";
    let port = 0;
    let entry: EntryProcess;
    let client: Client;
    let nextNumber = 1;

    before(async () => {
        folder = await mkdtemp(join(tmpdir(), "malformed-calls-"));
        port = await freePort();
        const flags = "--instance-id i1 --data-centre north --mysql-listen 127.0.0.1:0 --cluster-name c "
            + `--rpc-listen 127.0.0.1:${port} --control-members i1=127.0.0.1:${port} --data-folder ${folder} `
            + "--cluster-secret-file unused --database-password-file unused --log-level error";
        entry = await startEntry(readEntrySettings(flags.split(" "), {}), {
            clusterSecret: secret,
            databasePassword: "p",
            initialCommands: parseInitialConfiguration(JSON.stringify({ workspaces: [workspace] })),
        });
        const authentication = new PeerAuthentication({ cluster: "c", instanceId: "i2", secret });
        client = new Client(`127.0.0.1:${port}`, credentials.createInsecure(), peerClientOptions(authentication));
        await untilServed();
    });

    after(async () => {
        client.close();
        await entry[Symbol.asyncDispose]();
        await rm(folder, { recursive: true });
    });

    /** Returns the response, or the code of the failure. */
    function call({ path, responseDeserialize }: UnaryMethod, bytes: Buffer): Promise<unknown> {
        return new Promise(resolve => {
            client.makeUnaryRequest(
                path,
                (request: Buffer) => request,
                responseDeserialize,
                bytes,
                { deadline: Date.now() + callLimitMs },
                (error, response) => resolve(error?.code ?? response),
            );
        });
    }

    function send(method: UnaryMethod, message: object): Promise<unknown> {
        return call(method, serialize(method, message));
    }

    /** Waits until each service has its effect; a new workspace has no permits before the leader has changed the state. */
    async function untilServed(): Promise<void> {
        const name = `w${nextNumber++}`;
        await until("the change is applied", async () => {
            const change = { ...noChange, operationId: `served${nextNumber++}`, setWorkspace: { ...workspace, name } };
            return (await send(OperatorService.change, change) as ChangeResponse).status === "applied";
        });
        await until("permits are granted", async () => {
            const questions = [{ ...question, workspace: name, requestId: `r${nextNumber++}`, held: 0 }];
            const { answers } = await send(PermitsService.acquire, { instanceId: "i3", questions }) as AcquireResponse;
            return answers[0]!.granted > 0;
        });
        assert.deepEqual(await send(AnnouncementService.announce, announcement), {});
        assert.equal((await send(HeartbeatService.beat, heartbeat) as HeartbeatResponse).leading, true);
    }

    it("end no process, leave no call open, take up no memory, and let it serve well-formed ones", async () => {
        const bytesBefore = usedHeapBytes();
        await check(
            asyncProperty(array(calls, { minLength: 1, maxLength: 8 }), async requests => {
                const results = await Promise.all(requests.map(({ method, bytes }) => call(method, bytes)));
                results.forEach((result, index) => {
                    const { method, bytes } = requests[index]!;
                    const sent = `${method.path} ${bytes.subarray(0, 500).toString("hex")}`;
                    assert.notEqual(result, status.DEADLINE_EXCEEDED, sent);
                    assert.notEqual(result, status.UNAVAILABLE, sent);
                });
            }),
            { seed, numRuns },
        );
        await untilServed();
        const growthBytes = usedHeapBytes() - bytesBefore;
        assert.ok(growthBytes < maximumGrowthBytes, `the heap has grown by ${growthBytes} bytes`);
    });

    it("are no HTTP/2: the connection ends, also one that sends nothing", async () => {
        const preface = Buffer.from("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
        const openings = [
            Buffer.alloc(0),
            Buffer.from("GET / HTTP/1.1\r\n\r\n"),
            Buffer.alloc(4_096, 0xff),
            preface.subarray(0, 10),
            preface,
            Buffer.concat([preface, Buffer.alloc(64, 0xff)]),
            Buffer.concat([preface, Buffer.from([0xff, 0xff, 0xff, 0, 0, 0, 0, 0, 0])]),
        ];
        await Promise.all(openings.map(async bytes => {
            const socket = connect(port, "127.0.0.1").on("error", () => undefined).resume();
            socket.write(bytes);
            await once(socket, "close", { signal: AbortSignal.timeout(10_000) })
                .catch(() => assert.fail(`still open after ${bytes.toString("latin1").slice(0, 40)}`));
        }));
        await untilServed();
    });
});
