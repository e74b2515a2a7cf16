/**
 * Encodes and decodes the questions and results that instances exchange. They are the most frequent messages, so they
 * are sent as JSON arrays without field names.
 */
import type { DatabaseLoad } from "../model/databaseLoad.ts";
import type { LinkReply } from "../model/linkMessages.ts";
import type { PassedUrgency, PeerQuestion, PeerResult, ReplicaPosition } from "../model/peerMessages.ts";
import type { Position } from "../model/position.ts";
import {
    type PreparedStatement,
    type SessionStatement,
    SessionStatementKind,
    StatementFault,
    TaskMode,
    TransactionState,
} from "../model/sessionStatement.ts";
import type { DatabaseLoadMessage, ReplicaPositionsMessage, TaskFrameMessage, TaskUrgency } from "./generated/tasks.ts";
import { decodeJson, encodeJson } from "./logCodec.ts";

/** Largest value of an unsigned 32-bit field. */
const maximumUnsigned = 0xffff_ffff;

/** Maximum of priorities whose expected waits are told apart. */
const maximumPriorities = 16;

/** Maximum of databases whose positions one message tells. */
const maximumReplicas = 32;

type EncodedFields = readonly unknown[];

export function encodeQuestion(question: PeerQuestion): TaskFrameMessage {
    if (question.kind === "abandon") {
        return { body: encodeJson([question.sessionId, question.taskId ?? 0]) };
    }
    if (question.kind === "members") {
        return { body: encodeJson([question.questionId]) };
    }
    if (question.kind === "floor") {
        const { questionId, service, workspace, maximumProofAgeMs, replicas } = question;
        return {
            body: encodeJson([questionId, service, workspace, Math.floor(maximumProofAgeMs)]),
            ...encodeReplicas(replicas),
        };
    }
    const { statement, prepared, floor, urgency } = question;
    return {
        ...urgency === undefined ? {} : { urgency: encodeUrgency(urgency) },
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

/** @throws Error that names the field if the body was not made by `encodeQuestion` */
export function decodeQuestion({ body, urgency, replicas }: TaskFrameMessage): PeerQuestion {
    const fields = requireFields(decodeJson(body), "question", [1, 2, 4, 13]);
    if (fields.length === 1) {
        return { kind: "members", questionId: requireText(fields[0], "questionId") };
    }
    if (fields.length === 2) {
        return {
            kind: "abandon",
            sessionId: requireText(fields[0], "sessionId"),
            taskId: fields[1] === 0 ? undefined : requireText(fields[1], "taskId"),
        };
    }
    if (fields.length === 4) {
        return {
            kind: "floor",
            questionId: requireText(fields[0], "questionId"),
            service: requireText(fields[1], "service"),
            workspace: requireText(fields[2], "workspace"),
            maximumProofAgeMs: requireDuration(fields[3], "maximumProofAgeMs"),
            ...decodeReplicas(replicas),
        };
    }
    const mode = requireOneOf(TaskMode, fields[4], "mode");
    const statement = fields[5] === 0 ? undefined : decodeStatement(fields[5]);
    const prepared = fields[9] === 0 ? undefined : decodePrepared(fields[9]);
    if ((statement === undefined) !== (mode === TaskMode.Probe)) {
        throw new TypeError("only a probe has no statement");
    }
    if ((statement?.kind === SessionStatementKind.Execute) !== (prepared !== undefined)) {
        throw new TypeError("only an execute has a prepared statement");
    }
    return {
        kind: "task",
        taskId: requireText(fields[0], "taskId"),
        sessionId: requireText(fields[1], "sessionId"),
        service: requireText(fields[2], "service"),
        workspace: requireText(fields[3], "workspace"),
        mode,
        statement,
        writes: fields[6] === 1,
        needsPrimary: fields[7] === 1,
        values: requireArray(fields[8], "values").map(pair => {
            const [name, value] = requireFields(pair, "value", [2]);
            return [requireText(name, "value name"), requireText(value, "value")];
        }),
        prepared,
        databaseId: requireText(fields[10], "databaseId"),
        floor: decodePosition(fields[11]),
        remainingMs: requireNumber(fields[12], "remainingMs"),
        ...urgency === undefined ? {} : { urgency },
    };
}

export function encodeResult(result: PeerResult): TaskFrameMessage {
    if (result.kind === "members") {
        return { body: encodeJson([result.questionId, result.addresses]) };
    }
    if (result.kind === "floor") {
        // Rounded up, because a proof must not seem more recent than it is.
        const { questionId, position, proofAgeMs, service, replicas } = result;
        return {
            body: encodeJson([questionId, encodePosition(position), Math.ceil(proofAgeMs)]),
            ...encodeReplicas(replicas, service),
        };
    }
    const { taskId, reply, fault, sent, leads, pinned, load, retryAfterMs } = result;
    const flags = Number(sent) + 2 * Number(leads) + 4 * Number(pinned);
    const encodedReply = reply === undefined ? 0 : [
        reply.rows,
        reply.signature ?? 0,
        reply.fault ?? 0,
        reply.detail,
        reply.transaction,
        encodePosition(reply.position),
    ];
    return {
        body: encodeJson([taskId, flags, fault ?? 0, encodedReply]),
        ...load === undefined ? {} : { load: encodeLoad(load) },
        ...retryAfterMs === undefined ? {} : { retryAfterMs: toUnsigned(Math.ceil(retryAfterMs)) },
    };
}

/** @throws Error that names the field if the body was not made by `encodeResult` */
export function decodeResult({ body, load: encodedLoad, retryAfterMs, replicas }: TaskFrameMessage): PeerResult {
    const fields = requireFields(decodeJson(body), "result", [2, 3, 4]);
    if (fields.length === 2) {
        return {
            kind: "members",
            questionId: requireText(fields[0], "questionId"),
            addresses: requireArray(fields[1], "addresses").map(address => requireText(address, "address")),
        };
    }
    if (fields.length === 3) {
        return {
            kind: "floor",
            questionId: requireText(fields[0], "questionId"),
            position: decodePosition(fields[1]),
            proofAgeMs: requireDuration(fields[2], "proofAgeMs"),
            ...decodeReplicas(replicas),
            ...replicas === undefined ? {} : { service: replicas.service },
        };
    }
    const [taskId, encodedFlags, fault, reply] = fields;
    const flags = requireNumber(encodedFlags, "flags");
    const load = encodedLoad === undefined ? undefined : decodeLoad(encodedLoad);
    return {
        kind: "task",
        taskId: requireText(taskId, "taskId"),
        reply: reply === 0 ? undefined : decodeReply(reply),
        fault: decodeFault(fault),
        sent: (flags & 1) !== 0,
        leads: (flags & 2) !== 0,
        pinned: (flags & 4) !== 0,
        ...load === undefined ? {} : { load },
        ...retryAfterMs === undefined ? {} : { retryAfterMs },
    };
}

/** Returns whether a decoded message lacks what its frame told of the load or the lag of databases. */
export function isLoadIgnored({ load, replicas }: TaskFrameMessage, decoded: PeerQuestion | PeerResult): boolean {
    const decodedLoad = "load" in decoded ? decoded.load : undefined;
    const decodedReplicas = "replicas" in decoded ? decoded.replicas : undefined;
    return load !== undefined && decodedLoad === undefined
        || (replicas?.positions.length ?? 0) > (decodedReplicas?.length ?? 0);
}

function encodeUrgency({ priority, objectiveMs }: PassedUrgency): TaskUrgency {
    return { priority: toUnsigned(priority), objectiveMs: toUnsigned(objectiveMs) };
}

function encodeLoad(load: DatabaseLoad): DatabaseLoadMessage {
    return {
        expectedWaitsMs: load.expectedWaitsMs.map(toUnsigned),
        window: toUnsigned(load.window),
        inFlight: toUnsigned(load.inFlight),
        availableLinks: toUnsigned(load.availableLinks),
        busyThousandths: toUnsigned(1_000 * load.busyShare),
        positionTerm: load.position?.term,
        positionOffset: load.position?.offset ?? 0,
        // Rounded up, because a position must not seem more recent than it is.
        positionAgeMs: toUnsigned(Math.ceil(load.positionAgeMs)),
    };
}

/** Returns undefined for a load that is out of range: placing does without it, and the result itself still counts. */
function decodeLoad(encoded: DatabaseLoadMessage): DatabaseLoad | undefined {
    const { expectedWaitsMs, window, inFlight, availableLinks, busyThousandths, positionTerm, positionAgeMs } = encoded;
    const isPositionValid = positionTerm === undefined || isCount(positionTerm) && isCount(encoded.positionOffset);
    if (
        expectedWaitsMs.length === 0 || expectedWaitsMs.length > maximumPriorities || busyThousandths > 1_000
        || !isPositionValid
    ) {
        return undefined;
    }
    return {
        expectedWaitsMs,
        window,
        inFlight,
        availableLinks,
        busyShare: busyThousandths / 1_000,
        position: positionTerm === undefined
            ? undefined
            : { term: positionTerm, offset: encoded.positionOffset },
        positionAgeMs,
    };
}

function encodeReplicas(
    replicas: readonly ReplicaPosition[] | undefined,
    service = "",
): Pick<TaskFrameMessage, "replicas"> {
    const positions = (replicas ?? []).map(({ databaseId, position: { term, offset }, ageMs, lagMs }) => ({
        databaseId,
        term,
        offset,
        ageMs: toUnsigned(Math.ceil(ageMs)),
        lagMs: toUnsigned(Math.floor(lagMs)),
    }));
    return positions.length === 0 ? {} : { replicas: { positions, service } };
}

/** Leaves out positions that are out of range, and all of them if there are too many. */
function decodeReplicas(
    replicas: ReplicaPositionsMessage | undefined,
): { readonly replicas?: readonly ReplicaPosition[]; } {
    if (replicas === undefined || replicas.positions.length > maximumReplicas) {
        return {};
    }
    return {
        replicas: replicas.positions.filter(({ term, offset }) => isCount(term) && isCount(offset))
            .map(({ databaseId, term, offset, ageMs, lagMs }) => ({
                databaseId,
                position: { term, offset },
                ageMs,
                lagMs,
            })),
    };
}

/** Converts to the range of an unsigned 32-bit field. */
function toUnsigned(value: number): number {
    return Number.isNaN(value) ? 0 : Math.min(Math.max(0, Math.round(value)), maximumUnsigned);
}

function decodeReply(value: unknown): LinkReply {
    const [rows, signature, fault, detail, transaction, position] = requireFields(value, "reply", [6]);
    return {
        rows: requireArray(rows, "rows").map(row => requireText(row, "row")),
        signature: signature === 0 ? undefined : requireText(signature, "signature"),
        fault: decodeFault(fault),
        detail: requireText(detail, "detail"),
        transaction: requireOneOf(TransactionState, transaction, "transaction"),
        position: decodePosition(position),
        status: undefined,
    };
}

/** The text of an `execute` is not sent, because a database gets its parts: the argument behind the name on the link. */
function encodeStatement({ kind, id, text, name, argument }: SessionStatement): readonly string[] {
    return kind === SessionStatementKind.Execute ? [kind, id, name, argument] : [kind, id, text];
}

function decodeStatement(value: unknown): SessionStatement {
    const [encodedKind, id, textOrName, argument] = requireFields(value, "statement", [3, 4]);
    const kind = requireOneOf(SessionStatementKind, encodedKind, "statement kind");
    const isExecute = kind === SessionStatementKind.Execute;
    if (isExecute !== (argument !== undefined)) {
        throw new TypeError("only an execute has an argument");
    }
    const text = requireText(textOrName, "statement text");
    return {
        kind,
        id: requireText(id, "statement id"),
        text: isExecute ? "" : text,
        name: isExecute ? text : "",
        argument: isExecute ? requireText(argument, "statement argument") : "",
        prepared: undefined,
    };
}

function decodePrepared(value: unknown): PreparedStatement {
    const [writes, shape] = requireFields(value, "prepared", [2]);
    return { writes: writes === 1, shape: requireText(shape, "shape") };
}

function decodeFault(value: unknown): StatementFault | undefined {
    return value === 0 ? undefined : requireOneOf(StatementFault, value, "fault");
}

function encodePosition(position: Position | undefined): 0 | readonly [number, number] {
    return position === undefined ? 0 : [position.term, position.offset];
}

function decodePosition(value: unknown): Position | undefined {
    if (value === 0) {
        return undefined;
    }
    const [term, offset] = requireFields(value, "position", [2]);
    return { term: requireCount(term, "position term"), offset: requireCount(offset, "position offset") };
}

function requireFields(value: unknown, name: string, lengths: readonly number[]): EncodedFields {
    const fields = requireArray(value, name);
    if (!lengths.includes(fields.length)) {
        throw new TypeError(`${name} has ${fields.length} fields; expected ${lengths.join(" or ")}`);
    }
    return fields;
}

function requireArray(value: unknown, name: string): EncodedFields {
    if (!Array.isArray(value)) {
        throw new TypeError(`${name} is not an array`);
    }
    return value as EncodedFields;
}

function requireText(value: unknown, name: string): string {
    if (typeof value !== "string") {
        throw new TypeError(`${name} is not a text`);
    }
    return value;
}

function requireNumber(value: unknown, name: string): number {
    if (typeof value !== "number" || !Number.isFinite(value)) {
        throw new TypeError(`${name} is not a number`);
    }
    return value;
}

function requireDuration(value: unknown, name: string): number {
    const duration = requireNumber(value, name);
    if (duration < 0) {
        throw new RangeError(`${name} is negative`);
    }
    return duration;
}

function requireCount(value: unknown, name: string): number {
    if (!isCount(value)) {
        throw new RangeError(`${name} is not a count`);
    }
    return value;
}

function isCount(value: unknown): value is number {
    return Number.isSafeInteger(value) && (value as number) >= 0;
}

function requireOneOf<Value extends string>(
    values: Readonly<Record<string, Value>>,
    value: unknown,
    name: string,
): Value {
    if (!Object.values(values).includes(value as Value)) {
        throw new TypeError(`${name} has an unknown value`);
    }
    return value as Value;
}
