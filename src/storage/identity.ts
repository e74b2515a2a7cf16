/** Identity of the member that owns a data folder. */
import { randomBytes } from "node:crypto";
import { join } from "node:path";
import * as z from "zod";
import { requireValid } from "../model/replicatedLogSchema.ts";
import { readRecords, requireReadable, writeAtomically } from "./atomicFile.ts";
import type { FileSystem } from "./fileSystem.ts";
import { StorageError, StorageErrorCode } from "./storageError.ts";

export interface Identity {
    readonly cluster: string;
    readonly memberId: string;
    /** Random, chosen on first use of the folder. A member whose folder was wiped gets a new one. */
    readonly incarnation: string;
}

const identitySchema = z.looseObject({ cluster: z.string(), memberId: z.string(), incarnation: z.string().min(1) });

/**
 * Reads the identity stored in a folder, or creates it on first use.
 * @throws StorageError if the folder belongs to another cluster or member, or its identity cannot be read
 */
export async function openIdentity(
    fileSystem: FileSystem,
    folder: string,
    cluster: string,
    memberId: string,
): Promise<Identity> {
    const file = join(folder, "identity");
    const records = await readRecords(fileSystem, file);
    if (records === undefined) {
        const created = { cluster, memberId, incarnation: randomBytes(8).toString("hex") };
        await writeAtomically(fileSystem, file, [created]);
        return created;
    }
    const [stored] = records as readonly [Identity];
    requireReadable(file, () => requireValid("identity", identitySchema, stored));
    if (stored.cluster !== cluster || stored.memberId !== memberId) {
        const detail = `the folder belongs to member "${stored.memberId}" of cluster "${stored.cluster}"; `
            + "choose another folder or correct the settings";
        throw new StorageError(StorageErrorCode.ForeignFolder, file, detail);
    }
    return stored;
}
