/** Work classes: what operators promise for a kind of work. */

/** How far work of a class may be repeated after an attempt whose outcome is unknown. */
export const RepeatPolicy = {
    /** Sent to a database at most once. */
    Never: "never",
    /** Statements that only read may be sent again. */
    Reads: "reads",
} as const;
export type RepeatPolicy = typeof RepeatPolicy[keyof typeof RepeatPolicy];

/** The targets of one class of work. */
export interface WorkClass {
    readonly name: string;
    /** Oldest data that a read may return, in milliseconds; 0 asks for the primary's current data. */
    readonly maximumAgeMs: number;
    /** Longest time from arrival until a statement is sent to a database. */
    readonly waitingMs: number;
    readonly repeat: RepeatPolicy;
    /** Share of statements that must meet the targets, for the burn report; 0.999 leaves a budget of 0.1%. */
    readonly objectiveShare: number;
    /** Raised by one with each accepted change. */
    readonly version: number;
}

/** Serves statements that name no class: current data, short wait, writes never repeated. */
export const defaultWorkClass: WorkClass = {
    name: "default",
    maximumAgeMs: 1_000,
    waitingMs: 2_000,
    repeat: RepeatPolicy.Reads,
    objectiveShare: 0.999,
    version: 0,
};
