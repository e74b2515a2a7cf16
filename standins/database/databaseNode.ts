/** One database of a replication group, with its rows, log, role and term. */
import { DatabaseRole } from "../../src/model/database.ts";
import type { Position } from "../../src/model/position.ts";
import { DatabaseError, ErrorNumber } from "./databaseError.ts";
import type { RoleState, RoleStorage } from "./fileStorage.ts";
import type { GroupLog, LogRecord } from "./groupLog.ts";
import { WriteLock } from "./locks.ts";
import type { SqlStore } from "./sqlStore.ts";

export interface DatabaseNodeOptions {
    readonly store: SqlStore;
    readonly log: GroupLog;
    readonly roleStorage: RoleStorage;
    readonly initialState: RoleState;
    readonly lockTimeoutMs: number;
}

export class DatabaseNode {
    readonly store: SqlStore;
    readonly log: GroupLog;
    readonly writeLock: WriteLock;
    /** Incremented on every role change; a transaction that began before the last change cannot commit. */
    roleChangeCount = 0;
    private readonly roleStorage: RoleStorage;
    private state: RoleState;
    private appendListeners: (() => void)[] = [];

    constructor(options: DatabaseNodeOptions) {
        this.store = options.store;
        this.log = options.log;
        this.roleStorage = options.roleStorage;
        this.writeLock = new WriteLock(options.lockTimeoutMs);
        this.log.allRecords.forEach(record => this.store.applyTransaction(record.statements));
        this.state = options.roleStorage.load() ?? options.initialState;
        if (this.state.role === DatabaseRole.Primary && this.log.position.term < this.state.term) {
            this.log.append(this.state.term, []);
        }
    }

    get role(): DatabaseRole {
        return this.state.role;
    }

    /** Current term, which only promote and follow orders raise. */
    get term(): number {
        return this.state.term;
    }

    get primaryAddress(): string {
        return this.state.primaryAddress;
    }

    /**
     * Term and offset of the last record. The position of a replica reaches a term only when the replica has copied the
     * record that opens the term.
     */
    get position(): Position {
        return this.log.position;
    }

    /**
     * Makes this database the primary of a term. A record without statements opens the term, so that the position of a
     * replica shows whether the replica has copied the whole log with which the new primary started.
     */
    promote(term: number): void {
        if (term <= this.state.term) {
            throw new DatabaseError(ErrorNumber.Other, `term ${term} is not above term ${this.state.term}`);
        }
        this.changeRole({ role: DatabaseRole.Primary, term, primaryAddress: "" });
        this.log.append(term, []);
        this.notifyAppended();
    }

    /** Makes this database a replica. There is no fencing: an old primary accepts writes until this call. */
    follow(primaryAddress: string, term: number): void {
        const isOwnTerm = this.state.role === DatabaseRole.Primary && term === this.state.term;
        if (term < this.state.term || isOwnTerm) {
            throw new DatabaseError(ErrorNumber.Other, `term ${term} is not above term ${this.state.term}`);
        }
        this.changeRole({ role: DatabaseRole.Replica, term, primaryAddress });
    }

    /** Commits the write transaction: appends its statements to the log, then applies them to the committed rows. */
    commit(): void {
        const statements = this.store.endTransaction();
        if (statements.length > 0) {
            this.log.append(this.state.term, statements);
            this.store.applyTransaction(statements);
            this.notifyAppended();
        }
    }

    /** Appends and applies records pulled from the primary. */
    applyReplicated(records: readonly LogRecord[]): void {
        this.log.appendReplicated(records);
        records.forEach(record => this.store.applyTransaction(record.statements));
    }

    /** Discards log and rows, so that the replica pulls the whole log again. */
    discardData(): void {
        this.log.clear();
        this.store.clear();
    }

    /** Calls `listener` once, after the next append to the log. */
    onNextAppend(listener: () => void): void {
        this.appendListeners.push(listener);
    }

    private changeRole(state: RoleState): void {
        this.roleStorage.save(state);
        this.state = state;
        this.roleChangeCount += 1;
        this.store.discardWorkingCopy();
        // A client that was idle in a transaction at the role change would otherwise hold the lock indefinitely.
        this.writeLock.revoke();
    }

    private notifyAppended(): void {
        const listeners = this.appendListeners;
        this.appendListeners = [];
        listeners.forEach(listener => listener());
    }
}
