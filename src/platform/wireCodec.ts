/** Encodes and decodes statements, fault codes, transaction states and positions of the wire protocol. */
import type { LinkCommand } from "../model/linkMessages.ts";
import { LinkCommandKind } from "../model/linkMessages.ts";
import type { Position } from "../model/position.ts";
import {
    type SessionStatement,
    SessionStatementKind,
    type StatementAnswer,
    StatementFault,
    TransactionState,
} from "../model/sessionStatement.ts";
import { lineTerminator, maximumLineBytes, splitWords } from "./wireLines.ts";

/** Stands for the proxy: the id of statements that it issues itself and the signature of answers that it gives itself. */
export const proxyId = "-";

const codeByFault: Readonly<Record<StatementFault, string>> = {
    [StatementFault.UnknownDatabase]: "NODB",
    [StatementFault.NotAuthorized]: "NOAUTH",
    [StatementFault.Busy]: "BUSY",
    [StatementFault.Aborted]: "ABORTED",
    [StatementFault.Lagging]: "LAGGING",
    [StatementFault.ReadOnly]: "READONLY",
    [StatementFault.Misrouted]: "MISROUTED",
    [StatementFault.ConnectionLimit]: "CONNLIMIT",
    [StatementFault.Failed]: "FAILED",
    [StatementFault.TimedOut]: "TIMEOUT",
    [StatementFault.InDoubt]: "INDOUBT",
    [StatementFault.UnknownName]: "UNKNOWN",
    [StatementFault.Malformed]: "MALFORMED",
};

const faultByCode = new Map(Object.entries(codeByFault).map(([fault, code]) => [code, fault as StatementFault]));

const stateByLetter: Readonly<Record<string, TransactionState>> = {
    I: TransactionState.None,
    T: TransactionState.Open,
    E: TransactionState.Failed,
};

const letterByState: Readonly<Record<TransactionState, string>> = {
    [TransactionState.None]: "I",
    [TransactionState.Open]: "T",
    [TransactionState.Failed]: "E",
};

export function encodeFault(fault: StatementFault): string {
    return codeByFault[fault];
}

/** An unknown code is decoded as a failure, so that nothing is promised to the caller. */
export function decodeFault(code: string): StatementFault {
    return faultByCode.get(code) ?? StatementFault.Failed;
}

export function encodeState(state: TransactionState): string {
    return letterByState[state];
}

/** @returns undefined if there is no such state */
export function decodeState(letter: string): TransactionState | undefined {
    return Object.hasOwn(stateByLetter, letter) ? stateByLetter[letter] : undefined;
}

export function encodePosition(position: Position | undefined): string {
    return position === undefined ? "-" : `${position.term}.${position.offset}`;
}

/** @returns undefined if the text is no whole number that can be written again as it is */
export function decodeCount(text: string | undefined): number | undefined {
    const count = text !== undefined && /^\d+$/.test(text) ? Number(text) : NaN;
    return Number.isSafeInteger(count) ? count : undefined;
}

export function decodePosition(text: string): Position | undefined {
    const separatorIndex = text.indexOf(".");
    const term = decodeCount(text.slice(0, Math.max(0, separatorIndex)));
    const offset = decodeCount(text.slice(separatorIndex + 1));
    return term === undefined || offset === undefined ? undefined : { term, offset };
}

/**
 * Encodes one message. Texts of others end up in messages, so this is where they are kept from becoming a message of their
 * own, whatever was checked before.
 * @throws RangeError if the text would be read as another one
 */
export function encodeLine(text: string): string {
    if (text.length > maximumLineBytes) {
        throw new RangeError(`a message would exceed ${maximumLineBytes} bytes`);
    }
    if (text.includes(lineTerminator) || /[^\0-\xff]/.test(text)) {
        throw new RangeError("a message would hold the end of a line, or what is no byte");
    }
    return `${text}${lineTerminator}`;
}

/**
 * Encodes the connection to a database.
 * @param workspace empty for callers without a key
 * @throws RangeError if a name cannot be one word of a message
 */
export function encodeConnect(service: string, workspace: string, databaseId: string): string {
    const names = [service, workspace === "" ? proxyId : workspace, databaseId];
    if (names.some(name => name === "" || name.includes(" "))) {
        throw new RangeError("a name is empty or holds a blank");
    }
    return encodeLine(`CONNECT ${names.join(" ")}`);
}

/** @param detail cannot become a message of its own; what does not fit is cut off or replaced */
export function encodeError(fault: StatementFault, detail: string): string {
    const text = detail.replaceAll(lineTerminator, "  ").replace(/[^\0-\xff]/g, "?");
    return encodeLine(`ERROR ${encodeFault(fault)} ${text}`.slice(0, maximumLineBytes));
}

/** @throws RangeError if a row or the signature cannot be in a message */
export function encodeAnswer(answer: StatementAnswer): string {
    const { rows, signature, fault, detail, transaction, position } = answer;
    const outcome = fault === undefined ? encodeLine(`COMPLETE ${signature ?? proxyId}`) : encodeError(fault, detail);
    const encodedRows = rows.map(row => encodeLine(`ROW ${row}`)).join("");
    return `${encodedRows}${outcome}${encodeReady(transaction, position)}`;
}

/** The last message of an answer. */
export function encodeReady(transaction: TransactionState, position: Position | undefined): string {
    return `READY ${encodeState(transaction)} ${encodePosition(position)}${lineTerminator}`;
}

/** Maximum length of a position that precedes a statement, and of the name of a prepared statement on a link. */
const maximumAfterBytes = "AFTER . ".length + 2 * `${Number.MAX_SAFE_INTEGER}`.length;
const maximumLinkNameBytes = 8;

/**
 * Decodes a statement of a caller. Its text is forwarded as it is, so a text that a database could read in another way is
 * refused here: words that are empty, and words after the last field of a statement. So is one that would be too long to
 * be forwarded.
 * @returns undefined if the text is not a valid statement of the protocol
 */
export function decodeStatement(id: string, text: string): SessionStatement | undefined {
    const statement = decodeFields(id, text);
    const bytes = `QUERY ${id} ${text}`.length;
    return statement === undefined || bytes + maximumGrowthBytes(statement) > maximumLineBytes ? undefined : statement;
}

/** Returns how many bytes a statement may gain when it is forwarded. */
function maximumGrowthBytes({ kind, id, name }: SessionStatement): number {
    switch (kind) {
        case SessionStatementKind.Read:
            return maximumAfterBytes;
        case SessionStatementKind.Execute:
            return maximumAfterBytes + maximumLinkNameBytes - name.length;
        case SessionStatementKind.Prepare:
            return maximumLinkNameBytes - name.length + proxyId.length - id.length;
        default:
            return 0;
    }
}

function decodeFields(id: string, text: string): SessionStatement | undefined {
    if (id === "" || id === proxyId) {
        // Answers and log lines would not tell such a statement from those of the proxy.
        return undefined;
    }
    const base = { id, text, name: "", argument: "", prepared: undefined };
    const kind = kindByWholeText.get(text);
    if (kind !== undefined) {
        return { ...base, kind };
    }
    const verbEnd = text.indexOf(" ");
    const fields = text.slice(verbEnd + 1);
    if (verbEnd === -1 || fields === "") {
        return undefined;
    }
    switch (text.slice(0, verbEnd)) {
        case "READ":
            return { ...base, kind: SessionStatementKind.Read };
        case "WRITE":
            return { ...base, kind: SessionStatementKind.Write };
        case "DEALLOC":
            return fields.includes(" ")
                ? undefined
                : { ...base, kind: SessionStatementKind.Deallocate, name: fields };
        case "SET":
            return decodeNamed(base, SessionStatementKind.SetValue, fields);
        case "EXECUTE": {
            const execute = decodeNamed(base, SessionStatementKind.Execute, fields);
            return execute?.argument === "" ? undefined : execute;
        }
        case "PREPARE":
            return decodePrepare(base, fields);
        default:
            return undefined;
    }
}

const kindByWholeText: ReadonlyMap<string, SessionStatementKind> = new Map([
    ["BEGIN", SessionStatementKind.Begin],
    ["BEGIN READ", SessionStatementKind.BeginRead],
    ["COMMIT", SessionStatementKind.Commit],
    ["ROLLBACK", SessionStatementKind.Rollback],
]);

type StatementBase = Omit<SessionStatement, "kind">;

/** Decodes a name and the field after it, which extends to the end of the text and may be empty. */
function decodeNamed(base: StatementBase, kind: SessionStatementKind, fields: string): SessionStatement | undefined {
    const nameEnd = fields.indexOf(" ");
    return nameEnd < 1
        ? undefined
        : { ...base, kind, name: fields.slice(0, nameEnd), argument: fields.slice(nameEnd + 1) };
}

function decodePrepare(base: StatementBase, fields: string): SessionStatement | undefined {
    const [name, access, shape] = splitWords(fields, 2) as [string, string, string];
    return name === "" || shape === "" || (access !== "READ" && access !== "WRITE")
        ? undefined
        : { ...base, kind: SessionStatementKind.Prepare, name, prepared: { writes: access === "WRITE", shape } };
}

/**
 * Encodes a command to a database as one message.
 * @throws RangeError if it cannot be one
 */
export function encodeCommand(command: LinkCommand): string {
    return encodeLine(commandText(command));
}

function commandText(command: LinkCommand): string {
    switch (command.kind) {
        case LinkCommandKind.Begin:
            return `QUERY ${proxyId} BEGIN`;
        case LinkCommandKind.BeginRead:
            return `QUERY ${proxyId} ${encodeAfter(command.floor)}BEGIN READ`;
        case LinkCommandKind.Rollback:
            return `QUERY ${proxyId} ROLLBACK`;
        case LinkCommandKind.Reset:
            return `QUERY ${proxyId} RESET`;
        case LinkCommandKind.SetValue:
            return `QUERY ${proxyId} SET ${command.name} ${command.value}`;
        case LinkCommandKind.Prepare: {
            const { writes, shape } = command.prepared;
            return `QUERY ${proxyId} PREPARE ${command.name} ${writes ? "WRITE" : "READ"} ${shape}`;
        }
        case LinkCommandKind.Run:
            return `QUERY ${command.statement.id} ${encodeAfter(command.floor)}${command.statement.text}`;
        case LinkCommandKind.Execute: {
            const { id, argument } = command.statement;
            return `QUERY ${id} ${encodeAfter(command.floor)}EXECUTE ${command.name} ${argument}`;
        }
        case LinkCommandKind.Status:
            return `QUERY ${proxyId} STATUS`;
        case LinkCommandKind.Pause:
            return `QUERY ${proxyId} PAUSE ${command.term}`;
        case LinkCommandKind.Resume:
            return `QUERY ${proxyId} RESUME`;
        case LinkCommandKind.StepDown:
            return `QUERY ${proxyId} STEPDOWN ${command.term}`;
    }
}

function encodeAfter(after: Position | undefined): string {
    return after === undefined ? "" : `AFTER ${encodePosition(after)} `;
}
