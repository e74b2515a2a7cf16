/** Small files that are replaced as a whole: one checked record, written to a new file, synced and renamed. */
import { open, readFile, rename } from "node:fs/promises";
import { dirname } from "node:path";
import { encodeRecord, scanRecords, ScanStatus } from "./recordCodec.ts";
import { damagedFileError } from "./storageError.ts";

/** Replaces `file` so that after a crash it holds either the old or the new value. */
export async function writeAtomically(file: string, records: readonly unknown[]): Promise<void> {
    const temporary = `${file}.new`;
    const handle = await open(temporary, "w");
    try {
        await handle.writeFile(Buffer.concat(records.map(record => encodeRecord(Buffer.from(JSON.stringify(record))))));
        await handle.sync();
    }
    finally {
        await handle.close();
    }
    await rename(temporary, file);
    await syncFolder(dirname(file));
}

/** Records of a file written by `writeAtomically`, or undefined when there is no such file. */
export async function readRecords(file: string): Promise<readonly unknown[] | undefined> {
    const data = await readIfExists(file);
    if (data === undefined) {
        return undefined;
    }
    const scan = scanRecords(data);
    // The rename happens after the sync, so a file under its final name is never incomplete without damage.
    if (scan.status !== ScanStatus.Complete || scan.payloads.length === 0) {
        throw damagedFileError(file, scan.validBytes, "truncated file or wrong checksum");
    }
    return scan.payloads.map(payload => parseJson(file, payload, payload.byteOffset - data.byteOffset));
}

/** Decodes a payload that starts at `offset` of `file`. */
export function parseJson(file: string, payload: Buffer, offset: number): unknown {
    try {
        return JSON.parse(payload.toString("utf8"));
    }
    catch {
        throw damagedFileError(file, offset, "a record with a right checksum is not JSON");
    }
}

export async function readIfExists(file: string): Promise<Buffer | undefined> {
    try {
        return await readFile(file);
    }
    catch (error) {
        if ((error as NodeJS.ErrnoException).code === "ENOENT") {
            return undefined;
        }
        throw error;
    }
}

/** Makes creations, renames and removals in a folder durable. */
export async function syncFolder(folder: string): Promise<void> {
    const handle = await open(folder, "r");
    try {
        await handle.sync();
    }
    finally {
        await handle.close();
    }
}
