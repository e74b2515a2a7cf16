/** What the burn report learns of each statement. */
import type { Message } from "../pipeline/message.ts";
import type { Outcome } from "./outcome.ts";

export const ReportKind = {
    StatementEnded: "report.statement_ended",
} as const;

/** A statement whose class was known has its answer. */
export interface StatementEnded extends Message {
    readonly kind: typeof ReportKind.StatementEnded;
    readonly workspace: string;
    readonly workClass: string;
    readonly arrivedAtMs: number;
    /** Undefined when the statement was not sent to a database. */
    readonly startedAtMs: number | undefined;
    readonly outcome: Outcome;
    /** Known age of the data that a read returned; undefined when it was current. */
    readonly dataAgeMs?: number | undefined;
    readonly withinRate: boolean;
    readonly targets: {
        readonly objectiveShare: number;
        readonly waitingMs: number;
        readonly maximumAgeMs: number;
    };
}
