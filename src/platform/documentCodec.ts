/** Encoding and validation of configuration documents, and decoding of the traffic policy in them. */
import * as z from "zod";
import {
    type ConfigurationDocument,
    type DecodedDocument,
    type DocumentDecoder,
    type DocumentEntry,
    entriesBySection,
    type OmittedEntry,
    UndecodableEntryError,
} from "../model/document.ts";
import {
    emptyTrafficPolicy,
    RouteConsistency,
    type RoutePolicy,
    type ServicePolicy,
    type WorkspacePolicy,
} from "../model/trafficPolicy.ts";
import {
    describeIgnored,
    describeIssue,
    limitsSchema,
    routeSchema,
    serviceSchema,
    storedRouteSchema,
    storedServiceSchema,
    storedTenantSchema,
    tenantSchema,
} from "./documentSchemas.ts";
import { type JsonField, readJsonObject, UnreadableTextError } from "./jsonText.ts";
import { proxyId } from "./wireCodec.ts";
import { isWireKey, isWireWord, keyRule, toWireName, wordRule } from "./wireNames.ts";

const consistencyByKind = {
    primary: RouteConsistency.Primary,
    bounded: RouteConsistency.Bounded,
    own: RouteConsistency.Session,
} as const;

/** The elements have schemas of their own: a list of thousands that do not match would yield as many issues. */
const listSchema = z.custom<readonly unknown[]>(value => Array.isArray(value), "must be a list");

const documentSchema = z.object({
    version: z.number().int().nonnegative(),
    routes: listSchema,
    services: listSchema,
    limits: limitsSchema.optional(),
    tenants: listSchema.default([]),
});

interface DocumentBody {
    readonly routes: readonly z.infer<typeof routeSchema>[];
    readonly services: readonly z.infer<typeof serviceSchema>[];
    readonly tenants: readonly z.infer<typeof tenantSchema>[];
}

/** Sections whose elements are separate entries, if their value is an array. */
const listSections = ["routes", "services", "tenants"];

/** Rejection of a document; the message is shown to the operator. */
export class InvalidDocumentError extends Error {}

/**
 * Decodes and validates the JSON text of a document.
 * @throws InvalidDocumentError if the text is invalid or inconsistent
 */
export function decodeDocument(text: string): ConfigurationDocument {
    const { fields, value } = readObject(text);
    const result = documentSchema.safeParse(value);
    if (!result.success) {
        throw new InvalidDocumentError(describeIssue(result.error, []));
    }
    const body: DocumentBody = {
        routes: decodeElements("routes", routeSchema, result.data.routes),
        services: decodeElements("services", serviceSchema, result.data.services),
        tenants: decodeElements("tenants", tenantSchema, result.data.tenants),
    };
    checkNames(body);
    checkReferences(body);
    const sections = fields.filter(({ name }) => name !== "version");
    return {
        documentVersion: result.data.version,
        sections: sections.map(field => ({ name: field.name, list: isList(field) })),
        entries: sections.flatMap(field =>
            isList(field)
                ? encodeListEntries(field, value[field.name] as readonly { readonly name: string; }[])
                : [{ entryId: encodeSectionId(field.name), section: field.name, body: field.text, place: 1 }]
        ),
    };
}

/** Encodes a document as JSON with the content that the operator sent, unknown fields included. */
export function encodeDocument(document: ConfigurationDocument): string {
    const entries = entriesBySection(document);
    const bodies = document.sections.map(({ name: section, list }) => {
        const value = entries.get(section)!.map(({ body }) => body).join(",");
        return `${JSON.stringify(section)}:${list ? `[${value}]` : value}`;
    });
    return `{${[`"version":${document.documentVersion}`, ...bodies].join(",")}}`;
}

/** Decodes the entries of a document into a traffic policy. Parsed entries are cached. */
export class TrafficPolicyDecoder implements DocumentDecoder {
    private readonly parsedByEntry = new WeakMap<DocumentEntry, unknown>();
    private readonly regions: ReadonlySet<string>;

    /** @param options `regions` that data centres are in; by default, none is known and all names are taken as they are */
    constructor({ regions = new Set() }: { readonly regions?: ReadonlySet<string>; } = {}) {
        this.regions = regions;
    }

    decode(document: ConfigurationDocument): DecodedDocument {
        const entries = entriesBySection(document);
        const omittedEntries: OmittedEntry[] = [];
        const decodeSection = <Body, Item>(
            section: string,
            schema: z.ZodType<Body>,
            decodeItem: (body: Body) => Item,
            isUsable: (body: Body) => boolean,
        ): readonly Item[] =>
            (entries.get(section) ?? []).flatMap(entry => {
                const value = this.parseJson(entry);
                const body = parseEntry(schema, entry, value);
                omittedEntries.push(...describeIgnored(section, entry.entryId, value, this.regions));
                if (!isUsable(body)) {
                    omittedEntries.push({ entryId: entry.entryId, reason: `a name ${wordRule}` });
                }
                return isUsable(body) ? [decodeItem(body)] : [];
            });
        // Earlier releases stored names that no line can carry. Nobody can ask for such a route or send such a key.
        const routes = decodeSection("routes", storedRouteSchema, decodeRoute, isUsableRoute);
        const services = decodeSection("services", storedServiceSchema, decodeService, ({ name }) => isName(name));
        const workspaces = decodeSection("tenants", storedTenantSchema, decodeTenant, ({ name }) => isTenantName(name));
        const [transactionIdleMs = 0] = decodeSection("limits", limitsSchema, decodeIdleLimit, () => true);
        const policy = {
            ...emptyTrafficPolicy,
            version: document.documentVersion,
            routesByDatabase: new Map(routes.map(route => [route.database, route])),
            services: new Map(services.map(service => [service.name, service])),
            workspaces: new Map(workspaces.map(workspace => [workspace.name, workspace])),
            workspaceByKey: new Map(workspaces.flatMap(({ name, keys }) => keys.map(key => [key, name] as const))),
            transactionIdleMs,
        };
        return { policy, omittedEntries };
    }

    private parseJson(entry: DocumentEntry): unknown {
        const cached = this.parsedByEntry.get(entry);
        if (cached !== undefined) {
            return cached;
        }
        const value = parseBody(entry);
        this.parsedByEntry.set(entry, value);
        return value;
    }
}

function parseBody({ entryId, body }: DocumentEntry): unknown {
    try {
        return JSON.parse(body);
    }
    catch {
        // The error quotes the text, which may hold keys, and the reason is logged.
        throw new UndecodableEntryError(entryId, "the body is not JSON");
    }
}

function parseEntry<Body>(schema: z.ZodType<Body>, { entryId }: DocumentEntry, value: unknown): Body {
    const result = schema.safeParse(value);
    if (!result.success) {
        throw new UndecodableEntryError(entryId, describeIssue(result.error, []));
    }
    return result.data;
}

/** @throws InvalidDocumentError for the first element that does not match */
function decodeElements<Body>(
    section: string,
    schema: z.ZodType<Body>,
    values: readonly unknown[],
): readonly Body[] {
    return values.map((value, index) => {
        const result = schema.safeParse(value);
        if (!result.success) {
            throw new InvalidDocumentError(describeIssue(result.error, [section, index]));
        }
        return result.data;
    });
}

function decodeRoute(body: z.infer<typeof routeSchema>): RoutePolicy {
    return {
        name: body.name,
        database: toWireName(body.host),
        service: toWireName(body.service),
        consistency: consistencyByKind[body.kind],
        maximumAgeMs: body.kind === "primary" ? 0 : body.max_staleness_ms ?? 0,
        statementLimitMs: body.timeout_ms,
        targetLatencyMs: body.target_latency_ms ?? body.timeout_ms,
        priority: body.priority,
        open: body.public,
        ...homesOf(body),
    };
}

function decodeService(body: z.infer<typeof serviceSchema>): ServicePolicy {
    return {
        name: toWireName(body.name),
        connectionLimit: body.max_conns,
        synchronousReplicas: body.sync_replicas,
        ...body.cold_per_s === 0 ? {} : { coldStartMs: 1_000 * body.cold_start_s, coldPerSecond: body.cold_per_s },
    };
}

function decodeTenant(body: z.infer<typeof tenantSchema>): WorkspacePolicy {
    return {
        name: toWireName(body.name),
        keys: body.api_keys.map(toWireName).filter(isWireKey),
        ratePerSecond: body.rate_per_s,
        burst: body.burst,
        ...homesOf(body),
    };
}

/** Names of regions that no settings know stay: what is bound to them alone has no database that may run it. */
function homesOf({ home_regions: homeRegions }: { readonly home_regions: readonly string[]; }): {
    readonly homeRegions?: readonly string[];
} {
    return homeRegions.length === 0 ? {} : { homeRegions };
}

function decodeIdleLimit({ tx_idle_ms: idleMs = 0 }: z.infer<typeof limitsSchema>): number {
    return idleMs;
}

function readObject(text: string): ReturnType<typeof readJsonObject> {
    try {
        return readJsonObject(text);
    }
    catch (error) {
        if (!(error instanceof UnreadableTextError)) {
            throw error;
        }
        throw new InvalidDocumentError(error.message);
    }
}

/** The names of routes stay within the process and may be any text. */
function checkNames({ routes, services, tenants }: DocumentBody): void {
    routes.forEach(({ host, service }, index) => {
        require(isName(host), `routes.${index}.host`, wordRule);
        require(isName(service), `routes.${index}.service`, wordRule);
    });
    services.forEach(({ name }, index) => require(isName(name), `services.${index}.name`, wordRule));
    tenants.forEach(({ name, api_keys: keys }, index) => {
        require(isTenantName(name), `tenants.${index}.name`, `${wordRule}, and not "${proxyId}"`);
        keys.forEach((key, position) =>
            require(isWireKey(toWireName(key)), `tenants.${index}.api_keys.${position}`, keyRule)
        );
    });
}

function isUsableRoute({ host, service }: z.infer<typeof routeSchema>): boolean {
    return isName(host) && isName(service);
}

function isName(text: string): boolean {
    return isWireWord(toWireName(text));
}

/** A database that gets "-" for the tenant takes the caller for the proxy itself. */
function isTenantName(text: string): boolean {
    return text !== proxyId && isName(text);
}

function require(isValid: boolean, path: string, rule: string): void {
    if (!isValid) {
        throw new InvalidDocumentError(`"${path}" ${rule}`);
    }
}

function checkReferences({ routes, services, tenants }: DocumentBody): void {
    const serviceNames = new Set(services.map(service => service.name));
    const unknown = routes.find(route => !serviceNames.has(route.service));
    if (unknown !== undefined) {
        throw new InvalidDocumentError(`route "${unknown.name}" names the unknown service "${unknown.service}"`);
    }
    requireDistinct("route place", routes.map(route => JSON.stringify([route.host, route.path_prefix])));
    requireDistinct("service", services.map(service => service.name));
    requireDistinct("tenant", tenants.map(tenant => tenant.name));
    requireDistinct("key", tenants.flatMap(tenant => [...new Set(tenant.api_keys)]), "two tenants share a key");
}

function requireDistinct(description: string, values: readonly string[], detail?: string): void {
    const seenValues = new Set<string>();
    for (const value of values) {
        if (seenValues.has(value)) {
            throw new InvalidDocumentError(detail ?? `the ${description} ${value} is there twice`);
        }
        seenValues.add(value);
    }
}

function isList({ name, elements }: JsonField): boolean {
    return listSections.includes(name) && elements !== undefined;
}

function encodeListEntries(
    { name: section, elements }: JsonField,
    values: readonly { readonly name: string; }[],
): readonly DocumentEntry[] {
    const countByName = new Map<string, number>();
    return elements!.map((body, position) => {
        const { name } = values[position]!;
        const occurrence = (countByName.get(name) ?? 0) + 1;
        countByName.set(name, occurrence);
        return { entryId: encodeElementId(section, name, occurrence), section, body, place: position + 1 };
    });
}

/**
 * Identifies elements by their name, and elements of the same name by their order. The id of an element contains "/", that
 * of a section does not; "#" in a name is doubled. Earlier releases recognise elements of a section by "SECTION/".
 */
function encodeElementId(section: string, name: string, occurrence: number): string {
    const baseId = `${section}/${name.replaceAll("#", "##")}`;
    return occurrence === 1 ? baseId : `${baseId}#${occurrence}`;
}

function encodeSectionId(section: string): string {
    return section.replaceAll("%", "%25").replaceAll("/", "%2F");
}
