/** Encoding and validation of configuration documents, and decoding of the traffic policy in them. */
import * as z from "zod";
import type { ConfigurationDocument, DocumentDecoder, DocumentEntry } from "../model/document.ts";
import { emptyTrafficPolicy, RouteConsistency, type RoutePolicy, type TrafficPolicy } from "../model/trafficPolicy.ts";

const nameSchema = z.string().min(1);

const consistencyByKind = {
    primary: RouteConsistency.Primary,
    bounded: RouteConsistency.Bounded,
    own: RouteConsistency.Session,
} as const;

const routeSchema = z.object({
    name: nameSchema,
    host: nameSchema,
    path_prefix: z.string().default("/"),
    kind: z.enum(["primary", "bounded", "own"]),
    timeout_ms: z.number().positive(),
    target_latency_ms: z.number().nonnegative().optional(),
    priority: z.number().nonnegative().default(1),
    service: nameSchema,
    max_staleness_ms: z.number().nonnegative().optional(),
    public: z.boolean().default(false),
});

const serviceSchema = z.object({
    name: nameSchema,
    max_conns: z.number().int().positive().default(16),
    sync_replicas: z.number().int().nonnegative().default(0),
});

const tenantSchema = z.object({
    name: nameSchema,
    api_keys: z.array(nameSchema).default([]),
    rate_per_s: z.number().nonnegative(),
    burst: z.number().nonnegative().default(0),
});

const documentSchema = z.object({
    version: z.number().int().nonnegative(),
    routes: z.array(routeSchema),
    services: z.array(serviceSchema),
    limits: z.object({ tx_idle_ms: z.number().nonnegative().optional() }).optional(),
    tenants: z.array(tenantSchema).optional(),
});

type RouteBody = z.infer<typeof routeSchema>;

/** Sections whose elements are separate entries, if their value is an array. */
const listSections = ["routes", "services", "tenants"];

/** Rejection of a document; the message is shown to the operator. */
export class InvalidDocumentError extends Error {}

/**
 * Decodes and validates the JSON text of a document.
 * @throws InvalidDocumentError if the text is invalid or inconsistent
 */
export function decodeDocument(text: string): ConfigurationDocument {
    const body = parseObject(text);
    const result = documentSchema.safeParse(body);
    if (!result.success) {
        const [issue] = result.error.issues;
        throw new InvalidDocumentError(`"${issue?.path.join(".")}": ${issue?.message ?? "invalid"}`);
    }
    checkReferences(result.data);
    const sections = Object.entries(body).filter(([section]) => section !== "version");
    return {
        documentVersion: result.data.version,
        sections: sections.map(([section, value]) => ({ name: section, list: isList(section, value) })),
        entries: sections.flatMap(([section, value]) =>
            isList(section, value)
                ? encodeListEntries(section, value as readonly { readonly name?: unknown; }[])
                : [{ entryId: section, body: stringifyEntry(section, value), place: 1 }]
        ),
    };
}

/** Encodes a document as JSON with the content that the operator sent, unknown fields included. */
export function encodeDocument({ documentVersion, sections, entries }: ConfigurationDocument): string {
    const bodies = sections.map(({ name: section, list }) => {
        const sectionEntries = entries.filter(({ entryId }) =>
            list ? entryId.startsWith(`${section}/`) : entryId === section
        );
        const ordered = [...sectionEntries].sort((left, right) => left.place - right.place);
        const value = ordered.map(({ body }) => body).join(",");
        return `${JSON.stringify(section)}:${list ? `[${value}]` : value}`;
    });
    return `{${[`"version":${documentVersion}`, ...bodies].join(",")}}`;
}

/** Decodes the entries of a document into a traffic policy. Parsed entries are cached. */
export class TrafficPolicyDecoder implements DocumentDecoder {
    private readonly parsedByEntry = new WeakMap<DocumentEntry, unknown>();

    decode({ documentVersion, entries }: ConfigurationDocument): TrafficPolicy {
        const section = (prefix: string): readonly unknown[] =>
            entries.filter(({ entryId }) => entryId.startsWith(`${prefix}/`)).map(entry => this.parseEntry(entry));
        const limits = entries.find(({ entryId }) => entryId === "limits");
        const routes = section("routes").map(body => decodeRoute(routeSchema.parse(body)));
        const tenants = section("tenants").map(body => tenantSchema.parse(body));
        const services = section("services").map(body => serviceSchema.parse(body));
        return {
            ...emptyTrafficPolicy,
            version: documentVersion,
            routesByDatabase: new Map(routes.map(route => [route.database, route])),
            services: new Map(services.map(service => [service.name, {
                name: service.name,
                connectionLimit: service.max_conns,
                synchronousReplicas: service.sync_replicas,
            }])),
            workspaces: new Map(tenants.map(tenant => [tenant.name, {
                name: tenant.name,
                keys: tenant.api_keys,
                ratePerSecond: tenant.rate_per_s,
                burst: tenant.burst,
            }])),
            workspaceByKey: new Map(tenants.flatMap(tenant => tenant.api_keys.map(key => [key, tenant.name] as const))),
            transactionIdleMs: limits === undefined ? 0 : transactionIdleMs(this.parseEntry(limits)),
        };
    }

    private parseEntry(entry: DocumentEntry): unknown {
        const cached = this.parsedByEntry.get(entry);
        if (cached !== undefined) {
            return cached;
        }
        const value: unknown = JSON.parse(entry.body);
        this.parsedByEntry.set(entry, value);
        return value;
    }
}

function decodeRoute(body: RouteBody): RoutePolicy {
    return {
        name: body.name,
        database: body.host,
        service: body.service,
        consistency: consistencyByKind[body.kind],
        maximumAgeMs: body.kind === "primary" ? 0 : body.max_staleness_ms ?? 0,
        statementLimitMs: body.timeout_ms,
        targetLatencyMs: body.target_latency_ms ?? body.timeout_ms,
        priority: body.priority,
        open: body.public,
    };
}

function transactionIdleMs(limits: unknown): number {
    return (limits as { readonly tx_idle_ms?: number; }).tx_idle_ms ?? 0;
}

function parseObject(text: string): Record<string, unknown> {
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch (error) {
        throw new InvalidDocumentError(`not JSON: ${(error as Error).message}`);
    }
    if (typeof value !== "object" || !value || Array.isArray(value)) {
        throw new InvalidDocumentError("a document is a JSON object");
    }
    return value as Record<string, unknown>;
}

function checkReferences({ routes, services, tenants }: z.infer<typeof documentSchema>): void {
    const serviceNames = new Set(services.map(service => service.name));
    const unknown = routes.find(route => !serviceNames.has(route.service));
    if (unknown !== undefined) {
        throw new InvalidDocumentError(`route "${unknown.name}" names the unknown service "${unknown.service}"`);
    }
    requireDistinct("route place", routes.map(route => `${route.host} ${route.path_prefix}`));
    requireDistinct("service", services.map(service => service.name));
    requireDistinct("tenant", (tenants ?? []).map(tenant => tenant.name));
    requireDistinct("key", (tenants ?? []).flatMap(tenant => [...new Set(tenant.api_keys)]), "two tenants share a key");
}

function requireDistinct(description: string, values: readonly string[], detail?: string): void {
    const seenValues = new Set<string>();
    for (const value of values) {
        if (seenValues.has(value)) {
            throw new InvalidDocumentError(detail ?? `the ${description} "${value}" is there twice`);
        }
        seenValues.add(value);
    }
}

function isList(section: string, value: unknown): boolean {
    return listSections.includes(section) && Array.isArray(value);
}

/** Identifies elements by their name; an element whose name is already in use, by name and position. */
function encodeListEntries(
    section: string,
    elements: readonly { readonly name?: unknown; }[],
): readonly DocumentEntry[] {
    const seenValues = new Set<string>();
    return elements.map((element, position) => {
        const baseId = `${section}/${String(element.name)}`;
        const entryId = seenValues.has(baseId) ? `${baseId}#${position}` : baseId;
        seenValues.add(entryId);
        return { entryId, body: stringifyEntry(entryId, element), place: position + 1 };
    });
}

/** @throws InvalidDocumentError if the value is nested so deeply that encoding it overflows the stack */
function stringifyEntry(entryId: string, value: unknown): string {
    try {
        return JSON.stringify(value);
    }
    catch (error) {
        throw new InvalidDocumentError(`"${entryId}" is nested too deeply: ${(error as Error).message}`);
    }
}
