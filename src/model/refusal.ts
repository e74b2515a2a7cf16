/** Every refusal that a caller can see, with its MySQL error number. */

/** What is known about the statement that was refused. */
export const Execution = {
    NotRun: "not run",
    Failed: "ran and failed",
    Unknown: "outcome unknown",
} as const;
export type Execution = typeof Execution[keyof typeof Execution];

/** One row of the table. */
interface RefusalDefinition {
    /** MySQL error number; 1xxx where MySQL has a fitting one, 9xxx otherwise. */
    readonly errno: number;
    readonly execution: Execution;
    /** Says what happened and what to do. */
    readonly text: string;
}

/** Codes are stable: a caller may compare them. */
export const RefusalCode = {
    AccessDenied: "access_denied",
    KeyWithdrawn: "key_withdrawn",
    ConfigurationStale: "configuration_stale",
    UnknownService: "unknown_service",
    UnknownClass: "unknown_class",
    MalformedAttribute: "malformed_attribute",
    PreparedUnsupported: "prepared_unsupported",
    StatementUnsupported: "statement_unsupported",
    StatementTooLarge: "statement_too_large",
    RateExceeded: "rate_exceeded",
    Overloaded: "overloaded",
    WaitExceeded: "wait_exceeded",
    NoPrimary: "no_primary",
    NoFreshReplica: "no_fresh_replica",
    HolderUnavailable: "holder_unavailable",
    ConnectFailed: "connect_failed",
    TransactionLost: "transaction_lost",
    DatabaseFailed: "database_failed",
    Unconfirmed: "unconfirmed",
    ConnectionLost: "connection_lost",
    ShuttingDown: "shutting_down",
} as const;
export type RefusalCode = typeof RefusalCode[keyof typeof RefusalCode];

const { NotRun, Failed, Unknown } = Execution;

export const refusalTable: Readonly<Record<RefusalCode, RefusalDefinition>> = {
    access_denied: { errno: 1045, execution: NotRun, text: "access denied; check key id and secret" },
    key_withdrawn: { errno: 1045, execution: NotRun, text: "the key was withdrawn; ask the operator for a new one" },
    configuration_stale: {
        errno: 9001,
        execution: NotRun,
        text: "this instance cannot prove that its configuration is recent; retry on another instance",
    },
    unknown_service: { errno: 1049, execution: NotRun, text: "no such service; use an announced database name" },
    unknown_class: { errno: 9002, execution: NotRun, text: "no such work class; create it or correct the comment" },
    malformed_attribute: { errno: 9003, execution: NotRun, text: "malformed attribute in the statement's comment" },
    prepared_unsupported: {
        errno: 1295,
        execution: NotRun,
        text: "prepared statements are not supported; send the statement as text",
    },
    statement_unsupported: { errno: 1235, execution: NotRun, text: "the statement is not supported by the proxy" },
    statement_too_large: { errno: 1153, execution: NotRun, text: "the statement exceeds the size limit" },
    rate_exceeded: { errno: 9010, execution: NotRun, text: "the workspace exceeded its rate; slow down" },
    overloaded: { errno: 9011, execution: NotRun, text: "too much work is queued to meet the waiting target" },
    wait_exceeded: { errno: 9012, execution: NotRun, text: "the waiting target passed before the statement could run" },
    no_primary: { errno: 9020, execution: NotRun, text: "the group has no usable primary at present" },
    no_fresh_replica: { errno: 9021, execution: NotRun, text: "no database with sufficiently fresh data is reachable" },
    holder_unavailable: {
        errno: 9022,
        execution: NotRun,
        text: "the instance that holds the database is unreachable",
    },
    connect_failed: { errno: 9023, execution: NotRun, text: "no connection to the database could be opened" },
    transaction_lost: {
        errno: 9030,
        execution: Failed,
        text: "the transaction was rolled back because its connection ended; run it again from BEGIN",
    },
    database_failed: { errno: 1105, execution: Failed, text: "the database reported an error" },
    unconfirmed: {
        errno: 9040,
        execution: Unknown,
        text: "the write was not confirmed in time; resend with the same request id or check",
    },
    connection_lost: {
        errno: 9041,
        execution: Unknown,
        text: "the connection ended before the answer; resend with the same request id or check",
    },
    shutting_down: { errno: 1053, execution: NotRun, text: "this instance is shutting down; reconnect" },
};

/** A refusal as it travels to the caller. */
export interface Refusal {
    readonly code: RefusalCode;
    /** Filter at which it arose. */
    readonly step: string;
    /** Instance or database concerned; empty when it was this instance alone. */
    readonly peer: string;
    /** Earliest sensible time of a retry, from now; 0 when a retry cannot help before something else changes. */
    readonly retryAfterMs: number;
    /** Addition to the table's text, for example the database's own message. */
    readonly detail: string;
    /** Error number of the database when it reported one. */
    readonly databaseErrno: number | undefined;
}

/** Text of the MySQL error: outcome first, then cause, step, peer and time of a retry. */
export function describeRefusal(refusal: Refusal): string {
    const definition = refusalTable[refusal.code];
    const detail = refusal.detail === "" ? "" : `: ${refusal.detail}`;
    const peer = refusal.peer === "" ? "" : ` peer=${refusal.peer}`;
    const retry = refusal.retryAfterMs > 0 ? ` retry_after_ms=${Math.ceil(refusal.retryAfterMs)}` : "";
    return `${definition.execution}: ${definition.text}${detail} [code=${refusal.code} step=${refusal.step}${peer}${retry}]`;
}

/** Builds a refusal with defaults for the optional parts. */
export function refuse(code: RefusalCode, step: string, parts: Partial<Refusal> = {}): Refusal {
    return { peer: "", retryAfterMs: 0, detail: "", databaseErrno: undefined, ...parts, code, step };
}
