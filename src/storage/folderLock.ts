/** Keeps a second process from using the same data folder. */
import { open, readFile, rename, rm } from "node:fs/promises";
import { join } from "node:path";
import { StorageError, StorageErrorCode } from "./storageError.ts";

/** Folders locked by this process; a lock file with the own process id may also be left over from another process. */
const lockedFiles = new Set<string>();

/**
 * Lock file with the id of its process. A file whose process no longer runs is taken over. The platform starts at most
 * one process per folder at a time, so two processes that take over one stale file at the same moment are not expected;
 * the rename still lets only one of them win.
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

// Signal 0 checks for existence only. EPERM means that the process exists under another user.
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
