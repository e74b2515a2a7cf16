import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { mkdir, mkdtemp, readdir, readFile, rm, truncate, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, it } from "node:test";
import { EntryKind, type LogEntry, RecordKind, type Snapshot } from "../../model/replicatedLog.ts";
import { type StorageAppend, StorageKind, type StorageWrite, WriteKind } from "../../model/storageMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { MemberStorage } from "../memberStorage.ts";
import { StorageError, StorageErrorCode } from "../storageError.ts";

let folder = "";

beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "jasmineline-storage-"));
});

afterEach(async () => {
    await rm(folder, { recursive: true, force: true });
});

function entry(index: number, term = 1): LogEntry {
    return { index, term, body: { kind: EntryKind.NoOp } };
}

function entries(fromIndex: number, ...list: LogEntry[]): StorageWrite {
    return { kind: WriteKind.Entries, fromIndex, entries: list };
}

function snapshotAt(lastIndex: number, count = 3): Snapshot {
    const records = Array.from({ length: count }, (_, index) => ({
        kind: RecordKind.Retired,
        objectId: `keys/k${index}`,
        version: index,
    }));
    return { lastIndex, lastTerm: 1, members: [], version: lastIndex, records };
}

function open(post: (message: Message) => void = () => undefined, segmentBytes = 200): Promise<MemberStorage> {
    return MemberStorage.open({ folder, cluster: "c", memberId: "m", post, segmentBytes });
}

/** Opens the folder, performs the writes and closes it; returns the ids reported as synced. */
async function write(...writes: readonly StorageWrite[]): Promise<readonly number[]> {
    const done: number[] = [];
    await using storage = await open(message => done.push((message as StorageAppend).writeId));
    writes.forEach((one, index) => storage.deliver({ kind: StorageKind.Append, writeId: index + 1, write: one }));
    await storage[Symbol.asyncDispose]();
    return done;
}

async function recover() {
    await using storage = await open();
    const { term, votedFor, snapshot, entries: found } = storage.recovered;
    const positions = found.map(({ index, term: entryTerm }) => `${index}@${entryTerm}`);
    return { term, votedFor, lastSnapshot: snapshot?.lastIndex, positions, tornTails: storage.tornTailCount };
}

async function segments(): Promise<readonly string[]> {
    return (await readdir(folder)).filter(name => name.startsWith("log-")).sort().map(name => join(folder, name));
}

async function isDamage(expectedFile: string): Promise<void> {
    await assert.rejects(open(), (error: StorageError) => {
        assert.equal(error.code, StorageErrorCode.Damaged);
        assert.equal(error.file, expectedFile);
        assert.match(error.message, /at offset \d+/);
        return true;
    });
}

describe("member storage", () => {
    it("returns term, vote, log and incarnation after a restart", async () => {
        const done = await write(
            { kind: WriteKind.Term, term: 1, votedFor: undefined },
            { kind: WriteKind.Term, term: 2, votedFor: "m/i" },
            entries(1, entry(1), entry(2), entry(3)),
            entries(3, entry(3, 2)),
        );
        assert.equal(done.at(-1), 4);
        const first = await open();
        const { incarnation } = first.identity;
        await first[Symbol.asyncDispose]();
        assert.deepEqual(await recover(), {
            term: 2,
            votedFor: "m/i",
            lastSnapshot: undefined,
            positions: ["1@1", "2@1", "3@2"],
            tornTails: 0,
        });
        await using second = await open();
        assert.equal(second.identity.incarnation, incarnation);
    });

    it("drops segments that a snapshot covers, and the whole log when it does not continue the snapshot", async () => {
        const many = Array.from({ length: 40 }, (_, index) => entries(index + 1, entry(index + 1)));
        await write(...many);
        assert.ok((await segments()).length > 10);
        await write({ kind: WriteKind.Snapshot, snapshot: snapshotAt(35), discardLog: false });
        assert.ok((await segments()).length < 10);
        assert.deepEqual((await recover()).positions, ["36@1", "37@1", "38@1", "39@1", "40@1"]);
        const positions = () => recover().then(found => [found.lastSnapshot, found.positions]);
        await write({ kind: WriteKind.Snapshot, snapshot: snapshotAt(38), discardLog: true });
        assert.deepEqual(await positions(), [38, []]);
        await write(entries(39, entry(39, 3)));
        assert.deepEqual(await positions(), [38, ["39@3"]]);
    });

    it("cuts a torn tail off and counts it, at every length of the tail", async () => {
        await write(entries(1, entry(1)), entries(2, entry(2)));
        const [file] = await segments();
        const whole = await readFile(file!);
        const record = whole.length / 2;
        for (let length = record + 1; length < whole.length; length++) {
            await Promise.all((await segments()).slice(1).map(later => rm(later)));
            await writeFile(file!, whole.subarray(0, length));
            const { positions, tornTails } = await recover();
            assert.deepEqual([positions, tornTails], [["1@1"], 1], `length ${length}`);
        }
    });

    it("names file and offset when a synced record is damaged, and starts on no bit flip with a wrong log", async () => {
        await write(entries(1, entry(1)), entries(2, entry(2)), entries(3, entry(3)));
        const [file] = await segments();
        const whole = await readFile(file!);
        for (let bit = 0; bit < whole.length / 3 * 8; bit += 5) {
            const flipped = Buffer.from(whole);
            flipped[bit >> 3]! ^= 1 << (bit & 7);
            await writeFile(file!, flipped);
            await isDamage(file!);
        }
    });

    it("refuses a truncated or damaged snapshot or term file", async () => {
        await write(
            { kind: WriteKind.Snapshot, snapshot: snapshotAt(5), discardLog: true },
            { kind: WriteKind.Term, term: 4, votedFor: undefined },
        );
        for (const name of ["snapshot", "term"]) {
            const file = join(folder, name);
            const whole = await readFile(file);
            for (let length = 0; length < whole.length; length += 3) {
                await truncate(file, length);
                await isDamage(file);
                await writeFile(file, whole);
            }
        }
    });

    it("refuses a second process on the same folder and takes over the lock of a dead one", async () => {
        await using first = await open();
        await assert.rejects(open(), { code: StorageErrorCode.Locked });
        await first[Symbol.asyncDispose]();
        const sleeper = spawn(process.execPath, ["-e", "setTimeout(() => {}, 60000)"]);
        await writeFile(join(folder, "lock"), String(sleeper.pid));
        await assert.rejects(open(), { code: StorageErrorCode.Locked });
        sleeper.kill();
        await new Promise(resolve => sleeper.once("exit", resolve));
        await (await open())[Symbol.asyncDispose]();
    });

    it("refuses a folder of another cluster", async () => {
        await write();
        await assert.rejects(
            MemberStorage.open({ folder, cluster: "other", memberId: "m", post: () => undefined }),
            { code: StorageErrorCode.ForeignFolder },
        );
    });

    it("reports a failed write once and acknowledges nothing after it", async () => {
        const posted: Message[] = [];
        let failed = () => undefined as void;
        const failure = new Promise<void>(resolve => failed = resolve);
        await using storage = await open(message => {
            posted.push(message);
            failed();
        });
        await rm(folder, { recursive: true });
        const term: StorageWrite = { kind: WriteKind.Term, term: 1, votedFor: undefined };
        storage.deliver({ kind: StorageKind.Append, writeId: 1, write: term });
        await failure;
        // The disk works again, but what it lost is unknown.
        await mkdir(folder);
        storage.deliver({ kind: StorageKind.Append, writeId: 2, write: term });
        await storage[Symbol.asyncDispose]();
        assert.deepEqual(posted.map(({ kind }) => kind), [StorageKind.Failed]);
    });
});
