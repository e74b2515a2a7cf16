/** Errors that the stand-in returns to clients, with MySQL error numbers. */

export const ErrorNumber = {
    TooManyConnections: 1040,
    AccessDenied: 1045,
    UnknownCommand: 1047,
    DuplicateEntry: 1062,
    Syntax: 1064,
    Other: 1105,
    NoSuchTable: 1146,
    LockTimeout: 1205,
    ReadOnly: 1290,
    PreparedUnsupported: 1295,
} as const;

export class DatabaseError extends Error {
    readonly errno: number;

    constructor(errno: number, message: string) {
        super(message);
        this.errno = errno;
    }
}

/** Converts an SQLite error to the MySQL error number for the same cause. */
export function toDatabaseError(error: unknown): DatabaseError {
    if (error instanceof DatabaseError) {
        return error;
    }
    const message = error instanceof Error ? error.message : String(error);
    return new DatabaseError(findErrorNumber(message), message);
}

function findErrorNumber(message: string): number {
    if (message.includes("UNIQUE constraint failed")) {
        return ErrorNumber.DuplicateEntry;
    }
    if (message.includes("no such table")) {
        return ErrorNumber.NoSuchTable;
    }
    return message.includes("syntax error") ? ErrorNumber.Syntax : ErrorNumber.Other;
}
