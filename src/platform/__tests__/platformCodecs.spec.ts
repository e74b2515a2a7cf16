import fc from "fast-check";
import assert from "node:assert/strict";
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { LinkCommandKind } from "../../model/linkMessages.ts";
import { SessionStatementKind, StatementFault } from "../../model/sessionStatement.ts";
import { decodeDatabaseReport, decodeDepartedStart } from "../databaseReportCodec.ts";
import { decodeDocument, encodeDocument, InvalidDocumentError, TrafficPolicyDecoder } from "../documentCodec.ts";
import { decodePlatformSettings, readCompleteSettings } from "../platformSettings.ts";
import { decodeFault, decodePosition, decodeStatement, encodeCommand, encodeFault } from "../wireCodec.ts";
import { LineReader, maximumLineBytes } from "../wireLines.ts";

const seed = 20261204;

const documentBody = {
    version: 7,
    routes: [
        {
            name: "r1",
            host: "a",
            path_prefix: "/",
            kind: "bounded",
            timeout_ms: 2000,
            service: "s",
            max_staleness_ms: 1500,
        },
        { name: "r2", host: "b", path_prefix: "/", kind: "primary", timeout_ms: 1000, service: "s", public: true },
    ],
    services: [{ name: "s", max_conns: 22, sync_replicas: 1, extra: { kept: [1, 2] } }],
    limits: { tx_idle_ms: 3000, other: 1 },
    tenants: [{ name: "t", api_keys: ["k1", "k2"], rate_per_s: 99, burst: 99 }],
    unknown: "kept",
};

function encodeChanged(change: (body: typeof documentBody) => void): string {
    const body = structuredClone(documentBody);
    change(body);
    return JSON.stringify(body);
}

describe("lines of the wire protocol", () => {
    it("do not depend on how the stream is split into chunks", () => {
        const text = "CONNECT a b\r\nQUERY 1 READ x\r\nQUERY 2 WRITE y \xe9 z\r\n";
        fc.assert(
            fc.property(fc.array(fc.nat(text.length), { maxLength: 8 }), splitOffsets => {
                const offsets = [0, ...splitOffsets.sort((left, right) => left - right), text.length];
                const reader = new LineReader();
                const lines = offsets.slice(1).flatMap((end, index) =>
                    reader.push(Buffer.from(text.slice(offsets[index], end), "latin1"))
                );
                assert.deepEqual(lines, ["CONNECT a b", "QUERY 1 READ x", "QUERY 2 WRITE y \xe9 z"]);
            }),
            { seed },
        );
    });

    it("end at CR LF only, wherever the stream is split, so that no part of a text becomes a message", () => {
        const texts = fc.array(
            fc.string({ unit: fc.constantFrom("\r", "\n", "\r\n", " ", "a", "\xe9"), maxLength: 12 }),
        );
        fc.assert(
            fc.property(texts, fc.array(fc.integer({ min: 1, max: 5 }), { minLength: 1 }), (parts, chunkBytes) => {
                const stream = `${parts.join("")}\r\n`;
                const reader = new LineReader();
                const lines: string[] = [];
                for (let offset = 0, chunk = 0; offset < stream.length; chunk++) {
                    const end = offset + chunkBytes[chunk % chunkBytes.length]!;
                    lines.push(...reader.push(Buffer.from(stream.slice(offset, end), "latin1")));
                    offset = end;
                }
                assert.deepEqual(lines, stream.split("\r\n").slice(0, -1));
                assert.equal(reader.pendingBytes, 0);
            }),
            { seed, numRuns: 500 },
        );
    });

    it("of maximum size do not stop the process, however slowly they arrive", () => {
        const reader = new LineReader();
        const chunk = Buffer.alloc(64, 65);
        const startMs = performance.now();
        for (let offset = 0; offset < maximumLineBytes; offset += chunk.length) {
            assert.deepEqual(reader.push(chunk), []);
        }
        assert.deepEqual(reader.push(Buffer.from("\r")), []);
        assert.equal(reader.push(Buffer.from("\n"))[0]!.length, maximumLineBytes);
        const elapsedMs = performance.now() - startMs;
        assert.ok(elapsedMs < 1_500, `${elapsedMs} ms`);
    });

    it("are rejected above the limit of the protocol", () => {
        const reader = new LineReader();
        assert.throws(() => reader.push(Buffer.alloc(maximumLineBytes + 1, 65)), RangeError);
        const slowReader = new LineReader();
        slowReader.push(Buffer.alloc(maximumLineBytes, 65));
        assert.throws(() => slowReader.push(Buffer.from("A\r\n")), RangeError);
        assert.throws(() => new LineReader().push(Buffer.from(`${"A".repeat(maximumLineBytes + 1)}\r\nB`)), RangeError);
    });
});

describe("statements of the wire protocol", () => {
    it("are decoded", () => {
        assert.equal(decodeStatement("1", "BEGIN READ")!.kind, SessionStatementKind.BeginRead);
        assert.deepEqual(decodeStatement("1", "PREPARE n WRITE q r")!.prepared, { writes: true, shape: "q r" });
        assert.deepEqual(
            [decodeStatement("1", "EXECUTE n item some data")!.name, decodeStatement("1", "EXECUTE n i d e")!.argument],
            ["n", "i d e"],
        );
    });

    it("are rejected without an exception if they are invalid", () => {
        fc.assert(fc.property(fc.string(), fc.string(), (id, text) => void decodeStatement(id, text)), { seed });
        ["", "BEGIN WRITE", "READ", "PREPARE n DELETE q", "PREPARE n READ", "AFTER 1.2 READ x", "STATUS"].forEach(
            text => assert.equal(decodeStatement("1", text), undefined, text),
        );
    });

    it("are refused where a database could read another statement than the proxy did", () => {
        // Guards against a COMMIT that the database does not run, and a value that differs from the acknowledged one.
        const texts = ["COMMIT x", "COMMIT ", "ROLLBACK x", "BEGIN READ x", "BEGIN ", "SET v", "SET  x", "DEALLOC a b"]
            .concat(
                "PREPARE  READ q",
                "PREPARE n  READ q",
                "PREPARE n READ ",
                "PREPARE READ q",
                "EXECUTE  x",
                "EXECUTE n",
            )
            .concat("EXECUTE n ", "READ ", "WRITE ", " READ x", "AFTER 1.2 READ x", "read x", "COMMIT\r", "\nREAD x");
        texts.forEach(text => assert.equal(decodeStatement("1", text), undefined, JSON.stringify(text)));
        ["", "-"].forEach(id => assert.equal(decodeStatement(id, "READ x"), undefined, id));
    });

    it("are sent to a database as they came, whatever bytes they hold", () => {
        const bytes = fc.string({
            unit: fc.constantFrom(" ", "\r", "\n", "a", "\0", "\xff", "-"),
            minLength: 1,
            maxLength: 9,
        });
        const ids = fc.string({ unit: fc.constantFrom("a", "-", "\n", "\r", "\xe9"), minLength: 2, maxLength: 9 });
        const verbs = fc.constantFrom("READ ", "WRITE ", "EXECUTE n ", "SET n ", "PREPARE n WRITE ");
        fc.assert(
            fc.property(ids, verbs, bytes, (id, verb, rest) => {
                fc.pre(!`${id} ${rest}`.includes("\r\n"));
                const text = `${verb}${rest}`;
                const statement = decodeStatement(id, text)!;
                switch (statement.kind) {
                    case SessionStatementKind.Execute: {
                        const command = {
                            kind: LinkCommandKind.Execute,
                            statement,
                            name: "p1",
                            floor: undefined,
                        } as const;
                        assert.equal(encodeCommand(command), `QUERY ${id} EXECUTE p1 ${rest}\r\n`);
                        return;
                    }
                    case SessionStatementKind.SetValue: {
                        const { name, argument: value } = statement;
                        const command = { kind: LinkCommandKind.SetValue, name, value } as const;
                        assert.equal(encodeCommand(command), `QUERY - ${text}\r\n`);
                        return;
                    }
                    case SessionStatementKind.Prepare: {
                        const { name, prepared } = statement;
                        const command = { kind: LinkCommandKind.Prepare, name, prepared: prepared! } as const;
                        assert.equal(encodeCommand(command), `QUERY - ${text}\r\n`);
                        return;
                    }
                    default: {
                        const command = { kind: LinkCommandKind.Run, statement, floor: undefined } as const;
                        assert.equal(encodeCommand(command), `QUERY ${id} ${text}\r\n`);
                    }
                }
            }),
            { seed },
        );
    });

    it("are refused if they could be too long to be forwarded, and else are forwarded at any size", () => {
        // Guards against links that end because a position or a name makes a message longer than the protocol allows.
        const after = { term: Number.MAX_SAFE_INTEGER, offset: Number.MAX_SAFE_INTEGER };
        const textOf = (prefix: string, id: string, bytes: number): string =>
            prefix + "x".repeat(bytes - `QUERY ${id} ${prefix}`.length);
        for (
            const [prefix, id] of [["READ ", "1"], ["EXECUTE n ", "1"], ["PREPARE n READ ", "1"], [
                "SET n ",
                "1",
            ]] as const
        ) {
            let accepted = 0;
            for (let bytes = maximumLineBytes - 60; bytes <= maximumLineBytes; bytes++) {
                const statement = decodeStatement(id, textOf(prefix, id, bytes));
                if (statement !== undefined) {
                    accepted += 1;
                    const { name, prepared, argument: value } = statement;
                    const command = statement.kind === SessionStatementKind.Execute
                        ? { kind: LinkCommandKind.Execute, statement, name: "p9999999", floor: after } as const
                        : statement.kind === SessionStatementKind.Prepare
                        ? { kind: LinkCommandKind.Prepare, name: "p9999999", prepared: prepared! } as const
                        : statement.kind === SessionStatementKind.SetValue
                        ? { kind: LinkCommandKind.SetValue, name, value } as const
                        : { kind: LinkCommandKind.Run, statement, floor: after } as const;
                    assert.ok(encodeCommand(command).length <= maximumLineBytes + 2, prefix);
                }
            }
            assert.ok(accepted > 10, prefix);
        }
        const write = decodeStatement("1", textOf("WRITE x ", "1", maximumLineBytes))!;
        const command = { kind: LinkCommandKind.Run, statement: write, floor: undefined } as const;
        assert.equal(encodeCommand(command).length, maximumLineBytes + 2);
    });

    it("are sent to a database unchanged except for the position and the name of a prepared statement", () => {
        const statement = decodeStatement("5c", "EXECUTE n 1a4 some data")!;
        const after = { term: 3, offset: 1207 };
        const command = { kind: LinkCommandKind.Execute, statement, name: "p1", floor: after } as const;
        assert.equal(encodeCommand(command), "QUERY 5c AFTER 3.1207 EXECUTE p1 1a4 some data\r\n");
        const read = decodeStatement("5d", "READ 1a4")!;
        assert.equal(
            encodeCommand({ kind: LinkCommandKind.Run, statement: read, floor: undefined }),
            "QUERY 5d READ 1a4\r\n",
        );
    });

    it("have a code for each fault, and an unknown code is decoded as a failure", () => {
        Object.values(StatementFault).forEach(fault => assert.equal(decodeFault(encodeFault(fault)), fault));
        assert.equal(decodeFault("NEWCODE"), StatementFault.Failed);
    });

    it("accept only positions of whole numbers", () => {
        assert.deepEqual(decodePosition("3.1207"), { term: 3, offset: 1207 });
        ["-", "", "3", "3.x", "-1.2", "1.2.3", ".", "3.", ".3", "1.99999999999999999999", "1.2\n"].forEach(text =>
            assert.equal(decodePosition(text), undefined, text)
        );
    });
});

describe("configuration documents", () => {
    it("are encoded with the content that was decoded", () => {
        const text = JSON.stringify(documentBody);
        assert.deepEqual(JSON.parse(encodeDocument(decodeDocument(text))), documentBody);
    });

    it("are decoded into a traffic policy", () => {
        const { policy } = new TrafficPolicyDecoder().decode(decodeDocument(JSON.stringify(documentBody)));
        assert.equal(policy.routesByDatabase.get("a")!.maximumAgeMs, 1500);
        assert.equal(policy.routesByDatabase.get("b")!.maximumAgeMs, 0);
        assert.equal(policy.routesByDatabase.get("b")!.open, true);
        assert.equal(policy.workspaceByKey.get("k2"), "t");
        assert.equal(policy.services.get("s")!.connectionLimit, 22);
        assert.equal(policy.transactionIdleMs, 3000);
    });

    it("are rejected if they are invalid or inconsistent", () => {
        const invalidTexts = [
            JSON.stringify(documentBody).slice(0, -3),
            "[]",
            encodeChanged(body => body.routes[0]!.service = "none"),
            encodeChanged(body => body.routes[1]!.host = "a"),
            encodeChanged(body => body.routes[0]!.timeout_ms = 0),
            encodeChanged(body => body.tenants.push({ name: "u", api_keys: ["k1"], rate_per_s: 1, burst: 1 })),
            encodeChanged(body => body.version = -1),
        ];
        invalidTexts.forEach(text => assert.throws(() => decodeDocument(text), InvalidDocumentError, text));
    });

    it("are rejected if they are nested too deeply to be encoded", () => {
        const nested = "[".repeat(200_000) + "]".repeat(200_000);
        const route = `{"name":"r","host":"h","kind":"own","timeout_ms":5,"service":"s","other":${nested}}`;
        const documents = [
            `{"version":3,"routes":[],"services":[],"other":${nested}}`,
            `{"version":3,"routes":[${route}],"services":[{"name":"s"}]}`,
        ];
        documents.forEach(text => assert.throws(() => decodeDocument(text), InvalidDocumentError));
    });

    it("cause no other exception than InvalidDocumentError", () => {
        fc.assert(
            fc.property(fc.json(), text => {
                try {
                    decodeDocument(text);
                }
                catch (error) {
                    assert.ok(error instanceof InvalidDocumentError);
                }
            }),
            { seed },
        );
    });
});

describe("heartbeats of databases", () => {
    const nowUnixMs = Date.UTC(2026, 11, 5);
    const heartbeat = {
        service: "s",
        address: "10.0.0.1:80",
        zone: "z",
        slots: 3,
        state: "ready",
        db_role: "replica",
        seq: 4,
    };

    it("are decoded, also without a start time", () => {
        assert.equal(decodeDatabaseReport("i", JSON.stringify({ ...heartbeat, born: 12 }), nowUnixMs)!.bornUnixMs, 12);
        assert.equal(decodeDatabaseReport("i", JSON.stringify(heartbeat), nowUnixMs)!.leads, false);
    });

    it("tell for how long the database stays cold, if it says so", () => {
        const coldLeftIn = (fields: object): number | undefined =>
            decodeDatabaseReport("i", JSON.stringify({ ...heartbeat, ...fields }), nowUnixMs)!.coldLeftMs;
        assert.equal(coldLeftIn({}), undefined);
        assert.equal(coldLeftIn({ cold_left_ms: 0 }), 0);
        assert.equal(coldLeftIn({ cold_left_ms: 4_000.5 }), 4_000.5);
        for (const odd of [-1, "5", true, [], {}]) {
            const text = JSON.stringify({ ...heartbeat, cold_left_ms: odd });
            assert.equal(decodeDatabaseReport("i", text, nowUnixMs), undefined, text);
        }
    });

    it("name the process that leaves only by a start time that can be one", () => {
        assert.equal(decodeDepartedStart("{\"born\":12,\"other\":1}", nowUnixMs), 12);
        const others = ["", "{", "null", "[]", "{}", "{\"born\":\"12\"}", "{\"born\":-1}", "{\"born\":9e15}"];
        others.forEach(text => assert.equal(decodeDepartedStart(text, nowUnixMs), undefined, text));
    });

    it("are rejected if they do not match the schema", () => {
        const invalidBodies = [
            "",
            "{",
            "null",
            JSON.stringify({ ...heartbeat, state: "odd" }),
            JSON.stringify({ ...heartbeat, seq: "4" }),
        ];
        invalidBodies.forEach(text => assert.equal(decodeDatabaseReport("i", text, nowUnixMs), undefined, text));
        fc.assert(fc.property(fc.json(), text => void decodeDatabaseReport("i", text, nowUnixMs)), { seed });
    });

    it("are rejected if a value is out of range", () => {
        // Guards against processes that terminate when they connect to an invalid address.
        const addresses = [
            ...["99999", "65536", "0", "-1", "1e3", ""].map(port => `10.0.0.1:${port}`),
            "10.0.0.1",
            "10.0.0.256:80",
            "999.1.1:80",
            "::1:80",
        ];
        const invalidFields = [
            ...addresses.map(address => ({ address })),
            ...[0, -1, 1.5, 1e300, 65_537].map(slots => ({ slots })),
            ...[-1, 0.5, 1e308].map(seq => ({ seq })),
            ...[-1, 1.5, 1e300, nowUnixMs + 3_600_000].map(born => ({ born })),
            ...["", "a b", "a\r\nQUERY - STATUS", "s".repeat(300)].flatMap(word => [{ service: word }, { zone: word }]),
        ];
        invalidFields.forEach(fields => {
            const text = JSON.stringify({ ...heartbeat, ...fields });
            assert.equal(decodeDatabaseReport("i", text, nowUnixMs), undefined, text.slice(0, 200));
        });
        ["", "a b", "a\r\nQUIT", "i".repeat(300)].forEach(databaseId =>
            assert.equal(decodeDatabaseReport(databaseId, JSON.stringify(heartbeat), nowUnixMs), undefined, databaseId)
        );
    });

    it("are rejected if they are nested deeply, unless in an unknown field", () => {
        const nested = "[".repeat(1_000_000) + "]".repeat(1_000_000);
        assert.equal(decodeDatabaseReport("i", nested, nowUnixMs), undefined);
        const body = JSON.stringify(heartbeat);
        assert.equal(decodeDatabaseReport("i", body.replace("\"s\"", nested), nowUnixMs), undefined);
        assert.equal(decodeDatabaseReport("i", body.replace("{", `{"other":${nested},`), nowUnixMs)!.service, "s");
    });
});

describe("platform settings", () => {
    const settingsFile = {
        node: "core-1",
        serves: ["control"],
        ip: "10.1.0.29",
        zone: "z",
        listen: { control: "10.1.0.29:8462" },
        port_range: [7560, 7575],
        seeds: ["10.1.0.29:8462", "10.2.0.26:8462"],
        bootstrap: true,
        data_dir: "/data",
        heartbeat_interval_ms: 1200,
        bounds: { grace_s: 6, quota_window_s: 5, quota_tolerance: 0.1, quota_slack: 20 },
        later: "ignored",
    };

    it("contain the number of disks that may be lost simultaneously", () => {
        const decodeFaultTolerance = (fields: object): number =>
            decodePlatformSettings(JSON.stringify({ ...settingsFile, ...fields }), "f").faultTolerance;
        assert.equal(decodeFaultTolerance({ fault_tolerance: { machines: 2, zones: 0, regions: 0 } }), 2);
        assert.equal(decodeFaultTolerance({ fault_tolerance: { machines: 0, zones: 1 } }), 1);
        assert.equal(decodeFaultTolerance({ seeds: ["10.1.0.1:1", "10.1.0.2:1", "10.1.0.3:1"] }), 1);
        assert.throws(
            () => decodeFaultTolerance({ fault_tolerance: { machines: -1 } }),
            /f: "fault_tolerance\.machines"/,
        );
    });

    it("count the members in all zones of a region that may be lost, as far as a majority is left", () => {
        const toleranceIn = (zoneRegions: readonly string[], tolerated: object): number => {
            const zones = Object.fromEntries(zoneRegions.map((region, index) => [`z${index}`, region]));
            const text = JSON.stringify({ ...settingsFile, zones, fault_tolerance: tolerated });
            return decodePlatformSettings(text, "f").faultTolerance;
        };
        const threePairs = ["a", "a", "b", "b", "c", "c"];
        assert.equal(toleranceIn(threePairs, { machines: 2, zones: 1, regions: 1 }), 2);
        assert.equal(toleranceIn(threePairs, { machines: 1, zones: 1, regions: 1 }), 2);
        assert.equal(toleranceIn(threePairs, { machines: 1, zones: 1, regions: 0 }), 1);
        assert.equal(toleranceIn(["a", "b", "c"], { machines: 0, zones: 0, regions: 1 }), 1);
        assert.equal(toleranceIn(["a", "a", "a", "b", "b", "c", "c"], { regions: 1 }), 3);
        assert.equal(toleranceIn(["a", "a", "a", "b", "b", "b"], { regions: 1 }), 2);
        assert.equal(toleranceIn([], { regions: 1 }), 1);
    });

    it("contain the gRPC addresses of the seeds", () => {
        const settings = decodePlatformSettings(JSON.stringify(settingsFile), "f");
        assert.deepEqual(settings.seeds[1], { memberId: "10.2.0.26", address: "10.2.0.26:7560" });
        assert.equal(settings.terminationGracePeriodMs, 6_000);
        assert.equal(settings.callerEndpoint, undefined);
    });

    it("are read once the platform has written all of the file, and refused if it does not", async t => {
        // Guards against a process that ends because it starts while its settings file is being written.
        const folder = mkdtempSync(join(tmpdir(), "jasmineline-settings-"));
        t.after(() => rmSync(folder, { recursive: true }));
        const path = join(folder, "local.json");
        const text = JSON.stringify(settingsFile);
        writeFileSync(path, "");
        const reading = readCompleteSettings(path);
        await delay(100);
        writeFileSync(path, text.slice(0, 40));
        await delay(100);
        writeFileSync(path, text);
        assert.equal((await reading).instanceId, "core-1");
        writeFileSync(path, text.slice(0, 40));
        await assert.rejects(readCompleteSettings(path), /local\.json/);
    });

    it("contain the rate tolerance, which is 0 by default", () => {
        const settings = decodePlatformSettings(JSON.stringify(settingsFile), "f");
        assert.deepEqual(settings.rateTolerance, { windowMs: 5_000, share: 0.1, operations: 20 });
        const withoutContract = decodePlatformSettings(
            JSON.stringify({ ...settingsFile, bounds: { grace_s: 6 } }),
            "f",
        );
        assert.deepEqual(withoutContract.rateTolerance, { windowMs: 1_000, share: 0, operations: 0 });
    });

    it("contain the tolerance for cold databases, which is 0 where it cannot be read", () => {
        const toleranceOf = (bounds: object): object =>
            decodePlatformSettings(JSON.stringify({ ...settingsFile, bounds: { grace_s: 6, ...bounds } }), "f")
                .coldTolerance;
        assert.deepEqual(toleranceOf({ cold_excess: 1.5, cold_slack: 5 }), { excess: 1.5, statements: 5 });
        assert.deepEqual(toleranceOf({}), { excess: 1, statements: 0 });
        assert.deepEqual(toleranceOf({ cold_excess: -1, cold_slack: "5" }), { excess: 1, statements: 0 });
    });

    it("contain the region of each data centre, as far as it can be read", () => {
        const regionsOf = (fields: object): readonly (readonly [string, string])[] => [
            ...decodePlatformSettings(JSON.stringify({ ...settingsFile, ...fields }), "f").dataCentreRegions,
        ];
        assert.deepEqual(regionsOf({ region: "r", zones: { z: "r", y: "q" } }), [["z", "r"], ["y", "q"]]);
        assert.deepEqual(regionsOf({ region: "r" }), [["z", "r"]]);
        assert.deepEqual(regionsOf({ region: 5, zones: { z: 5, y: "q", x: ["q"], w: "" } }), [["y", "q"]]);
        for (const odd of JSON.parse("[null,5,\"z\",[\"z\"],[{}]]") as unknown[]) {
            assert.deepEqual(regionsOf({ zones: odd }), []);
        }
        assert.deepEqual(regionsOf({}), []);
    });

    it("cause an error that names the file and the field if they are invalid", () => {
        const text = JSON.stringify({ ...settingsFile, seeds: ["nowhere"] });
        assert.throws(() => decodePlatformSettings(text, "local.json"), /local\.json: "seeds\.0"/);
        assert.throws(() => decodePlatformSettings("{", "local.json"), /local\.json/);
        // Guards against a member that ends with ERR_INVALID_CHAR when it sends its first promotion order.
        ["a\r\nb", "a\nb", "\u20ac", "a "].forEach(name => {
            const odd = JSON.stringify({ ...settingsFile, node: name });
            assert.throws(() => decodePlatformSettings(odd, "local.json"), /local\.json: "node"/);
        });
        const oddHost = JSON.stringify({ ...settingsFile, ip: "10.0.0.1\r\n" });
        assert.throws(() => decodePlatformSettings(oddHost, "local.json"), /local\.json: "ip"/);
    });
});

describe("names of the platform", () => {
    it("appear only in platform/", () => {
        const platformNames =
            /Jasmineline-|Instances\.Heartbeat|Config\.Put|sync_replicas|cloud_api|max_staleness_ms|MISROUTED/;
        const files = readdirSync("src", { recursive: true, encoding: "utf8" })
            .filter(path => path.endsWith(".ts") && !path.startsWith("platform") && !path.includes("__tests__"));
        assert.deepEqual(files.filter(path => platformNames.test(readFileSync(join("src", path), "utf8"))), []);
    });
});
