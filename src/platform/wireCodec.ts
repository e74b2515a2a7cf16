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

/** Returns undefined if the text is not a valid statement of the protocol. */
export function decodeStatement(id: string, text: string): SessionStatement | undefined {
    const [verb, first, rest] = splitWords(text, 2) as [string, string, string];
    const base = { id, text, name: "", argument: "", prepared: undefined };
    switch (verb) {
        case "BEGIN":
            return first === "" || first === "READ"
                ? { ...base, kind: first === "" ? SessionStatementKind.Begin : SessionStatementKind.BeginRead }
                : undefined;
        case "COMMIT":
            return { ...base, kind: SessionStatementKind.Commit };
        case "ROLLBACK":
            return { ...base, kind: SessionStatementKind.Rollback };
        case "READ":
            return first === "" ? undefined : { ...base, kind: SessionStatementKind.Read };
        case "WRITE":
            return first === "" ? undefined : { ...base, kind: SessionStatementKind.Write };
        case "SET":
            return first === ""
                ? undefined
                : { ...base, kind: SessionStatementKind.SetValue, name: first, argument: rest };
        case "EXECUTE":
            return first === ""
                ? undefined
                : { ...base, kind: SessionStatementKind.Execute, name: first, argument: rest };
        case "DEALLOC":
            return first === "" ? undefined : { ...base, kind: SessionStatementKind.Deallocate, name: first };
        case "PREPARE":
            return decodePrepare(base, first, rest);
        default:
            return undefined;
    }
}

function decodePrepare(
    base: Omit<SessionStatement, "kind">,
    name: string,
    rest: string,
): SessionStatement | undefined {
    const [access, shape] = splitWords(rest, 1) as [string, string];
    if (name === "" || shape === "" || (access !== "READ" && access !== "WRITE")) {
        return undefined;
    }
    return { ...base, kind: SessionStatementKind.Prepare, name, prepared: { writes: access === "WRITE", shape } };
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
            const operands = argument === "" ? "" : ` ${argument}`;
            return `QUERY ${id} ${encodeAfter(command.floor)}EXECUTE ${command.name}${operands}\r\n`;
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
