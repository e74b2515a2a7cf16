/** Builds answers, among them those that need no database. */
import { type Outcome, OutcomeKind } from "../model/outcome.ts";
import { StatementKind } from "../model/statement.ts";
import { type AdmittedRequest, type AnsweredRequest, LocalAction, RequestKind } from "./requestMessages.ts";
import type { SessionTable } from "./sessionTable.ts";

const varcharType = 253;
const utf8mb4 = 45;
const done: Outcome = { kind: OutcomeKind.Done, affectedRows: 0, insertId: 0 };

/** Answers a statement that needs no database; returns undefined for all other statements. */
export function answerLocally(request: AdmittedRequest, sessions: SessionTable): AnsweredRequest | undefined {
    const session = sessions.getOrCreate(request.connectionId);
    if (request.localAction === LocalAction.ShowSession) {
        const column = { name: "session_token", type: varcharType, characterSet: utf8mb4, flags: 0 };
        const rows = [[sessions.encodeToken(request)]];
        return buildAnswer(request, { kind: OutcomeKind.Rows, columns: [column], rows }, session.inTransaction);
    }
    const isLocal = request.statementKind === StatementKind.Local;
    // MySQL accepts COMMIT and ROLLBACK outside a transaction.
    const endsNoTransaction = isTransactionEnd(request) && session.pinnedDatabaseId === undefined;
    return isLocal || endsNoTransaction ? buildAnswer(request, done, session.inTransaction) : undefined;
}

/** Builds the answer message from a statement and its outcome. */
export function buildAnswer(
    request: AdmittedRequest,
    outcome: Outcome,
    inTransaction: boolean,
    startedAtMs?: number,
): AnsweredRequest {
    const { connectionId, sequence } = request;
    return { kind: RequestKind.Answered, connectionId, sequence, outcome, inTransaction, request, startedAtMs };
}

function isTransactionEnd({ statementKind }: AdmittedRequest): boolean {
    return statementKind === StatementKind.Commit || statementKind === StatementKind.Rollback;
}
