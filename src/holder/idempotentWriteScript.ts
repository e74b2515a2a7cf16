/** A write with a request id outside a transaction: the id and the outcome are committed together with the write. */
import type { HolderRequest } from "../model/holderMessages.ts";
import { type Outcome, OutcomeKind } from "../model/outcome.ts";
import { RefusalCode } from "../model/refusal.ts";
import { refused } from "./answers.ts";
import {
    createRecordTable,
    duplicateKeyErrno,
    errnoOf,
    insertRecord,
    missingTableErrno,
    readRecord,
    selectRecord,
} from "./requestRecord.ts";
import { end, executeStep, type Script, type ScriptResult, type ScriptStep, send } from "./script.ts";

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
const mostRestarts = 3;

export class IdempotentWriteScript implements Script {
    private readonly request: HolderRequest;
    private stage: Stage = Stage.Begin;
    private restarts = 0;
    private statementSent = false;
    private tableMissing = false;
    private outcome: Outcome | undefined;
    private foundEarlier = false;

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
                return end(this.outcome!, this.foundEarlier);
            case Stage.Restart:
                return this.tableMissing ? this.enter(Stage.CreateTable, createRecordTable) : this.start();
            case Stage.CreateTable:
                this.tableMissing = false;
                return outcome.kind === OutcomeKind.Refused ? end(outcome, false) : this.start();
        }
    }

    lost(): Outcome {
        // A rollback that got no answer changes nothing: the transaction ends with the connection.
        if (this.stage === Stage.Abandon && this.outcome !== undefined && !this.foundEarlier) {
            return this.outcome;
        }
        return this.statementSent || this.foundEarlier
            ? refused(RefusalCode.ConnectionLost, executeStep, { peer: this.request.databaseId })
            : refused(RefusalCode.ConnectFailed, executeStep, {
                peer: this.request.databaseId,
                detail: "the connection ended before the statement was sent",
            });
    }

    private afterBegin(outcome: Outcome): ScriptStep {
        return outcome.kind === OutcomeKind.Refused
            ? end(outcome, false)
            : this.enter(Stage.Lookup, selectRecord(this.request));
    }

    private afterLookup(outcome: Outcome): ScriptStep {
        if (outcome.kind === OutcomeKind.Refused) {
            this.tableMissing = errnoOf(outcome) === missingTableErrno;
            return this.tableMissing ? this.restart(outcome) : this.abandon(outcome);
        }
        const stored = readRecord(outcome);
        if (stored !== undefined) {
            this.foundEarlier = true;
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
        return this.enter(Stage.Record, insertRecord(this.request, outcome));
    }

    private afterRecord(outcome: Outcome): ScriptStep {
        if (errnoOf(outcome) === duplicateKeyErrno) {
            return this.restart(outcome);
        }
        return outcome.kind === OutcomeKind.Refused ? this.abandon(outcome) : this.enter(Stage.Commit, "COMMIT");
    }

    private afterCommit(outcome: Outcome): ScriptStep {
        return outcome.kind === OutcomeKind.Refused ? this.abandon(outcome) : end(this.outcome!, true);
    }

    private restart(cause: Outcome): ScriptStep {
        this.restarts++;
        return this.restarts > mostRestarts ? this.abandon(cause) : this.enter(Stage.Restart, "ROLLBACK");
    }

    private abandon(outcome: Outcome): ScriptStep {
        this.outcome = outcome;
        return this.enter(Stage.Abandon, "ROLLBACK");
    }

    private enter(stage: Stage, text: string): ScriptStep {
        this.stage = stage;
        return send(text);
    }
}
