/** Framing of stored records: length (4 bytes), CRC-32 of the payload (4 bytes), payload. Numbers are big-endian. */
import { crc32 } from "node:zlib";

const headerBytes = 8;

/** Larger than the largest entry that the control state accepts. A length field above it is treated as damage. */
export const maximumPayloadBytes = 8 * 1024 * 1024;

export function encodeRecord(payload: Buffer): Buffer {
    if (payload.length === 0 || payload.length > maximumPayloadBytes) {
        throw new RangeError(`a record of ${payload.length} bytes cannot be written; limit ${maximumPayloadBytes}`);
    }
    const header = Buffer.alloc(headerBytes);
    header.writeUInt32BE(payload.length, 0);
    header.writeUInt32BE(crc32(payload), 4);
    return Buffer.concat([header, payload]);
}

export const ScanStatus = {
    /** All records are valid, and the last one ends at the end of the data. */
    Complete: "complete",
    /** The last record is incomplete: the write was interrupted. */
    Torn: "torn",
    /** A record is invalid although a valid one follows it. */
    Damaged: "damaged",
} as const;
export type ScanStatus = typeof ScanStatus[keyof typeof ScanStatus];

export interface ScanResult {
    readonly payloads: readonly Buffer[];
    readonly status: ScanStatus;
    /** Length of the valid prefix, which is the offset of the torn or damaged record if there is one. */
    readonly validBytes: number;
}

/** Reads records from the start of `data`. The payloads are views of `data`, not copies. */
export function scanRecords(data: Buffer): ScanResult {
    const payloads: Buffer[] = [];
    let offset = 0;
    while (offset < data.length) {
        const payload = readRecord(data, offset);
        if (payload === undefined) {
            return {
                payloads,
                status: isTornAt(data, offset) ? ScanStatus.Torn : ScanStatus.Damaged,
                validBytes: offset,
            };
        }
        payloads.push(payload);
        offset += headerBytes + payload.length;
    }
    return { payloads, status: ScanStatus.Complete, validBytes: offset };
}

function readRecord(data: Buffer, offset: number): Buffer | undefined {
    if (data.length - offset < headerBytes) {
        return undefined;
    }
    const length = data.readUInt32BE(offset);
    const end = offset + headerBytes + length;
    if (length === 0 || length > maximumPayloadBytes || end > data.length) {
        return undefined;
    }
    const payload = data.subarray(offset + headerBytes, end);
    return crc32(payload) === data.readUInt32BE(offset + 4) ? payload : undefined;
}

/**
 * Distinguishes an interrupted last write from damage. No valid record follows an interrupted write, so an invalid
 * record with a valid one anywhere after it means that synced data is damaged.
 */
function isTornAt(data: Buffer, offset: number): boolean {
    for (let candidate = offset + 1; candidate + headerBytes < data.length; candidate++) {
        if (readRecord(data, candidate) !== undefined) {
            return false;
        }
    }
    return true;
}
