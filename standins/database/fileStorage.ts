/** Files of a stand-in with `--disk`: its log and its role. */
import { closeSync, existsSync, fsyncSync, openSync, readFileSync, renameSync, truncateSync, writeSync } from "node:fs";
import type { DatabaseRole } from "../../src/model/database.ts";
import type { LogRecord, LogStorage } from "./groupLog.ts";

/** What a database remembers of its place in the group. */
export interface RoleState {
    readonly role: DatabaseRole;
    readonly term: number;
    readonly primaryAddress: string;
}

/** Keeps the role across restarts. */
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

/** One JSON record per line, synced before the append returns. */
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
            // A kill in the middle of an append leaves a partial last line; its transaction was never acknowledged.
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

/** One JSON file, replaced as a whole. */
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
