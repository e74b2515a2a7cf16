/**
 * Checks of log entries and snapshot records that come from a peer or a disk. They require what the control state relies
 * on and keep all other fields, because a record of an earlier or a later release may have fewer or more of them.
 */
import * as z from "zod";
import {
    type EntryBody,
    EntryKind,
    type LogEntry,
    ObjectList,
    RecordKind,
    type SnapshotRecord,
} from "./replicatedLog.ts";

const count = z.int().nonnegative();
const member = z.looseObject({ memberId: z.string(), incarnation: z.string(), address: z.string() });

const entryBody = z.discriminatedUnion("kind", [
    z.looseObject({ kind: z.literal(EntryKind.NoOp) }),
    z.looseObject({
        kind: z.literal(EntryKind.Command),
        operationId: z.string(),
        command: z.looseObject({ kind: z.string() }),
    }),
    z.looseObject({ kind: z.literal(EntryKind.Members), members: z.array(member) }),
]);

const logEntry = z.looseObject({ index: z.int().positive(), term: count, body: entryBody });

const name = z.string();
const version = count.optional();
const amount = z.number().nonnegative().optional();

const objectValues: Readonly<Record<ObjectList, z.ZodType>> = {
    [ObjectList.WorkClasses]: z.looseObject({
        name,
        maximumAgeMs: amount,
        waitingMs: amount,
        repeat: z.string().optional(),
        objectiveShare: amount,
        version,
    }),
    [ObjectList.Workspaces]: z.looseObject({
        name,
        ratePerSecond: amount,
        burst: amount,
        keyValidityMs: amount,
        version,
    }),
    [ObjectList.Keys]: z.looseObject({ id: name, workspace: name, doubleSha1Hex: z.string(), version }),
    [ObjectList.OpenRoutes]: z.looseObject({ service: name, workspace: name, version }),
    [ObjectList.Groups]: z.looseObject({
        groupId: name,
        service: name,
        term: count,
        primaryId: name,
        memberIds: z.array(name),
    }),
    [ObjectList.Leases]: z.looseObject({
        resource: name,
        resourceId: name,
        instanceId: name,
        instanceAddress: z.string(),
        epoch: count,
    }),
    [ObjectList.RateShares]: z.looseObject({ workspace: name, dataCentre: name, ratePerSecond: amount, burst: amount }),
    [ObjectList.DocumentHeads]: z.looseObject({
        documentVersion: count,
        sections: z.array(z.looseObject({ name, list: z.boolean() })),
    }),
    [ObjectList.DocumentEntries]: z.looseObject({ entryId: name, body: z.string(), place: z.number() }),
    [ObjectList.Promotions]: z.looseObject({
        service: name,
        fence: count.optional(),
        open: z.boolean().optional(),
        databaseId: z.string().optional(),
        primaryAddress: z.string().optional(),
        orderedDatabaseId: z.string().optional(),
        orderedFence: count.optional(),
        orderedPosition: z.looseObject({}).optional(),
        orderPending: z.boolean().optional(),
        databases: z.array(z.looseObject({
            databaseId: name,
            address: z.string().optional(),
            bornUnixMs: z.number().optional(),
            isLost: z.boolean().optional(),
        })).optional(),
        basePosition: z.looseObject({}).optional(),
    }),
    [ObjectList.CommitWitnesses]: z.looseObject({ instanceId: name }),
    [ObjectList.Evacuations]: z.looseObject({
        dataCentre: name,
        orderedBy: z.string(),
        orderedAtUnixMs: amount,
        version,
    }),
};

const configurationObject = z.discriminatedUnion(
    "list",
    Object.values(ObjectList).map(list => z.looseObject({ list: z.literal(list), value: objectValues[list] })) as [
        z.ZodObject<{ readonly list: z.ZodLiteral<ObjectList>; readonly value: z.ZodType; }>,
    ],
);

const snapshotRecord = z.discriminatedUnion("kind", [
    z.looseObject({ kind: z.literal(RecordKind.Object), object: configurationObject }),
    z.looseObject({ kind: z.literal(RecordKind.Retired), objectId: z.string(), version: count }),
    z.looseObject({
        kind: z.literal(RecordKind.Operation),
        operationId: z.string(),
        result: z.looseObject({
            status: z.string(),
            version: count,
            configurationVersion: count,
            detail: z.string(),
        }),
    }),
]);

/** List of voters, as in snapshots. */
export const memberList = z.array(member);

/** @throws Error that names the invalid field, without its content */
export function requireEntryBody(value: unknown): EntryBody {
    requireValid("log entry", entryBody, value);
    return value as EntryBody;
}

/** @throws Error that names the invalid field, without its content */
export function requireLogEntry(value: unknown): LogEntry {
    requireValid("log entry", logEntry, value);
    return value as LogEntry;
}

/** @throws Error that names the invalid field, without its content; also for a list of a later release */
export function requireSnapshotRecord(value: unknown): SnapshotRecord {
    requireValid("snapshot record", snapshotRecord, value);
    return value as SnapshotRecord;
}

/** @throws Error that names the invalid field, without its content */
export function requireValid(description: string, schema: z.ZodType, value: unknown): void {
    const result = schema.safeParse(value);
    if (!result.success) {
        const [issue] = result.error.issues;
        throw new Error(`${description}, field "${issue?.path.join(".")}": ${issue?.message}`);
    }
}
