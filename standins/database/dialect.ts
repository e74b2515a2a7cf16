/** Classifies MySQL statements and translates MySQL syntax that SQLite lacks. */
import { defaultLiteralSyntax, type LiteralSyntax } from "./sqlMode.ts";

export const StatementClass = {
    Read: "read",
    /** SELECT ... FOR UPDATE: acquires the write lock without changing rows. */
    LockingRead: "locking_read",
    Write: "write",
    Begin: "begin",
    Commit: "commit",
    Rollback: "rollback",
    /** SET and USE, which succeed without effect. */
    Ignored: "ignored",
    Position: "position",
    Promote: "promote",
    Follow: "follow",
} as const;
export type StatementClass = typeof StatementClass[keyof typeof StatementClass];

const firstWordClasses: Readonly<Record<string, StatementClass>> = {
    SELECT: StatementClass.Read,
    WITH: StatementClass.Read,
    BEGIN: StatementClass.Begin,
    START: StatementClass.Begin,
    COMMIT: StatementClass.Commit,
    ROLLBACK: StatementClass.Rollback,
    SET: StatementClass.Ignored,
    USE: StatementClass.Ignored,
};

/** Returns the class of a statement; unknown statements count as writes. */
export function classifyStatement(sql: string, syntax = defaultLiteralSyntax): StatementClass {
    const withoutComments = stripComments(sql, syntax);
    if (/^SHOW\s+JASMINE\s+POSITION\b/i.test(withoutComments)) {
        return StatementClass.Position;
    }
    if (/^JASMINE\s+PROMOTE\b/i.test(withoutComments)) {
        return StatementClass.Promote;
    }
    if (/^JASMINE\s+FOLLOW\b/i.test(withoutComments)) {
        return StatementClass.Follow;
    }
    if (/^SELECT\b[^]*\bFOR\s+UPDATE\s*;?$/i.test(withoutComments)) {
        return StatementClass.LockingRead;
    }
    const firstWord = /^[A-Za-z]+/.exec(withoutComments)?.[0].toUpperCase() ?? "";
    return firstWordClasses[firstWord] ?? StatementClass.Write;
}

/** Parses the term of `JASMINE PROMOTE TERM n`. */
export function parsePromote(sql: string): number | undefined {
    const match = /^JASMINE\s+PROMOTE\s+TERM\s+(\d+)\s*;?$/i.exec(stripComments(sql));
    return match ? Number(match[1]) : undefined;
}

/** Parses the primary's address and the term of `JASMINE FOLLOW 'host:port' TERM n`. */
export function parseFollow(sql: string): { readonly address: string; readonly term: number; } | undefined {
    const match = /^JASMINE\s+FOLLOW\s+'([^']+)'\s+TERM\s+(\d+)\s*;?$/i.exec(stripComments(sql));
    return match ? { address: match[1]!, term: Number(match[2]) } : undefined;
}

/**
 * Translates a statement to SQLite syntax.
 * @param nowText time that replaces NOW() and its synonyms, so that replicas compute the same rows from the log
 */
export function translateStatement(sql: string, nowText: string, syntax = defaultLiteralSyntax): string {
    const parts = splitLiterals(stripComments(sql, syntax), syntax);
    return parts.map(part => isQuoted(part) ? translateLiteral(part, syntax) : translateCode(part, nowText)).join("");
}

/** Removes comments outside string literals, and a trailing semicolon. */
export function stripComments(sql: string, syntax = defaultLiteralSyntax): string {
    return splitLiterals(sql, syntax)
        .map(part => isQuoted(part) ? part : part.replace(/\/\*[^]*?\*\//g, " ").replace(/(--\s|#)[^\n]*/g, " "))
        .join("")
        .trim()
        .replace(/;$/, "");
}

// Comments are matched first, so that a quote inside a comment does not start a literal; they stay in the code parts.
const escapedLiteralPattern =
    /\/\*[^]*?\*\/|--\s[^\n]*|#[^\n]*|'(?:[^'\\]|\\[^]|'')*'|"(?:[^"\\]|\\[^]|"")*"|`[^`]*`|[^'"`/#-]+|[^]/g;
const plainLiteralPattern = /\/\*[^]*?\*\/|--\s[^\n]*|#[^\n]*|'(?:[^']|'')*'|"(?:[^"]|"")*"|`[^`]*`|[^'"`/#-]+|[^]/g;

function splitLiterals(sql: string, syntax: LiteralSyntax): string[] {
    const parts: string[] = [];
    let code = "";
    for (const [token] of sql.matchAll(syntax.backslashEscapes ? escapedLiteralPattern : plainLiteralPattern)) {
        if (isQuoted(token)) {
            parts.push(code, token);
            code = "";
        }
        else {
            code += token;
        }
    }
    return [...parts, code];
}

function isQuoted(part: string): boolean {
    return part.length > 1 && /^['"`]/.test(part);
}

const escapeReplacements: Readonly<Record<string, string>> = { n: "\n", r: "\r", t: "\t", "0": "\0" };

function translateLiteral(literal: string, syntax: LiteralSyntax): string {
    if (literal.startsWith("`")) {
        return literal;
    }
    if (literal.startsWith("\"") && syntax.ansiQuotes) {
        // SQLite takes an unknown identifier in double quotes for a string, but not one in backticks.
        return `\`${literal.slice(1, -1).replaceAll("\"\"", "\"").replaceAll("`", "``")}\``;
    }
    const quote = literal[0]!;
    const body = literal.slice(1, -1).replaceAll(quote + quote, quote);
    const text = syntax.backslashEscapes
        ? body.replace(/\\([^])/g, (_whole, escaped: string) => escapeReplacements[escaped] ?? escaped)
        : body;
    return `'${text.replaceAll("'", "''")}'`;
}

function translateCode(code: string, nowText: string): string {
    return code
        .replace(/\b(?:NOW|CURRENT_TIMESTAMP|SYSDATE|UTC_TIMESTAMP)\s*\(\s*\d*\s*\)/gi, `'${nowText}'`)
        .replace(/\bUNIX_TIMESTAMP\s*\(\s*\)/gi, `CAST(strftime('%s','${nowText}') AS INTEGER)`)
        .replace(
            /\b\w+(?:\s*\(\d+\))?(?:\s+UNSIGNED)?(?:\s+NOT\s+NULL)?\s+(?:PRIMARY\s+KEY\s+)?AUTO_INCREMENT(?:\s+PRIMARY\s+KEY)?/gi,
            "INTEGER PRIMARY KEY AUTOINCREMENT",
        )
        .replace(/\)\s*(?:(?:ENGINE|DEFAULT\s+CHARSET|CHARSET|COLLATE|AUTO_INCREMENT)\s*=\s*\w+\s*,?\s*)+$/i, ")")
        .replace(/\bINSERT\s+IGNORE\b/gi, "INSERT OR IGNORE")
        .replace(/\bON\s+DUPLICATE\s+KEY\s+UPDATE\b/gi, "ON CONFLICT DO UPDATE SET")
        .replace(/\s+FOR\s+UPDATE\s*$/i, "");
}
