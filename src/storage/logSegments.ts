/** The replicated log on disk: numbered, append-only segment files of checksummed records. */
import { type FileHandle, open, readdir, rm } from "node:fs/promises";
import { join } from "node:path";
import type { LogEntry } from "../model/replicatedLog.ts";
import { parseJson, readIfExists, syncFolder } from "./atomicFile.ts";
import { encodeRecord, scanRecords, ScanStatus } from "./recordCodec.ts";
import { damagedFileError } from "./storageError.ts";

const segmentNamePattern = /^log-(\d{8})$/;

export interface LogSegmentsOptions {
    readonly folder: string;
    /** Size from which on the log continues in a new segment. */
    readonly segmentBytes: number;
}

/** One append: removes all entries from `fromIndex` on, then adds `entries`. */
interface LogRecord {
    readonly fromIndex: number;
    readonly entries: readonly LogEntry[];
}

interface Segment {
    readonly number: number;
    bytes: number;
    /** Highest log index in the segment; 0 if it is empty. */
    lastIndex: number;
}

export class LogSegments implements AsyncDisposable {
    /** Number of incomplete last records (torn writes) that were truncated when the log was opened. */
    tornTailCount = 0;
    private readonly options: LogSegmentsOptions;
    private segments: Segment[] = [];
    private handle: FileHandle | undefined;

    private constructor(options: LogSegmentsOptions) {
        this.options = options;
    }

    /**
     * Opens the log and reads the entries after the snapshot, in order and without gaps.
     * @param firstSegment segments with a lower number are covered by the snapshot and are removed
     * @throws StorageError if synced data is damaged
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
        let bytes = this.segments.at(-1)!.bytes;
        for (const { fromIndex, entries } of records) {
            if (bytes >= this.options.segmentBytes && chunks.at(-1)!.length > 0) {
                chunks.push([]);
                bytes = 0;
            }
            chunks.at(-1)!.push({ fromIndex, entries });
            bytes += JSON.stringify({ fromIndex, entries }).length;
        }
        return chunks.filter(chunk => chunk.length > 0);
    }

    private async writeChunk(chunk: readonly LogRecord[]): Promise<void> {
        const data = encodeRecord(Buffer.from(JSON.stringify(chunk)));
        await this.handle!.appendFile(data);
        const segment = this.segments.at(-1)!;
        segment.bytes += data.length;
        segment.lastIndex = Math.max(
            segment.lastIndex,
            ...chunk.flatMap(({ entries }) => entries.map(({ index }) => index)),
        );
    }

    async sync(): Promise<void> {
        await this.handle!.datasync();
    }

    /** Syncs the current segment, starts a new one and returns its number. */
    async roll(): Promise<number> {
        await this.sync();
        await this.startSegment(this.currentNumber + 1);
        return this.currentNumber;
    }

    /** Number of the first segment that must be retained when a snapshot covers the log up to `index`. */
    firstRequiredSegment(index: number): number {
        return (this.segments.find(segment => segment.lastIndex > index) ?? this.segments.at(-1)!).number;
    }

    async removeSegmentsBefore(firstSegment: number): Promise<void> {
        const removed = this.segments.filter(segment => segment.number < firstSegment);
        this.segments = this.segments.filter(segment => segment.number >= firstSegment);
        await this.removeSegments(removed.map(segment => segment.number));
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.handle?.close();
        this.handle = undefined;
    }

    private async startSegment(number: number): Promise<void> {
        await this.handle?.close();
        this.handle = await open(this.segmentPath(number), "a");
        await syncFolder(this.options.folder);
        this.segments.push({ number, bytes: 0, lastIndex: 0 });
    }

    private async readEntries(numbers: readonly number[], snapshotIndex: number): Promise<readonly LogEntry[]> {
        let entries: LogEntry[] = [];
        for (const number of numbers) {
            const isLast = number === numbers.at(-1);
            const segment = { number, bytes: 0, lastIndex: 0 };
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
        const data = await readIfExists(file) ?? Buffer.alloc(0);
        const scan = scanRecords(data);
        if (scan.status === ScanStatus.Damaged || scan.status === ScanStatus.Torn && !isLast) {
            throw damagedFileError(file, scan.validBytes, "damaged record");
        }
        if (isLast) {
            this.tornTailCount += scan.status === ScanStatus.Torn ? 1 : 0;
            // A killed process may have left the segment unsynced; entries read here count as durable from now on.
            await truncateDurably(file, scan.validBytes);
        }
        return scan.payloads.flatMap(payload =>
            parseJson(file, payload, payload.byteOffset - data.byteOffset) as readonly LogRecord[]
        );
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
            await rm(this.segmentPath(number), { force: true });
        }
    }

    private async listSegmentNumbers(): Promise<readonly number[]> {
        const names = await readdir(this.options.folder);
        return names.flatMap(name => segmentNamePattern.exec(name)?.[1] ?? []).map(Number).sort((left, right) =>
            left - right
        );
    }

    private segmentPath(number: number): string {
        return join(this.options.folder, `log-${String(number).padStart(8, "0")}`);
    }
}

// Without the sync, the truncated tail could reappear after a power loss, in a segment that is no longer the last one.
async function truncateDurably(file: string, length: number): Promise<void> {
    const handle = await open(file, "r+");
    try {
        await handle.truncate(length);
        await handle.sync();
    }
    finally {
        await handle.close();
    }
}
