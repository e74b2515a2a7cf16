/** Small files of checksummed records that are replaced atomically: a temporary file is written, synced and renamed. */
import { open, readFile, rename } from "node:fs/promises";
import { dirname } from "node:path";
import { encodeRecord, scanRecords, ScanStatus } from "./recordCodec.ts";
import { damagedFileError } from "./storageError.ts";

/** Replaces the content of `file`. After a crash the file holds either the old or the new content. */
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

/** Reads the records of a file written by `writeAtomically`. Returns undefined if the file does not exist. */
export async function readRecords(file: string): Promise<readonly unknown[] | undefined> {
    const data = await readIfExists(file);
    if (data === undefined) {
        return undefined;
    }
    const scan = scanRecords(data);
    // The file is renamed only after the sync, so an incomplete file under the final name means damage.
    if (scan.status !== ScanStatus.Complete || scan.payloads.length === 0) {
        throw damagedFileError(file, scan.validBytes, "truncated file or wrong checksum");
    }
    return scan.payloads.map(payload => parseJson(file, payload, payload.byteOffset - data.byteOffset));
}

/** Parses a record payload. `file` and `offset` locate the payload in error messages. */
export function parseJson(file: string, payload: Buffer, offset: number): unknown {
    try {
        return JSON.parse(payload.toString("utf8"));
    }
    catch {
        throw damagedFileError(file, offset, "a record with a valid checksum is not valid JSON");
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

/** Syncs a folder so that files created, renamed or removed in it stay so after a power loss. */
export async function syncFolder(folder: string): Promise<void> {
    const handle = await open(folder, "r");
    try {
        await handle.sync();
    }
    finally {
        await handle.close();
    }
}
