/** Durable state of a control member: term, vote, log and snapshot. */
import { mkdir } from "node:fs/promises";
import { join } from "node:path";
import {
    type StorageAppend,
    type StorageAppendDone,
    type StorageFailed,
    StorageKind,
    type StorageRecovered,
    type StorageWrite,
    WriteKind,
} from "../model/storageMessages.ts";
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import { readRecords, writeAtomically } from "./atomicFile.ts";
import { FolderLock } from "./folderLock.ts";
import { type Identity, openIdentity } from "./identity.ts";
import { LogSegments } from "./logSegments.ts";
import { readSnapshot, writeSnapshot } from "./snapshotFile.ts";

const defaultSegmentBytes = 4 * 1024 * 1024;

export interface MemberStorageOptions {
    readonly folder: string;
    readonly cluster: string;
    readonly memberId: string;
    /** Posts results to the event loop. */
    readonly post: (message: Message) => void;
    readonly segmentBytes?: number;
    /** False if the platform starts at most one process per folder and process ids do not identify processes. */
    readonly lockFolder?: boolean;
}

interface TermRecord {
    readonly term: number;
    readonly votedFor?: string | undefined;
}

/** Executes `storage.append` messages in order and posts `storage.append_done` after each sync. */
export class MemberStorage implements Sink<StorageAppend>, AsyncDisposable {
    readonly accepts = [StorageKind.Append];
    readonly identity: Identity;
    /** The stored state. The caller must post this message as the first event of the control pipe. */
    readonly recovered: StorageRecovered;
    /** Number of incomplete last records (torn writes) that were truncated on opening. */
    readonly tornTailCount: number;
    private readonly options: MemberStorageOptions;
    private readonly lock: FolderLock | undefined;
    private readonly log: LogSegments;
    private queue: StorageAppend[] = [];
    private processing: Promise<void> | undefined;
    private stopped = false;

    private constructor(parts: {
        readonly options: MemberStorageOptions;
        readonly lock: FolderLock | undefined;
        readonly log: LogSegments;
        readonly identity: Identity;
        readonly recovered: StorageRecovered;
    }) {
        this.options = parts.options;
        this.lock = parts.lock;
        this.log = parts.log;
        this.identity = parts.identity;
        this.recovered = parts.recovered;
        this.tornTailCount = parts.log.tornTailCount;
    }

    /** Locks the folder, creates missing files and reads the stored state. */
    static async open(options: MemberStorageOptions): Promise<MemberStorage> {
        await mkdir(options.folder, { recursive: true });
        const lock = options.lockFolder === false ? undefined : await FolderLock.acquire(options.folder);
        try {
            return await MemberStorage.recover(options, lock);
        }
        catch (error) {
            await lock?.[Symbol.asyncDispose]();
            throw error;
        }
    }

    deliver(message: StorageAppend): void {
        if (this.stopped) {
            return;
        }
        this.queue.push(message);
        this.processing ??= this.processQueue();
    }

    /** Waits for all delivered writes, then releases the folder lock. */
    async [Symbol.asyncDispose](): Promise<void> {
        this.stopped = true;
        await this.processing;
        await this.log[Symbol.asyncDispose]();
        await this.lock?.[Symbol.asyncDispose]();
    }

    private static async recover(options: MemberStorageOptions, lock: FolderLock | undefined): Promise<MemberStorage> {
        const { folder, cluster, memberId } = options;
        const identity = await openIdentity(folder, cluster, memberId);
        const stored = await readSnapshot(folder);
        const { term, votedFor } = ((await readRecords(termPath(folder)))?.[0] ?? { term: 0 }) as TermRecord;
        const { log, entries } = await LogSegments.open(
            { folder, segmentBytes: options.segmentBytes ?? defaultSegmentBytes },
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
        return new MemberStorage({ options, lock, log, identity, recovered });
    }

    private async processQueue(): Promise<void> {
        try {
            while (this.queue.length > 0) {
                const batch = this.dequeueBatch();
                await this.writeBatch(batch.map(({ write }) => write));
                const done = { kind: StorageKind.AppendDone, writeId: batch.at(-1)!.writeId };
                this.options.post(done as StorageAppendDone);
            }
        }
        catch (error) {
            this.stopped = true;
            this.queue = [];
            this.options.post({ kind: StorageKind.Failed, reason: String(error) } as StorageFailed);
        }
        this.processing = undefined;
    }

    /**
     * Removes and returns the longest run of writes of one kind from the front of the queue. The batch shares one sync;
     * writes of different kinds keep their order.
     */
    private dequeueBatch(): readonly StorageAppend[] {
        const kind = this.queue[0]!.write.kind;
        const end = this.queue.findIndex(({ write }) => write.kind !== kind);
        return this.queue.splice(0, end === -1 ? this.queue.length : end);
    }

    private async writeBatch(writes: readonly StorageWrite[]): Promise<void> {
        const last = writes.at(-1)!;
        if (last.kind === WriteKind.Term) {
            const { term, votedFor } = last;
            return await writeAtomically(termPath(this.options.folder), [{ term, votedFor }]);
        }
        if (last.kind === WriteKind.Entries) {
            return await this.appendEntries(
                writes as readonly Extract<StorageWrite, { kind: typeof WriteKind.Entries; }>[],
            );
        }
        for (const write of writes) {
            await this.writeSnapshot(write as Extract<StorageWrite, { kind: typeof WriteKind.Snapshot; }>);
        }
    }

    private async appendEntries(writes: readonly Extract<StorageWrite, { kind: typeof WriteKind.Entries; }>[]) {
        await this.log.append(writes);
        await this.log.sync();
    }

    private async writeSnapshot({ snapshot, discardLog }: Extract<StorageWrite, { kind: typeof WriteKind.Snapshot; }>) {
        const firstSegment = discardLog ? await this.log.roll() : this.log.firstRequiredSegment(snapshot.lastIndex);
        await writeSnapshot(this.options.folder, { snapshot, firstSegment });
        await this.log.removeSegmentsBefore(firstSegment);
    }
}

function termPath(folder: string): string {
    return join(folder, "term");
}
