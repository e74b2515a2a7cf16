/** Outcome of one statement as reported to the caller. */

export const OutcomeKind = {
    Done: "done",
    NotRun: "not_run",
    Failed: "failed",
    Unknown: "unknown",
} as const;
export type OutcomeKind = typeof OutcomeKind[keyof typeof OutcomeKind];

export interface CallOutcome {
    readonly kind: OutcomeKind;
    readonly rows: readonly Readonly<Record<string, unknown>>[];
    readonly affectedRows: number;
    /** Error code; empty when done. */
    readonly code: string;
    /** Proxy step that refused the statement; empty when the error names none. */
    readonly step: string;
    /** The connection can no longer be used. */
    readonly connectionLost: boolean;
}

export function doneOutcome(rows: readonly Readonly<Record<string, unknown>>[], affectedRows: number): CallOutcome {
    return { kind: OutcomeKind.Done, rows, affectedRows, code: "", step: "", connectionLost: false };
}

export function errorOutcome(kind: OutcomeKind, code: string, details: Partial<CallOutcome> = {}): CallOutcome {
    return { rows: [], affectedRows: 0, step: "", connectionLost: false, ...details, kind, code };
}

const messagePrefixes = [
    ["not run:", OutcomeKind.NotRun],
    ["ran and failed:", OutcomeKind.Failed],
    ["outcome unknown:", OutcomeKind.Unknown],
] as const;

/** Converts an error of the MySQL client. The outcome is unknown unless the server sent the error. */
export function toErrorOutcome(error: unknown): CallOutcome {
    const { message, errno, code, fatal } = error as {
        message: string;
        errno?: number;
        code?: string;
        fatal?: boolean;
    };
    const prefix = messagePrefixes.find(([text]) => message.startsWith(text));
    if (prefix !== undefined) {
        const match = /\[code=(\S+) step=([^\s\]]+)/.exec(message);
        return errorOutcome(prefix[1], match?.[1] ?? "no_code", {
            step: match?.[2] ?? "",
            connectionLost: fatal === true,
        });
    }
    // Error numbers of the operating system are negative, those of MySQL positive.
    if (errno !== undefined && errno > 0) {
        return errorOutcome(OutcomeKind.Failed, `errno_${errno}`, { connectionLost: fatal === true });
    }
    return errorOutcome(OutcomeKind.Unknown, code ?? "connection", { connectionLost: true });
}
