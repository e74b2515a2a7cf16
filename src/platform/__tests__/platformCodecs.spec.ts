import fc from "fast-check";
import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { describe, it } from "node:test";
import { LinkCommandKind } from "../../model/linkMessages.ts";
import { SessionStatementKind, StatementFault } from "../../model/sessionStatement.ts";
import { decodeDatabaseReport } from "../databaseReportCodec.ts";
import { decodeDocument, encodeDocument, InvalidDocumentError, TrafficPolicyDecoder } from "../documentCodec.ts";
import { decodePlatformSettings } from "../platformSettings.ts";
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

function withChange(change: (body: typeof documentBody) => void): string {
    const body = structuredClone(documentBody);
    change(body);
    return JSON.stringify(body);
}

describe("lines of the wire", () => {
    it("are the same however the stream is cut", () => {
        const text = "CONNECT a b\r\nQUERY 1 READ x\r\nQUERY 2 WRITE y \xe9 z\r\n";
        fc.assert(
            fc.property(fc.array(fc.nat(text.length), { maxLength: 8 }), cuts => {
                const places = [0, ...cuts.sort((left, right) => left - right), text.length];
                const reader = new LineReader();
                const lines = places.slice(1).flatMap((end, index) =>
                    reader.push(Buffer.from(text.slice(places[index], end), "latin1"))
                );
                assert.deepEqual(lines, ["CONNECT a b", "QUERY 1 READ x", "QUERY 2 WRITE y \xe9 z"]);
            }),
            { seed },
        );
    });

    it("are refused above the limit of the protocol", () => {
        const reader = new LineReader();
        assert.throws(() => reader.push(Buffer.alloc(maximumLineBytes + 1, 65)), RangeError);
    });
});

describe("statements of the wire", () => {
    it("are decoded into what they do", () => {
        assert.equal(decodeStatement("1", "BEGIN READ")!.kind, SessionStatementKind.BeginRead);
        assert.deepEqual(decodeStatement("1", "PREPARE n WRITE q r")!.prepared, { writes: true, shape: "q r" });
        assert.deepEqual(
            [decodeStatement("1", "EXECUTE n item some data")!.name, decodeStatement("1", "EXECUTE n i d e")!.argument],
            ["n", "i d e"],
        );
    });

    it("are refused, not thrown over, whatever they say", () => {
        fc.assert(fc.property(fc.string(), fc.string(), (id, text) => void decodeStatement(id, text)), { seed });
        ["", "BEGIN WRITE", "READ", "PREPARE n DELETE q", "PREPARE n READ", "AFTER 1.2 READ x", "STATUS"].forEach(
            text => assert.equal(decodeStatement("1", text), undefined, text),
        );
    });

    it("reach a database unchanged but for the position and a renamed statement", () => {
        const statement = decodeStatement("5c", "EXECUTE n 1a4 some data")!;
        const after = { term: 3, offset: 1207 };
        const command = { kind: LinkCommandKind.Execute, statement, name: "w_q", floor: after } as const;
        assert.equal(encodeCommand(command), "QUERY 5c AFTER 3.1207 EXECUTE w_q 1a4 some data\r\n");
        const read = decodeStatement("5d", "READ 1a4")!;
        assert.equal(
            encodeCommand({ kind: LinkCommandKind.Run, statement: read, floor: undefined }),
            "QUERY 5d READ 1a4\r\n",
        );
    });

    it("have a code for each fault, and an unknown code promises nothing", () => {
        Object.values(StatementFault).forEach(fault => assert.equal(decodeFault(encodeFault(fault)), fault));
        assert.equal(decodeFault("NEWCODE"), StatementFault.Failed);
    });

    it("carry positions of whole numbers only", () => {
        assert.deepEqual(decodePosition("3.1207"), { term: 3, offset: 1207 });
        ["-", "", "3", "3.x", "-1.2", "1.2.3"].forEach(text => assert.equal(decodePosition(text), undefined, text));
    });
});

describe("configuration documents", () => {
    it("are read back with the content under which they were sent", () => {
        const text = JSON.stringify(documentBody);
        assert.deepEqual(JSON.parse(encodeDocument(decodeDocument(text))), documentBody);
    });

    it("become the policy that the filters use", () => {
        const policy = new TrafficPolicyDecoder().decode(decodeDocument(JSON.stringify(documentBody)));
        assert.equal(policy.routesByDatabase.get("a")!.maximumAgeMs, 1500);
        assert.equal(policy.routesByDatabase.get("b")!.maximumAgeMs, 0);
        assert.equal(policy.routesByDatabase.get("b")!.open, true);
        assert.equal(policy.workspaceByKey.get("k2"), "t");
        assert.equal(policy.services.get("s")!.connectionLimit, 22);
        assert.equal(policy.transactionIdleMs, 3000);
    });

    it("are refused whole when they contradict themselves", () => {
        const invalid = [
            JSON.stringify(documentBody).slice(0, -3),
            "[]",
            withChange(body => body.routes[0]!.service = "none"),
            withChange(body => body.routes[1]!.host = "a"),
            withChange(body => body.routes[0]!.timeout_ms = 0),
            withChange(body => body.tenants.push({ name: "u", api_keys: ["k1"], rate_per_s: 1, burst: 1 })),
            withChange(body => body.version = -1),
        ];
        invalid.forEach(text => assert.throws(() => decodeDocument(text), InvalidDocumentError, text));
    });

    it("are refused where they are nested too deeply to be kept", () => {
        const nested = "[".repeat(200_000) + "]".repeat(200_000);
        const route = `{"name":"r","host":"h","kind":"own","timeout_ms":5,"service":"s","other":${nested}}`;
        const documents = [
            `{"version":3,"routes":[],"services":[],"other":${nested}}`,
            `{"version":3,"routes":[${route}],"services":[{"name":"s"}]}`,
        ];
        documents.forEach(text => assert.throws(() => decodeDocument(text), InvalidDocumentError));
    });

    it("never throw anything but a refusal", () => {
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
    const beat = {
        service: "s",
        address: "10.0.0.1:80",
        zone: "z",
        slots: 3,
        state: "ready",
        db_role: "replica",
        seq: 4,
    };

    it("are decoded, also without a birth", () => {
        assert.equal(decodeDatabaseReport("i", JSON.stringify({ ...beat, born: 12 }), nowUnixMs)!.bornUnixMs, 12);
        assert.equal(decodeDatabaseReport("i", JSON.stringify(beat), nowUnixMs)!.leads, false);
    });

    it("of another writer name no database", () => {
        const wrong = [
            "",
            "{",
            "null",
            JSON.stringify({ ...beat, state: "odd" }),
            JSON.stringify({ ...beat, seq: "4" }),
        ];
        wrong.forEach(text => assert.equal(decodeDatabaseReport("i", text, nowUnixMs), undefined, text));
        fc.assert(fc.property(fc.json(), text => void decodeDatabaseReport("i", text, nowUnixMs)), { seed });
    });

    it("with a value out of range name no database", () => {
        // Guards against processes that end when they connect to an address that cannot be one.
        const addresses = [
            ...["99999", "65536", "0", "-1", "1e3", ""].map(port => `10.0.0.1:${port}`),
            "10.0.0.1",
            "10.0.0.256:80",
            "999.1.1:80",
            "::1:80",
        ];
        const odd = [
            ...addresses.map(address => ({ address })),
            ...[0, -1, 1.5, 1e300, 65_537].map(slots => ({ slots })),
            ...[-1, 0.5, 1e308].map(seq => ({ seq })),
            ...[-1, 1.5, 1e300, nowUnixMs + 3_600_000].map(born => ({ born })),
            ...["", "a b", "a\r\nQUERY - STATUS", "s".repeat(300)].flatMap(word => [{ service: word }, { zone: word }]),
        ];
        odd.forEach(fields => {
            const text = JSON.stringify({ ...beat, ...fields });
            assert.equal(decodeDatabaseReport("i", text, nowUnixMs), undefined, text.slice(0, 200));
        });
        ["", "a b", "a\r\nQUIT", "i".repeat(300)].forEach(databaseId =>
            assert.equal(decodeDatabaseReport(databaseId, JSON.stringify(beat), nowUnixMs), undefined, databaseId)
        );
    });

    it("nested deeply are refused, and ignored in a field that is unknown", () => {
        const nested = "[".repeat(1_000_000) + "]".repeat(1_000_000);
        assert.equal(decodeDatabaseReport("i", nested, nowUnixMs), undefined);
        const body = JSON.stringify(beat);
        assert.equal(decodeDatabaseReport("i", body.replace("\"s\"", nested), nowUnixMs), undefined);
        assert.equal(decodeDatabaseReport("i", body.replace("{", `{"other":${nested},`), nowUnixMs)!.service, "s");
    });
});

describe("settings of a process", () => {
    const file = {
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

    it("give the number of disks that may be lost at one moment", () => {
        const toleranceOf = (fields: object): number =>
            decodePlatformSettings(JSON.stringify({ ...file, ...fields }), "f").faultTolerance;
        assert.equal(toleranceOf({ fault_tolerance: { machines: 2, zones: 0, regions: 0 } }), 2);
        assert.equal(toleranceOf({ fault_tolerance: { machines: 0, zones: 1 } }), 1);
        assert.equal(toleranceOf({ seeds: ["10.1.0.1:1", "10.1.0.2:1", "10.1.0.3:1"] }), 1);
        assert.throws(() => toleranceOf({ fault_tolerance: { machines: -1 } }), /f: "fault_tolerance\.machines"/);
    });

    it("give the gRPC addresses of the seeds", () => {
        const settings = decodePlatformSettings(JSON.stringify(file), "f");
        assert.deepEqual(settings.seeds[1], { memberId: "10.2.0.26", address: "10.2.0.26:7560" });
        assert.equal(settings.terminationGracePeriodMs, 6_000);
        assert.equal(settings.callerEndpoint, undefined);
    });

    it("tell what is tolerated beyond a rate, nothing where no contract counts it", () => {
        const settings = decodePlatformSettings(JSON.stringify(file), "f");
        assert.deepEqual(settings.rateTolerance, { windowMs: 5_000, share: 0.1, operations: 20 });
        const uncounted = decodePlatformSettings(JSON.stringify({ ...file, bounds: { grace_s: 6 } }), "f");
        assert.deepEqual(uncounted.rateTolerance, { windowMs: 1_000, share: 0, operations: 0 });
    });

    it("name the file and the field of a fault", () => {
        const text = JSON.stringify({ ...file, seeds: ["nowhere"] });
        assert.throws(() => decodePlatformSettings(text, "local.json"), /local\.json: "seeds\.0"/);
        assert.throws(() => decodePlatformSettings("{", "local.json"), /local\.json/);
    });
});

describe("names of the platform", () => {
    it("stand only in platform/", () => {
        const words =
            /Jasmineline-|Instances\.Heartbeat|Config\.Put|sync_replicas|cloud_api|max_staleness_ms|MISROUTED/;
        const files = readdirSync("src", { recursive: true, encoding: "utf8" })
            .filter(path => path.endsWith(".ts") && !path.startsWith("platform") && !path.includes("__tests__"));
        assert.deepEqual(files.filter(path => words.test(readFileSync(join("src", path), "utf8"))), []);
    });
});
