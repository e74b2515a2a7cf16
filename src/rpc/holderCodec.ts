/** Encodes and decodes the requests to a holder and their outcomes. */
import type { HolderFloorRequest, HolderRequest } from "../model/holderMessages.ts";
import { type Column, type Outcome, OutcomeKind, type RowsOutcome } from "../model/outcome.ts";
import { RefusalCode, refusalTable } from "../model/refusal.ts";
import { StatementKind } from "../model/statement.ts";
import type { Rows, StatementRequest, WorkRequest, WorkResponse } from "./generated/holder.ts";

const binaryCharacterSet = 63;

/** Fields of a statement that are sent. The deadline is sent as remaining time, because clocks of machines differ. */
type StatementFields = Omit<HolderRequest, "kind" | "origin">;

export function encodeStatement(statement: StatementFields, nowMs: number): WorkRequest {
    return {
        requestId: statement.requestId,
        statement: {
            sessionId: statement.sessionId,
            databaseId: statement.databaseId,
            callerId: statement.callerId,
            workspace: statement.workspace,
            workClass: statement.workClass,
            statementKind: statement.statementKind,
            text: statement.text,
            floor: statement.floor,
            waitingLeftMs: Math.max(0, statement.deadlineMs - nowMs),
            idempotencyId: statement.idempotencyId ?? "",
            repeatable: statement.repeatable,
            pinned: statement.pinned,
        },
    };
}

export function decodeStatement(requestId: string, body: StatementRequest, nowMs: number): StatementFields {
    return {
        requestId,
        sessionId: body.sessionId,
        databaseId: body.databaseId,
        callerId: body.callerId,
        workspace: body.workspace,
        workClass: body.workClass,
        statementKind: decodeStatementKind(body.statementKind),
        text: body.text,
        floor: body.floor,
        // Without an end, a statement would wait for as long as its stream is open.
        deadlineMs: nowMs + (Number.isFinite(body.waitingLeftMs) ? body.waitingLeftMs : 0),
        idempotencyId: body.idempotencyId === "" ? undefined : body.idempotencyId,
        repeatable: body.repeatable,
        pinned: body.pinned ?? false,
    };
}

export function encodeFloorRequest(request: Omit<HolderFloorRequest, "kind" | "origin">): WorkRequest {
    return {
        requestId: request.requestId,
        floor: { databaseId: request.databaseId, callerIds: [...request.callerIds] },
    };
}

/** Encodes the fields of a response that contain the outcome. */
export function encodeOutcome(outcome: Outcome): Pick<WorkResponse, "rows" | "done" | "refused"> {
    switch (outcome.kind) {
        case OutcomeKind.Rows:
            return { rows: encodeRows(outcome) };
        case OutcomeKind.Done:
            return { done: { affectedRows: outcome.affectedRows, insertId: outcome.insertId } };
        case OutcomeKind.Refused:
            return { refused: { ...outcome.refusal } };
    }
}

/** Undefined if the response contains no outcome. */
export function decodeOutcome({ rows, done, refused }: WorkResponse): Outcome | undefined {
    if (rows !== undefined) {
        return decodeRows(rows);
    }
    if (done !== undefined) {
        return { kind: OutcomeKind.Done, affectedRows: done.affectedRows, insertId: done.insertId };
    }
    if (refused === undefined) {
        return undefined;
    }
    const { code, step, peer, retryAfterMs, detail, databaseErrno } = refused;
    const refusal = { code: decodeRefusalCode(code), step, peer, retryAfterMs, detail, databaseErrno };
    return { kind: OutcomeKind.Refused, refusal };
}

function encodeRows(outcome: RowsOutcome): Rows {
    return {
        columns: outcome.columns.map(column => ({ ...column })),
        rows: outcome.rows.map(row => ({
            cells: row.map((cell, index) => ({
                value: cell === undefined ? undefined : Buffer.from(cell, encodingOf(outcome.columns[index])),
            })),
        })),
    };
}

function decodeRows({ columns, rows }: Rows): RowsOutcome {
    return {
        kind: OutcomeKind.Rows,
        columns,
        rows: rows.map(row =>
            row.cells.map(({ value }, index) =>
                value === undefined ? undefined : Buffer.from(value).toString(encodingOf(columns[index]))
            )
        ),
    };
}

function encodingOf(column: Column | undefined): "latin1" | "utf8" {
    return column?.characterSet === binaryCharacterSet ? "latin1" : "utf8";
}

// A statement kind that this release does not know is treated as a write, since it may be one.
function decodeStatementKind(text: string): StatementKind {
    return Object.values(StatementKind).find(kind => kind === text) ?? StatementKind.Write;
}

// A refusal code that this release does not know is decoded as a lost connection, which leaves the outcome unknown.
function decodeRefusalCode(text: string): RefusalCode {
    return Object.hasOwn(refusalTable, text) ? text as RefusalCode : RefusalCode.ConnectionLost;
}
