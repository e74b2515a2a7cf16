/** Small files of checksummed records that are replaced atomically: a temporary file is written, synced and renamed. */
import { dirname, join } from "node:path";
import { type FileSystem, readIfExists, syncFolder, withFile } from "./fileSystem.ts";
import { encodeRecord, scanRecords, ScanStatus } from "./recordCodec.ts";
import { damagedFileError, unreadableRecordError } from "./storageError.ts";

const temporarySuffix = ".new";

/**
 * Replaces the content of `file`. After a crash the file holds either the old or the new content. A call that fails may
 * be repeated.
 */
export async function writeAtomically(
    fileSystem: FileSystem,
    file: string,
    records: readonly unknown[],
): Promise<void> {
    const data = Buffer.concat(records.map(record => encodeRecord(Buffer.from(JSON.stringify(record)))));
    await replaceAtomically(fileSystem, file, data);
}

/** Replaces the content of `file` by `data`, with the guarantees of `writeAtomically`. */
export async function replaceAtomically(fileSystem: FileSystem, file: string, data: Buffer): Promise<void> {
    const temporary = `${file}${temporarySuffix}`;
    try {
        await withFile(fileSystem, temporary, "w", async handle => {
            await handle.writeFile(data);
            await handle.sync();
        });
        await fileSystem.rename(temporary, file);
    }
    catch (error) {
        await discardTemporary(fileSystem, temporary);
        throw error;
    }
    await syncFolder(fileSystem, dirname(file));
}

/** Removes the temporary files that a process left behind when it ended during a write. */
export async function removeTemporaryFiles(fileSystem: FileSystem, folder: string): Promise<void> {
    const names = await fileSystem.readdir(folder);
    for (const name of names.filter(name => name.endsWith(temporarySuffix))) {
        await fileSystem.remove(join(folder, name));
    }
}

/** Reads the records of a file written by `writeAtomically`. Returns undefined if the file does not exist. */
export async function readRecords(fileSystem: FileSystem, file: string): Promise<readonly unknown[] | undefined> {
    const data = await readIfExists(fileSystem, file);
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

/**
 * Checks the content of a record whose checksum is valid.
 * @param check throws if this release cannot read the record
 */
export function requireReadable<Checked>(file: string, check: () => Checked): Checked {
    try {
        return check();
    }
    catch (error) {
        throw unreadableRecordError(file, (error as Error).message);
    }
}

/** Gives the space of an incomplete temporary file back, because a full disk needs it. */
async function discardTemporary(fileSystem: FileSystem, temporary: string): Promise<void> {
    try {
        await fileSystem.remove(temporary);
    }
    catch {
        // The caller gets the error of the write. The next write of this file truncates what is left here.
    }
}
