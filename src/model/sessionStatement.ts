/** Statements of a session, as decoded by the front end that received them, and the answers to them. */
import type { Position } from "./position.ts";

export const SessionStatementKind = {
    Begin: "begin",
    /** Starts a read-only transaction. */
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

/** How a statement that needs a database belongs to a transaction. */
export const TaskMode = {
    /** A statement outside a transaction. */
    Single: "single",
    /** A statement of a read-write transaction. */
    Transaction: "transaction",
    /** A statement of a read-only transaction. */
    ReadTransaction: "read_transaction",
    /** Reads the log position of the primary; belongs to no caller. */
    Probe: "probe",
} as const;
export type TaskMode = typeof TaskMode[keyof typeof TaskMode];

/** A prepared statement without its name and its parameters. */
export interface PreparedStatement {
    readonly writes: boolean;
    /** Text of the statement as given to PREPARE. */
    readonly shape: string;
}

export interface SessionStatement {
    readonly kind: SessionStatementKind;
    /** Request id chosen by the caller; forwarded to the database unchanged. */
    readonly id: string;
    /** The statement as received. */
    readonly text: string;
    /** Name of a session variable or of a prepared statement; empty for other kinds. */
    readonly name: string;
    /** Value of a session variable, or the parameters of an executed statement; empty for other kinds. */
    readonly argument: string;
    /** Set only for `prepare`. */
    readonly prepared: PreparedStatement | undefined;
}

/**
 * Session state that a caller has set on its connection: session variables, and prepared statements by name. Immutable;
 * each change creates a new object.
 */
export interface SessionContext {
    readonly values: ReadonlyMap<string, string>;
    readonly prepared: ReadonlyMap<string, PreparedStatement>;
}

export const emptySessionContext: SessionContext = { values: new Map(), prepared: new Map() };

export const TransactionState = {
    None: "none",
    Open: "open",
    /** A statement failed; the caller can only commit (which fails) or roll back. */
    Failed: "failed",
} as const;
export type TransactionState = typeof TransactionState[keyof typeof TransactionState];

/** Why a statement did not succeed. The front end translates each fault to an error code of its protocol. */
export const StatementFault = {
    /** No route exists for the database that the caller named. */
    UnknownDatabase: "unknown_database",
    /** The key is unknown or withdrawn. */
    NotAuthorized: "not_authorized",
    /** Not run: no free slot or connection in time, or the workspace exceeded its rate. */
    Busy: "busy",
    /** The transaction was rolled back. */
    Aborted: "aborted",
    /** Not run: the log of the database has not reached the required position. */
    Lagging: "lagging",
    /** Not run: the database is not the primary. */
    ReadOnly: "read_only",
    /** Not run: another database answers at this address. */
    Misrouted: "misrouted",
    /** Not run: the database has reached its connection limit. */
    ConnectionLimit: "connection_limit",
    /** The statement ran and failed. */
    Failed: "failed",
    /** No answer in time; the statement may have run. */
    TimedOut: "timed_out",
    /** No answer to a write or commit, which may have taken effect. */
    InDoubt: "in_doubt",
    /** Not run: no prepared statement has this name. */
    UnknownName: "unknown_name",
    /** Not run: the request cannot be parsed or is not allowed in the current state of the session. */
    Malformed: "malformed",
} as const;
export type StatementFault = typeof StatementFault[keyof typeof StatementFault];

/** Faults that guarantee that the statement had no effect. */
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

export interface StatementAnswer {
    /** Rows as returned by the database; empty after a fault. */
    readonly rows: readonly string[];
    /** Signature by which the database proves that it ran the statement; undefined in other answers. */
    readonly signature: string | undefined;
    readonly fault: StatementFault | undefined;
    /** Error text for the caller; empty without a fault. */
    readonly detail: string;
    readonly transaction: TransactionState;
    /** Log position of the database after the statement; undefined when no database answered. */
    readonly position: Position | undefined;
}
