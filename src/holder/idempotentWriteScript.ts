/** A write with a request id outside a transaction: the id and the outcome are committed together with the write. */
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
    Begin: "begin",
    Lookup: "lookup",
    Statement: "statement",
    Record: "record",
    Commit: "commit",
    /** Rolls back before the script ends. */
    Abandon: "abandon",
    /** Rolls back before the script starts again, because the table was missing or a duplicate just committed. */
    Restart: "restart",
    CreateTable: "create_table",
} as const;
type Stage = typeof Stage[keyof typeof Stage];

/** One restart for a missing table and one for a concurrent duplicate, with one to spare. */
const maximumRestarts = 3;

export class IdempotentWriteScript implements Script {
    private readonly request: HolderRequest;
    private stage: Stage = Stage.Begin;
    private restarts = 0;
    private statementSent = false;
    private tableMissing = false;
    private outcome: Outcome | undefined;
    private foundStoredOutcome = false;

    constructor(request: HolderRequest) {
        this.request = request;
    }

    start(): ScriptStep {
        return this.enter(Stage.Begin, "BEGIN");
    }

    next({ outcome }: ScriptResult): ScriptStep {
        switch (this.stage) {
            case Stage.Begin:
                return this.afterBegin(outcome);
            case Stage.Lookup:
                return this.afterLookup(outcome);
            case Stage.Statement:
                return this.afterStatement(outcome);
            case Stage.Record:
                return this.afterRecord(outcome);
            case Stage.Commit:
                return this.afterCommit(outcome);
            case Stage.Abandon:
                return endStep(this.outcome!, this.foundStoredOutcome);
            case Stage.Restart:
                return this.tableMissing ? this.enter(Stage.CreateTable, createRecordTableSql) : this.start();
            case Stage.CreateTable:
                this.tableMissing = false;
                return outcome.kind === OutcomeKind.Refused ? endStep(outcome, false) : this.start();
        }
    }

    outcomeOnLinkLoss(): Outcome {
        // A rollback that got no answer changes nothing: the transaction ends with the connection.
        if (this.stage === Stage.Abandon && this.outcome !== undefined && !this.foundStoredOutcome) {
            return this.outcome;
        }
        return this.statementSent || this.foundStoredOutcome
            ? refusedOutcome(RefusalCode.ConnectionLost, executeStep, { peer: this.request.databaseId })
            : refusedOutcome(RefusalCode.ConnectFailed, executeStep, {
                peer: this.request.databaseId,
                detail: "the connection ended before the statement was sent",
            });
    }

    private afterBegin(outcome: Outcome): ScriptStep {
        return outcome.kind === OutcomeKind.Refused
            ? endStep(outcome, false)
            : this.enter(Stage.Lookup, selectRecordSql(this.request));
    }

    private afterLookup(outcome: Outcome): ScriptStep {
        if (outcome.kind === OutcomeKind.Refused) {
            this.tableMissing = databaseErrnoOf(outcome) === missingTableErrno;
            return this.tableMissing ? this.restart(outcome) : this.abandon(outcome);
        }
        const stored = parseRecord(outcome);
        if (stored !== undefined) {
            this.foundStoredOutcome = true;
            return this.abandon(stored);
        }
        this.statementSent = true;
        return this.enter(Stage.Statement, this.request.text);
    }

    private afterStatement(outcome: Outcome): ScriptStep {
        if (outcome.kind === OutcomeKind.Refused) {
            return this.abandon(outcome);
        }
        this.outcome = outcome;
        return this.enter(Stage.Record, insertRecordSql(this.request, outcome));
    }

    private afterRecord(outcome: Outcome): ScriptStep {
        if (databaseErrnoOf(outcome) === duplicateKeyErrno) {
            return this.restart(outcome);
        }
        return outcome.kind === OutcomeKind.Refused ? this.abandon(outcome) : this.enter(Stage.Commit, "COMMIT");
    }

    private afterCommit(outcome: Outcome): ScriptStep {
        return outcome.kind === OutcomeKind.Refused ? this.abandon(outcome) : endStep(this.outcome!, true);
    }

    private restart(cause: Outcome): ScriptStep {
        this.restarts++;
        return this.restarts > maximumRestarts ? this.abandon(cause) : this.enter(Stage.Restart, "ROLLBACK");
    }

    private abandon(outcome: Outcome): ScriptStep {
        this.outcome = outcome;
        return this.enter(Stage.Abandon, "ROLLBACK");
    }

    private enter(stage: Stage, text: string): ScriptStep {
        this.stage = stage;
        return sendStep(text);
    }
}
