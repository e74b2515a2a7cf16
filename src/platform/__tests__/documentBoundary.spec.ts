import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { emptyControlState } from "../../control/controlState.ts";
import { putDocument } from "../../control/documentCommands.ts";
import { diffDocuments } from "../../fleet/documentDifference.ts";
import { type ConfigurationDocument, type DocumentEntry, emptyDocument } from "../../model/document.ts";
import { decodeDatabaseReport, decodeDepartedId } from "../databaseReportCodec.ts";
import { decodeDocument, encodeDocument, InvalidDocumentError, TrafficPolicyDecoder } from "../documentCodec.ts";

const documentBody = {
    version: 7,
    routes: [{ name: "r", host: "h", kind: "primary", timeout_ms: 1_000, service: "s" }],
    services: [{ name: "s" }],
    tenants: [{ name: "t", api_keys: ["k"], rate_per_s: 9 }],
};

function routesNamed(...names: readonly string[]): readonly object[] {
    return names.map((name, position) => ({ ...documentBody.routes[0], name, host: `h${position}` }));
}

/** Stores `after` in place of `before` as the control members do, and returns what they then hold. */
function store(before: ConfigurationDocument, after: ConfigurationDocument): ConfigurationDocument {
    const configuration = {
        ...emptyControlState.configuration,
        documentHeads: before.documentVersion === 0 ? [] : [before],
        documentEntries: before.entries,
    };
    const { state } = putDocument({ ...emptyControlState, configuration }, diffDocuments(before, after));
    return { ...state.configuration.documentHeads[0]!, entries: state.configuration.documentEntries };
}

function storedContent(body: object): unknown {
    return JSON.parse(encodeDocument(store(emptyDocument, decodeDocument(JSON.stringify(body)))));
}

describe("sections of a configuration document", () => {
    it("are not taken for elements of another section, whatever their names", () => {
        const tenant = { ...documentBody.tenants[0], name: "x" };
        const body = { ...documentBody, "routes/x": 5, "tenants/x": tenant, "routes/r": 6, "a/b": 7, "a%2Fb": 8 };
        const document = decodeDocument(JSON.stringify(body));
        const { policy } = new TrafficPolicyDecoder().decode(store(emptyDocument, document));
        assert.deepEqual([...policy.routesByDatabase.keys()], ["h"]);
        assert.deepEqual([...policy.workspaceByKey], [["k", "t"]]);
        assert.deepEqual(storedContent(body), body);
    });

    it("may hold routes whose hosts and prefixes are the same text when joined", () => {
        const places = [{ host: "a", path_prefix: "b/" }, { host: "ab", path_prefix: "/" }];
        const routes = places.map(place => ({ ...documentBody.routes[0], ...place }));
        assert.deepEqual(storedContent({ ...documentBody, routes }), { ...documentBody, routes });
    });

    it("keep all elements of the same name, in any order", () => {
        const orders = [["a", "a", "a#1"], ["a#2", "a", "a"], ["a#1", "a", "a"], ["a", "a#2", "a"], ["a#", "a", "a#"]];
        orders.forEach(names => {
            const body = { ...documentBody, routes: routesNamed(...names) };
            assert.deepEqual(storedContent(body), body, names.join());
        });
    });
});

describe("the text of a configuration document", () => {
    const text = JSON.stringify(documentBody);
    const withField = (field: string): string => text.replace("{", `{${field},`);

    it("is refused with the place of what cannot be read, or is read differently elsewhere", () => {
        const refusals: readonly (readonly [string, RegExp])[] = [
            [withField("\"routes\":[]"), /"routes" is there twice/],
            [withField("\"r\\u006futes\":[]"), /"routes" is there twice/],
            [withField("\"version\":8"), /"version" is there twice/],
            [text.replace("\"name\":\"t\"", "\"name\":\"t\",\"name\":\"u\""), /"tenants\.0\.name" is there twice/],
            [text.replace("\"name\":\"t\"", "\"name\":\"t\\ud800\""), /"tenants\.0\.name" holds half of/],
            [withField("\"other\":{\"a\":{\"b\":1,\"b\":1}}"), /"other\.a\.b" is there twice/],
            [text.replace("\"version\":7", "\"version\":9007199254740993"), /"version"/],
            [text.replace("\"rate_per_s\":9", "\"rate_per_s\":1e400"), /"tenants\.0\.rate_per_s"/],
            [`\ufeff${text}`, /byte order mark/],
        ];
        refusals.forEach(([refused, reason]) =>
            assert.throws(() => decodeDocument(refused), error => {
                assert.ok(error instanceof InvalidDocumentError);
                assert.match(error.message, reason);
                return true;
            })
        );
    });

    it("is refused at its first fault, however many there are", () => {
        // Guards against a body of 360 KB whose 120,000 empty routes end a member with "heap out of memory".
        const keys = JSON.stringify({ ...documentBody.tenants[0], api_keys: Array.from({ length: 200_000 }, () => 1) });
        const texts = [
            text.replace("\"routes\":[", `"routes":[${"{},".repeat(120_000)}`),
            text.replace(/"tenants":\[.*\]/, `"tenants":[${keys}]`),
        ];
        texts.forEach(refused => {
            const before = process.cpuUsage();
            assert.throws(() => decodeDocument(refused), /"(routes\.0\.name|tenants\.0\.api_keys)"/);
            const processorMs = process.cpuUsage(before).user / 1_000;
            assert.ok(processorMs < 1_000, `${processorMs} ms`);
        });
    });

    it("comes back with the numbers and names that were sent", () => {
        const other =
            "\"other\":[1e400,9007199254740993,0.10,-0,1E2,\"\\u00e9\\\"\\\\\"],\"__proto__\":{\"__proto__\":1}";
        assert.equal(
            encodeDocument(store(emptyDocument, decodeDocument(`{${other},${text.slice(1)}`))),
            `{"version":7,${other},${text.slice("{\"version\":7,".length)}`,
        );
    });
});

/** The document with names and keys of its elements replaced. */
function documentNamed(names: { host?: string; service?: string; tenant?: string; key?: string; }): string {
    const { host = "h", service = "s", tenant = "t", key = "k" } = names;
    return JSON.stringify({
        ...documentBody,
        routes: [{ ...documentBody.routes[0], name: "any\r\n text", host, service }],
        services: [{ name: service }],
        tenants: [{ name: tenant, api_keys: ["other", key], rate_per_s: 9 }],
    });
}

describe("names of a configuration document", () => {
    const notWords = [
        "a b",
        " a",
        "a ",
        "a\r\nQUERY - STEPDOWN 99",
        "a\n",
        "a\r",
        "a\t",
        "a\0",
        "a\x7f",
        "",
        "x".repeat(65_537),
    ];

    it("are refused with their place if they are more than one word of a line", () => {
        // Guards against a tenant whose name, sent within CONNECT, is taken for a statement of the proxy.
        const refusals: readonly (readonly [string, RegExp])[] = [
            ...notWords.flatMap(text =>
                [
                    [documentNamed({ host: text }), /"routes\.0\.host"/],
                    [documentNamed({ service: text }), /"routes\.0\.service"/],
                    [documentNamed({ tenant: text }), /"tenants\.0\.name"/],
                ] as const
            ),
            [documentNamed({ tenant: "-" }), /"tenants\.0\.name"/],
            ...["", "a\r\nb", "x".repeat(65_537)].map(key =>
                [documentNamed({ key }), /"tenants\.0\.api_keys\.1"/] as const
            ),
        ];
        refusals.forEach(([text, place]) => assert.throws(() => decodeDocument(text), place, text.slice(0, 400)));
    });

    it("may be any other text, and are compared with the bytes that callers send", () => {
        const names = { host: "h\u00e9", service: "s-\u20ac.1", tenant: "t\u010d\u010a", key: "k \u20ac/\n" };
        const { policy } = new TrafficPolicyDecoder().decode(decodeDocument(documentNamed(names)));
        const wireName = (text: string): string => Buffer.from(text, "utf8").toString("latin1");
        assert.equal(policy.routesByDatabase.get(wireName(names.host))!.service, wireName(names.service));
        assert.equal(policy.workspaceByKey.get(wireName(names.key)), wireName(names.tenant));
        const heartbeat = {
            service: names.service,
            address: "10.0.0.1:80",
            zone: "z",
            state: "ready",
            db_role: "replica",
        };
        const report = decodeDatabaseReport("i\u00e9", JSON.stringify({ ...heartbeat, seq: 1 }), 0)!;
        assert.ok(policy.services.has(report.service));
        assert.equal(report.databaseId, decodeDepartedId("i\u00e9"));
    });

    it("that an earlier release stored reach no line if they are more than one word", () => {
        const stored = decodeDocument(JSON.stringify(documentBody));
        const extra = (section: string, value: object): DocumentEntry => ({
            entryId: `${section}/extra`,
            body: JSON.stringify(value),
            place: 9,
        });
        const { policy, omittedEntries } = new TrafficPolicyDecoder().decode({
            ...stored,
            entries: [
                ...stored.entries,
                extra("routes", { ...documentBody.routes[0], host: "other", service: "a b" }),
                extra("services", { name: "a b" }),
                extra("tenants", { name: "a\r\nQUERY - STEPDOWN 99", api_keys: ["key"], rate_per_s: 1 }),
            ],
        });
        assert.deepEqual([...policy.routesByDatabase.keys()], ["h"]);
        assert.deepEqual([[...policy.services.keys()], [...policy.workspaceByKey]], [["s"], [["k", "t"]]]);
        assert.deepEqual(omittedEntries.map(({ entryId }) => entryId), [
            "routes/extra",
            "services/extra",
            "tenants/extra",
        ]);
    });
});

describe("configuration documents of earlier releases", () => {
    const entryOf = (entryId: string, value: unknown, place = 1): DocumentEntry => ({
        entryId,
        body: JSON.stringify(value),
        place,
    });
    const stored: ConfigurationDocument = {
        documentVersion: 7,
        sections: [
            { name: "routes", list: true },
            { name: "services", list: true },
            { name: "tenants", list: true },
            { name: "routes/x", list: false },
            { name: "a/b", list: false },
        ],
        entries: [
            entryOf("routes/r2", { ...documentBody.routes[0], name: "r2", host: "h2" }, 2),
            entryOf("routes/r", documentBody.routes[0]),
            entryOf("services/s", documentBody.services[0]),
            entryOf("tenants/t", documentBody.tenants[0]),
            entryOf("routes/x", 5),
            entryOf("a/b", { c: 1 }),
        ],
    };

    it("are decoded and encoded", () => {
        const { policy } = new TrafficPolicyDecoder().decode(stored);
        assert.deepEqual([...policy.routesByDatabase.keys()], ["h", "h2"]);
        assert.equal(policy.workspaceByKey.get("k"), "t");
        const content = JSON.parse(encodeDocument(stored)) as Record<string, unknown>;
        assert.deepEqual([content["routes/x"], content["a/b"]], [5, { c: 1 }]);
    });

    it("are replaced in full by the next document", () => {
        const body = { ...documentBody, version: 8, "routes/r": 6, "routes/x": 5 };
        const after = store(stored, decodeDocument(JSON.stringify(body)));
        assert.deepEqual(JSON.parse(encodeDocument(after)), body);
        assert.ok(after.entries.every(({ section }) => section !== undefined));
    });
});

describe("home regions of a configuration document", () => {
    const withHomes = (route: unknown, tenant: unknown): string =>
        JSON.stringify({
            ...documentBody,
            routes: [{ ...documentBody.routes[0], home_regions: route }],
            tenants: [{ ...documentBody.tenants[0], home_regions: tenant }],
        });
    const homesIn = (document: ConfigurationDocument, regions?: ReadonlySet<string>) => {
        const { policy, omittedEntries } = new TrafficPolicyDecoder(regions === undefined ? {} : { regions })
            .decode(document);
        return {
            route: policy.routesByDatabase.get("h")!.homeRegions,
            tenant: policy.workspaces.get("t")!.homeRegions,
            reasons: omittedEntries.map(({ entryId, reason }) => `${entryId}: ${reason}`),
        };
    };

    it("are decoded, and an empty list is none", () => {
        const { route, tenant, reasons } = homesIn(decodeDocument(withHomes(["a", "b"], [])));
        assert.deepEqual([route, tenant, reasons], [["a", "b"], undefined, []]);
    });

    it("are refused with their place if they are no list of texts", () => {
        for (
            const odd of JSON.parse("[null,5,\"a\",{},[1],[null],[[\"a\"]],{\"length\":1,\"0\":\"a\"}]") as unknown[]
        ) {
            assert.throws(
                () => decodeDocument(withHomes(odd, [])),
                /"routes\.0\.home_regions": must be a list of texts/,
            );
            assert.throws(() => decodeDocument(withHomes([], odd)), /"tenants\.0\.home_regions"/);
        }
    });

    it("bind work to no database where no region has such a name, with a reason for the log", () => {
        const document = decodeDocument(withHomes(["atlantis"], ["a", "atlantis"]));
        const { route, tenant, reasons } = homesIn(document, new Set(["a", "b"]));
        assert.deepEqual([route, tenant], [["atlantis"], ["a", "atlantis"]]);
        assert.deepEqual(reasons, [
            "routes/r: home_regions names an unknown region",
            "tenants/t: home_regions names an unknown region",
        ]);
        assert.deepEqual(homesIn(document).reasons, []);
    });

    it("that an earlier release stored unread are ignored with a reason if they are no list of texts", () => {
        const stored = decodeDocument(withHomes([], []));
        const entries = stored.entries.map(entry => ({ ...entry, body: entry.body.replace("[]", "7") }));
        const { route, tenant, reasons } = homesIn({ ...stored, entries }, new Set(["a"]));
        assert.deepEqual([route, tenant], [undefined, undefined]);
        assert.deepEqual(reasons, [
            "routes/r: home_regions must be a list of texts: ignored",
            "tenants/t: home_regions must be a list of texts: ignored",
        ]);
    });
});

describe("limits of cold databases in a configuration document", () => {
    const withCold = (fields: object): string =>
        JSON.stringify({ ...documentBody, services: [{ ...documentBody.services[0], ...fields }] });
    const serviceIn = (document: ConfigurationDocument) => {
        const { policy, omittedEntries } = new TrafficPolicyDecoder().decode(document);
        return { service: policy.services.get("s")!, reasons: omittedEntries.map(({ reason }) => reason) };
    };

    it("are decoded; 0 and no value are no limit", () => {
        const { service } = serviceIn(decodeDocument(withCold({ cold_start_s: 2.5, cold_per_s: 30 })));
        assert.deepEqual([service.coldStartMs, service.coldPerSecond], [2_500, 30]);
        for (const fields of [{}, { cold_start_s: 3 }, { cold_start_s: 3, cold_per_s: 0 }]) {
            assert.equal(serviceIn(decodeDocument(withCold(fields))).service.coldPerSecond, undefined);
        }
    });

    it("are refused with their place if they are no numbers from 0 on", () => {
        for (const odd of JSON.parse("[null,\"5\",-1,[],{},true]") as unknown[]) {
            assert.throws(() => decodeDocument(withCold({ cold_per_s: odd })), /"services\.0\.cold_per_s"/);
            assert.throws(() => decodeDocument(withCold({ cold_start_s: odd })), /"services\.0\.cold_start_s"/);
        }
    });

    it("that an earlier release stored unread are ignored with a reason", () => {
        const stored = decodeDocument(withCold({ cold_per_s: 77 }));
        const entries = stored.entries.map(entry => ({ ...entry, body: entry.body.replace("77", "\"much\"") }));
        const { service, reasons } = serviceIn({ ...stored, entries });
        assert.equal(service.coldPerSecond, undefined);
        assert.equal(reasons.length, 1);
        assert.match(reasons[0]!, /"cold_per_s".*: ignored/);
    });
});
