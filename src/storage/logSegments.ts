/** The replicated log on disk: numbered, append-only segment files of checksummed records. */
import { join } from "node:path";
import * as z from "zod";
import type { LogEntry } from "../model/replicatedLog.ts";
import { requireLogEntry, requireValid } from "../model/replicatedLogSchema.ts";
import { parseJson, replaceAtomically, requireReadable } from "./atomicFile.ts";
import { type FileSystem, readIfExists, type StorageFile, syncFolder, withFile } from "./fileSystem.ts";
import { encodeRecord, scanRecords, type ScanResult, ScanStatus } from "./recordCodec.ts";
import { damagedFileError } from "./storageError.ts";

const segmentNamePattern = /^log-(\d{8})$/;

export interface LogSegmentsOptions {
    readonly fileSystem: FileSystem;
    readonly folder: string;
    /** Size from which on the log continues in a new segment. */
    readonly segmentBytes: number;
    /**
     * An earlier attempt to open the log has failed. The last segment is then written anew: after a failed sync, a second
     * one may succeed although the data is not on the disk.
     */
    readonly isRetry?: boolean;
}

/** One append: removes all entries from `fromIndex` on, then adds `entries`. */
interface LogRecord {
    readonly fromIndex: number;
    readonly entries: readonly LogEntry[];
}

const logRecords = z.array(z.looseObject({ fromIndex: z.int().positive(), entries: z.array(z.unknown()) }));

interface Segment {
    readonly number: number;
    bytes: number;
    /** Length of the prefix that is durable. */
    syncedBytes: number;
    /** Highest log index in the segment; 0 if it is empty. */
    lastIndex: number;
}

/** The methods that write reject with the error of the operating system; a failed `append` or `sync` may be repeated. */
export class LogSegments implements AsyncDisposable {
    /** Number of incomplete last records (torn writes) that were truncated when the log was opened. */
    tornTailCount = 0;
    private readonly options: LogSegmentsOptions;
    private segments: Segment[] = [];
    private handle: StorageFile | undefined;
    /** A write or sync of the current segment failed, so the file may contain any part of what follows `syncedBytes`. */
    private hasDoubtfulTail = false;

    private constructor(options: LogSegmentsOptions) {
        this.options = options;
    }

    /**
     * Opens the log and reads the entries after the snapshot, in order and without gaps.
     * @param firstSegment segments with a lower number are covered by the snapshot and are removed
     * @throws StorageError if synced data is damaged, or was written by a release whose records this one cannot read
     */
    static async open(
        options: LogSegmentsOptions,
        firstSegment: number,
        snapshotIndex: number,
    ): Promise<{ readonly log: LogSegments; readonly entries: readonly LogEntry[]; }> {
        const log = new LogSegments(options);
        const numbers = await log.listSegmentNumbers();
        await log.removeSegments(numbers.filter(number => number < firstSegment));
        const entries = await log.readEntries(numbers.filter(number => number >= firstSegment), snapshotIndex);
        await log.startSegment(Math.max(firstSegment, (numbers.at(-1) ?? 0) + 1));
        return { log, entries };
    }

    /** Number of the segment that is being written. */
    get currentNumber(): number {
        return this.segments.at(-1)!.number;
    }

    /**
     * Applies the records in order: each removes the entries from its `fromIndex` on and appends its own. They are
     * durable after the next `sync`. All unsynced data of a segment is written as one checksummed record. A power loss
     * can persist a later write without an earlier one; with several records, this would leave a valid record after an
     * invalid one, which is indistinguishable from damage.
     */
    async append(records: readonly LogRecord[]): Promise<void> {
        await this.discardDoubtfulTail();
        for (const chunk of this.splitIntoChunks(records)) {
            // `roll` syncs the full segment before it starts a new one.
            if (this.segments.at(-1)!.bytes >= this.options.segmentBytes) {
                await this.roll();
            }
            await this.writeChunk(chunk);
        }
    }

    /** Splits records into chunks of one segment each; all but the last chunk fill their segment. */
    private splitIntoChunks(records: readonly LogRecord[]): readonly (readonly LogRecord[])[] {
        const chunks: LogRecord[][] = [[]];
        // A segment that is full already is followed by a new one before the first chunk.
        const { bytes: currentBytes } = this.segments.at(-1)!;
        let bytes = currentBytes >= this.options.segmentBytes ? 0 : currentBytes;
        for (const { fromIndex, entries } of records) {
            if (bytes >= this.options.segmentBytes && chunks.at(-1)!.length > 0) {
                chunks.push([]);
                bytes = 0;
            }
            chunks.at(-1)!.push({ fromIndex, entries });
            bytes += Buffer.byteLength(JSON.stringify({ fromIndex, entries }));
        }
        return chunks.filter(chunk => chunk.length > 0);
    }

    private async writeChunk(chunk: readonly LogRecord[]): Promise<void> {
        const data = encodeRecord(Buffer.from(JSON.stringify(chunk)));
        await this.changeCurrentSegment(handle => handle.writeFile(data));
        const segment = this.segments.at(-1)!;
        segment.bytes += data.length;
        segment.lastIndex = Math.max(
            segment.lastIndex,
            ...chunk.flatMap(({ entries }) => entries.map(({ index }) => index)),
        );
    }

    async sync(): Promise<void> {
        await this.changeCurrentSegment(handle => handle.datasync());
        const segment = this.segments.at(-1)!;
        segment.syncedBytes = segment.bytes;
    }

    /** Syncs the current segment, starts a new one and returns its number. */
    async roll(): Promise<number> {
        await this.discardDoubtfulTail();
        await this.sync();
        await this.startSegment(this.currentNumber + 1);
        return this.currentNumber;
    }

    /** Number of the first segment that must be retained when a snapshot covers the log up to `index`. */
    firstRequiredSegment(index: number): number {
        return (this.segments.find(segment => segment.lastIndex > index) ?? this.segments.at(-1)!).number;
    }

    async removeSegmentsBefore(firstSegment: number): Promise<void> {
        const obsolete = this.segments.filter(({ number }) => number < firstSegment);
        await this.removeSegments(obsolete.map(({ number }) => number));
        this.segments = this.segments.filter(({ number }) => number >= firstSegment);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.handle?.close();
        this.handle = undefined;
    }

    private async changeCurrentSegment(change: (handle: StorageFile) => Promise<void>): Promise<void> {
        try {
            await change(this.handle!);
        }
        catch (error) {
            this.hasDoubtfulTail = true;
            throw error;
        }
    }

    /**
     * Truncates the current segment to its durable prefix. After a failed sync, the operating system may treat the data
     * as written although it is not on the disk, so a second sync proves nothing; the caller writes the data again.
     */
    private async discardDoubtfulTail(): Promise<void> {
        if (!this.hasDoubtfulTail) {
            return;
        }
        const segment = this.segments.at(-1)!;
        await this.handle!.truncate(segment.syncedBytes);
        await this.handle!.sync();
        segment.bytes = segment.syncedBytes;
        this.hasDoubtfulTail = false;
    }

    private async startSegment(number: number): Promise<void> {
        const { fileSystem, folder } = this.options;
        const handle = await fileSystem.open(this.segmentPath(number), "a");
        try {
            await syncFolder(fileSystem, folder);
        }
        catch (error) {
            await handle.close();
            throw error;
        }
        await this.handle?.close();
        this.handle = handle;
        this.segments.push({ number, bytes: 0, syncedBytes: 0, lastIndex: 0 });
    }

    private async readEntries(numbers: readonly number[], snapshotIndex: number): Promise<readonly LogEntry[]> {
        let entries: LogEntry[] = [];
        for (const number of numbers) {
            const isLast = number === numbers.at(-1);
            const segment = { number, bytes: 0, syncedBytes: 0, lastIndex: 0 };
            for (const record of await this.readSegment(number, isLast)) {
                if (record.fromIndex <= (entries.at(-1)?.index ?? 0)) {
                    entries = entries.filter(entry => entry.index < record.fromIndex);
                }
                entries.push(...record.entries.filter(entry => entry.index > snapshotIndex));
                segment.lastIndex = Math.max(segment.lastIndex, ...record.entries.map(entry => entry.index));
            }
            this.segments.push(segment);
            this.requireContinuity(number, entries, snapshotIndex);
        }
        return entries;
    }

    private async readSegment(number: number, isLast: boolean): Promise<readonly LogRecord[]> {
        const file = this.segmentPath(number);
        const data = await readIfExists(this.options.fileSystem, file) ?? Buffer.alloc(0);
        const scan = scanRecords(data);
        if (scan.status === ScanStatus.Damaged || scan.status === ScanStatus.Torn && !isLast) {
            throw damagedFileError(file, scan.validBytes, "damaged record");
        }
        const records = scan.payloads.flatMap(payload => {
            const value = parseJson(file, payload, payload.byteOffset - data.byteOffset);
            return requireReadable(file, () => requireLogRecords(value));
        });
        if (isLast) {
            this.tornTailCount += scan.status === ScanStatus.Torn ? 1 : 0;
            // A killed process may have left the segment unsynced; entries read here count as durable from now on.
            await this.makeDurable(file, data, scan);
        }
        return records;
    }

    // Without a sync, a torn tail could reappear after a power loss, in a segment that is no longer the last one.
    private async makeDurable(file: string, data: Buffer, scan: ScanResult): Promise<void> {
        const { fileSystem, isRetry = false } = this.options;
        if (scan.status === ScanStatus.Torn || isRetry) {
            await replaceAtomically(fileSystem, file, data.subarray(0, scan.validBytes));
        }
        else {
            await withFile(fileSystem, file, "r+", handle => handle.sync());
        }
    }

    private requireContinuity(number: number, entries: readonly LogEntry[], snapshotIndex: number): void {
        const gap = entries.findIndex((entry, index) => entry.index !== snapshotIndex + 1 + index);
        if (gap !== -1) {
            const detail = `entry ${entries[gap]!.index} does not follow the entry before it`;
            throw damagedFileError(this.segmentPath(number), 0, detail);
        }
    }

    private async removeSegments(numbers: readonly number[]): Promise<void> {
        for (const number of numbers) {
            await this.options.fileSystem.remove(this.segmentPath(number));
        }
    }

    private async listSegmentNumbers(): Promise<readonly number[]> {
        const names = await this.options.fileSystem.readdir(this.options.folder);
        return names.flatMap(name => segmentNamePattern.exec(name)?.[1] ?? []).map(Number).sort((left, right) =>
            left - right
        );
    }

    private segmentPath(number: number): string {
        return join(this.options.folder, `log-${String(number).padStart(8, "0")}`);
    }
}

/** @throws Error that names the invalid field */
function requireLogRecords(value: unknown): readonly LogRecord[] {
    requireValid("log", logRecords, value);
    const records = value as readonly LogRecord[];
    records.forEach(({ entries }) => entries.forEach(requireLogEntry));
    return records;
}
