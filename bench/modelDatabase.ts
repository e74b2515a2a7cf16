/** Database of the proxy model: an in-memory log with slots and a connection count. */
import { DatabaseRole } from "../src/model/database.ts";
import type { Position } from "../src/model/position.ts";

/** Record of a group's log; a promotion appends a record without a write. */
interface LogRecord {
    readonly writeId: number | undefined;
    readonly term: number;
    readonly committedAtMs: number;
}

export interface ModelDatabaseOptions {
    readonly databaseId: string;
    readonly groupId: string;
    readonly dataCentre: number;
    readonly slots: number;
    readonly connectionLimit: number;
}

export class ModelDatabase {
    readonly options: ModelDatabaseOptions;
    role: DatabaseRole;
    isAlive = true;
    /** Connections that instances have open or are opening. */
    openConnections = 0;
    private runningStatements = 0;
    /** Statements that started while all slots were in use; the holder must never send these. */
    startsBeyondSlots = 0;
    /** Incremented for each record that is removed from the log. */
    truncationCount = 0;
    private readonly log: LogRecord[] = [];
    private readonly writes = new Set<number>();

    constructor(options: ModelDatabaseOptions, role: DatabaseRole) {
        this.options = options;
        this.role = role;
    }

    get position(): Position {
        return { term: this.log.at(-1)?.term ?? 1, offset: this.log.length };
    }

    hasWrite(writeId: number): boolean {
        return this.writes.has(writeId);
    }

    startStatement(): void {
        this.runningStatements++;
        this.startsBeyondSlots += this.runningStatements > this.options.slots ? 1 : 0;
    }

    endStatement(): void {
        this.runningStatements--;
    }

    commit(writeId: number, nowMs: number): void {
        this.append({ writeId, term: this.position.term, committedAtMs: nowMs });
    }

    promote(term: number, nowMs: number): void {
        this.role = DatabaseRole.Primary;
        this.append({ writeId: undefined, term, committedAtMs: nowMs });
    }

    /** Removes records that `primary` does not have, as a replica does before it follows a new primary. */
    follow(primary: ModelDatabase): void {
        this.role = DatabaseRole.Replica;
        while (this.log.length > 0 && primary.log[this.log.length - 1] !== this.log.at(-1)) {
            const removed = this.log.pop()!;
            this.truncationCount++;
            if (removed.writeId !== undefined) {
                this.writes.delete(removed.writeId);
            }
        }
    }

    /** Copies the records that `primary` committed up to `untilMs`. */
    replicate(primary: ModelDatabase, untilMs: number): void {
        for (let next = primary.log[this.log.length]; next !== undefined && next.committedAtMs <= untilMs;) {
            this.append(next);
            next = primary.log[this.log.length];
        }
    }

    private append(record: LogRecord): void {
        this.log.push(record);
        if (record.writeId !== undefined) {
            this.writes.add(record.writeId);
        }
    }
}
