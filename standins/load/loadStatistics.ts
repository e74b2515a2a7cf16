/** Statistics of a load run: statements sent, their outcomes and consistency violations. */
import { type CallOutcome, OutcomeKind } from "./callOutcome.ts";

/** Counts of consistency violations; a correct system has none. */
export interface Violations {
    /** Acknowledged writes that are missing in the final content of the primary. */
    lost: number;
    /** Request ids whose write was applied more than once. */
    doubled: number;
    /** Writes that were refused as not run, or rolled back, but are present in the final content. */
    notRunButRan: number;
    /** Reads that returned data older than the maximum age, or that missed an acknowledged write of the same key. */
    staleReads: number;
    /** Reads or final rows that mix two transactions or show a transaction partially. */
    mixedTransactions: number;
    /** Responses that belong to another request. */
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
     * Records the outcome of one statement.
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

// A statement that waits too long for a rate permit is refused with wait_exceeded at the admit step; its cause is the
// rate limit as well.
function isRateLimited(outcome: CallOutcome): boolean {
    return outcome.code === "rate_exceeded" || outcome.code === "wait_exceeded" && outcome.step === "admit";
}
