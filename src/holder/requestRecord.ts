/** SQL of the table that records writes with a request id. */
import type { HolderRequest } from "../model/holderMessages.ts";
import { type DoneOutcome, type Outcome, OutcomeKind } from "../model/outcome.ts";

const tableName = "jasmineline_requests";

/** Longest encoded workspace or request id; a longer one could be cut off and taken for another. */
export const maximumRecordKeyLength = 255;

export const createRecordTableSql = `CREATE TABLE IF NOT EXISTS ${tableName} (`
    + `workspace VARCHAR(${maximumRecordKeyLength}) NOT NULL, request_id VARCHAR(${maximumRecordKeyLength}) NOT NULL, `
    + "affected_rows BIGINT NOT NULL, insert_id BIGINT NOT NULL, PRIMARY KEY (workspace, request_id))";

export const missingTableErrno = 1146;
export const duplicateKeyErrno = 1062;

export function selectRecordSql(request: HolderRequest): string {
    const { workspace, requestId } = recordKey(request);
    return `SELECT affected_rows, insert_id FROM ${tableName} `
        + `WHERE workspace = '${workspace}' AND request_id = '${requestId}'`;
}

export function insertRecordSql(request: HolderRequest, outcome: Outcome): string {
    const { workspace, requestId } = recordKey(request);
    const { affectedRows, insertId } = outcome.kind === OutcomeKind.Done ? outcome : { affectedRows: 0, insertId: 0 };
    return `INSERT INTO ${tableName} (workspace, request_id, affected_rows, insert_id) `
        + `VALUES ('${workspace}', '${requestId}', ${affectedRows}, ${insertId})`;
}

/** The stored outcome; undefined when the table has no record. */
export function parseRecord(outcome: Outcome): DoneOutcome | undefined {
    const row = outcome.kind === OutcomeKind.Rows ? outcome.rows[0] : undefined;
    return row === undefined
        ? undefined
        : { kind: OutcomeKind.Done, affectedRows: Number(row[0]), insertId: Number(row[1]) };
}

export function recordKeyFits(request: HolderRequest): boolean {
    const { workspace, requestId } = recordKey(request);
    return workspace.length <= maximumRecordKeyLength && requestId.length <= maximumRecordKeyLength;
}

export function databaseErrnoOf(outcome: Outcome): number | undefined {
    return outcome.kind === OutcomeKind.Refused ? outcome.refusal.databaseErrno : undefined;
}

function recordKey(request: HolderRequest): { readonly workspace: string; readonly requestId: string; } {
    return { workspace: encodeKeyPart(request.workspace), requestId: encodeKeyPart(request.idempotencyId ?? "") };
}

/**
 * Encodes text into characters that need no quoting and that no collation takes for equal. Upper case is encoded too,
 * because the usual collations ignore case.
 */
function encodeKeyPart(text: string): string {
    return text.replace(/[^a-z0-9._-]/g, unit => `%${unit.charCodeAt(0).toString(16).padStart(4, "0")}`);
}
