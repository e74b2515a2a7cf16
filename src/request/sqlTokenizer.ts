/**
 * A minimal SQL tokenizer: recognizes comments, words, quoted strings and symbols, but no grammar. It reads a text as a
 * database does whose session has the settings of `backend/sessionSettings.ts`, in time proportional to its length.
 */

export const TokenKind = {
    /** An identifier, keyword or number, with ASCII letters in upper case. */
    Word: "word",
    /** A quoted string or quoted identifier. */
    Quoted: "quoted",
    /** A user variable (`@name`) or system variable (`@@name`), with ASCII letters in upper case. */
    Variable: "variable",
    Symbol: "symbol",
} as const;
export type TokenKind = typeof TokenKind[keyof typeof TokenKind];

export interface Token {
    readonly kind: TokenKind;
    readonly text: string;
    /** White space or a comment stands between the previous token and this one. */
    readonly afterSpace: boolean;
}

export interface TokenizedSql {
    /** The statement without comments and optimizer hints. */
    readonly statement: string;
    readonly tokens: readonly Token[];
    /** Bodies of the block comments, in order. */
    readonly comments: readonly string[];
    /** Why the text cannot be read reliably, for example an unterminated string; undefined if it can. */
    readonly error: string | undefined;
}

/** Splits a statement into tokens and extracts its comments. Stops at the first error. */
export function tokenizeSql(text: string): TokenizedSql {
    const tokenizer = new Tokenizer(text);
    const error = tokenizer.run();
    const { tokens, comments } = tokenizer;
    return { statement: trimSpace(tokenizer.statement), tokens, comments, error };
}

// As in MySQL, white space is ASCII only, and every character outside ASCII belongs to an identifier.
const identifierCharacters = String.raw`\w$\u0080-\uffff`;
const wordPattern = new RegExp(`[${identifierCharacters}]+`, "y");
const variablePattern = new RegExp(`@@?[${identifierCharacters}.]*`, "y");
// A number may be followed directly by a word, as in `1.5FOR`; both become one token.
const numberPattern = new RegExp(
    String.raw`(?:\d+(?:\.\d*)?|\.\d+)(?:[eE][+-]?\d+)?[${identifierCharacters}]*`,
    "y",
);
// In MySQL, a control character ends the two dashes of a comment like white space.
const lineCommentPattern = /#|--(?:[\x00-\x20\x7f]|$)/y;
const executableCommentPattern = /\/\*M?!/y;

class Tokenizer {
    readonly tokens: Token[] = [];
    readonly comments: string[] = [];
    statement = "";
    private readonly text: string;
    private offset = 0;
    /** Start of the text that is not yet part of `statement`. */
    private partStart = 0;
    private afterSpace = false;

    constructor(text: string) {
        this.text = text;
    }

    /** Reads the whole text; returns the error, if any. */
    run(): string | undefined {
        let error: string | undefined;
        while (this.offset < this.text.length && error === undefined) {
            error = this.readNext();
        }
        this.statement += this.text.slice(this.partStart, this.offset);
        return error;
    }

    private readNext(): string | undefined {
        const character = this.text[this.offset]!;
        if (isSpace(character.charCodeAt(0))) {
            this.offset += 1;
            this.afterSpace = true;
            return undefined;
        }
        if (character === "'" || character === "\"" || character === "`") {
            return this.readQuoted(character);
        }
        if (character === "/" && this.text[this.offset + 1] === "*") {
            return this.readBlockComment();
        }
        if ((character === "#" || character === "-") && this.matchLength(lineCommentPattern) > 0) {
            const end = this.text.indexOf("\n", this.offset);
            return this.skipComment(end < 0 ? this.text.length : end);
        }
        return this.readUnquoted(character);
    }

    private readUnquoted(character: string): string | undefined {
        if (character < " " || character === "\x7f" || character === "\\") {
            return "a control character or a backslash outside a literal";
        }
        const variableLength = character === "@" ? this.matchLength(variablePattern) : 0;
        const wordLength = this.matchLength(numberPattern) || this.matchLength(wordPattern);
        if (variableLength > 0) {
            this.addToken(TokenKind.Variable, variableLength);
        }
        else if (wordLength > 0) {
            this.addToken(TokenKind.Word, wordLength);
        }
        else {
            this.addToken(TokenKind.Symbol, 1);
        }
        return undefined;
    }

    private readBlockComment(): string | undefined {
        if (this.matchLength(executableCommentPattern) > 0) {
            return "comments that the database executes";
        }
        const end = this.text.indexOf("*/", this.offset + 2);
        if (end < 0) {
            return "unterminated /*";
        }
        this.comments.push(this.text.slice(this.offset + 2, end));
        return this.skipComment(end + 2);
    }

    private readQuoted(quote: string): string | undefined {
        let end = this.offset + 1;
        while (end < this.text.length) {
            const character = this.text[end];
            if (character === "\\" && quote !== "`") {
                end += 2;
            }
            else if (character !== quote) {
                end += 1;
            }
            else if (this.text[end + 1] === quote) {
                end += 2;
            }
            else {
                this.addToken(TokenKind.Quoted, end + 1 - this.offset);
                return undefined;
            }
        }
        return `unterminated ${quote}`;
    }

    private skipComment(end: number): string | undefined {
        // The space in place of the comment would make the dashes the start of a comment for the database.
        if (this.offset - this.partStart >= 2 && this.text.endsWith("--", this.offset)) {
            return "two minus signs directly before a comment";
        }
        this.statement += `${this.text.slice(this.partStart, this.offset)} `;
        this.partStart = end;
        this.afterSpace = true;
        this.offset = end;
        return undefined;
    }

    private addToken(kind: TokenKind, length: number): void {
        const text = this.text.slice(this.offset, this.offset + length);
        const isNamed = kind === TokenKind.Word || kind === TokenKind.Variable;
        this.tokens.push({ kind, text: isNamed ? toAsciiUpperCase(text) : text, afterSpace: this.afterSpace });
        this.afterSpace = false;
        this.offset += length;
    }

    /** Returns the length of the match of a sticky pattern at the current offset; 0 without one. */
    private matchLength(pattern: RegExp): number {
        pattern.lastIndex = this.offset;
        return pattern.exec(this.text)?.[0].length ?? 0;
    }
}

/** Keywords are ASCII; other letters have upper-case forms within ASCII, for example U+017F. */
function toAsciiUpperCase(text: string): string {
    return text.replace(/[a-z]+/g, letters => letters.toUpperCase());
}

function trimSpace(text: string): string {
    let start = 0;
    let end = text.length;
    while (start < end && isSpace(text.charCodeAt(start))) {
        start += 1;
    }
    while (end > start && isSpace(text.charCodeAt(end - 1))) {
        end -= 1;
    }
    return text.slice(start, end);
}

function isSpace(code: number): boolean {
    return code === 0x20 || code >= 0x09 && code <= 0x0d;
}
