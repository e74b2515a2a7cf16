/** What a caller learns of one statement. */

export const CallKind = {
    Done: "done",
    NotRun: "not_run",
    Failed: "failed",
    Unknown: "unknown",
} as const;
export type CallKind = typeof CallKind[keyof typeof CallKind];

export interface CallOutcome {
    readonly kind: CallKind;
    readonly rows: readonly Readonly<Record<string, unknown>>[];
    readonly affectedRows: number;
    /** Code of the refusal; empty when done. */
    readonly code: string;
    /** Step that refused; empty when unknown. */
    readonly step: string;
    /** The connection cannot be used again. */
    readonly connectionLost: boolean;
}

export function done(rows: readonly Readonly<Record<string, unknown>>[], affectedRows: number): CallOutcome {
    return { kind: CallKind.Done, rows, affectedRows, code: "", step: "", connectionLost: false };
}

export function refused(kind: CallKind, code: string, parts: Partial<CallOutcome> = {}): CallOutcome {
    return { rows: [], affectedRows: 0, step: "", connectionLost: false, ...parts, kind, code };
}

const prefixes = [
    ["not run:", CallKind.NotRun],
    ["ran and failed:", CallKind.Failed],
    ["outcome unknown:", CallKind.Unknown],
] as const;

/** Reads an error of the MySQL client. An error that the server did not send leaves the outcome unknown. */
export function outcomeOfError(error: unknown): CallOutcome {
    const { message, errno, code, fatal } = error as {
        message: string;
        errno?: number;
        code?: string;
        fatal?: boolean;
    };
    const prefix = prefixes.find(([text]) => message.startsWith(text));
    if (prefix !== undefined) {
        const found = /\[code=(\S+) step=([^\s\]]+)/.exec(message);
        return refused(prefix[1], found?.[1] ?? "no_code", { step: found?.[2] ?? "", connectionLost: fatal === true });
    }
    // Numbers of the operating system are negative; MySQL's are positive.
    if (errno !== undefined && errno > 0) {
        return refused(CallKind.Failed, `errno_${errno}`, { connectionLost: fatal === true });
    }
    return refused(CallKind.Unknown, code ?? "connection", { connectionLost: true });
}
