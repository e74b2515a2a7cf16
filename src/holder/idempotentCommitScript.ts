/** A COMMIT with a request id: the id is recorded in the transaction that it commits. */
import type { HolderRequest } from "../model/holderMessages.ts";
import { type Outcome, OutcomeKind } from "../model/outcome.ts";
import { RefusalCode } from "../model/refusal.ts";
import { refusedOutcome } from "./answers.ts";
import {
    createRecordTableSql,
    databaseErrnoOf,
    duplicateKeyErrno,
    insertRecordSql,
    missingTableErrno,
    parseRecord,
    selectRecordSql,
} from "./requestRecord.ts";
import { endStep, executeStep, type Script, type ScriptResult, type ScriptStep, sendStep } from "./script.ts";

const Stage = {
    Record: "record",
    Commit: "commit",
    /** Rolls back a transaction whose id was committed earlier, then looks up the first outcome. */
    RollbackDuplicate: "rollback_duplicate",
    Lookup: "lookup",
    RollbackFailed: "rollback_failed",
    CreateTable: "create_table",
} as const;
type Stage = typeof Stage[keyof typeof Stage];

export class IdempotentCommitScript implements Script {
    private readonly request: HolderRequest;
    private stage: Stage = Stage.Record;
    private failure: Outcome | undefined;

    constructor(request: HolderRequest) {
        this.request = request;
    }

    start(): ScriptStep {
        const done: Outcome = { kind: OutcomeKind.Done, affectedRows: 0, insertId: 0 };
        return this.enter(Stage.Record, insertRecordSql(this.request, done));
    }

    next({ outcome }: ScriptResult): ScriptStep {
        switch (this.stage) {
            case Stage.Record:
                return this.afterRecord(outcome);
            case Stage.Commit:
                return endStep(outcome, outcome.kind !== OutcomeKind.Refused);
            case Stage.RollbackDuplicate:
                return this.enter(Stage.Lookup, selectRecordSql(this.request));
            case Stage.Lookup: {
                const stored = parseRecord(outcome);
                return stored === undefined
                    ? endStep(this.transactionLost("no record of the request"), false)
                    : endStep(stored, true);
            }
            case Stage.RollbackFailed:
                return databaseErrnoOf(this.failure!) === missingTableErrno
                    ? this.enter(Stage.CreateTable, createRecordTableSql)
                    : endStep(this.failure!, false);
            case Stage.CreateTable:
                return endStep(
                    this.transactionLost("the table of request ids was missing and has been created"),
                    false,
                );
        }
    }

    outcomeOnLinkLoss(): Outcome {
        return this.stage === Stage.Commit || this.stage === Stage.Lookup
            ? refusedOutcome(RefusalCode.ConnectionLost, executeStep, { peer: this.request.databaseId })
            : this.transactionLost("the connection ended before COMMIT was sent");
    }

    private afterRecord(outcome: Outcome): ScriptStep {
        if (outcome.kind !== OutcomeKind.Refused) {
            return this.enter(Stage.Commit, this.request.text);
        }
        this.failure = outcome;
        return databaseErrnoOf(outcome) === duplicateKeyErrno
            ? this.enter(Stage.RollbackDuplicate, "ROLLBACK")
            : this.enter(Stage.RollbackFailed, "ROLLBACK");
    }

    private transactionLost(detail: string): Outcome {
        return refusedOutcome(RefusalCode.TransactionLost, executeStep, { peer: this.request.databaseId, detail });
    }

    private enter(stage: Stage, text: string): ScriptStep {
        this.stage = stage;
        return sendStep(text);
    }
}
