/** Passed tasks and their results on the wire, as lists without field names: they are the most frequent messages. */
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

type Flat = readonly unknown[];

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

/** @throws when the body is not what `encodeQuestion` makes */
export function decodeQuestion({ body }: TaskFrameMessage): PeerQuestion {
    const flat = decodeJson(body) as Flat;
    if (flat.length === 2) {
        return { kind: "abandon", sessionId: String(flat[0]), taskId: flat[1] === 0 ? undefined : String(flat[1]) };
    }
    if (flat.length === 4) {
        const [questionId, service, workspace, maximumProofAgeMs] = flat;
        return {
            kind: "floor",
            questionId: String(questionId),
            service: String(service),
            workspace: String(workspace),
            maximumProofAgeMs: Number(maximumProofAgeMs),
        };
    }
    const prepared = flat[9] as 0 | readonly [number, string];
    return {
        kind: "task",
        taskId: String(flat[0]),
        sessionId: String(flat[1]),
        service: String(flat[2]),
        workspace: String(flat[3]),
        mode: String(flat[4]),
        statement: decodeStatement(flat[5] as 0 | readonly string[]),
        writes: flat[6] === 1,
        needsPrimary: flat[7] === 1,
        values: flat[8] as readonly (readonly [string, string])[],
        prepared: prepared === 0
            ? undefined
            : { writes: prepared[0] === 1, shape: prepared[1] } satisfies PreparedStatement,
        databaseId: String(flat[10]),
        floor: decodePosition(flat[11]),
        remainingMs: Number(flat[12]),
    };
}

export function encodeResult(result: PeerResult): TaskFrameMessage {
    if (result.kind === "floor") {
        // Rounded up, because a proof must not look younger than it is.
        const { questionId, position, proofAgeMs } = result;
        return { body: encodeJson([questionId, encodePosition(position), Math.ceil(proofAgeMs)]) };
    }
    const { taskId, reply, fault, sent, leads, pinned } = result;
    const flags = Number(sent) + 2 * Number(leads) + 4 * Number(pinned);
    const shown = reply === undefined ? 0 : [
        reply.rows,
        reply.signature ?? 0,
        reply.fault ?? 0,
        reply.detail,
        reply.transaction,
        encodePosition(reply.position),
    ];
    return { body: encodeJson([taskId, flags, fault ?? 0, shown]) };
}

/** @throws when the body is not what `encodeResult` makes */
export function decodeResult({ body }: TaskFrameMessage): PeerResult {
    const flat = decodeJson(body) as Flat;
    if (flat.length === 3) {
        const [questionId, position, proofAgeMs] = flat;
        return {
            kind: "floor",
            questionId: String(questionId),
            position: decodePosition(position),
            proofAgeMs: Number(proofAgeMs),
        };
    }
    const [taskId, flags, fault, shown] = flat as readonly [string, number, string | 0, Flat | 0];
    return {
        kind: "task",
        taskId,
        reply: shown === 0 ? undefined : decodeReply(shown),
        fault: fault === 0 ? undefined : fault as StatementFault,
        sent: (flags & 1) !== 0,
        leads: (flags & 2) !== 0,
        pinned: (flags & 4) !== 0,
    };
}

function decodeReply(flat: Flat): LinkReply {
    const [rows, signature, fault, detail, transaction, position] = flat;
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

/** The text of an executed statement is not sent: the name and what follows it say the same. */
function encodeStatement({ kind, id, text, name, argument }: SessionStatement): readonly string[] {
    return kind === SessionStatementKind.Execute ? [kind, id, name, argument] : [kind, id, text];
}

function decodeStatement(flat: 0 | readonly string[]): SessionStatement | undefined {
    if (flat === 0) {
        return undefined;
    }
    const [kind, id, third, argument = ""] = flat as [SessionStatementKind, string, string, string?];
    const executed = kind === SessionStatementKind.Execute;
    return { kind, id, text: executed ? "" : third, name: executed ? third : "", argument, prepared: undefined };
}

function encodePosition(position: Position | undefined): 0 | readonly [number, number] {
    return position === undefined ? 0 : [position.term, position.offset];
}

function decodePosition(flat: unknown): Position | undefined {
    if (flat === 0) {
        return undefined;
    }
    const [term, offset] = flat as readonly [number, number];
    return { term, offset };
}
