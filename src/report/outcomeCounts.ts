/** How statements ended, as far as service levels are concerned. */

export const OutcomeClass = {
    Good: "good",
    /** Started after the waiting target. */
    Late: "late",
    /** Not run, or rolled back, although the workspace was within its rate. */
    Refused: "refused",
    /** Returned data older than the target. */
    Stale: "stale",
    Unknown: "unknown",
    /** Refused because of the caller: over its rate, or a malformed or unauthorised request. Burns no budget. */
    Excluded: "excluded",
} as const;
export type OutcomeClass = typeof OutcomeClass[keyof typeof OutcomeClass];

/** Order of the counters in rings and snapshots. */
export const outcomeClasses: readonly OutcomeClass[] = Object.values(OutcomeClass);

/** Classes that burn the error budget. */
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

/** Statements that count towards the objective. */
export function eligibleCount(counts: OutcomeCounts): number {
    return counts.good + badCount(counts);
}
