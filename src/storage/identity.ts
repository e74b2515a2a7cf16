/** Who owns a data folder. */
import { randomBytes } from "node:crypto";
import { join } from "node:path";
import { readRecords, writeAtomically } from "./atomicFile.ts";
import { StorageError, StorageErrorCode } from "./storageError.ts";

export interface Identity {
    readonly cluster: string;
    readonly memberId: string;
    /** Random, chosen when the folder is first used; a wiped folder gets another one. */
    readonly incarnation: string;
}

/** Reads the identity of a folder, or creates it in an empty one. */
export async function openIdentity(folder: string, cluster: string, memberId: string): Promise<Identity> {
    const file = join(folder, "identity");
    const found = (await readRecords(file))?.[0] as Identity | undefined;
    if (found === undefined) {
        const created = { cluster, memberId, incarnation: randomBytes(8).toString("hex") };
        await writeAtomically(file, [created]);
        return created;
    }
    if (found.cluster !== cluster || found.memberId !== memberId) {
        const detail = `the folder belongs to member "${found.memberId}" of cluster "${found.cluster}"; `
            + "choose another folder or correct the settings";
        throw new StorageError(StorageErrorCode.ForeignFolder, file, detail);
    }
    return found;
}
