/** Scripts: the sequences of SQL statements that are sent to the database for one request. */
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

/** Next action of a script: send a statement, or end with an outcome. */
export type ScriptStep =
    | { readonly kind: typeof ScriptStepKind.Send; readonly text: string; }
    | {
        readonly kind: typeof ScriptStepKind.End;
        readonly outcome: Outcome;
        /** Whether the database committed, so that a majority must confirm it before the outcome is answered. */
        readonly committed: boolean;
    };

/** Result of the statement that the script sent last. */
export interface ScriptResult {
    readonly outcome: Outcome;
    readonly inTransaction: boolean;
}

/** State machine that produces the statements of one request; each follows the result of the previous one. */
export interface Script {
    start(): ScriptStep;
    next(result: ScriptResult): ScriptStep;
    /** Returns the outcome when the connection ends before the next result. */
    outcomeOnLinkLoss(): Outcome;
}

export function sendStep(text: string): ScriptStep {
    return { kind: ScriptStepKind.Send, text };
}

export function endStep(outcome: Outcome, committed: boolean): ScriptStep {
    return { kind: ScriptStepKind.End, outcome, committed };
}

/** Sends only the caller's statement. */
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

    // Besides COMMIT, statements such as CREATE TABLE and a second BEGIN implicitly commit the open transaction.
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
