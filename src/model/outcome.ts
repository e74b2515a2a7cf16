/** Outcomes of statements: a result set, a success without one, or a refusal. */
import type { Refusal } from "./refusal.ts";

/** One column of a result set, as the MySQL protocol describes it. */
export interface Column {
    readonly name: string;
    /** MySQL column type number. */
    readonly type: number;
    /** MySQL character set number; 63 marks binary data. */
    readonly characterSet: number;
    readonly flags: number;
}

export const OutcomeKind = {
    Rows: "rows",
    Done: "done",
    Refused: "refused",
} as const;
export type OutcomeKind = typeof OutcomeKind[keyof typeof OutcomeKind];

/** A result set. Cells hold the text format; binary cells hold one character per byte, and NULL is undefined. */
export interface RowsOutcome {
    readonly kind: typeof OutcomeKind.Rows;
    readonly columns: readonly Column[];
    readonly rows: readonly (readonly (string | undefined)[])[];
}

/** A statement without a result set that succeeded. */
export interface DoneOutcome {
    readonly kind: typeof OutcomeKind.Done;
    readonly affectedRows: number;
    readonly insertId: number;
}

export interface RefusedOutcome {
    readonly kind: typeof OutcomeKind.Refused;
    readonly refusal: Refusal;
}

export type Outcome = RowsOutcome | DoneOutcome | RefusedOutcome;
