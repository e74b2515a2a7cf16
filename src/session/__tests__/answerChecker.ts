/** Checks that statements run in their own transactions, and that callers get the answers to their own statements. */
import { SessionStatementKind, TransactionState } from "../../model/sessionStatement.ts";

interface Asked {
    readonly sessionId: string;
    readonly inTransaction: boolean;
}

/** The transaction on a connection of a database, from which statements have been run. */
export interface ConnectionTransaction {
    transaction: TransactionState;
    /** Session whose statement was the first in the transaction. */
    ownerSessionId: string | undefined;
    /** Writes that the transaction has not committed yet. */
    writeIds: string[];
}

export class AnswerChecker {
    readonly violations: string[] = [];
    private readonly asked = new Map<string, Asked>();
    private readonly committed = new Set<string>();

    ask(statementId: string, sessionId: string, inTransaction: boolean): void {
        this.asked.set(statementId, { sessionId, inTransaction });
    }

    /** A database is about to run a statement. */
    run(statementId: string, kind: SessionStatementKind, connection: ConnectionTransaction): void {
        const { sessionId, inTransaction } = this.asked.get(statementId)!;
        if (connection.transaction === TransactionState.None) {
            if (inTransaction) {
                this.violations.push(`${statementId} (${kind}) runs outside its transaction`);
            }
            return;
        }
        connection.ownerSessionId ??= sessionId;
        if (connection.ownerSessionId !== sessionId) {
            this.violations.push(`${statementId} (${kind}) runs in a transaction of ${connection.ownerSessionId}`);
        }
    }

    commit(writeIds: readonly string[]): void {
        writeIds.forEach(id => this.committed.add(id));
    }

    /** @param writeIds writes that the success of the statement acknowledges */
    answerSucceeded(statementId: string, signature: string | undefined, writeIds: readonly string[]): void {
        if (signature?.split("/")[0] !== statementId) {
            this.violations.push(`${statementId} is answered with the signature ${signature}`);
        }
        const lost = writeIds.filter(id => !this.committed.has(id));
        if (lost.length > 0) {
            this.violations.push(`${statementId} acknowledges ${lost.join()}, which are not committed`);
        }
    }

    /** The caller was promised that nothing is kept. */
    refused(statementId: string, writeIds: readonly string[]): void {
        const kept = writeIds.filter(id => this.committed.has(id));
        if (kept.length > 0) {
            this.violations.push(`${statementId} is answered as not run, but ${kept.join()} are committed`);
        }
    }
}
