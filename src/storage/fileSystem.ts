/** Operations on the files of a data folder. */
import { mkdir, open, readdir, readFile, rename, rm } from "node:fs/promises";

/** An open file or folder. A method that fails rejects with the error of the operating system, which has a `code`. */
export interface StorageFile {
    /** Writes at the end of a file that was opened with "a", and at the current position otherwise. */
    writeFile(data: Uint8Array): Promise<void>;
    truncate(lengthBytes: number): Promise<void>;
    /** Makes data and metadata durable. */
    sync(): Promise<void>;
    /** Makes the data durable, and the metadata that is needed to read it. */
    datasync(): Promise<void>;
    close(): Promise<void>;
}

/** The subset of `node:fs/promises` that the storage uses, with the same errors. Tests make single operations fail. */
export interface FileSystem {
    open(path: string, flags: "r" | "r+" | "w" | "a"): Promise<StorageFile>;
    readFile(path: string): Promise<Buffer>;
    /** Returns the names of the entries of a folder. */
    readdir(folder: string): Promise<readonly string[]>;
    rename(from: string, to: string): Promise<void>;
    /** Removes a file; does nothing if it does not exist. */
    remove(path: string): Promise<void>;
    /** Creates a folder and its parents; does nothing if it exists. */
    createFolder(path: string): Promise<void>;
}

/** The file system of the operating system. */
export class NodeFileSystem implements FileSystem {
    open(path: string, flags: "r" | "r+" | "w" | "a"): Promise<StorageFile> {
        return open(path, flags);
    }

    readFile(path: string): Promise<Buffer> {
        return readFile(path);
    }

    readdir(folder: string): Promise<readonly string[]> {
        return readdir(folder);
    }

    rename(from: string, to: string): Promise<void> {
        return rename(from, to);
    }

    remove(path: string): Promise<void> {
        return rm(path, { force: true });
    }

    async createFolder(path: string): Promise<void> {
        await mkdir(path, { recursive: true });
    }
}

/** Whether an operation failed because the disk or the quota is full. Such an operation has lost no synced data. */
export function isOutOfSpaceError(error: unknown): boolean {
    const { code } = error as NodeJS.ErrnoException;
    return code === "ENOSPC" || code === "EDQUOT";
}

/** Reads a file. Returns undefined if it does not exist. */
export async function readIfExists(fileSystem: FileSystem, path: string): Promise<Buffer | undefined> {
    try {
        return await fileSystem.readFile(path);
    }
    catch (error) {
        if ((error as NodeJS.ErrnoException).code === "ENOENT") {
            return undefined;
        }
        throw error;
    }
}

/** Syncs a folder so that files created, renamed or removed in it stay so after a power loss. */
export async function syncFolder(fileSystem: FileSystem, folder: string): Promise<void> {
    await withFile(fileSystem, folder, "r", handle => handle.sync());
}

/** Opens a file, and closes it when `use` has ended or failed. */
export async function withFile(
    fileSystem: FileSystem,
    path: string,
    flags: "r" | "r+" | "w" | "a",
    use: (handle: StorageFile) => Promise<void>,
): Promise<void> {
    const handle = await fileSystem.open(path, flags);
    try {
        await use(handle);
    }
    finally {
        await handle.close();
    }
}
