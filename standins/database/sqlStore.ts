/** Rows of one database, stored in SQLite (sql.js). */
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
 * Holds the committed rows and a working copy for the open write transaction, of which there is at most one. SQLite
 * allows one connection per in-memory database, so a single copy would show uncommitted rows to every reader.
 */
export class SqlStore implements Disposable {
    private readonly sqlJs: SqlJsStatic;
    private committed: Database;
    private workingCopy: Database | undefined;
    private transactionStatements: string[] = [];

    private constructor(sqlJs: SqlJsStatic) {
        this.sqlJs = sqlJs;
        this.committed = new sqlJs.Database();
    }

    static async open(): Promise<SqlStore> {
        return new SqlStore(await initSqlJs());
    }

    /** Runs a query on the committed rows. */
    readCommitted(sql: string): StatementResult {
        return runQuery(this.committed, sql);
    }

    /** Begins the write transaction; requires the write lock. */
    beginTransaction(): void {
        this.workingCopy ??= new this.sqlJs.Database(this.committed.export());
        this.workingCopy.run("BEGIN");
        this.transactionStatements = [];
    }

    /** Runs a query that sees the changes of the open write transaction. */
    readInTransaction(sql: string): StatementResult {
        return runQuery(this.workingCopy!, sql);
    }

    /** Runs a statement in the write transaction. A failed statement has no effect and leaves the transaction open. */
    executeInTransaction(sql: string): StatementResult {
        const result = executeStatement(this.workingCopy!, sql);
        this.transactionStatements.push(sql);
        return result;
    }

    /** Ends the write transaction and returns its statements, which still have to be applied to the committed rows. */
    endTransaction(): readonly string[] {
        this.workingCopy!.run("COMMIT");
        return this.transactionStatements;
    }

    rollbackTransaction(): void {
        this.workingCopy?.run("ROLLBACK");
        this.transactionStatements = [];
    }

    /** Applies the statements of one transaction to the committed rows. */
    applyTransaction(statements: readonly string[]): void {
        this.committed.run("BEGIN");
        statements.forEach(statement => this.committed.run(statement));
        this.committed.run("COMMIT");
    }

    /** Discards the working copy; the next write transaction recreates it from the committed rows. */
    discardWorkingCopy(): void {
        this.workingCopy?.close();
        this.workingCopy = undefined;
        this.transactionStatements = [];
    }

    /** Discards all tables and rows. */
    clear(): void {
        this.discardWorkingCopy();
        this.committed.close();
        this.committed = new this.sqlJs.Database();
    }

    /** Hash over the definitions and rows of all tables, for comparing databases. */
    contentHash(): string {
        const hash = createHash("sha256");
        for (const [name, definition] of this.tables()) {
            hash.update(`${name}\n${definition}\n`);
            hash.update(JSON.stringify(runQuery(this.committed, `SELECT * FROM "${name}" ORDER BY rowid`).rows));
        }
        return hash.digest("hex");
    }

    [Symbol.dispose](): void {
        this.discardWorkingCopy();
        this.committed.close();
    }

    private tables(): readonly (readonly SqlValue[])[] {
        return runQuery(
            this.committed,
            "SELECT name, sql FROM sqlite_master WHERE type = 'table' AND name NOT LIKE 'sqlite_%' ORDER BY name",
        ).rows;
    }
}

function runQuery(database: Database, sql: string): StatementResult {
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

function executeStatement(database: Database, sql: string): StatementResult {
    database.run(sql);
    const affectedRows = database.getRowsModified();
    const isInsert = /^\s*(?:INSERT|REPLACE)\b/i.test(sql);
    const insertId = isInsert ? Number(database.exec("SELECT last_insert_rowid()")[0]!.values[0]![0]) : 0;
    return { ...emptyResult, affectedRows, insertId };
}
