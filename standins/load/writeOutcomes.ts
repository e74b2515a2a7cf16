/** Outcomes of writes with request ids, for comparison with the final content. */
import { OutcomeKind } from "./callOutcome.ts";
import type { Violations } from "./loadStatistics.ts";

interface WriteOutcome {
    acknowledged: boolean;
    /** An attempt with unknown outcome may have run. */
    possiblyApplied: boolean;
}

export class WriteOutcomes {
    private readonly outcomes = new Map<string, WriteOutcome>();

    /** Records the outcome of one attempt. */
    record(requestId: string, kind: OutcomeKind): void {
        const outcome = this.outcomes.get(requestId) ?? { acknowledged: false, possiblyApplied: false };
        outcome.acknowledged ||= kind === OutcomeKind.Done;
        outcome.possiblyApplied ||= kind === OutcomeKind.Unknown;
        this.outcomes.set(requestId, outcome);
    }

    /**
     * Counts the violations that the final content shows.
     * @param appliedCounts for each request id, how often it was applied
     */
    countViolations(appliedCounts: ReadonlyMap<string, number>, violations: Violations): void {
        for (const [requestId, outcome] of this.outcomes) {
            const appliedCount = appliedCounts.get(requestId) ?? 0;
            if (outcome.acknowledged && appliedCount === 0) {
                violations.lost += 1;
            }
            if (appliedCount > 1) {
                violations.doubled += 1;
            }
            if (appliedCount > 0 && !outcome.acknowledged && !outcome.possiblyApplied) {
                violations.notRunButRan += 1;
            }
        }
    }
}
