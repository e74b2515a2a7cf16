/** Errors of the data folder. */

export const StorageErrorCode = {
    /** Another running process uses the folder. */
    Locked: "storage_locked",
    /** Synced data is damaged. After the folder is wiped, the member rejoins the cluster as a new one. */
    Damaged: "storage_damaged",
    /** A record was written completely, by a release whose records this one cannot read. */
    Unreadable: "storage_unreadable",
    /** The folder belongs to another cluster or member. */
    ForeignFolder: "storage_foreign_folder",
} as const;
export type StorageErrorCode = typeof StorageErrorCode[keyof typeof StorageErrorCode];

export class StorageError extends Error {
    readonly code: StorageErrorCode;
    readonly file: string;

    constructor(code: StorageErrorCode, file: string, detail: string) {
        super(`${code}: ${detail} [step=storage file=${file}]`);
        this.name = "StorageError";
        this.code = code;
        this.file = file;
    }
}

/** @param detail which field of which record is not readable */
export function unreadableRecordError(file: string, detail: string): StorageError {
    const advice = "start the release that wrote it, or wipe the folder and let the member rejoin";
    return new StorageError(StorageErrorCode.Unreadable, file, `${detail}; ${advice}`);
}

/** @param offset position of the damage in the file */
export function damagedFileError(file: string, offset: number, detail: string): StorageError {
    const advice = "restore the disk, or wipe the folder and let the member rejoin";
    return new StorageError(StorageErrorCode.Damaged, file, `${detail} at offset ${offset}; ${advice}`);
}
