/** The account of a load run: what was sent, what was answered, and what was wrong. */
import { type CallOutcome, OutcomeKind } from "./callOutcome.ts";

/** Violations, each of which must stay at zero. */
export interface Violations {
    /** Acknowledged, but missing in the final content of the primary. */
    lost: number;
    /** Request ids that were applied more than once. */
    doubled: number;
    /** Refused as not run, or rolled back, but present in the final content. */
    notRunButRan: number;
    /** Reads older than the maximum age, or that miss the caller's own acknowledged write. */
    staleReads: number;
    /** Rows of two transactions side by side, or half of one. */
    mixedTransactions: number;
    /** Answers that belong to another request. */
    wrongAnswers: number;
}

export class LoadStatistics {
    statements = 0;
    acknowledged = 0;
    unknown = 0;
    wrongfulRefusals = 0;
    readonly refusedByCode = new Map<string, number>();
    readonly violations: Violations = {
        lost: 0,
        doubled: 0,
        notRunButRan: 0,
        staleReads: 0,
        mixedTransactions: 0,
        wrongAnswers: 0,
    };

    /**
     * Counts one statement.
     * @param withinRate whether the workspace was within its rate when the statement was sent
     */
    recordOutcome(outcome: CallOutcome, withinRate: boolean): void {
        this.statements += 1;
        if (outcome.kind === OutcomeKind.Done) {
            this.acknowledged += 1;
            return;
        }
        if (outcome.kind === OutcomeKind.Unknown) {
            this.unknown += 1;
        }
        this.refusedByCode.set(outcome.code, (this.refusedByCode.get(outcome.code) ?? 0) + 1);
        if (withinRate && isRateLimited(outcome)) {
            this.wrongfulRefusals += 1;
        }
    }
}

// Waiting for a permit ends as wait_exceeded at the admit step; the cause is the rate all the same.
function isRateLimited(outcome: CallOutcome): boolean {
    return outcome.code === "rate_exceeded" || outcome.code === "wait_exceeded" && outcome.step === "admit";
}
