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
import { contextEntryBytes, detachText } from "./sessionLimits.ts";
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

/** A statement that waits for the answer to an earlier one. */
export interface QueuedStatement {
    /** Undefined for one that could not be parsed or was not kept. */
    readonly statement: SessionStatement | undefined;
    readonly bytes: number;
    /** Why the statement was not kept and is refused when its turn comes; undefined if it was kept. */
    readonly refusal: string | undefined;
}

export class Session {
    readonly sessionId: string;
    readonly database: string;
    readonly key: string;
    context: SessionContext = emptySessionContext;
    transaction: Transaction | undefined;
    /** Task of the statement that is in progress. */
    running: Task | undefined;
    /** Bytes of that statement. */
    runningBytes = 0;
    /** Statements received while another one is in progress. */
    readonly queuedStatements: QueuedStatement[] = [];
    queuedBytes = 0;
    /** Bytes of the context. */
    contextBytes = 0;
    /**
     * Position that includes the session's last commit, and perhaps later ones of others, by service; a floor of its reads.
     */
    readonly floors = new Map<string, Position>();
    lastActiveMs = 0;
    /** The caller was told that the session ends. */
    ending = false;

    constructor({ sessionId, database, key }: SessionOpened) {
        this.sessionId = sessionId;
        this.database = detachText(database);
        this.key = detachText(key);
    }

    /** Bytes by which `setValue` would increase the context. */
    valueGrowthBytes(name: string, value: string): number {
        const existing = this.context.values.get(name);
        return contextEntryBytes(name, value) - (existing === undefined ? 0 : contextEntryBytes(name, existing));
    }

    setValue(name: string, value: string): void {
        this.contextBytes += this.valueGrowthBytes(name, value);
        const values = new Map(this.context.values).set(detachText(name), detachText(value));
        this.context = { ...this.context, values };
    }

    /** Bytes by which `prepare` would increase the context. */
    preparedGrowthBytes(name: string, { shape }: PreparedStatement): number {
        const existing = this.context.prepared.get(name);
        return contextEntryBytes(name, shape) - (existing === undefined ? 0 : contextEntryBytes(name, existing.shape));
    }

    prepare(name: string, statement: PreparedStatement): void {
        this.contextBytes += this.preparedGrowthBytes(name, statement);
        const detached = { ...statement, shape: detachText(statement.shape) };
        const prepared = new Map(this.context.prepared).set(detachText(name), detached);
        this.context = { ...this.context, prepared };
    }

    /** Returns the bytes that this releases; undefined if no prepared statement of this name existed. */
    deallocate(name: string): number | undefined {
        const existing = this.context.prepared.get(name);
        if (existing === undefined) {
            return undefined;
        }
        const prepared = new Map(this.context.prepared);
        prepared.delete(name);
        this.context = { ...this.context, prepared };
        const bytes = contextEntryBytes(name, existing.shape);
        this.contextBytes -= bytes;
        return bytes;
    }

    /** Forgets what the session keeps for its statements; nothing is run for it any more. */
    end(): void {
        this.ending = true;
        this.context = emptySessionContext;
        this.floors.clear();
    }

    recordCommit(service: string, position: Position): void {
        const existing = this.floors.get(service);
        this.floors.set(service, laterPosition(existing, position));
    }
}
