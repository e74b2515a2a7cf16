import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { mkdir, mkdtemp, readdir, readFile, rm, truncate, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { EntryKind, type LogEntry, RecordKind, type Snapshot } from "../../model/replicatedLog.ts";
import { type StorageAppend, StorageKind, type StorageWrite, WriteKind } from "../../model/storageMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { NodeFileSystem } from "../fileSystem.ts";
import { MemberStorage } from "../memberStorage.ts";
import { StorageError, StorageErrorCode } from "../storageError.ts";

let folder = "";

beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "jasmineline-storage-"));
});

afterEach(async () => {
    await rm(folder, { recursive: true, force: true });
});

function createEntry(index: number, term = 1): LogEntry {
    return { index, term, body: { kind: EntryKind.NoOp } };
}

function createEntriesWrite(fromIndex: number, ...logEntries: LogEntry[]): StorageWrite {
    return { kind: WriteKind.Entries, fromIndex, entries: logEntries };
}

function createSnapshot(lastIndex: number, count = 3): Snapshot {
    const records = Array.from({ length: count }, (_, index) => ({
        kind: RecordKind.Retired,
        objectId: `keys/k${index}`,
        version: index,
    }));
    return { lastIndex, lastTerm: 1, members: [], version: lastIndex, records };
}

function openStorage(post: (message: Message) => void = () => undefined, segmentBytes = 200): Promise<MemberStorage> {
    return MemberStorage.open({ folder, cluster: "c", memberId: "m", post, segmentBytes });
}

/** Opens the folder, executes the writes and closes it. Returns the write ids that were reported as synced. */
async function executeWrites(...writes: readonly StorageWrite[]): Promise<readonly number[]> {
    const syncedIds: number[] = [];
    await using storage = await openStorage(message => syncedIds.push((message as StorageAppend).writeId));
    writes.forEach((write, index) => storage.deliver({ kind: StorageKind.Append, writeId: index + 1, write }));
    await storage[Symbol.asyncDispose]();
    return syncedIds;
}

async function recover() {
    await using storage = await openStorage();
    const { term, votedFor, snapshot, entries: logEntries } = storage.recovered;
    const positions = logEntries.map(({ index, term: entryTerm }) => `${index}@${entryTerm}`);
    return { term, votedFor, lastSnapshot: snapshot?.lastIndex, positions, tornTails: storage.tornTailCount };
}

async function segmentPaths(): Promise<readonly string[]> {
    return (await readdir(folder)).filter(name => name.startsWith("log-")).sort().map(name => join(folder, name));
}

async function assertDamaged(expectedFile: string): Promise<void> {
    await assert.rejects(openStorage(), (error: StorageError) => {
        assert.equal(error.code, StorageErrorCode.Damaged);
        assert.equal(error.file, expectedFile);
        assert.match(error.message, /at offset \d+/);
        return true;
    });
}

describe("member storage", () => {
    it("does not report the disk as stalled because the process stood still", async () => {
        // Guards against a leader that is asked to hand its lead over, though its disk had answered.
        const kinds: string[] = [];
        await using storage = await openStorage(({ kind }) => kinds.push(kind));
        storage.deliver({ kind: StorageKind.Append, writeId: 1, write: createEntriesWrite(1, createEntry(1)) });
        const stopped = new Int32Array(new SharedArrayBuffer(4));
        await new Promise(resolve => setImmediate(() => resolve(Atomics.wait(stopped, 0, 0, 900))));
        await storage[Symbol.asyncDispose]();
        assert.deepEqual(kinds, [StorageKind.AppendDone]);
    });

    it("reports a disk that does not answer for as long as its limit, and that it answers again", async () => {
        // Guards against a leader that goes on leading beside a disk that stands still.
        const kinds: string[] = [];
        const slowFileSystem = new NodeFileSystem();
        const openFile = slowFileSystem.open.bind(slowFileSystem);
        slowFileSystem.open = async (path, flags) =>
            Object.assign(await openFile(path, flags), { datasync: () => delay(400) });
        const post = ({ kind }: Message): unknown => kinds.push(kind);
        const options = { folder, cluster: "c", memberId: "m", post, fileSystem: slowFileSystem, stallTimeoutMs: 100 };
        await using storage = await MemberStorage.open(options);
        storage.deliver({ kind: StorageKind.Append, writeId: 1, write: createEntriesWrite(1, createEntry(1)) });
        await storage[Symbol.asyncDispose]();
        assert.deepEqual(kinds, [StorageKind.Suspended, StorageKind.Resumed, StorageKind.AppendDone]);
    });

    it("returns term, vote, log and incarnation after a restart", async () => {
        const syncedIds = await executeWrites(
            { kind: WriteKind.Term, term: 1, votedFor: undefined },
            { kind: WriteKind.Term, term: 2, votedFor: "m/i" },
            createEntriesWrite(1, createEntry(1), createEntry(2), createEntry(3)),
            createEntriesWrite(3, createEntry(3, 2)),
        );
        assert.equal(syncedIds.at(-1), 4);
        const first = await openStorage();
        const { incarnation } = first.identity;
        await first[Symbol.asyncDispose]();
        assert.deepEqual(await recover(), {
            term: 2,
            votedFor: "m/i",
            lastSnapshot: undefined,
            positions: ["1@1", "2@1", "3@2"],
            tornTails: 0,
        });
        await using second = await openStorage();
        assert.equal(second.identity.incarnation, incarnation);
    });

    it("syncs the vote in a new term together with the term, so that a slow disk delays an election once", async () => {
        const syncedIds = await executeWrites(
            { kind: WriteKind.Term, term: 7, votedFor: undefined },
            { kind: WriteKind.Term, term: 7, votedFor: "m/2" },
            createEntriesWrite(1, createEntry(1, 7)),
        );
        assert.deepEqual(syncedIds, [2, 3]);
        const { term, votedFor } = await recover();
        assert.deepEqual({ term, votedFor }, { term: 7, votedFor: "m/2" });
    });

    it("removes segments that a snapshot covers, and the whole log if it does not continue the snapshot", async () => {
        const writes = Array.from({ length: 40 }, (_, index) => createEntriesWrite(index + 1, createEntry(index + 1)));
        await executeWrites(...writes);
        assert.ok((await segmentPaths()).length > 10);
        await executeWrites({ kind: WriteKind.Snapshot, snapshot: createSnapshot(35), discardLog: false });
        assert.ok((await segmentPaths()).length < 10);
        assert.deepEqual((await recover()).positions, ["36@1", "37@1", "38@1", "39@1", "40@1"]);
        const positions = () => recover().then(recovered => [recovered.lastSnapshot, recovered.positions]);
        await executeWrites({ kind: WriteKind.Snapshot, snapshot: createSnapshot(38), discardLog: true });
        assert.deepEqual(await positions(), [38, []]);
        await executeWrites(createEntriesWrite(39, createEntry(39, 3)));
        assert.deepEqual(await positions(), [38, ["39@3"]]);
    });

    it("truncates and counts a torn tail of any length", async () => {
        await executeWrites(createEntriesWrite(1, createEntry(1)), createEntriesWrite(2, createEntry(2)));
        const [file] = await segmentPaths();
        const original = await readFile(file!);
        const recordBytes = original.length / 2;
        for (let length = recordBytes + 1; length < original.length; length++) {
            await Promise.all((await segmentPaths()).slice(1).map(laterSegment => rm(laterSegment)));
            await writeFile(file!, original.subarray(0, length));
            const { positions, tornTails } = await recover();
            assert.deepEqual([positions, tornTails], [["1@1"], 1], `length ${length}`);
        }
    });

    it("reports file and offset of a damaged record, and never recovers a wrong log after a bit flip", async () => {
        await executeWrites(
            createEntriesWrite(1, createEntry(1)),
            createEntriesWrite(2, createEntry(2)),
            createEntriesWrite(3, createEntry(3)),
        );
        const [file] = await segmentPaths();
        const original = await readFile(file!);
        for (let bit = 0; bit < original.length / 3 * 8; bit += 5) {
            const flipped = Buffer.from(original);
            flipped[bit >> 3]! ^= 1 << (bit & 7);
            await writeFile(file!, flipped);
            await assertDamaged(file!);
        }
    });

    it("rejects a truncated snapshot or term file", async () => {
        await executeWrites(
            { kind: WriteKind.Snapshot, snapshot: createSnapshot(5), discardLog: true },
            { kind: WriteKind.Term, term: 4, votedFor: undefined },
        );
        for (const name of ["snapshot", "term"]) {
            const file = join(folder, name);
            const original = await readFile(file);
            for (let length = 0; length < original.length; length += 3) {
                await truncate(file, length);
                await assertDamaged(file);
                await writeFile(file, original);
            }
        }
    });

    it("rejects a second process on the same folder and takes over the lock of a terminated process", async () => {
        await using first = await openStorage();
        await assert.rejects(openStorage(), { code: StorageErrorCode.Locked });
        await first[Symbol.asyncDispose]();
        const runningProcess = spawn(process.execPath, ["-e", "setTimeout(() => {}, 60000)"]);
        await writeFile(join(folder, "lock"), String(runningProcess.pid));
        await assert.rejects(openStorage(), { code: StorageErrorCode.Locked });
        runningProcess.kill();
        await new Promise(resolve => runningProcess.once("exit", resolve));
        await (await openStorage())[Symbol.asyncDispose]();
    });

    it("rejects a folder of another cluster", async () => {
        await executeWrites();
        await assert.rejects(
            MemberStorage.open({ folder, cluster: "other", memberId: "m", post: () => undefined }),
            { code: StorageErrorCode.ForeignFolder },
        );
    });

    it("reports a failed write once and acknowledges no later write", async () => {
        const posted: Message[] = [];
        let onFailure = () => undefined as void;
        const failure = new Promise<void>(resolve => onFailure = resolve);
        await using storage = await openStorage(message => {
            posted.push(message);
            onFailure();
        });
        await rm(folder, { recursive: true });
        const term: StorageWrite = { kind: WriteKind.Term, term: 1, votedFor: undefined };
        storage.deliver({ kind: StorageKind.Append, writeId: 1, write: term });
        await failure;
        // The disk is writable again, but its state is unknown.
        await mkdir(folder);
        storage.deliver({ kind: StorageKind.Append, writeId: 2, write: term });
        await storage[Symbol.asyncDispose]();
        assert.deepEqual(posted.map(({ kind }) => kind), [StorageKind.Failed]);
    });
});
