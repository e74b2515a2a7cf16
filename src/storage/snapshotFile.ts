/** File with the latest snapshot of the control state. */
import { join } from "node:path";
import * as z from "zod";
import type { Snapshot } from "../model/replicatedLog.ts";
import { memberList, requireSnapshotRecord, requireValid } from "../model/replicatedLogSchema.ts";
import { readRecords, requireReadable, writeAtomically } from "./atomicFile.ts";
import type { FileSystem } from "./fileSystem.ts";
import { damagedFileError } from "./storageError.ts";

interface SnapshotHeader extends Omit<Snapshot, "records"> {
    /** Detects a file that was truncated exactly between two records. */
    readonly recordCount: number;
    /** First log segment with entries after this snapshot; segments with a lower number are obsolete. */
    readonly firstSegment: number;
}

const count = z.int().nonnegative();
const headerSchema = z.looseObject({
    lastIndex: count,
    lastTerm: count,
    members: memberList,
    version: count,
    recordCount: count,
    firstSegment: count,
});

export interface StoredSnapshot {
    readonly snapshot: Snapshot;
    readonly firstSegment: number;
}

export async function writeSnapshot(
    fileSystem: FileSystem,
    folder: string,
    { snapshot, firstSegment }: StoredSnapshot,
): Promise<void> {
    const { records, ...rest } = snapshot;
    const header: SnapshotHeader = { ...rest, recordCount: records.length, firstSegment };
    await writeAtomically(fileSystem, snapshotPath(folder), [header, ...records]);
}

export async function readSnapshot(fileSystem: FileSystem, folder: string): Promise<StoredSnapshot | undefined> {
    const file = snapshotPath(folder);
    const stored = await readRecords(fileSystem, file);
    if (stored === undefined) {
        return undefined;
    }
    requireReadable(file, () => requireValid("snapshot", headerSchema, stored[0]));
    const { recordCount, firstSegment, ...rest } = stored[0] as SnapshotHeader;
    if (recordCount !== stored.length - 1) {
        throw damagedFileError(file, 0, `${stored.length - 1} records found, ${recordCount} expected`);
    }
    const records = requireReadable(file, () => stored.slice(1).map(requireSnapshotRecord));
    return { snapshot: { ...rest, records }, firstSegment };
}

function snapshotPath(folder: string): string {
    return join(folder, "snapshot");
}
