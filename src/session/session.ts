/** What is known of one caller's connection. */
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
    /** Route and workspace for the whole transaction. */
    readonly access: Access;
    readonly readOnly: boolean;
    readonly startedMs: number;
    /** A database connection holds it open. */
    pinned: boolean;
    failed: boolean;
    /** The caller has been told that it failed. */
    failureReported: boolean;
    /** Why it failed. */
    failureReason: string;
}

export class Session {
    readonly sessionId: string;
    readonly database: string;
    readonly key: string;
    context: SessionContext = emptySessionContext;
    transaction: Transaction | undefined;
    /** The statement that is being worked on. */
    running: Task | undefined;
    /** Statements received while one is running; undefined stands for one that cannot be read. */
    readonly queuedStatements: (SessionStatement | undefined)[] = [];
    /** Position of the last commit of this session by service. */
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

    /** Tells whether the name was prepared. */
    deallocate(name: string): boolean {
        const prepared = new Map(this.context.prepared);
        const known = prepared.delete(name);
        this.context = { ...this.context, prepared };
        return known;
    }

    recordCommit(service: string, position: Position): void {
        const known = this.floors.get(service);
        this.floors.set(service, known === undefined ? position : laterPosition(known, position));
    }
}
