/** State of one caller's connection. */
import { laterPosition, type Position } from "../model/position.ts";
import type { SessionOpened } from "../model/sessionMessages.ts";
import {
    emptySessionContext,
    type PreparedStatement,
    type SessionContext,
    type SessionStatement,
} from "../model/sessionStatement.ts";
import type { Access } from "./authorization.ts";
import type { Task } from "./taskMessages.ts";

export interface Transaction {
    /** Route and workspace, fixed at the start of the transaction. */
    readonly access: Access;
    readonly readOnly: boolean;
    readonly startedMs: number;
    /** A write was sent, whatever became of it. */
    hasWritten: boolean;
    /** The transaction is open on a link, which is reserved for it. */
    pinned: boolean;
    failed: boolean;
    /** The caller has received the fault with which the transaction failed. */
    failureReported: boolean;
    /** Error text for the caller. */
    failureReason: string;
}

export class Session {
    readonly sessionId: string;
    readonly database: string;
    readonly key: string;
    context: SessionContext = emptySessionContext;
    transaction: Transaction | undefined;
    /** Task of the statement that is in progress. */
    running: Task | undefined;
    /** Statements received while another one is in progress; undefined for one that could not be parsed. */
    readonly queuedStatements: (SessionStatement | undefined)[] = [];
    /**
     * Position that includes the session's last commit, and perhaps later ones of others, by service; a floor of its reads.
     */
    readonly floors = new Map<string, Position>();
    lastActiveMs = 0;

    constructor({ sessionId, database, key }: SessionOpened) {
        this.sessionId = sessionId;
        this.database = database;
        this.key = key;
    }

    setValue(name: string, value: string): void {
        this.context = { ...this.context, values: new Map(this.context.values).set(name, value) };
    }

    prepare(name: string, prepared: PreparedStatement): void {
        this.context = { ...this.context, prepared: new Map(this.context.prepared).set(name, prepared) };
    }

    /** Returns whether a prepared statement of this name existed. */
    deallocate(name: string): boolean {
        const prepared = new Map(this.context.prepared);
        const existed = prepared.delete(name);
        this.context = { ...this.context, prepared };
        return existed;
    }

    recordCommit(service: string, position: Position): void {
        const existing = this.floors.get(service);
        this.floors.set(service, laterPosition(existing, position));
    }
}
