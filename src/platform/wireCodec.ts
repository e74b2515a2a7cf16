/** Encodes and decodes statements, fault codes, transaction states and positions of the wire protocol. */
import type { LinkCommand } from "../model/linkMessages.ts";
import { LinkCommandKind } from "../model/linkMessages.ts";
import type { Position } from "../model/position.ts";
import {
    type SessionStatement,
    SessionStatementKind,
    StatementFault,
    TransactionState,
} from "../model/sessionStatement.ts";
import { splitWords } from "./wireLines.ts";

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

export function decodeState(letter: string): TransactionState {
    return stateByLetter[letter] ?? TransactionState.Failed;
}

export function encodePosition(position: Position | undefined): string {
    return position === undefined ? "-" : `${position.term}.${position.offset}`;
}

export function decodePosition(text: string): Position | undefined {
    const match = /^(\d+)\.(\d+)$/.exec(text);
    return match ? { term: Number(match[1]), offset: Number(match[2]) } : undefined;
}

/**
 * Decodes a statement of a caller. Its text is forwarded as it is, so a text that a database could read in another way is
 * refused here: words that are empty, and words after the last field of a statement.
 * @returns undefined if the text is not a valid statement of the protocol
 */
export function decodeStatement(id: string, text: string): SessionStatement | undefined {
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

/** Encodes a command to a database as one line. */
export function encodeCommand(command: LinkCommand): string {
    switch (command.kind) {
        case LinkCommandKind.Begin:
            return `QUERY ${proxyId} BEGIN\r\n`;
        case LinkCommandKind.BeginRead:
            return `QUERY ${proxyId} ${encodeAfter(command.floor)}BEGIN READ\r\n`;
        case LinkCommandKind.Rollback:
            return `QUERY ${proxyId} ROLLBACK\r\n`;
        case LinkCommandKind.Reset:
            return `QUERY ${proxyId} RESET\r\n`;
        case LinkCommandKind.SetValue:
            return `QUERY ${proxyId} SET ${command.name} ${command.value}\r\n`;
        case LinkCommandKind.Prepare: {
            const { writes, shape } = command.prepared;
            return `QUERY ${proxyId} PREPARE ${command.name} ${writes ? "WRITE" : "READ"} ${shape}\r\n`;
        }
        case LinkCommandKind.Run:
            return `QUERY ${command.statement.id} ${encodeAfter(command.floor)}${command.statement.text}\r\n`;
        case LinkCommandKind.Execute: {
            const { id, argument } = command.statement;
            return `QUERY ${id} ${encodeAfter(command.floor)}EXECUTE ${command.name} ${argument}\r\n`;
        }
        case LinkCommandKind.Status:
            return `QUERY ${proxyId} STATUS\r\n`;
        case LinkCommandKind.Pause:
            return `QUERY ${proxyId} PAUSE ${command.term}\r\n`;
        case LinkCommandKind.Resume:
            return `QUERY ${proxyId} RESUME\r\n`;
        case LinkCommandKind.StepDown:
            return `QUERY ${proxyId} STEPDOWN ${command.term}\r\n`;
    }
}

function encodeAfter(after: Position | undefined): string {
    return after === undefined ? "" : `AFTER ${encodePosition(after)} `;
}
