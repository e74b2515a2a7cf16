/** What is sent to the database for one request. */
import type { HolderRequest } from "../model/holderMessages.ts";
import { type Outcome, OutcomeKind } from "../model/outcome.ts";
import { RefusalCode } from "../model/refusal.ts";
import { StatementKind } from "../model/statement.ts";
import { refusedOutcome } from "./answers.ts";

export const executeStep = "execute";

export const ScriptStepKind = {
    Send: "send",
    End: "end",
} as const;

/** The next statement, or the end of the script. */
export type ScriptStep =
    | { readonly kind: typeof ScriptStepKind.Send; readonly text: string; }
    | {
        readonly kind: typeof ScriptStepKind.End;
        readonly outcome: Outcome;
        /** The database committed something, so a majority must have it before the outcome is told. */
        readonly committed: boolean;
    };

/** Result of a statement of the script. */
export interface ScriptResult {
    readonly outcome: Outcome;
    readonly inTransaction: boolean;
}

/** The statements of one request; each is sent after the result of the one before it. */
export interface Script {
    start(): ScriptStep;
    next(result: ScriptResult): ScriptStep;
    /** Outcome when the connection ends before the next result. */
    outcomeOnLinkLoss(): Outcome;
}

export function sendStep(text: string): ScriptStep {
    return { kind: ScriptStepKind.Send, text };
}

export function endStep(outcome: Outcome, committed: boolean): ScriptStep {
    return { kind: ScriptStepKind.End, outcome, committed };
}

/** Sends the caller's statement alone. */
export class SingleStatementScript implements Script {
    private readonly request: HolderRequest;
    private readonly wasInTransaction: boolean;

    constructor(request: HolderRequest, wasInTransaction: boolean) {
        this.request = request;
        this.wasInTransaction = wasInTransaction;
    }

    start(): ScriptStep {
        return sendStep(this.request.text);
    }

    next(result: ScriptResult): ScriptStep {
        return endStep(result.outcome, this.hasCommitted(result));
    }

    outcomeOnLinkLoss(): Outcome {
        const endsWithTransaction = this.wasInTransaction && this.request.statementKind === StatementKind.Read;
        const code = endsWithTransaction ? RefusalCode.TransactionLost : RefusalCode.ConnectionLost;
        return refusedOutcome(code, executeStep, { peer: this.request.databaseId });
    }

    // Besides COMMIT, statements such as CREATE TABLE and a second BEGIN commit the transaction that was open.
    private hasCommitted({ outcome, inTransaction }: ScriptResult): boolean {
        const { statementKind } = this.request;
        if (outcome.kind === OutcomeKind.Refused || statementKind === StatementKind.Rollback) {
            return false;
        }
        return this.wasInTransaction
            ? !inTransaction || statementKind === StatementKind.Begin
            : !inTransaction && statementKind === StatementKind.Write;
    }
}
