/** Schemas of the elements of configuration documents, and what has no effect in stored ones. */
import * as z from "zod";
import type { OmittedEntry } from "../model/document.ts";

const nameSchema = z.string().min(1);

const regionsSchema = z.custom<readonly string[]>(isTextList, "must be a list of texts").default([]);

export const routeSchema = z.object({
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
    home_regions: regionsSchema,
});

export const serviceSchema = z.object({
    name: nameSchema,
    max_conns: z.number().int().positive().default(16),
    sync_replicas: z.number().int().nonnegative().default(0),
    cold_start_s: z.number().nonnegative().default(0),
    cold_per_s: z.number().nonnegative().default(0),
});

export const tenantSchema = z.object({
    name: nameSchema,
    api_keys: z.custom<readonly string[]>(isTextList, "must be a list of texts").default([]),
    rate_per_s: z.number().nonnegative(),
    burst: z.number().nonnegative().default(0),
    home_regions: regionsSchema,
});

/** Earlier releases stored whatever stood in these fields, and did not read them. */
export const storedServiceSchema = serviceSchema.extend({
    cold_start_s: serviceSchema.shape.cold_start_s.catch(0),
    cold_per_s: serviceSchema.shape.cold_per_s.catch(0),
});
export const storedRouteSchema = routeSchema.extend({ home_regions: regionsSchema.catch([]) });
export const storedTenantSchema = tenantSchema.extend({ home_regions: regionsSchema.catch([]) });

export const limitsSchema = z.object({ tx_idle_ms: z.number().nonnegative().optional() });

/** Tells what has no effect in an entry. */
export function describeIgnored(
    section: string,
    entryId: string,
    value: unknown,
    regions: ReadonlySet<string>,
): readonly OmittedEntry[] {
    switch (section) {
        case "routes":
        case "tenants":
            return describeHomes(entryId, value, regions);
        case "services": {
            const result = serviceSchema.safeParse(value);
            return result.success ? [] : [{ entryId, reason: `${describeIssue(result.error, [])}: ignored` }];
        }
        default:
            return [];
    }
}

function describeHomes(entryId: string, value: unknown, regions: ReadonlySet<string>): readonly OmittedEntry[] {
    const homes = regionsSchema.safeParse((value as { readonly home_regions?: unknown; }).home_regions);
    if (!homes.success) {
        return [{ entryId, reason: `home_regions ${homes.error.issues[0]?.message}: ignored` }];
    }
    const unknown = regions.size === 0 ? undefined : homes.data.find(region => !regions.has(region));
    return unknown === undefined ? [] : [{ entryId, reason: "home_regions names an unknown region" }];
}

/** @param path leads to the value that was checked */
export function describeIssue({ issues: [issue] }: z.ZodError, path: readonly (string | number)[]): string {
    return `"${[...path, ...issue?.path ?? []].join(".")}": ${issue?.message ?? "invalid"}`;
}

function isTextList(value: unknown): boolean {
    return Array.isArray(value) && value.every(text => typeof text === "string");
}
