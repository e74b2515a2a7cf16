/** The latest snapshot on disk. */
import { join } from "node:path";
import type { Snapshot, SnapshotRecord } from "../model/replicatedLog.ts";
import { readRecords, writeAtomically } from "./atomicFile.ts";
import { damagedFileError } from "./storageError.ts";

interface SnapshotHeader extends Omit<Snapshot, "records"> {
    /** Guards against a file cut off exactly between two records. */
    readonly recordCount: number;
    /** First log segment that continues this snapshot; older ones are void. */
    readonly firstSegment: number;
}

export interface StoredSnapshot {
    readonly snapshot: Snapshot;
    readonly firstSegment: number;
}

export async function writeSnapshot(folder: string, { snapshot, firstSegment }: StoredSnapshot): Promise<void> {
    const { records, ...rest } = snapshot;
    const header: SnapshotHeader = { ...rest, recordCount: records.length, firstSegment };
    await writeAtomically(snapshotPath(folder), [header, ...records]);
}

export async function readSnapshot(folder: string): Promise<StoredSnapshot | undefined> {
    const file = snapshotPath(folder);
    const found = await readRecords(file);
    if (found === undefined) {
        return undefined;
    }
    const { recordCount, firstSegment, ...rest } = found[0] as SnapshotHeader;
    if (recordCount !== found.length - 1) {
        throw damagedFileError(file, 0, `${found.length - 1} records found, ${recordCount} written`);
    }
    return { snapshot: { ...rest, records: found.slice(1) as readonly SnapshotRecord[] }, firstSegment };
}

function snapshotPath(folder: string): string {
    return join(folder, "snapshot");
}
