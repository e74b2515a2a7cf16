/** Prevents a second process from using the same data folder. */
import { open, readFile, rename, rm } from "node:fs/promises";
import { join } from "node:path";
import { StorageError, StorageErrorCode } from "./storageError.ts";

/**
 * Lock files held by this process. The process id in a lock file is not enough to tell: a terminated process may have
 * had the id of this one.
 */
const lockedFiles = new Set<string>();

/**
 * A lock file that contains the id of its owner process. A lock file whose owner no longer runs is stale and is
 * replaced. The platform starts at most one process per folder at a time, so two processes are not expected to replace
 * a stale file concurrently; if they do, the rename succeeds for only one of them.
 */
export class FolderLock implements AsyncDisposable {
    private readonly file: string;

    private constructor(file: string) {
        this.file = file;
    }

    static async acquire(folder: string): Promise<FolderLock> {
        const file = join(folder, "lock");
        if (lockedFiles.has(file)) {
            throw createLockedError(file, process.pid);
        }
        lockedFiles.add(file);
        try {
            await createOrTakeOver(file);
        }
        catch (error) {
            lockedFiles.delete(file);
            throw error;
        }
        return new FolderLock(file);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        lockedFiles.delete(this.file);
        await rm(this.file, { force: true });
    }
}

async function createOrTakeOver(file: string): Promise<void> {
    if (await tryCreate(file)) {
        return;
    }
    const ownerProcessId = Number(await readFile(file, "utf8"));
    if (ownerProcessId !== process.pid && isProcessRunning(ownerProcessId)) {
        throw createLockedError(file, ownerProcessId);
    }
    const stale = `${file}.${process.pid}.stale`;
    await rename(file, stale);
    await rm(stale, { force: true });
    if (!await tryCreate(file)) {
        throw createLockedError(file, Number(await readFile(file, "utf8")));
    }
}

async function tryCreate(file: string): Promise<boolean> {
    try {
        const handle = await open(file, "wx");
        await handle.writeFile(String(process.pid));
        await handle.close();
        return true;
    }
    catch (error) {
        if ((error as NodeJS.ErrnoException).code === "EEXIST") {
            return false;
        }
        throw error;
    }
}

// Signal 0 only checks whether the process exists. EPERM means that it exists and belongs to another user.
function isProcessRunning(processId: number): boolean {
    if (!Number.isSafeInteger(processId) || processId <= 0) {
        return false;
    }
    try {
        process.kill(processId, 0);
        return true;
    }
    catch (error) {
        return (error as NodeJS.ErrnoException).code === "EPERM";
    }
}

function createLockedError(file: string, processId: number): StorageError {
    const detail = `process ${processId} uses this data folder; stop it or choose another folder`;
    return new StorageError(StorageErrorCode.Locked, file, detail);
}
