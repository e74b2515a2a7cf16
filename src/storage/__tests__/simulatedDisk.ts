/** A disk in memory that can be full and can lose power; each operation may fail in the ways that a real one can. */
import { basename } from "node:path";
import type { SeededRandom } from "../../pipeline/seededRandom.ts";
import type { FileSystem, StorageFile } from "../fileSystem.ts";

type Change =
    | { readonly kind: "write"; readonly offset: number; readonly data: Buffer; }
    | { readonly kind: "truncate"; readonly lengthBytes: number; };

interface Inode {
    content: Buffer;
    durable: Buffer;
    /** Changes since the last sync; a power loss keeps any subset of them, and tears writes. */
    unsynced: Change[];
}

interface FolderChange {
    readonly name: string;
    /** Undefined if the name is removed. */
    readonly inode: Inode | undefined;
}

export class SimulatedDisk {
    /** While set, operations that need space fail, and others may fail. */
    full = false;
    /** Number of operations that failed. */
    failureCount = 0;
    private readonly random: SeededRandom;
    private readonly names = new Map<string, Inode>();
    private readonly durableNames = new Map<string, Inode>();
    private unsyncedFolderChanges: FolderChange[] = [];
    private powerCycle = 0;

    constructor(random: SeededRandom) {
        this.random = random;
    }

    get fileNames(): readonly string[] {
        return [...this.names.keys()].sort();
    }

    /** The file system as the process that runs now sees it. After a power loss, its operations never end. */
    mount(): FileSystem {
        const powerCycle = this.powerCycle;
        const run = <Result>(operation: () => Result): Promise<Result> =>
            new Promise((resolve, reject) => {
                setImmediate(() => {
                    if (this.powerCycle !== powerCycle) {
                        return;
                    }
                    try {
                        resolve(operation());
                    }
                    catch (error) {
                        this.failureCount += 1;
                        reject(error as Error);
                    }
                });
            });
        return {
            open: (path, flags) => run(() => this.open(basename(path), flags, run)),
            readFile: path => run(() => Buffer.from(this.find(basename(path)).content)),
            readdir: () => run(() => this.fileNames),
            rename: (from, to) =>
                run(() => {
                    const inode = this.find(basename(from));
                    this.failIfFull(0.5);
                    this.changeFolder({ name: basename(from), inode: undefined });
                    this.changeFolder({ name: basename(to), inode });
                }),
            remove: path =>
                run(() => {
                    this.failIfFull(0.3);
                    this.changeFolder({ name: basename(path), inode: undefined });
                }),
            createFolder: () => run(() => undefined),
        };
    }

    losePower(): void {
        this.powerCycle += 1;
        const survivors = this.unsyncedFolderChanges.slice(
            0,
            this.random.nextInteger(
                this.unsyncedFolderChanges.length + 1,
            ),
        );
        survivors.forEach(change => applyFolderChange(this.durableNames, change));
        this.unsyncedFolderChanges = [];
        this.names.clear();
        for (const [name, inode] of this.durableNames) {
            let content = inode.durable;
            for (const change of inode.unsynced) {
                const fate = this.random.nextInteger(3);
                content = fate === 0 ? content : applyChange(content, fate === 1 ? change : this.tear(change));
            }
            const restored = { content, durable: content, unsynced: [] };
            this.names.set(name, restored);
            this.durableNames.set(name, restored);
        }
    }

    private open(name: string, flags: string, run: <Result>(operation: () => Result) => Promise<Result>): StorageFile {
        const isFolder = flags === "r" && !this.names.has(name);
        const inode = isFolder ? undefined : this.openInode(name, flags);
        const change = (made: Change): void => {
            inode!.content = applyChange(inode!.content, made);
            inode!.unsynced.push(made);
        };
        return {
            writeFile: data =>
                run(() => {
                    if (this.full) {
                        const written = Buffer.from(data).subarray(0, this.random.nextInteger(data.length));
                        change({ kind: "write", offset: inode!.content.length, data: written });
                        throw outOfSpaceError();
                    }
                    change({ kind: "write", offset: inode!.content.length, data: Buffer.from(data) });
                }),
            truncate: lengthBytes =>
                run(() => {
                    this.failIfFull(0.3);
                    change({ kind: "truncate", lengthBytes });
                }),
            sync: () => run(() => this.sync(inode)),
            datasync: () => run(() => this.sync(inode)),
            close: () => run(() => undefined),
        };
    }

    private openInode(name: string, flags: string): Inode {
        if (flags === "r" || flags === "r+" || flags === "a" && this.names.has(name)) {
            return this.find(name);
        }
        this.failIfFull(0.5);
        const inode = { content: Buffer.alloc(0), durable: Buffer.alloc(0), unsynced: [] };
        this.changeFolder({ name, inode });
        return inode;
    }

    private sync(inode: Inode | undefined): void {
        if (this.full && this.random.nextFloat() < 0.4) {
            // The pages count as written, but are not on the disk; a second sync does not write them.
            inode?.unsynced.splice(0);
            throw outOfSpaceError();
        }
        if (inode === undefined) {
            this.unsyncedFolderChanges.forEach(change => applyFolderChange(this.durableNames, change));
            this.unsyncedFolderChanges = [];
            return;
        }
        inode.unsynced.forEach(change => inode.durable = applyChange(inode.durable, change));
        inode.unsynced = [];
    }

    private find(name: string): Inode {
        const inode = this.names.get(name);
        if (inode === undefined) {
            throw Object.assign(new Error(`ENOENT: ${name}`), { code: "ENOENT" });
        }
        return inode;
    }

    private changeFolder(change: FolderChange): void {
        applyFolderChange(this.names, change);
        this.unsyncedFolderChanges.push(change);
    }

    private failIfFull(share: number): void {
        if (this.full && this.random.nextFloat() < share) {
            throw outOfSpaceError();
        }
    }

    private tear(change: Change): Change {
        return change.kind === "truncate"
            ? change
            : { ...change, data: change.data.subarray(0, this.random.nextInteger(change.data.length + 1)) };
    }
}

function applyFolderChange(names: Map<string, Inode>, { name, inode }: FolderChange): void {
    if (inode === undefined) {
        names.delete(name);
    }
    else {
        names.set(name, inode);
    }
}

function applyChange(content: Buffer, change: Change): Buffer {
    if (change.kind === "truncate") {
        return Buffer.concat([content, Buffer.alloc(Math.max(0, change.lengthBytes - content.length))])
            .subarray(0, change.lengthBytes);
    }
    const end = change.offset + change.data.length;
    const changed = Buffer.alloc(Math.max(content.length, end));
    content.copy(changed);
    change.data.copy(changed, change.offset);
    return changed;
}

function outOfSpaceError(): Error {
    return Object.assign(new Error("ENOSPC: no space left on device"), { code: "ENOSPC" });
}
