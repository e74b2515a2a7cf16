/** One connection's place in the database: its transaction and its statements. */
import { setTimeout as delay } from "node:timers/promises";
import { DatabaseRole } from "../../src/model/database.ts";
import { DatabaseError, ErrorNumber } from "./databaseError.ts";
import type { DatabaseNode } from "./databaseNode.ts";
import { classifyStatement, parseFollow, parsePromote, StatementClass, translateStatement } from "./dialect.ts";
import type { Faults } from "./faults.ts";
import { emptyResult, type StatementResult } from "./sqlStore.ts";
import type { Slots } from "./waiting.ts";

/** Counted per database; the share of reads served by replicas comes from here. */
export interface Counters {
    reads: number;
    writes: number;
}

export interface SessionOptions {
    readonly node: DatabaseNode;
    readonly slots: Slots;
    readonly faults: Faults;
    readonly counters: Counters;
}

interface Transaction {
    readonly roleChanges: number;
    /** Set once the transaction has the write lock. */
    writing: boolean;
}

export class Session {
    private readonly options: SessionOptions;
    private readonly node: DatabaseNode;
    private transaction: Transaction | undefined;
    /** A write outside BEGIN and COMMIT: a transaction of one statement. */
    private implicit: Transaction | undefined;
    private busy = false;
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
        this.busy = true;
        try {
            return await this.runStatement(sql);
        }
        finally {
            this.busy = false;
            if (this.closed) {
                this.rollback();
            }
        }
    }

    /** Rolls back; used by a reset and when the connection ends. */
    rollback(): void {
        const transaction = this.transaction;
        this.transaction = undefined;
        this.implicit = undefined;
        if (transaction?.writing === true && transaction.roleChanges === this.node.roleChanges) {
            this.node.store.rollbackWrite();
        }
        this.node.lock.release(this);
    }

    /** Ends the session. A statement that runs now runs to its end, as it does in a database whose client went away. */
    close(): void {
        this.closed = true;
        if (!this.busy) {
            this.rollback();
        }
    }

    private async runStatement(sql: string): Promise<StatementResult> {
        const statementClass = classifyStatement(sql);
        const control = this.runControl(statementClass, sql);
        if (control !== undefined) {
            return control;
        }
        if (needsLock(statementClass)) {
            await this.startWriting();
        }
        await this.options.slots.take();
        try {
            await delay(this.options.faults.serviceMs);
            return this.runInSlot(statementClass, sql);
        }
        finally {
            this.options.slots.give();
            this.endImplicitTransaction();
        }
    }

    private runControl(statementClass: StatementClass, sql: string): StatementResult | undefined {
        switch (statementClass) {
            case StatementClass.Position:
                return this.showPosition();
            case StatementClass.Promote:
                this.node.promote(required(parsePromote(sql)));
                return emptyResult;
            case StatementClass.Follow: {
                const { address, term } = required(parseFollow(sql));
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

    private async startWriting(): Promise<void> {
        this.checkWritable();
        const current = this.transaction;
        if (current?.writing === true) {
            return;
        }
        // The lock comes before the slot: writers that wait in slots would keep the lock's owner from its COMMIT.
        await this.node.lock.take(this);
        try {
            this.checkWritable();
            this.node.store.beginWrite();
        }
        catch (error) {
            this.node.lock.release(this);
            throw error;
        }
        if (current === undefined) {
            this.implicit = { roleChanges: this.node.roleChanges, writing: true };
        }
        else {
            current.writing = true;
        }
    }

    private checkWritable(): void {
        if (this.transaction !== undefined && this.transaction.roleChanges !== this.node.roleChanges) {
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
                this.transaction = { roleChanges: this.node.roleChanges, writing: false };
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
        const translated = translateStatement(sql, nowText());
        const transaction = this.transaction ?? this.implicit;
        // Reads inside transactions belong to the primary, and probes name no table; neither says who serves reads.
        if (transaction === undefined && /\bFROM\b/i.test(translated)) {
            this.options.counters.reads += 1;
        }
        const ownRows = transaction?.writing === true && transaction.roleChanges === this.node.roleChanges;
        return ownRows ? this.node.store.readOwn(translated) : this.node.store.read(translated);
    }

    private write(sql: string): StatementResult {
        this.options.counters.writes += 1;
        const transaction = this.transaction ?? this.implicit;
        if (transaction?.roleChanges !== this.node.roleChanges) {
            this.rollback();
            throw new DatabaseError(ErrorNumber.ReadOnly, "the transaction was rolled back by a change of role");
        }
        return this.node.store.write(translateStatement(sql, nowText()));
    }

    private commit(): void {
        const transaction = this.transaction;
        if (transaction?.writing === true) {
            this.checkWritable();
            this.node.commit();
        }
        this.transaction = undefined;
        this.node.lock.release(this);
    }

    private endImplicitTransaction(): void {
        const implicit = this.implicit;
        if (implicit === undefined) {
            return;
        }
        this.implicit = undefined;
        if (implicit.roleChanges === this.node.roleChanges) {
            this.node.commit();
        }
        this.node.lock.release(this);
    }
}

function needsLock(statementClass: StatementClass): boolean {
    return statementClass === StatementClass.Write || statementClass === StatementClass.LockingRead;
}

function required<Value>(value: Value | undefined): Value {
    if (value === undefined) {
        throw new DatabaseError(ErrorNumber.Syntax, "malformed JASMINE statement");
    }
    return value;
}

function nowText(): string {
    return new Date().toISOString().slice(0, 19).replace("T", " ");
}
