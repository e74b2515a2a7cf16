/**
 * Encodes and decodes the questions and results that instances exchange. They are the most frequent messages, so they
 * are sent as JSON arrays without field names.
 */
import type { LinkReply } from "../model/linkMessages.ts";
import type { PeerQuestion, PeerResult } from "../model/peerMessages.ts";
import type { Position } from "../model/position.ts";
import {
    type PreparedStatement,
    type SessionStatement,
    SessionStatementKind,
    type StatementFault,
    type TransactionState,
} from "../model/sessionStatement.ts";
import type { TaskFrameMessage } from "./generated/tasks.ts";
import { decodeJson, encodeJson } from "./logCodec.ts";

type EncodedFields = readonly unknown[];

export function encodeQuestion(question: PeerQuestion): TaskFrameMessage {
    if (question.kind === "abandon") {
        return { body: encodeJson([question.sessionId, question.taskId ?? 0]) };
    }
    if (question.kind === "floor") {
        const { questionId, service, workspace, maximumProofAgeMs } = question;
        return { body: encodeJson([questionId, service, workspace, Math.floor(maximumProofAgeMs)]) };
    }
    const { statement, prepared, floor } = question;
    return {
        body: encodeJson([
            question.taskId,
            question.sessionId,
            question.service,
            question.workspace,
            question.mode,
            statement === undefined ? 0 : encodeStatement(statement),
            Number(question.writes),
            Number(question.needsPrimary),
            question.values,
            prepared === undefined ? 0 : [Number(prepared.writes), prepared.shape],
            question.databaseId,
            encodePosition(floor),
            Math.round(question.remainingMs),
        ]),
    };
}

/** @throws if the body was not made by `encodeQuestion` */
export function decodeQuestion({ body }: TaskFrameMessage): PeerQuestion {
    const fields = decodeJson(body) as EncodedFields;
    if (fields.length === 2) {
        return {
            kind: "abandon",
            sessionId: String(fields[0]),
            taskId: fields[1] === 0 ? undefined : String(fields[1]),
        };
    }
    if (fields.length === 4) {
        const [questionId, service, workspace, maximumProofAgeMs] = fields;
        return {
            kind: "floor",
            questionId: String(questionId),
            service: String(service),
            workspace: String(workspace),
            maximumProofAgeMs: Number(maximumProofAgeMs),
        };
    }
    const prepared = fields[9] as 0 | readonly [number, string];
    return {
        kind: "task",
        taskId: String(fields[0]),
        sessionId: String(fields[1]),
        service: String(fields[2]),
        workspace: String(fields[3]),
        mode: String(fields[4]),
        statement: decodeStatement(fields[5] as 0 | readonly string[]),
        writes: fields[6] === 1,
        needsPrimary: fields[7] === 1,
        values: fields[8] as readonly (readonly [string, string])[],
        prepared: prepared === 0
            ? undefined
            : { writes: prepared[0] === 1, shape: prepared[1] } satisfies PreparedStatement,
        databaseId: String(fields[10]),
        floor: decodePosition(fields[11]),
        remainingMs: Number(fields[12]),
    };
}

export function encodeResult(result: PeerResult): TaskFrameMessage {
    if (result.kind === "floor") {
        // Rounded up, because a proof must not seem more recent than it is.
        const { questionId, position, proofAgeMs } = result;
        return { body: encodeJson([questionId, encodePosition(position), Math.ceil(proofAgeMs)]) };
    }
    const { taskId, reply, fault, sent, leads, pinned } = result;
    const flags = Number(sent) + 2 * Number(leads) + 4 * Number(pinned);
    const encodedReply = reply === undefined ? 0 : [
        reply.rows,
        reply.signature ?? 0,
        reply.fault ?? 0,
        reply.detail,
        reply.transaction,
        encodePosition(reply.position),
    ];
    return { body: encodeJson([taskId, flags, fault ?? 0, encodedReply]) };
}

/** @throws if the body was not made by `encodeResult` */
export function decodeResult({ body }: TaskFrameMessage): PeerResult {
    const fields = decodeJson(body) as EncodedFields;
    if (fields.length === 3) {
        const [questionId, position, proofAgeMs] = fields;
        return {
            kind: "floor",
            questionId: String(questionId),
            position: decodePosition(position),
            proofAgeMs: Number(proofAgeMs),
        };
    }
    const [taskId, flags, fault, encodedReply] = fields as readonly [string, number, string | 0, EncodedFields | 0];
    return {
        kind: "task",
        taskId,
        reply: encodedReply === 0 ? undefined : decodeReply(encodedReply),
        fault: fault === 0 ? undefined : fault as StatementFault,
        sent: (flags & 1) !== 0,
        leads: (flags & 2) !== 0,
        pinned: (flags & 4) !== 0,
    };
}

function decodeReply(fields: EncodedFields): LinkReply {
    const [rows, signature, fault, detail, transaction, position] = fields;
    return {
        rows: rows as readonly string[],
        signature: signature === 0 ? undefined : String(signature),
        fault: fault === 0 ? undefined : fault as StatementFault,
        detail: String(detail),
        transaction: transaction as TransactionState,
        position: decodePosition(position),
        status: undefined,
    };
}

/** The text of an `execute` is not sent, because name and argument contain the same information. */
function encodeStatement({ kind, id, text, name, argument }: SessionStatement): readonly string[] {
    return kind === SessionStatementKind.Execute ? [kind, id, name, argument] : [kind, id, text];
}

function decodeStatement(fields: 0 | readonly string[]): SessionStatement | undefined {
    if (fields === 0) {
        return undefined;
    }
    const [kind, id, textOrName, argument = ""] = fields as [SessionStatementKind, string, string, string?];
    const isExecute = kind === SessionStatementKind.Execute;
    return {
        kind,
        id,
        text: isExecute ? "" : textOrName,
        name: isExecute ? textOrName : "",
        argument,
        prepared: undefined,
    };
}

function encodePosition(position: Position | undefined): 0 | readonly [number, number] {
    return position === undefined ? 0 : [position.term, position.offset];
}

function decodePosition(fields: unknown): Position | undefined {
    if (fields === 0) {
        return undefined;
    }
    const [term, offset] = fields as readonly [number, number];
    return { term, offset };
}
