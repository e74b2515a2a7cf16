/** Classification and counts of the outcomes of statements, for the error budget of a work class. */

export const OutcomeClass = {
    Good: "good",
    /** Sent to a database after the waiting target. */
    Late: "late",
    /** Not run, or rolled back, although the workspace was within its rate. */
    Refused: "refused",
    /** Returned data older than the target. */
    Stale: "stale",
    /** Sent to a database, but whether its effects are in force is unknown. */
    Unknown: "unknown",
    /**
     * Refused because of the caller: the workspace exceeded its rate, or the request was malformed or not authorised.
     * Does not burn the budget.
     */
    Excluded: "excluded",
} as const;
export type OutcomeClass = typeof OutcomeClass[keyof typeof OutcomeClass];

/** All classes, in the order of the counters in `OutcomeRingBuffer`. */
export const outcomeClasses: readonly OutcomeClass[] = Object.values(OutcomeClass);

/** Classes that burn the error budget, in the order of the stacked bars of the plot. */
export const badOutcomeClasses: readonly OutcomeClass[] = [
    OutcomeClass.Late,
    OutcomeClass.Refused,
    OutcomeClass.Stale,
    OutcomeClass.Unknown,
];

export type OutcomeCounts = Readonly<Record<OutcomeClass, number>>;

export const zeroOutcomeCounts: OutcomeCounts = { good: 0, late: 0, refused: 0, stale: 0, unknown: 0, excluded: 0 };

export function addCounts(left: OutcomeCounts, right: OutcomeCounts): OutcomeCounts {
    return {
        good: left.good + right.good,
        late: left.late + right.late,
        refused: left.refused + right.refused,
        stale: left.stale + right.stale,
        unknown: left.unknown + right.unknown,
        excluded: left.excluded + right.excluded,
    };
}

export function badCount(counts: OutcomeCounts): number {
    return badOutcomeClasses.reduce((sum, name) => sum + counts[name], 0);
}

/** Number of statements that count towards the objective: all but the excluded ones. */
export function eligibleCount(counts: OutcomeCounts): number {
    return counts.good + badCount(counts);
}
