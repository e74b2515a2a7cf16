/** Writes statement outcomes to a caller's connection. */
import { type DoneOutcome, OutcomeKind, type RowsOutcome } from "../model/outcome.ts";
import { serverStatus } from "./capabilities.ts";
import type { ColumnDefinition, ServerConnection } from "./serverConnection.ts";
import { toWireText } from "./wireText.ts";

const maximumColumnLength = 0xffff;
const binaryCharacterSet = 63;

/** Writes a result set or an OK packet, with the transaction status of the session. */
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
    connection.writeColumns(outcome.columns.map(toColumnDefinition));
    const isBinary = outcome.columns.map(column => column.characterSet === binaryCharacterSet);
    outcome.rows.forEach(row => connection.writeTextRow(row.map((cell, index) => toCell(cell, isBinary[index]!))));
    connection.writeEof(0, status);
}

/** Encodes a cell: mysql2 represents SQL NULL as null, and binary cells already hold one character per byte. */
function toCell(cell: string | undefined, isBinary: boolean): string | null {
    if (cell === undefined) {
        // eslint-disable-next-line no-restricted-syntax
        return null;
    }
    return isBinary ? cell : toWireText(cell);
}

function toColumnDefinition(column: RowsOutcome["columns"][number]): ColumnDefinition {
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
