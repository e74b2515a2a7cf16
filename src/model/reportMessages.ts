/** Message from which the burn report counts the outcome of a statement. */
import type { Message } from "../pipeline/message.ts";
import type { Outcome } from "./outcome.ts";

export const ReportKind = {
    StatementEnded: "report.statement_ended",
} as const;

/** A statement with a known work class was answered or refused. */
export interface StatementEnded extends Message {
    readonly kind: typeof ReportKind.StatementEnded;
    readonly workspace: string;
    readonly workClass: string;
    readonly arrivedAtMs: number;
    /** When the statement was sent to a database; undefined when it was not. */
    readonly startedAtMs: number | undefined;
    readonly outcome: Outcome;
    /** Known age of the data that a read returned; undefined when the data was current. */
    readonly dataAgeMs?: number | undefined;
    /** False when the statement was refused because its workspace had exceeded its rate. */
    readonly withinRate: boolean;
    /** Targets of the work class that applied to the statement. */
    readonly targets: {
        readonly objectiveShare: number;
        readonly waitingMs: number;
        readonly maximumAgeMs: number;
    };
}
