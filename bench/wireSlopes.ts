/** Throughput of the decoder of the wire protocol, beside that of its predecessor, for docs/CAPACITY.md. */
import { LineReader, maximumLineBytes, wireEncoding } from "../src/platform/wireLines.ts";
import { LineFeedReader } from "./lineFeedReader.ts";

export interface WireSlope {
    readonly messageBytes: number;
    readonly chunkBytes: number;
    readonly messagesPerSecond: number;
    readonly megabytesPerSecond: number;
    /** Of the reader that ended messages at a line feed. */
    readonly formerMegabytesPerSecond: number;
    /** Throughput in relation to that of the former reader. */
    readonly ratio: number;
}

interface Reader {
    push(chunk: Buffer): readonly string[];
}

/** Size of what a stream delivers at once when it is full. */
const fullChunkBytes = 65_536;
const smallChunkBytes = 1_024;

/** Bytes of a pass; the former reader needs almost a second for one message of 1 MiB in small chunks. */
const passBytes = 4 * maximumLineBytes;
const passes = 9;

/** Measures messages of three sizes, whole and in chunks of 1 KB; the readers take turns, and the best pass counts. */
export function measureWire(): readonly WireSlope[] {
    const shapes: readonly (readonly [number, number])[] = [
        [40, 40],
        [40, smallChunkBytes],
        [40, fullChunkBytes],
        [1_024, 1_024],
        [1_024, smallChunkBytes - 24],
        [1_024, fullChunkBytes],
        [maximumLineBytes, maximumLineBytes],
        [maximumLineBytes, smallChunkBytes],
        [maximumLineBytes, fullChunkBytes],
    ];
    return shapes.map(([messageBytes, chunkBytes]) => measureShape(messageBytes, chunkBytes));
}

function measureShape(messageBytes: number, chunkBytes: number): WireSlope {
    const slow = messageBytes === maximumLineBytes && chunkBytes === smallChunkBytes;
    const messageCount = slow ? 1 : Math.floor(passBytes / messageBytes);
    const stream = Buffer.from(`${"x".repeat(messageBytes - 2)}\r\n`.repeat(messageCount), wireEncoding);
    const chunks = Array.from(
        { length: Math.ceil(stream.length / chunkBytes) },
        (_, index) => stream.subarray(index * chunkBytes, (index + 1) * chunkBytes),
    );
    let bestMs = Infinity;
    let formerBestMs = Infinity;
    for (let pass = 0; pass < (slow ? 3 : passes); pass++) {
        formerBestMs = Math.min(formerBestMs, elapsedMs(new LineFeedReader(), chunks, messageCount));
        bestMs = Math.min(bestMs, elapsedMs(new LineReader(), chunks, messageCount));
    }
    const megabytes = stream.length / 1e6;
    return {
        messageBytes,
        chunkBytes,
        messagesPerSecond: Math.round(1_000 * messageCount / bestMs),
        megabytesPerSecond: 1_000 * megabytes / bestMs,
        formerMegabytesPerSecond: 1_000 * megabytes / formerBestMs,
        ratio: formerBestMs / bestMs,
    };
}

function elapsedMs(reader: Reader, chunks: readonly Buffer[], messageCount: number): number {
    const startMs = performance.now();
    let count = 0;
    for (const chunk of chunks) {
        count += reader.push(chunk).length;
    }
    const elapsed = performance.now() - startMs;
    if (count !== messageCount) {
        throw new Error(`read ${count} messages instead of ${messageCount}`);
    }
    return elapsed;
}
