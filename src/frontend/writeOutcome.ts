/** Encodes outcomes for a caller. */
import { type DoneOutcome, OutcomeKind, type RowsOutcome } from "../model/outcome.ts";
import { serverStatus } from "./capabilities.ts";
import type { ColumnDefinition, ServerConnection } from "./serverConnection.ts";

const maximumColumnLength = 0xffff;

/** Writes a result set or an OK with the session's true status. */
export function writeOutcome(
    connection: ServerConnection,
    outcome: RowsOutcome | DoneOutcome,
    inTransaction: boolean,
): void {
    const status = serverStatus(inTransaction);
    if (outcome.kind === OutcomeKind.Done) {
        connection.writeOk({ affectedRows: outcome.affectedRows, insertId: outcome.insertId, serverStatus: status });
        return;
    }
    connection.writeColumns(outcome.columns.map(toDefinition));
    // The library writes undefined as SQL NULL.
    outcome.rows.forEach(row => connection.writeTextRow(row));
    connection.writeEof(0, status);
}

function toDefinition(column: RowsOutcome["columns"][number]): ColumnDefinition {
    return {
        catalog: "def",
        schema: "",
        table: "",
        orgTable: "",
        name: column.name,
        orgName: column.name,
        characterSet: column.characterSet,
        columnLength: maximumColumnLength,
        columnType: column.type,
        flags: column.flags,
        decimals: 0,
    };
}
