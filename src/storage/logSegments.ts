/** The log on disk: numbered append-only files of checked records. */
import { type FileHandle, open, readdir, rm } from "node:fs/promises";
import { join } from "node:path";
import type { LogEntry } from "../model/replicatedLog.ts";
import { parseJson, readIfExists, syncFolder } from "./atomicFile.ts";
import { encodeRecord, scanRecords, ScanStatus } from "./recordCodec.ts";
import { damagedFileError } from "./storageError.ts";

const segmentNamePattern = /^log-(\d{8})$/;

export interface LogSegmentsOptions {
    readonly folder: string;
    /** Size above which a new segment is started. */
    readonly segmentBytes: number;
}

/** One append: removes every entry from an index on, then adds entries. */
interface LogRecord {
    readonly fromIndex: number;
    readonly entries: readonly LogEntry[];
}

interface Segment {
    readonly number: number;
    bytes: number;
    /** Highest index of its entries; 0 without entries. */
    lastIndex: number;
}

export class LogSegments implements AsyncDisposable {
    /** Torn tails cut off when the log was opened. */
    tornTailCount = 0;
    private readonly options: LogSegmentsOptions;
    private segments: Segment[] = [];
    private handle: FileHandle | undefined;

    private constructor(options: LogSegmentsOptions) {
        this.options = options;
    }

    /**
     * Opens the log and reads its entries, in order and without gaps.
     * @param firstSegment segments with a lower number were given up by a snapshot and are removed
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

    /** Number of the segment that is written now. */
    get currentNumber(): number {
        return this.segments.at(-1)!.number;
    }

    /**
     * For each record in order, removes entries from its `fromIndex` on and appends its entries. Durable after the next
     * `sync`. What is not synced yet is one checked record: a power loss that keeps a later write and not an earlier one
     * would otherwise leave valid data behind an invalid record, which cannot be told from damage.
     */
    async append(records: readonly LogRecord[]): Promise<void> {
        for (const chunk of this.splitIntoChunks(records)) {
            // A chunk that fills a segment is followed by a new one, and rolling syncs what came before.
            if (this.segments.at(-1)!.bytes >= this.options.segmentBytes) {
                await this.roll();
            }
            await this.writeChunk(chunk);
        }
    }

    /** Every chunk but the last one fills a segment. */
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

    /** Starts a new segment and returns its number. */
    async roll(): Promise<number> {
        await this.sync();
        await this.startSegment(this.currentNumber + 1);
        return this.currentNumber;
    }

    /** Number of the first segment that must be kept when a snapshot holds everything up to `index`. */
    firstRequiredSegment(index: number): number {
        return (this.segments.find(segment => segment.lastIndex > index) ?? this.segments.at(-1)!).number;
    }

    /** Removes the segments before `firstSegment`. */
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
            // A process that was killed may have left it unsynced; what is read here counts as durable from now on.
            await truncateDurably(file, scan.validBytes);
        }
        return scan.payloads.flatMap(payload =>
            parseJson(file, payload, payload.byteOffset - data.byteOffset) as readonly LogRecord[]
        );
    }

    private requireContinuity(number: number, entries: readonly LogEntry[], snapshotIndex: number): void {
        const position = entries.findIndex((entry, index) => entry.index !== snapshotIndex + 1 + index);
        if (position !== -1) {
            const detail = `entry ${entries[position]!.index} does not continue the log`;
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

// Without the sync the cut-off tail could come back in a segment that is no longer the last.
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
