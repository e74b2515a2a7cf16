/** Texts of statements: a verb, and fields of which the last one extends to the end. */
import { splitFields } from "./wireMessages.ts";

export interface Statement {
    readonly verb: string;
    /** Fields at the end may be missing. */
    readonly fields: readonly string[];
}

/** A statement as it arrived at a database. */
export interface ReceivedStatement extends Statement {
    /** `-` for statements of the proxy itself. */
    readonly id: string;
    /** Position that the log must have reached. */
    readonly after: string | undefined;
    /** Without the position. */
    readonly text: string;
}

/** Least and greatest number of fields of each statement, and of each command to a database. */
const fieldCounts: Readonly<Record<string, readonly [number, number]>> = {
    BEGIN: [0, 1],
    COMMIT: [0, 0],
    ROLLBACK: [0, 0],
    READ: [1, 1],
    WRITE: [2, 2],
    SET: [2, 2],
    PREPARE: [3, 3],
    /** The name, and all operands as one field. */
    EXECUTE: [2, 2],
    DEALLOC: [1, 1],
    RESET: [0, 0],
    STATUS: [0, 0],
    PAUSE: [1, 1],
    RESUME: [0, 0],
    STEPDOWN: [1, 1],
};

/** Statements whose first field is a prepared name, which a proxy may change. */
const namedVerbs: readonly string[] = ["PREPARE", "EXECUTE", "DEALLOC"];

/** Returns undefined if the protocol has no such statement. */
export function parseStatement(text: string): Statement | undefined {
    const [verb, rest] = splitFields(text, 2) as [string, string | undefined];
    const [least, greatest] = Object.hasOwn(fieldCounts, verb) ? fieldCounts[verb]! : [1, 0];
    const fields = rest === undefined ? [] : splitFields(rest, greatest);
    const isValid = fields !== undefined && fields.length >= least
        && (verb !== "BEGIN" || fields.length === 0 || fields[0] === "READ")
        && (verb !== "PREPARE" || fields[1] === "READ" || fields[1] === "WRITE");
    return isValid ? { verb, fields } : undefined;
}

/** Decodes the text of a QUERY; undefined if the protocol has no such statement. */
export function parseReceived(id: string, text: string): ReceivedStatement | undefined {
    const [, after, conditional] = /^AFTER (\d+\.\d+) ([^]*)$/.exec(text) ?? [];
    const plain = conditional ?? text;
    const statement = parseStatement(plain);
    return statement === undefined ? undefined : { ...statement, id, after, text: plain };
}

/** VERB SHAPE of a statement that prepares one. */
export function preparedShape({ fields: [, access, shape] }: Statement): string {
    return `${access} ${shape}`;
}

/** Whether a database got what a client sent; a proxy may change prepared names and nothing else. */
export function isSameStatement(sent: Statement, received: Statement): boolean {
    const skipped = namedVerbs.includes(sent.verb) ? 1 : 0;
    return sent.verb === received.verb && sent.fields.length === received.fields.length
        && sent.fields.every((field, index) => index < skipped || field === received.fields[index]);
}
