/** File storage for the log and the role of a stand-in that runs with `--disk`. */
import { closeSync, existsSync, fsyncSync, openSync, readFileSync, renameSync, truncateSync, writeSync } from "node:fs";
import type { DatabaseRole } from "../../src/model/database.ts";
import type { LogRecord, LogStorage } from "./groupLog.ts";

/** Role of a database in its group, with the term that assigned it. */
export interface RoleState {
    readonly role: DatabaseRole;
    readonly term: number;
    readonly primaryAddress: string;
}

/** Persists the role across restarts. */
export interface RoleStorage {
    load(): RoleState | undefined;
    save(state: RoleState): void;
}

export class VolatileRoleStorage implements RoleStorage {
    load(): RoleState | undefined {
        return undefined;
    }

    save(): void {}
}

/** Stores one JSON record per line; append() syncs the file before it returns. */
export class FileLogStorage implements LogStorage, Disposable {
    private readonly path: string;
    private readonly file: number;

    constructor(path: string) {
        this.path = path;
        this.file = openSync(path, "a");
    }

    load(): readonly LogRecord[] {
        const text = readFileSync(this.path, "utf8");
        const completeLines = text.slice(0, text.lastIndexOf("\n") + 1);
        if (completeLines.length < text.length) {
            // A process killed during an append leaves a partial last line, whose transaction was never acknowledged.
            truncateSync(this.path, Buffer.byteLength(completeLines));
        }
        return completeLines.split("\n").filter(line => line !== "").map(line => JSON.parse(line) as LogRecord);
    }

    append(records: readonly LogRecord[]): void {
        writeSync(this.file, records.map(record => `${JSON.stringify(record)}\n`).join(""));
        fsyncSync(this.file);
    }

    clear(): void {
        truncateSync(this.path, 0);
        fsyncSync(this.file);
    }

    [Symbol.dispose](): void {
        closeSync(this.file);
    }
}

/** Stores the role as one JSON file, which is replaced atomically. */
export class FileRoleStorage implements RoleStorage {
    private readonly path: string;

    constructor(path: string) {
        this.path = path;
    }

    load(): RoleState | undefined {
        return existsSync(this.path) ? JSON.parse(readFileSync(this.path, "utf8")) as RoleState : undefined;
    }

    save(state: RoleState): void {
        const file = openSync(`${this.path}.new`, "w");
        writeSync(file, JSON.stringify(state));
        fsyncSync(file);
        closeSync(file);
        renameSync(`${this.path}.new`, this.path);
    }
}
