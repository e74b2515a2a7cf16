/** Session of one connection: runs its statements and holds its open transaction. */
import { setTimeout as delay } from "node:timers/promises";
import { DatabaseRole } from "../../src/model/database.ts";
import { DatabaseError, ErrorNumber } from "./databaseError.ts";
import type { DatabaseNode } from "./databaseNode.ts";
import { classifyStatement, parseFollow, parsePromote, StatementClass, translateStatement } from "./dialect.ts";
import type { Faults } from "./faults.ts";
import type { Semaphore } from "./locks.ts";
import { defaultSessionDefaults, parseVariableNames, type SessionDefaults, SessionVariables } from "./sqlMode.ts";
import { emptyResult, type StatementResult } from "./sqlStore.ts";

/** Statements that a database ran; the load tool computes the share of replica reads from these counters. */
export interface StatementCounters {
    reads: number;
    writes: number;
}

export interface SessionOptions {
    readonly node: DatabaseNode;
    readonly slots: Semaphore;
    readonly faults: Faults;
    readonly counters: StatementCounters;
    readonly sessionDefaults?: SessionDefaults;
}

interface Transaction {
    readonly roleChangeCount: number;
    /** True once the transaction has acquired the write lock. */
    holdsWriteLock: boolean;
}

export class Session {
    private readonly options: SessionOptions;
    private readonly node: DatabaseNode;
    private readonly variables: SessionVariables;
    private transaction: Transaction | undefined;
    /** Transaction of a single write outside BEGIN and COMMIT (autocommit). */
    private implicitTransaction: Transaction | undefined;
    private statementRunning = false;
    private closed = false;

    constructor(options: SessionOptions) {
        this.options = options;
        this.node = options.node;
        this.variables = new SessionVariables(options.sessionDefaults ?? defaultSessionDefaults);
    }

    get inTransaction(): boolean {
        return this.transaction !== undefined;
    }

    /** Runs one statement. Statements of a session must not overlap. */
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

    /** Rolls back the open transaction, also on COM_RESET_CONNECTION and when the connection ends. */
    rollback(): void {
        const transaction = this.transaction;
        this.transaction = undefined;
        this.implicitTransaction = undefined;
        if (transaction?.holdsWriteLock === true && transaction.roleChangeCount === this.node.roleChangeCount) {
            this.node.store.rollbackTransaction();
        }
        this.node.writeLock.release(this);
    }

    /** Ends the session. As in MySQL, a statement that is running completes although its client has disconnected. */
    close(): void {
        this.closed = true;
        if (!this.statementRunning) {
            this.rollback();
        }
    }

    private async runStatement(sql: string): Promise<StatementResult> {
        const statementClass = classifyStatement(sql, this.variables.literalSyntax);
        const control = this.runControlStatement(statementClass, sql);
        if (control !== undefined) {
            return control;
        }
        if (!this.variables.autocommit && isData(statementClass)) {
            this.transaction ??= this.newTransaction();
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
        const variableNames = parseVariableNames(sql);
        if (variableNames !== undefined) {
            const values = variableNames.map(name => this.variables.get(name));
            return { ...emptyResult, columns: variableNames, rows: [values] };
        }
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
                this.variables.applySet(sql);
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
        // The lock is acquired before a slot: writers that waited for the lock while holding slots would keep the
        // lock's owner from running its COMMIT.
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
                // As in MySQL, BEGIN commits an open transaction.
                this.commit();
                this.transaction = this.newTransaction();
                return emptyResult;
            case StatementClass.Commit:
                this.commit();
                this.chainTransaction();
                return emptyResult;
            case StatementClass.Rollback:
                this.rollback();
                this.chainTransaction();
                return emptyResult;
            case StatementClass.Read:
            case StatementClass.LockingRead:
                return this.read(sql);
            default:
                return this.write(sql);
        }
    }

    private read(sql: string): StatementResult {
        const translated = translateStatement(sql, formatNow(), this.variables.literalSyntax);
        const transaction = this.transaction ?? this.implicitTransaction;
        // Reads in transactions always go to the primary, and health probes have no FROM clause; counting either would
        // distort the share of reads that replicas serve.
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
        return this.node.store.executeInTransaction(translateStatement(sql, formatNow(), this.variables.literalSyntax));
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

    private newTransaction(): Transaction {
        return { roleChangeCount: this.node.roleChangeCount, holdsWriteLock: false };
    }

    private chainTransaction(): void {
        if (this.variables.chainsTransactions) {
            this.transaction = this.newTransaction();
        }
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

function isData(statementClass: StatementClass): boolean {
    return statementClass === StatementClass.Read || needsWriteLock(statementClass);
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
