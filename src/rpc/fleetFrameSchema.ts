/** Checks of the frames that arrive on attachments. Fields that a later release adds are dropped. */
import * as z from "zod";
import { databaseReportSchema } from "../model/databaseReportSchema.ts";

const count = z.int().nonnegative();
const durationMs = z.number().nonnegative();
const position = z.object({ term: count, offset: count });

/** Instances by data centre: id and address of each. */
const encodedInstances = z.record(z.string(), z.array(z.tuple([z.string(), z.string()])));

/** Database ids with numbers of tasks. */
const taskCounts = z.array(z.tuple([z.string(), count])).max(4_096);

const permitAnswer = z.union([
    z.tuple([z.string(), count]),
    z.tuple([z.string(), count, durationMs]),
    z.tuple([z.string(), count, durationMs, count, z.int()]),
]);

const frameSchemas = {
    hello: z.object({
        kind: z.literal("hello"),
        instanceId: z.string().min(1),
        serves: z.boolean(),
        leaving: z.boolean(),
        dataCentre: z.string(),
        address: z.string(),
        knowsEvacuations: z.boolean().optional(),
    }),
    leaving: z.object({ kind: z.literal("leaving") }),
    follow_instances: z.object({ kind: z.literal("follow_instances"), followed: z.boolean() }),
    instances: z.object({ kind: z.literal("instances"), instances: encodedInstances }),
    instances_changed: z.object({
        kind: z.literal("instances_changed"),
        joined: encodedInstances,
        left: z.array(z.string()),
    }),
    status: z.object({
        kind: z.literal("status"),
        instanceId: z.string(),
        leading: z.boolean(),
        term: count,
        members: z.array(z.string()),
        configurationVersion: count,
        instanceCount: count,
        grantsLeases: z.boolean().optional(),
    }),
    status_asked: z.object({ kind: z.literal("status_asked") }),
    configuration: z.object({ kind: z.literal("configuration"), version: count }),
    databases: z.object({ kind: z.literal("databases"), reports: z.array(databaseReportSchema) }),
    remembered_asked: z.object({ kind: z.literal("remembered_asked") }),
    remembered: z.object({ kind: z.literal("remembered"), reports: z.array(databaseReportSchema) }),
    database_left: z.object({
        kind: z.literal("database_left"),
        databaseId: z.string(),
        bornUnixMs: z.number().nonnegative().optional(),
    }),
    want: z.object({
        kind: z.literal("want"),
        sequence: count,
        heard: count,
        term: count,
        wants: z.array(z.tuple([z.string(), count, count, count, count])),
    }),
    permits: z.object({
        kind: z.literal("permits"),
        term: count,
        sequence: count,
        answers: z.array(permitAnswer),
    }),
    cold_want: z.object({ kind: z.literal("cold_want"), sequence: count, wants: taskCounts }),
    cold_grant: z.object({
        kind: z.literal("cold_grant"),
        sequence: count,
        validMs: durationMs,
        grants: taskCounts,
    }),
    lease_asked: z.object({ kind: z.literal("lease_asked"), sequence: count }),
    lease_granted: z.object({ kind: z.literal("lease_granted"), sequence: count, validMs: durationMs }),
    suspect: z.object({ kind: z.literal("suspect"), databaseId: z.string() }),
    assess: z.object({ kind: z.literal("assess"), databaseId: z.string() }),
    assessment: z.object({
        kind: z.literal("assessment"),
        databaseId: z.string(),
        answeredAgeMs: durationMs.optional(),
        unansweredAgeMs: durationMs.optional(),
    }),
    proof_asked: z.object({ kind: z.literal("proof_asked"), questionId: z.string() }),
    proof: z.object({ kind: z.literal("proof"), questionId: z.string(), configurationVersion: count }),
    commits_asked: z.object({
        kind: z.literal("commits_asked"),
        questionId: z.string(),
        service: z.string(),
        fence: count.optional(),
    }),
    commits_seen: z.object({
        kind: z.literal("commits_seen"),
        questionId: z.string(),
        service: z.string(),
        highest: position.optional(),
        reached: position.optional(),
        sentAgeMs: durationMs.optional(),
        watchedMs: durationMs,
    }),
};

export type CheckedFrame = z.infer<typeof frameSchemas[keyof typeof frameSchemas]>;

/**
 * Returns the frame, or undefined if its kind is unknown: a peer of a later release sent it.
 * @throws Error that names the kind and the field of a malformed frame
 */
export function checkFrame(value: unknown): CheckedFrame | undefined {
    const kind = (value as { readonly kind?: unknown; } | null)?.kind;
    if (typeof kind !== "string") {
        throw new Error("a frame without a kind");
    }
    if (!Object.hasOwn(frameSchemas, kind)) {
        return undefined;
    }
    const result = frameSchemas[kind as keyof typeof frameSchemas].safeParse(value);
    if (!result.success) {
        const [issue] = result.error.issues;
        throw new Error(`frame "${kind}", field "${issue?.path.join(".")}": ${issue?.message}`);
    }
    return result.data;
}
