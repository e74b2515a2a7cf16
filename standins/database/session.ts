/** One connection's place in the database: its transaction and its statements. */
import { setTimeout as delay } from "node:timers/promises";
import { DatabaseRole } from "../../src/model/database.ts";
import { DatabaseError, ErrorNumber } from "./databaseError.ts";
import type { DatabaseNode } from "./databaseNode.ts";
import { classifyStatement, parseFollow, parsePromote, StatementClass, translateStatement } from "./dialect.ts";
import type { Faults } from "./faults.ts";
import type { Semaphore } from "./locks.ts";
import { emptyResult, type StatementResult } from "./sqlStore.ts";

/** Counted per database; the share of reads served by replicas comes from here. */
export interface StatementCounters {
    reads: number;
    writes: number;
}

export interface SessionOptions {
    readonly node: DatabaseNode;
    readonly slots: Semaphore;
    readonly faults: Faults;
    readonly counters: StatementCounters;
}

interface Transaction {
    readonly roleChangeCount: number;
    /** Set once the transaction has the write lock. */
    holdsWriteLock: boolean;
}

export class Session {
    private readonly options: SessionOptions;
    private readonly node: DatabaseNode;
    private transaction: Transaction | undefined;
    /** A write outside BEGIN and COMMIT: a transaction of one statement. */
    private implicitTransaction: Transaction | undefined;
    private statementRunning = false;
    private closed = false;

    constructor(options: SessionOptions) {
        this.options = options;
        this.node = options.node;
    }

    get inTransaction(): boolean {
        return this.transaction !== undefined;
    }

    /** Runs one statement; the caller sends the next one only after this one has ended. */
    async run(sql: string): Promise<StatementResult> {
        this.statementRunning = true;
        try {
            return await this.runStatement(sql);
        }
        finally {
            this.statementRunning = false;
            if (this.closed) {
                this.rollback();
            }
        }
    }

    /** Rolls back; used by a reset and when the connection ends. */
    rollback(): void {
        const transaction = this.transaction;
        this.transaction = undefined;
        this.implicitTransaction = undefined;
        if (transaction?.holdsWriteLock === true && transaction.roleChangeCount === this.node.roleChangeCount) {
            this.node.store.rollbackTransaction();
        }
        this.node.writeLock.release(this);
    }

    /** Ends the session. A statement that runs now runs to its end, as it does in a database whose client went away. */
    close(): void {
        this.closed = true;
        if (!this.statementRunning) {
            this.rollback();
        }
    }

    private async runStatement(sql: string): Promise<StatementResult> {
        const statementClass = classifyStatement(sql);
        const control = this.runControlStatement(statementClass, sql);
        if (control !== undefined) {
            return control;
        }
        if (needsWriteLock(statementClass)) {
            await this.acquireWriteLock();
        }
        await this.options.slots.acquire();
        try {
            await delay(this.options.faults.serviceMs);
            return this.runInSlot(statementClass, sql);
        }
        finally {
            this.options.slots.release();
            this.endImplicitTransaction();
        }
    }

    private runControlStatement(statementClass: StatementClass, sql: string): StatementResult | undefined {
        switch (statementClass) {
            case StatementClass.Position:
                return this.showPosition();
            case StatementClass.Promote:
                this.node.promote(requireParsed(parsePromote(sql)));
                return emptyResult;
            case StatementClass.Follow: {
                const { address, term } = requireParsed(parseFollow(sql));
                this.node.follow(address, term);
                return emptyResult;
            }
            case StatementClass.Ignored:
                return emptyResult;
            default:
                return undefined;
        }
    }

    private showPosition(): StatementResult {
        const { term, offset } = this.node.position;
        return { ...emptyResult, columns: ["role", "term", "log_offset"], rows: [[this.node.role, term, offset]] };
    }

    private async acquireWriteLock(): Promise<void> {
        this.checkWritable();
        const openTransaction = this.transaction;
        if (openTransaction?.holdsWriteLock === true) {
            return;
        }
        // The lock comes before the slot: writers that wait in slots would keep the lock's owner from its COMMIT.
        await this.node.writeLock.acquire(this);
        try {
            this.checkWritable();
            this.node.store.beginTransaction();
        }
        catch (error) {
            this.node.writeLock.release(this);
            throw error;
        }
        if (openTransaction === undefined) {
            this.implicitTransaction = { roleChangeCount: this.node.roleChangeCount, holdsWriteLock: true };
        }
        else {
            openTransaction.holdsWriteLock = true;
        }
    }

    private checkWritable(): void {
        if (this.transaction !== undefined && this.transaction.roleChangeCount !== this.node.roleChangeCount) {
            this.rollback();
            throw new DatabaseError(ErrorNumber.ReadOnly, "the transaction was rolled back by a change of role");
        }
        if (this.node.role !== DatabaseRole.Primary) {
            throw new DatabaseError(ErrorNumber.ReadOnly, "The MySQL server is running with the --read-only option");
        }
    }

    private runInSlot(statementClass: StatementClass, sql: string): StatementResult {
        switch (statementClass) {
            case StatementClass.Begin:
                // As in MySQL, BEGIN commits a transaction that is still open.
                this.commit();
                this.transaction = { roleChangeCount: this.node.roleChangeCount, holdsWriteLock: false };
                return emptyResult;
            case StatementClass.Commit:
                this.commit();
                return emptyResult;
            case StatementClass.Rollback:
                this.rollback();
                return emptyResult;
            case StatementClass.Read:
            case StatementClass.LockingRead:
                return this.read(sql);
            default:
                return this.write(sql);
        }
    }

    private read(sql: string): StatementResult {
        const translated = translateStatement(sql, formatNow());
        const transaction = this.transaction ?? this.implicitTransaction;
        // Reads inside transactions belong to the primary, and probes name no table; neither says who serves reads.
        if (transaction === undefined && /\bFROM\b/i.test(translated)) {
            this.options.counters.reads += 1;
        }
        const seesOwnWrites = transaction?.holdsWriteLock === true
            && transaction.roleChangeCount === this.node.roleChangeCount;
        return seesOwnWrites
            ? this.node.store.readInTransaction(translated)
            : this.node.store.readCommitted(translated);
    }

    private write(sql: string): StatementResult {
        this.options.counters.writes += 1;
        const transaction = this.transaction ?? this.implicitTransaction;
        if (transaction?.roleChangeCount !== this.node.roleChangeCount) {
            this.rollback();
            throw new DatabaseError(ErrorNumber.ReadOnly, "the transaction was rolled back by a change of role");
        }
        return this.node.store.executeInTransaction(translateStatement(sql, formatNow()));
    }

    private commit(): void {
        const transaction = this.transaction;
        if (transaction?.holdsWriteLock === true) {
            this.checkWritable();
            this.node.commit();
        }
        this.transaction = undefined;
        this.node.writeLock.release(this);
    }

    private endImplicitTransaction(): void {
        const implicitTransaction = this.implicitTransaction;
        if (implicitTransaction === undefined) {
            return;
        }
        this.implicitTransaction = undefined;
        if (implicitTransaction.roleChangeCount === this.node.roleChangeCount) {
            this.node.commit();
        }
        this.node.writeLock.release(this);
    }
}

function needsWriteLock(statementClass: StatementClass): boolean {
    return statementClass === StatementClass.Write || statementClass === StatementClass.LockingRead;
}

function requireParsed<Value>(value: Value | undefined): Value {
    if (value === undefined) {
        throw new DatabaseError(ErrorNumber.Syntax, "malformed JASMINE statement");
    }
    return value;
}

function formatNow(): string {
    return new Date().toISOString().slice(0, 19).replace("T", " ");
}
