/** Statement kinds that routing distinguishes. */

export const StatementKind = {
    /** Known to be read-only, so it may run on a replica. */
    Read: "read",
    /** Not known to be read-only, so it runs on the primary. */
    Write: "write",
    Begin: "begin",
    Commit: "commit",
    Rollback: "rollback",
    /** Leaves session state on the connection, which is pinned to its session from then on. */
    SessionState: "session_state",
    /** Answered by the entry instance itself, for example a SET that clients send when they connect. */
    Local: "local",
} as const;
export type StatementKind = typeof StatementKind[keyof typeof StatementKind];

/** Attributes that a caller passes in a sqlcommenter comment; each is optional. */
export interface StatementAttributes {
    readonly workClass: string | undefined;
    /** Idempotency key of a write: resending the write with the same id returns the first outcome. */
    readonly requestId: string | undefined;
    readonly maximumAgeMs: number | undefined;
    readonly sessionToken: string | undefined;
}
