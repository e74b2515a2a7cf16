/** Identity of the member that owns a data folder. */
import { randomBytes } from "node:crypto";
import { join } from "node:path";
import { readRecords, writeAtomically } from "./atomicFile.ts";
import type { FileSystem } from "./fileSystem.ts";
import { StorageError, StorageErrorCode } from "./storageError.ts";

export interface Identity {
    readonly cluster: string;
    readonly memberId: string;
    /** Random, chosen on first use of the folder. A member whose folder was wiped gets a new one. */
    readonly incarnation: string;
}

/**
 * Reads the identity stored in a folder, or creates it on first use.
 * @throws StorageError if the folder belongs to another cluster or member
 */
export async function openIdentity(
    fileSystem: FileSystem,
    folder: string,
    cluster: string,
    memberId: string,
): Promise<Identity> {
    const file = join(folder, "identity");
    const stored = (await readRecords(fileSystem, file))?.[0] as Identity | undefined;
    if (stored === undefined) {
        const created = { cluster, memberId, incarnation: randomBytes(8).toString("hex") };
        await writeAtomically(fileSystem, file, [created]);
        return created;
    }
    if (stored.cluster !== cluster || stored.memberId !== memberId) {
        const detail = `the folder belongs to member "${stored.memberId}" of cluster "${stored.cluster}"; `
            + "choose another folder or correct the settings";
        throw new StorageError(StorageErrorCode.ForeignFolder, file, detail);
    }
    return stored;
}
