/** Replicated log of a database group, as stored by one database. */
import { comparePositions, originPosition, type Position } from "../../src/model/position.ts";

/** One committed transaction, or the record without statements that a promotion appends. */
export interface LogRecord {
    readonly term: number;
    readonly offset: number;
    readonly statements: readonly string[];
}

/** Persists log records across restarts. */
export interface LogStorage {
    load(): readonly LogRecord[];
    append(records: readonly LogRecord[]): void;
    clear(): void;
}

/** Storage of a database without a disk: stores nothing. */
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

    /** Appends a transaction that this database committed as primary. */
    append(term: number, statements: readonly string[]): LogRecord {
        const record = { term, offset: this.records.length + 1, statements };
        this.appendReplicated([record]);
        return record;
    }

    /** Appends records from the primary, which must follow the last record directly. */
    appendReplicated(records: readonly LogRecord[]): void {
        this.storage.append(records);
        this.records.push(...records);
    }

    /**
     * Whether the log contains the record at `position`. Logs with a record of equal term and offset are identical up
     * to that record, because only one primary appends records in a term.
     */
    contains(position: Position): boolean {
        const record = this.records[position.offset - 1];
        return position.offset === 0 || record !== undefined && comparePositions(record, position) === 0;
    }

    /** Returns at most `limit` records after an offset. */
    recordsAfter(offset: number, limit: number): readonly LogRecord[] {
        return this.records.slice(offset, offset + limit);
    }

    clear(): void {
        this.records = [];
        this.storage.clear();
    }
}
