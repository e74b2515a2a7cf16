/** Statements of a session, decoded once by the front end that received them. */
import type { Position } from "./position.ts";

export const SessionStatementKind = {
    Begin: "begin",
    /** A transaction that only reads. */
    BeginRead: "begin_read",
    Commit: "commit",
    Rollback: "rollback",
    Read: "read",
    Write: "write",
    SetValue: "set_value",
    Prepare: "prepare",
    Execute: "execute",
    Deallocate: "deallocate",
} as const;
export type SessionStatementKind = typeof SessionStatementKind[keyof typeof SessionStatementKind];

/** What a prepared statement runs. */
export interface PreparedStatement {
    readonly writes: boolean;
    readonly shape: string;
}

export interface SessionStatement {
    readonly kind: SessionStatementKind;
    /** Set by the caller; it reaches the database unchanged. */
    readonly id: string;
    /** The text as received. */
    readonly text: string;
    /** Name of a session value or of a prepared statement; empty for other kinds. */
    readonly name: string;
    /** A session value, or what follows the name of an executed statement; empty for other kinds. */
    readonly argument: string;
    /** Only for `prepare`. */
    readonly prepared: PreparedStatement | undefined;
}

/** State that a caller has built up on its connection; a new object after each change. */
export interface SessionContext {
    readonly values: ReadonlyMap<string, string>;
    readonly prepared: ReadonlyMap<string, PreparedStatement>;
}

export const emptySessionContext: SessionContext = { values: new Map(), prepared: new Map() };

export const TransactionState = {
    None: "none",
    Open: "open",
    /** A statement failed; only the end of the transaction is accepted. */
    Failed: "failed",
} as const;
export type TransactionState = typeof TransactionState[keyof typeof TransactionState];

/** Why a statement has no success. The front end has its own code for each. */
export const StatementFault = {
    /** The database that the caller named is not served. */
    UnknownDatabase: "unknown_database",
    /** The key is unknown or withdrawn. */
    NotAuthorized: "not_authorized",
    /** Not run: no slot or connection in time, or the rate is used up. */
    Busy: "busy",
    /** The transaction is rolled back; nothing of it is kept. */
    Aborted: "aborted",
    /** Not run: no copy is recent enough. */
    Lagging: "lagging",
    /** Not run: the database does not lead. */
    ReadOnly: "read_only",
    /** Not run: another database answers at this address. */
    Misrouted: "misrouted",
    /** Not run: the database takes no more connections. */
    ConnectionLimit: "connection_limit",
    /** It ran and failed. */
    Failed: "failed",
    /** It may have run. */
    TimedOut: "timed_out",
    /** It may have been committed. */
    InDoubt: "in_doubt",
    /** Not run: a prepared name is unknown. */
    UnknownName: "unknown_name",
    /** Not run: the request cannot be read or does not fit the state of the session. */
    Malformed: "malformed",
} as const;
export type StatementFault = typeof StatementFault[keyof typeof StatementFault];

/** Faults after which nothing of the statement was kept. */
const notRunFaults: ReadonlySet<StatementFault> = new Set([
    StatementFault.Busy,
    StatementFault.Aborted,
    StatementFault.Lagging,
    StatementFault.ReadOnly,
    StatementFault.Misrouted,
    StatementFault.ConnectionLimit,
    StatementFault.UnknownName,
]);

export function isNotRun(fault: StatementFault): boolean {
    return notRunFaults.has(fault);
}

/** An answer to one statement. */
export interface StatementAnswer {
    /** Rows as the database wrote them; empty after a fault. */
    readonly rows: readonly string[];
    /** Proof that the database ran it; undefined after a fault and for what the proxy answers itself. */
    readonly signature: string | undefined;
    readonly fault: StatementFault | undefined;
    /** Text for the caller after a fault; empty otherwise. */
    readonly detail: string;
    readonly transaction: TransactionState;
    /** Position of the database's log after the statement, when one answered. */
    readonly position: Position | undefined;
}
