import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { applyDelta, diffConfigurations } from "../../control/configurationDelta.ts";
import { type ControlState, emptyControlState } from "../../control/controlState.ts";
import { putDocument } from "../../control/documentCommands.ts";
import { diffDocuments } from "../../fleet/documentDifference.ts";
import type { Configuration } from "../../model/configuration.ts";
import { type ConfigurationDocument, emptyDocument } from "../../model/document.ts";
import { UpdateKind } from "../../model/feedMessages.ts";
import { decodeUpdate, encodeUpdate } from "../../rpc/configurationCodec.ts";
import { decodeDatabaseReport, decodeDepartedId, decodeDepartedStart } from "../databaseReportCodec.ts";
import { decodeDocument, encodeDocument, InvalidDocumentError, TrafficPolicyDecoder } from "../documentCodec.ts";
import { decodeUtf8 } from "../jsonText.ts";

const seed = 20261207;
const runs = 500;

/** Texts that separators, escapes and encodings could confuse. */
const oddText = fc.oneof(
    fc.constantFrom("routes", "services", "tenants", "limits", "version", "__proto__", "constructor", "-", "a#2", "#"),
    fc.string({
        unit: fc.constantFrom("a", "b", "/", "#", "%", "2", ".", "\"", "\\", "\u00e9", "\u20ac"),
        maxLength: 4,
    }),
    fc.constantFrom("routes/x", "tenants/x", "routes/", "a/b", "a%2Fb", "\ud800", "a\r\nb", "a b", "\u{1f600}", "\0"),
);

const jsonText = fc.jsonValue({ maxDepth: 3, stringUnit: "binary" }).map(value => JSON.stringify(value));

/** JSON texts that decoders change: numbers out of range, escapes, fields that are there twice. */
const oddJson = fc.oneof(
    jsonText,
    fc.constantFrom(
        "1e400",
        "-0",
        "9007199254740993",
        "0.10",
        "\"\\u0061\"",
        "\"\\ud800\"",
        "{\"a\":1,\"a\":2}",
        " [ ] ",
    ),
    oddText.map(text => JSON.stringify(text)),
);

/** Mostly a word. */
const word = fc.oneof(
    { weight: 12, arbitrary: fc.constantFrom("a", "b", "s", "a#2", "a/b", "\u00e9", "\u0120\u20ac", "routes") },
    { weight: 1, arbitrary: oddText },
);

/** Names of elements and sections whose ids resemble each other. */
const elementName = fc.constantFrom("a", "a", "a#", "a#2", "a##2", "a#3", "/a", "2F", "a\r\nb");
const sectionName = fc.oneof(
    fc.constantFrom(
        "routes/a",
        "routes/a#2",
        "routes//a",
        "tenants/a",
        "routes%2Fa",
        "a/b",
        "a%2Fb",
        "a%252Fb",
        "routes/",
    ),
    oddText,
);

/** The members of an object as text; the names of the first ones stay as they are. */
function objectText(known: Readonly<Record<string, string>>, others: readonly (readonly [string, string])[]): string {
    const fields = [...Object.entries(known), ...others];
    return `{${fields.map(([name, value]) => `${JSON.stringify(name)}:${value}`).join(",")}}`;
}

const otherFields = fc.array(fc.tuple(oddText, oddJson), { maxLength: 1 });

/** Elements of a list get distinct hosts and keys from their position, unless another text is drawn. */
const drawnText = fc.option(word, { nil: undefined, freq: 6 });

const routeTexts = fc.array(fc.tuple(elementName, drawnText, otherFields), { maxLength: 4 }).map(routes =>
    routes.map(([name, host, others], position) =>
        objectText({
            name: JSON.stringify(name),
            host: JSON.stringify(host ?? `h${position}`),
            service: "\"s\"",
            kind: "\"own\"",
            timeout_ms: "5",
        }, others)
    )
);

const drawnKey = fc.oneof(drawnText, fc.constantFrom("a\r\nb", "\r\n", "\u010d\u010a", "a b"));

const tenantTexts = fc.array(fc.tuple(word, drawnKey, otherFields), { maxLength: 3 }).map(tenants =>
    tenants.map(([name, key, others], position) =>
        objectText({
            name: JSON.stringify(name),
            api_keys: JSON.stringify([`k${position}`, key ?? "k k\u00e9\n".repeat(position + 1)]),
            rate_per_s: "9.50",
        }, others)
    )
);

const serviceTexts = fc.array(fc.tuple(word, otherFields), { maxLength: 2 }).map(services => [
    "{\"name\":\"s\"}",
    ...services.map(([name, others]) => objectText({ name: JSON.stringify(name) }, others)),
]);

/** Mostly valid documents with odd names, fields and sections. */
const documentText = fc.record({
    routes: routeTexts,
    services: serviceTexts,
    tenants: tenantTexts,
    others: fc.array(fc.tuple(sectionName, oddJson), { maxLength: 3 }),
}).map(({ routes, services, tenants, others }) =>
    objectText({
        version: "7",
        routes: `[${routes.join(",")}]`,
        services: `[${services.join(" , ")}]`,
        tenants: `[${tenants.join(",")}]`,
    }, others)
);

const anyText = fc.oneof(
    { weight: 6, arbitrary: documentText },
    { weight: 1, arbitrary: jsonText },
    { weight: 1, arbitrary: fc.string({ unit: "binary" }) },
);

interface SentDocument {
    readonly routes: readonly { readonly host: string; }[];
    readonly services: readonly unknown[];
    readonly tenants: readonly { readonly api_keys: readonly string[]; }[];
}

/** Undefined if the text is refused. */
function decodeOrRefuse(text: string): ConfigurationDocument | undefined {
    try {
        return decodeDocument(text);
    }
    catch (error) {
        assert.ok(error instanceof InvalidDocumentError, String(error));
        return undefined;
    }
}

/** Removes the blanks between tokens; numbers and strings stay as they are. */
function compact(text: string): string {
    return text.replaceAll(/("(?:[^"\\]|\\.)*")|\s+/g, "$1");
}

function storedDocument({ documentHeads: [head], documentEntries }: Configuration): ConfigurationDocument {
    return { ...head ?? emptyDocument, entries: documentEntries };
}

/** Stores a document as the members do, with a version above the one before. */
function store(state: ControlState, document: ConfigurationDocument): ControlState {
    const before = storedDocument(state.configuration);
    const after = { ...document, documentVersion: before.documentVersion + 1 };
    const change = JSON.parse(JSON.stringify(diffDocuments(before, after))) as ReturnType<typeof diffDocuments>;
    const stored = putDocument(state, change).state;
    return { ...stored, configuration: { ...stored.configuration, version: state.configuration.version + 1 } };
}

/** What an instance has after the update from `before` to `after` was transferred. */
function transfer(before: Configuration, after: Configuration): Configuration {
    const update = decodeUpdate(encodeUpdate(diffConfigurations(before, after)));
    assert.equal(update.kind, UpdateKind.Delta);
    return applyDelta(before, update)!;
}

describe("any configuration document", () => {
    it("is refused, or comes back as it was sent and is decoded alike by every process", () => {
        let accepted = 0;
        fc.assert(
            fc.property(fc.array(anyText, { minLength: 1, maxLength: 4 }), texts => {
                let state = emptyControlState;
                for (const text of texts) {
                    const document = decodeOrRefuse(text);
                    if (document !== undefined) {
                        accepted += 1;
                        const before = state.configuration;
                        state = store(state, document);
                        const stored = storedDocument(state.configuration);
                        const received = storedDocument(transfer(before, state.configuration));
                        const sent = compact(text).replace(/"version":7/, `"version":${stored.documentVersion}`);
                        assert.equal(encodeDocument(stored), sent);
                        assert.equal(encodeDocument(received), sent);
                        const { policy, omittedEntries } = new TrafficPolicyDecoder().decode(received);
                        assert.deepEqual(new TrafficPolicyDecoder().decode(stored).policy, policy);
                        assert.deepEqual(omittedEntries, []);
                    }
                }
            }),
            { seed, numRuns: runs },
        );
        assert.ok(accepted > runs / 4, `${accepted} documents were accepted`);
    });

    it("has no two entries with the same id", () => {
        fc.assert(
            fc.property(documentText, text => {
                const entries = decodeOrRefuse(text)?.entries ?? [];
                assert.equal(new Set(entries.map(({ entryId }) => entryId)).size, entries.length);
            }),
            { seed, numRuns: runs },
        );
    });

    it("that is accepted has all its names in the policy, and one line carries each", () => {
        fc.assert(
            fc.property(documentText, text => {
                const document = decodeOrRefuse(text);
                if (document !== undefined) {
                    const { policy } = new TrafficPolicyDecoder().decode(document);
                    const words = [
                        ...policy.routesByDatabase.keys(),
                        ...policy.services.keys(),
                        ...policy.workspaces.keys(),
                    ];
                    words.forEach(name => assert.match(name, /^[\x21-\x7e\x80-\xff]+$/));
                    const { routes, services, tenants } = JSON.parse(text) as SentDocument;
                    assert.equal(policy.routesByDatabase.size, new Set(routes.map(({ host }) => host)).size);
                    assert.equal(policy.services.size, services.length);
                    assert.equal(policy.workspaces.size, tenants.length);
                    const keys = tenants.flatMap(tenant => tenant.api_keys);
                    assert.equal(policy.workspaceByKey.size, new Set(keys).size);
                    [...policy.workspaceByKey.keys()].forEach(key => assert.doesNotMatch(key, /\r\n|[^\0-\xff]/));
                }
            }),
            { seed, numRuns: runs },
        );
    });
});

describe("any bytes", () => {
    it("as a document, a heartbeat or a departure are refused or decoded", () => {
        const heartbeat = fc.record({ service: word, state: fc.constantFrom("ready", "odd"), seq: fc.jsonValue() })
            .map(fields => ({ ...fields, address: "10.0.0.1:80", zone: "z", db_role: "replica" }));
        const body = fc.oneof(
            fc.uint8Array({ maxLength: 200 }),
            heartbeat.map(fields => new TextEncoder().encode(JSON.stringify(fields))),
        );
        fc.assert(
            fc.property(body, fc.oneof(oddText, fc.string({ unit: "binary" })), (bytes, id) => {
                const text = decodeUtf8(bytes) ?? "";
                decodeOrRefuse(text);
                decodeDepartedStart(text, 0);
                const report = decodeDatabaseReport(id, text, 0);
                if (report !== undefined) {
                    assert.equal(report.databaseId, decodeDepartedId(id));
                    [report.databaseId, report.service].forEach(name => assert.match(name, /^[\x21-\x7e\x80-\xff]+$/));
                }
            }),
            { seed, numRuns: runs },
        );
    });
});
