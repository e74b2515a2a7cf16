/** The log of a database group as one database has it. */
import { comparePositions, originPosition, type Position } from "../../src/model/position.ts";

/** One committed transaction. A promotion writes a record without statements. */
export interface LogRecord {
    readonly term: number;
    readonly offset: number;
    readonly statements: readonly string[];
}

/** Keeps records across restarts. */
export interface LogStorage {
    load(): readonly LogRecord[];
    append(records: readonly LogRecord[]): void;
    clear(): void;
}

/** For a database without a disk. */
export class VolatileLogStorage implements LogStorage {
    load(): readonly LogRecord[] {
        return [];
    }

    append(): void {}

    clear(): void {}
}

export class GroupLog {
    private readonly storage: LogStorage;
    private records: LogRecord[];

    constructor(storage: LogStorage) {
        this.storage = storage;
        this.records = [...storage.load()];
    }

    /** Term and offset of the last record. */
    get position(): Position {
        const last = this.records.at(-1);
        return last === undefined ? originPosition : { term: last.term, offset: last.offset };
    }

    get allRecords(): readonly LogRecord[] {
        return this.records;
    }

    /** Adds a transaction of this database's own. */
    append(term: number, statements: readonly string[]): LogRecord {
        const record = { term, offset: this.records.length + 1, statements };
        this.appendReplicated([record]);
        return record;
    }

    /** Adds records copied from the primary; they must follow the last record. */
    appendReplicated(records: readonly LogRecord[]): void {
        this.storage.append(records);
        this.records.push(...records);
    }

    /**
     * Tells whether this log contains `position`. Equal term and offset mean an equal prefix, because one primary alone
     * writes records of a term.
     */
    contains(position: Position): boolean {
        const record = this.records[position.offset - 1];
        return position.offset === 0 || record !== undefined && comparePositions(record, position) === 0;
    }

    /** Records after an offset, at most `limit`. */
    recordsAfter(offset: number, limit: number): readonly LogRecord[] {
        return this.records.slice(offset, offset + limit);
    }

    clear(): void {
        this.records = [];
        this.storage.clear();
    }
}
