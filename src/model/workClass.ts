/** Work classes: service-level targets that operators set for a kind of work. */

/** Which statements of a class may be retried after an attempt whose outcome is unknown. */
export const RepeatPolicy = {
    /** Every statement is sent to a database at most once. */
    Never: "never",
    /** Read-only statements may be sent again. */
    Reads: "reads",
} as const;
export type RepeatPolicy = typeof RepeatPolicy[keyof typeof RepeatPolicy];

export interface WorkClass {
    readonly name: string;
    /** Maximum age of the data that a read may return; 0 requires the current data of the primary. */
    readonly maximumAgeMs: number;
    /** Maximum time between the arrival of a statement and its sending to a database. */
    readonly waitingMs: number;
    readonly repeat: RepeatPolicy;
    /** Share of statements that must meet the targets, for the burn report; 0.999 leaves an error budget of 0.1%. */
    readonly objectiveShare: number;
    /** Incremented by each accepted change. */
    readonly version: number;
}

/** Class of statements that name none: recent data, a short wait, and no retries of writes. */
export const defaultWorkClass: WorkClass = {
    name: "default",
    maximumAgeMs: 1_000,
    waitingMs: 2_000,
    repeat: RepeatPolicy.Reads,
    objectiveShare: 0.999,
    version: 0,
};
