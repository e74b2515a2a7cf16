import {
    array,
    assert as check,
    asyncProperty,
    constant,
    constantFrom,
    integer,
    jsonValue,
    oneof,
    record,
    uint8Array,
} from "fast-check";
import assert from "node:assert/strict";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, it } from "node:test";
import { fromSnapshotRecords } from "../../control/controlState.ts";
import { EntryKind, ObjectList, RecordKind } from "../../model/replicatedLog.ts";
import type { StorageRecovered } from "../../model/storageMessages.ts";
import { MemberStorage } from "../memberStorage.ts";
import { encodeRecord, scanRecords } from "../recordCodec.ts";
import { StorageError, StorageErrorCode } from "../storageError.ts";

const seed = 20261207;
const numRuns = Number(process.env["STORED_RECORD_RUNS"] ?? 400);

const identity = { cluster: "c", memberId: "m", incarnation: "0123456789abcdef" };
const noOp = { index: 1, term: 1, body: { kind: EntryKind.NoOp } };
const snapshot = { lastIndex: 1, lastTerm: 1, members: [], version: 1, recordCount: 1, firstSegment: 1 };

let folder = "";

beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "jasmineline-records-"));
});

afterEach(async () => {
    await rm(folder, { recursive: true, force: true });
});

async function writeRecords(file: string, values: readonly unknown[]): Promise<void> {
    await writeFile(
        join(folder, file),
        Buffer.concat(values.map(value => encodeRecord(Buffer.from(JSON.stringify(value))))),
    );
}

async function recover(): Promise<StorageRecovered> {
    await using storage = await MemberStorage.open({ folder, cluster: "c", memberId: "m", post: () => undefined });
    return storage.recovered;
}

/** Opens the folder; a member either gets a state with which it can vote and apply, or an error that names the file. */
async function assertRecoversOrRefuses(): Promise<void> {
    try {
        const { term, votedFor, snapshot: stored, entries, incarnation } = await recover();
        assert.ok(Number.isSafeInteger(term) && term >= 0, `term ${term}`);
        assert.ok(votedFor === undefined || typeof votedFor === "string", `vote ${String(votedFor)}`);
        assert.ok(typeof incarnation === "string" && incarnation !== "", `incarnation ${incarnation}`);
        assert.ok(stored === undefined || Number.isSafeInteger(stored.lastIndex));
        assert.ok(entries.every(({ body }) => Object.values(EntryKind).includes(body.kind)));
        fromSnapshotRecords(stored?.records ?? [], stored?.version ?? 0);
    }
    catch (error) {
        assert.ok(error instanceof StorageError, String((error as Error).stack));
        assert.ok(error.file.startsWith(folder), error.file);
    }
}

const unreadable: readonly (readonly [string, readonly unknown[], RegExp])[] = [
    ["term", [{}], /term, field "term"/],
    ["term", [{ term: "7" }], /term, field "term"/],
    ["term", [5], /term, field ""/],
    ["identity", [{ ...identity, incarnation: undefined }], /identity, field "incarnation"/],
    ["snapshot", [{ ...snapshot, lastIndex: undefined }, {}], /snapshot, field "lastIndex"/],
    ["snapshot", [snapshot, { kind: "of a later release" }], /snapshot record, field "kind"/],
    [
        "snapshot",
        [snapshot, { kind: RecordKind.Object, object: { list: "of a later release", value: {} } }],
        /snapshot record, field "object.list"/,
    ],
    [
        "snapshot",
        [snapshot, { kind: RecordKind.Object, object: { list: ObjectList.Groups, value: { groupId: "g" } } }],
        /snapshot record, field "object.value.service"/,
    ],
    ["log-00000001", [{ fromIndex: 1, entries: [noOp] }], /log, field ""/],
    ["log-00000001", [[5]], /log, field "0"/],
    ["log-00000001", [[{ fromIndex: 1, entries: [{ ...noOp, term: undefined }] }]], /log entry, field "term"/],
    [
        "log-00000001",
        [[{ fromIndex: 1, entries: [{ ...noOp, body: { kind: "of a later release" } }] }]],
        /log entry, field "body.kind"/,
    ],
];

describe("a stored record with a valid checksum", () => {
    for (const [file, values, expected] of unreadable) {
        it(`is refused with its file and field, and stays as it is: ${file} ${JSON.stringify(values)}`, async () => {
            await writeRecords("identity", [identity]);
            await writeRecords(file, values);
            const before = await readFile(join(folder, file));
            await assert.rejects(recover(), (error: StorageError) => {
                assert.equal(error.code, StorageErrorCode.Unreadable);
                assert.equal(error.file, join(folder, file));
                assert.match(error.message, expected);
                return true;
            });
            assert.deepEqual(await readFile(join(folder, file)), before);
        });
    }

    it("gives a usable state or an error that names the file, whatever it holds", async () => {
        const values = oneof(
            jsonValue(),
            constantFrom<unknown>(identity, snapshot, { term: 3, votedFor: "a/1" }, [{
                fromIndex: 1,
                entries: [noOp],
            }]),
            record({ term: oneof(integer(), jsonValue()), votedFor: jsonValue() }),
            array(
                record({ fromIndex: integer({ min: -1, max: 3 }), entries: array(oneof(jsonValue(), constant(noOp))) }),
            ),
            record({ kind: constantFrom(...Object.values(RecordKind)), object: jsonValue(), objectId: jsonValue() }),
        );
        const files = constantFrom("term", "identity", "snapshot", "log-00000001");
        await check(
            asyncProperty(files, array(values, { maxLength: 3 }), async (file, records) => {
                await rm(folder, { recursive: true, force: true });
                folder = await mkdtemp(join(tmpdir(), "jasmineline-records-"));
                await writeRecords("identity", [identity]);
                await writeRecords(file, records);
                await assertRecoversOrRefuses();
            }),
            { seed, numRuns },
        );
    });
});

describe("stored bytes without a valid checksum", () => {
    it("give a usable state or an error that names the file", async () => {
        const files = constantFrom("term", "identity", "snapshot", "log-00000001");
        await check(
            asyncProperty(files, uint8Array({ maxLength: 40 }), async (file, bytes) => {
                await rm(folder, { recursive: true, force: true });
                folder = await mkdtemp(join(tmpdir(), "jasmineline-records-"));
                await writeFile(join(folder, file), bytes);
                scanRecords(Buffer.from(bytes));
                await assertRecoversOrRefuses();
            }),
            { seed, numRuns },
        );
    });
});
