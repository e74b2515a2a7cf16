/** Durable state of a control member: term, vote, log and snapshot. */
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import * as z from "zod";
import { requireValid } from "../model/replicatedLogSchema.ts";
import {
    type StorageAppend,
    type StorageAppendDone,
    type StorageFailed,
    StorageKind,
    type StorageRecovered,
    type StorageResumed,
    type StorageSuspended,
    type StorageWrite,
    WriteKind,
} from "../model/storageMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import { readRecords, removeTemporaryFiles, requireReadable, writeAtomically } from "./atomicFile.ts";
import { type FileSystem, isOutOfSpaceError, NodeFileSystem } from "./fileSystem.ts";
import { FolderLock } from "./folderLock.ts";
import { type Identity, openIdentity } from "./identity.ts";
import { LogSegments } from "./logSegments.ts";
import { readSnapshot, writeSnapshot } from "./snapshotFile.ts";

const defaultSegmentBytes = 4 * 1024 * 1024;

/** Delay before a write is repeated on a full disk; doubles with each attempt up to the limit. */
const firstRetryDelayMs = 50;
const maximumRetryDelayMs = 800;

/** Time after which a write without a result counts as stalled; a disk that is only slow answers earlier. */
const defaultStallTimeoutMs = 500;

/**
 * Parts of that time, of which each counts once however late its timer is: while the process stands still, the disk may
 * have answered, and on waking its timers come before the results of the disk.
 */
const stallTimeoutParts = 5;

export interface MemberStorageOptions {
    readonly folder: string;
    readonly cluster: string;
    readonly memberId: string;
    /** Posts results to the event loop. */
    readonly post: (message: Message) => void;
    readonly segmentBytes?: number;
    /** False if the platform starts at most one process per folder and process ids do not identify processes. */
    readonly lockFolder?: boolean;
    /** By default the file system of the operating system. */
    readonly fileSystem?: FileSystem;
    /** Called when the folder cannot be opened because the disk is full; opening is tried again. */
    readonly onOpenDelayed?: (reason: string) => void;
    /** Waits between attempts on a full disk; may reject when the signal is aborted. By default by a timer. */
    readonly wait?: (durationMs: number, signal?: AbortSignal) => Promise<void>;
    readonly stallTimeoutMs?: number;
}

interface TermRecord {
    readonly term: number;
    readonly votedFor?: string | undefined;
}

const termSchema = z.looseObject({ term: z.int().nonnegative(), votedFor: z.string().optional() });

/**
 * Executes `storage.append` messages in order and posts `storage.append_done` after each sync.
 *
 * A full disk suspends the writes: they are repeated until the disk takes them, and nothing is reported as synced
 * meanwhile. The same is reported for a disk that does not answer. Any other error ends the writes for good
 * (`storage.failed`): after EIO or on a file system that became read-only, data that was synced earlier may be lost too,
 * and only reading everything again at a start shows whether it is.
 */
export class MemberStorage implements Sink<StorageAppend>, AsyncDisposable {
    readonly accepts = [StorageKind.Append];
    readonly identity: Identity;
    /** The stored state. The caller must post this message as the first event of the control pipe. */
    readonly recovered: StorageRecovered;
    /** Number of incomplete last records (torn writes) that were truncated on opening. */
    readonly tornTailCount: number;
    private readonly options: MemberStorageOptions;
    private readonly fileSystem: FileSystem;
    private readonly lock: FolderLock | undefined;
    private readonly log: LogSegments;
    private queue: StorageAppend[] = [];
    private processing: Promise<void> | undefined;
    private stopped = false;
    private suspended = false;
    /** Aborts the wait for the next attempt on a full disk. */
    private readonly disposal = new AbortController();

    private constructor(parts: {
        readonly options: MemberStorageOptions;
        readonly fileSystem: FileSystem;
        readonly lock: FolderLock | undefined;
        readonly log: LogSegments;
        readonly identity: Identity;
        readonly recovered: StorageRecovered;
    }) {
        this.options = parts.options;
        this.fileSystem = parts.fileSystem;
        this.lock = parts.lock;
        this.log = parts.log;
        this.identity = parts.identity;
        this.recovered = parts.recovered;
        this.tornTailCount = parts.log.tornTailCount;
    }

    /**
     * Locks the folder, creates missing files and reads the stored state. On a full disk, waits until this is possible.
     * @throws StorageError if the folder is damaged, locked, belongs to another member, or holds a record that this
     * release cannot read
     */
    static async open(options: MemberStorageOptions): Promise<MemberStorage> {
        const fileSystem = options.fileSystem ?? new NodeFileSystem();
        for (let attempt = 0;; attempt++) {
            try {
                await fileSystem.createFolder(options.folder);
                return await MemberStorage.lockAndRecover(options, fileSystem, attempt > 0);
            }
            catch (error) {
                if (!isOutOfSpaceError(error)) {
                    throw error;
                }
                if (attempt === 0) {
                    options.onOpenDelayed?.(String(error));
                }
                await (options.wait ?? waitFor)(retryDelayMs(attempt));
            }
        }
    }

    deliver(message: StorageAppend): void {
        if (this.stopped) {
            return;
        }
        this.queue.push(message);
        this.processing ??= this.processQueue();
    }

    /** Waits for all delivered writes, except on a full disk, then releases the folder lock. */
    async [Symbol.asyncDispose](): Promise<void> {
        this.stopped = true;
        this.disposal.abort();
        await this.processing;
        await this.log[Symbol.asyncDispose]();
        await this.lock?.[Symbol.asyncDispose]();
    }

    private static async lockAndRecover(
        options: MemberStorageOptions,
        fileSystem: FileSystem,
        isRetry: boolean,
    ): Promise<MemberStorage> {
        const lock = options.lockFolder === false ? undefined : await FolderLock.acquire(options.folder);
        try {
            return await MemberStorage.recover(options, fileSystem, isRetry, lock);
        }
        catch (error) {
            await lock?.[Symbol.asyncDispose]();
            throw error;
        }
    }

    private static async recover(
        options: MemberStorageOptions,
        fileSystem: FileSystem,
        isRetry: boolean,
        lock: FolderLock | undefined,
    ): Promise<MemberStorage> {
        const { folder, cluster, memberId } = options;
        await removeTemporaryFiles(fileSystem, folder);
        const identity = await openIdentity(fileSystem, folder, cluster, memberId);
        const stored = await readSnapshot(fileSystem, folder);
        const { term, votedFor } = await readTerm(fileSystem, termPath(folder));
        const { log, entries } = await LogSegments.open(
            { fileSystem, folder, isRetry, segmentBytes: options.segmentBytes ?? defaultSegmentBytes },
            stored?.firstSegment ?? 1,
            stored?.snapshot.lastIndex ?? 0,
        );
        const { incarnation } = identity;
        const recovered = {
            kind: StorageKind.Recovered,
            incarnation,
            term,
            votedFor,
            snapshot: stored?.snapshot,
            entries,
        };
        return new MemberStorage({ options, fileSystem, lock, log, identity, recovered });
    }

    private async processQueue(): Promise<void> {
        try {
            while (this.queue.length > 0 && !(this.stopped && this.suspended)) {
                if (this.queue[0]!.write.kind === WriteKind.Term) {
                    // A vote in a new term is delivered right after the term, and shares its sync.
                    await Promise.resolve();
                }
                const batch = this.dequeueBatch();
                await this.writeUntilAccepted(batch.map(({ write }) => write));
                this.resume();
                const done = { kind: StorageKind.AppendDone, writeId: batch.at(-1)!.writeId };
                this.options.post(done as StorageAppendDone);
            }
        }
        catch (error) {
            this.stopped = true;
            this.queue = [];
            // A disposal on a full disk gives up writes that nobody was told are durable.
            if (!this.disposal.signal.aborted || !isOutOfSpaceError(error)) {
                this.options.post({ kind: StorageKind.Failed, reason: String(error) } as StorageFailed);
            }
        }
        this.processing = undefined;
    }

    /**
     * Executes the writes, again and again while the disk is full.
     * @throws the error of the operating system if it is another one, or if the storage is disposed
     */
    private async writeUntilAccepted(writes: readonly StorageWrite[]): Promise<void> {
        for (let attempt = 0;; attempt++) {
            try {
                return await this.writeWithStallReport(writes);
            }
            catch (error) {
                if (!isOutOfSpaceError(error) || this.disposal.signal.aborted) {
                    throw error;
                }
                this.suspend(String(error));
                await this.waitForRetry(retryDelayMs(attempt));
            }
        }
    }

    private async writeWithStallReport(writes: readonly StorageWrite[]): Promise<void> {
        const timeoutMs = this.options.stallTimeoutMs ?? defaultStallTimeoutMs;
        let passedParts = 0;
        const timer = setInterval(() => {
            passedParts += 1;
            if (passedParts === stallTimeoutParts) {
                this.suspend(`the disk has not answered for ${timeoutMs} ms`);
            }
        }, timeoutMs / stallTimeoutParts);
        timer.unref();
        try {
            await this.writeBatch(writes);
        }
        finally {
            clearInterval(timer);
        }
    }

    private async waitForRetry(durationMs: number): Promise<void> {
        try {
            await (this.options.wait ?? waitFor)(durationMs, this.disposal.signal);
        }
        catch {
            // The storage is being disposed; the last attempt follows at once.
        }
    }

    private suspend(reason: string): void {
        if (!this.suspended) {
            this.suspended = true;
            this.options.post({ kind: StorageKind.Suspended, reason } as StorageSuspended);
        }
    }

    private resume(): void {
        if (this.suspended) {
            this.suspended = false;
            this.options.post({ kind: StorageKind.Resumed } as StorageResumed);
        }
    }

    /**
     * Removes and returns the longest run of writes of one kind from the front of the queue, which share one sync; writes
     * of different kinds keep their order. Snapshots are written one by one: a repeated attempt must not replace a later
     * snapshot, whose obsolete segments may be removed already, by an earlier one.
     */
    private dequeueBatch(): readonly StorageAppend[] {
        const kind = this.queue[0]!.write.kind;
        if (kind === WriteKind.Snapshot) {
            return this.queue.splice(0, 1);
        }
        const end = this.queue.findIndex(({ write }) => write.kind !== kind);
        return this.queue.splice(0, end === -1 ? this.queue.length : end);
    }

    private async writeBatch(writes: readonly StorageWrite[]): Promise<void> {
        const last = writes.at(-1)!;
        if (last.kind === WriteKind.Term) {
            const { term, votedFor } = last;
            return await writeAtomically(this.fileSystem, termPath(this.options.folder), [{ term, votedFor }]);
        }
        if (last.kind === WriteKind.Entries) {
            return await this.appendEntries(
                writes as readonly Extract<StorageWrite, { kind: typeof WriteKind.Entries; }>[],
            );
        }
        await this.writeSnapshot(last);
    }

    private async appendEntries(writes: readonly Extract<StorageWrite, { kind: typeof WriteKind.Entries; }>[]) {
        await this.log.append(writes);
        await this.log.sync();
    }

    private async writeSnapshot({ snapshot, discardLog }: Extract<StorageWrite, { kind: typeof WriteKind.Snapshot; }>) {
        const firstSegment = discardLog ? await this.log.roll() : this.log.firstRequiredSegment(snapshot.lastIndex);
        await writeSnapshot(this.fileSystem, this.options.folder, { snapshot, firstSegment });
        await this.log.removeSegmentsBefore(firstSegment);
    }
}

function retryDelayMs(attempt: number): number {
    return Math.min(firstRetryDelayMs * 2 ** attempt, maximumRetryDelayMs);
}

function waitFor(durationMs: number, signal?: AbortSignal): Promise<void> {
    return delay(durationMs, undefined, signal === undefined ? {} : { signal });
}

/** @throws StorageError rather than return an earlier term, in which the member could vote a second time */
async function readTerm(fileSystem: FileSystem, file: string): Promise<TermRecord> {
    const records = await readRecords(fileSystem, file);
    if (records === undefined) {
        return { term: 0 };
    }
    requireReadable(file, () => requireValid("term", termSchema, records[0]));
    return records[0] as TermRecord;
}

function termPath(folder: string): string {
    return join(folder, "term");
}
