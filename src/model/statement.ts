/** Kinds of statement, as far as routing needs them. */

export const StatementKind = {
    /** Surely only reads; may go to a replica. */
    Read: "read",
    /** Anything that is not surely a read; goes to the primary. */
    Write: "write",
    Begin: "begin",
    Commit: "commit",
    Rollback: "rollback",
    /** Leaves state on the connection, which stays with its session from then on. */
    SessionState: "session_state",
    /** Answered by the entry itself, for example a SET that every client sends when it connects. */
    Local: "local",
} as const;
export type StatementKind = typeof StatementKind[keyof typeof StatementKind];

/** Attributes that a caller sends in a sqlcommenter comment; each has a default. */
export interface StatementAttributes {
    readonly workClass: string | undefined;
    /** Makes a write idempotent: a resend with the same id returns the first outcome. */
    readonly requestId: string | undefined;
    readonly maximumAgeMs: number | undefined;
    readonly sessionToken: string | undefined;
}
