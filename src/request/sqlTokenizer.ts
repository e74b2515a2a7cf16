/** A minimal SQL tokenizer: recognizes comments, words, quoted strings and symbols, but no grammar. */

export const TokenKind = {
    /** An identifier, keyword or number, in upper case. */
    Word: "word",
    /** A quoted string or quoted identifier. */
    Quoted: "quoted",
    /** A user variable (`@name`) or system variable (`@@name`), in upper case. */
    Variable: "variable",
    Symbol: "symbol",
} as const;
export type TokenKind = typeof TokenKind[keyof typeof TokenKind];

export interface Token {
    readonly kind: TokenKind;
    readonly text: string;
}

export interface TokenizedSql {
    /** The statement without comments and optimizer hints. */
    readonly statement: string;
    readonly tokens: readonly Token[];
    /** Bodies of the block comments, in order. */
    readonly comments: readonly string[];
    /** Reports an unterminated string or comment; undefined if there is none. */
    readonly error: string | undefined;
}

const tokenPattern = new RegExp(
    [
        /(?<comment>\/\*[\s\S]*?\*\/)/,
        /(?<lineComment>--(?=[\s]|$)[^\n]*|#[^\n]*)/,
        /(?<quoted>'(?:[^'\\]|\\[\s\S]|'')*'|"(?:[^"\\]|\\[\s\S]|"")*"|`(?:[^`]|``)*`)/,
        /(?<open>\/\*|['"`])/,
        /(?<variable>@@?(?:[\p{L}\p{N}_$.]+|`[^`]*`|'[^']*')?)/u,
        /(?<word>[\p{L}\p{N}_$]+)/u,
        /(?<space>\s+)/,
        /(?<symbol>[\s\S])/,
    ].map(part => part.source).join("|"),
    "guy",
);

/** Splits a statement into tokens and extracts its comments. */
export function tokenizeSql(text: string): TokenizedSql {
    const tokens: Token[] = [];
    const comments: string[] = [];
    const statementParts: string[] = [];
    let error: string | undefined;
    for (const found of text.matchAll(tokenPattern)) {
        const groups = found.groups!;
        const matchedText = found[0];
        if (groups["comment"] !== undefined) {
            comments.push(matchedText.slice(2, -2));
            statementParts.push(" ");
        }
        else if (groups["lineComment"] !== undefined) {
            statementParts.push(" ");
        }
        else {
            statementParts.push(matchedText);
            error ??= groups["open"] === undefined ? undefined : `unterminated ${matchedText}`;
            addToken(tokens, groups, matchedText);
        }
    }
    return { statement: statementParts.join("").trim(), tokens, comments, error };
}

function addToken(tokens: Token[], groups: Record<string, string | undefined>, text: string): void {
    if (groups["word"] !== undefined) {
        tokens.push({ kind: TokenKind.Word, text: text.toUpperCase() });
    }
    else if (groups["quoted"] !== undefined) {
        tokens.push({ kind: TokenKind.Quoted, text });
    }
    else if (groups["variable"] !== undefined) {
        tokens.push({ kind: TokenKind.Variable, text: text.toUpperCase() });
    }
    else if (groups["symbol"] !== undefined) {
        tokens.push({ kind: TokenKind.Symbol, text });
    }
}
