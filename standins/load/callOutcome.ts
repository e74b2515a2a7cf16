/** What a caller learns of one statement. */

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
    /** Code of the refusal; empty when done. */
    readonly code: string;
    /** Step that refused; empty when unknown. */
    readonly step: string;
    /** The connection cannot be used again. */
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

/** Reads an error of the MySQL client. An error that the server did not send leaves the outcome unknown. */
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
    // Numbers of the operating system are negative; MySQL's are positive.
    if (errno !== undefined && errno > 0) {
        return errorOutcome(OutcomeKind.Failed, `errno_${errno}`, { connectionLost: fatal === true });
    }
    return errorOutcome(OutcomeKind.Unknown, code ?? "connection", { connectionLost: true });
}
