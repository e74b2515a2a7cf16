/** The rows of one database, kept by sql.js. */
import { createHash } from "node:crypto";
import initSqlJs, { type Database, type SqlJsStatic, type SqlValue } from "sql.js";

/** Result of one statement. */
export interface StatementResult {
    readonly columns: readonly string[];
    readonly rows: readonly (readonly SqlValue[])[];
    readonly affectedRows: number;
    readonly insertId: number;
}

export const emptyResult: StatementResult = { columns: [], rows: [], affectedRows: 0, insertId: 0 };

/**
 * Committed rows, and a second copy in which the one open write transaction works. SQLite keeps one connection per
 * in-memory database, so a single copy would show uncommitted rows to every reader.
 */
export class SqlStore implements Disposable {
    private readonly library: SqlJsStatic;
    private committed: Database;
    private working: Database | undefined;
    private pending: string[] = [];

    private constructor(library: SqlJsStatic) {
        this.library = library;
        this.committed = new library.Database();
    }

    static async open(): Promise<SqlStore> {
        return new SqlStore(await initSqlJs());
    }

    /** Runs a query on committed rows. */
    read(sql: string): StatementResult {
        return query(this.committed, sql);
    }

    /** Opens the write transaction; the caller holds the write lock. */
    beginWrite(): void {
        this.working ??= new this.library.Database(this.committed.export());
        this.working.run("BEGIN");
        this.pending = [];
    }

    /** Runs a query that sees the open write transaction. */
    readOwn(sql: string): StatementResult {
        return query(this.working!, sql);
    }

    /** Runs a statement of the open write transaction. One that fails changes nothing and leaves the rest in place. */
    write(sql: string): StatementResult {
        const result = change(this.working!, sql);
        this.pending.push(sql);
        return result;
    }

    /** Ends the write transaction and returns its statements, which are not yet in the committed rows. */
    endWrite(): readonly string[] {
        this.working!.run("COMMIT");
        return this.pending;
    }

    rollbackWrite(): void {
        this.working?.run("ROLLBACK");
        this.pending = [];
    }

    /** Applies one committed transaction to the committed rows. */
    apply(statements: readonly string[]): void {
        this.committed.run("BEGIN");
        statements.forEach(statement => this.committed.run(statement));
        this.committed.run("COMMIT");
    }

    /** Drops the working copy, which is rebuilt from the committed rows when it is needed. */
    discardWorking(): void {
        this.working?.close();
        this.working = undefined;
        this.pending = [];
    }

    /** Drops every row. */
    clear(): void {
        this.discardWorking();
        this.committed.close();
        this.committed = new this.library.Database();
    }

    /** Hash of the definition and content of every table; equal for equal content. */
    contentHash(): string {
        const hash = createHash("sha256");
        for (const [name, definition] of this.tables()) {
            hash.update(`${name}\n${definition}\n`);
            hash.update(JSON.stringify(query(this.committed, `SELECT * FROM "${name}" ORDER BY rowid`).rows));
        }
        return hash.digest("hex");
    }

    [Symbol.dispose](): void {
        this.discardWorking();
        this.committed.close();
    }

    private tables(): readonly (readonly SqlValue[])[] {
        return query(
            this.committed,
            "SELECT name, sql FROM sqlite_master WHERE type = 'table' AND name NOT LIKE 'sqlite_%' ORDER BY name",
        ).rows;
    }
}

function query(database: Database, sql: string): StatementResult {
    const statement = database.prepare(sql);
    try {
        const rows: SqlValue[][] = [];
        while (statement.step()) {
            rows.push(statement.get());
        }
        return { ...emptyResult, columns: statement.getColumnNames(), rows };
    }
    finally {
        statement.free();
    }
}

function change(database: Database, sql: string): StatementResult {
    database.run(sql);
    const affectedRows = database.getRowsModified();
    const isInsert = /^\s*(?:INSERT|REPLACE)\b/i.test(sql);
    const insertId = isInsert ? Number(database.exec("SELECT last_insert_rowid()")[0]!.values[0]![0]) : 0;
    return { ...emptyResult, affectedRows, insertId };
}
