/** Recognizes statements that the entry instance answers without a database. */
import { LocalAction } from "./requestMessages.ts";
import { type Token, TokenKind } from "./sqlTokenizer.ts";

export interface LocalStatement {
    readonly action: LocalAction;
    readonly argument: string;
}

const sessionVariable = "JASMINELINE_SESSION";

// Settings that client libraries send when they connect. They are in effect on every connection of the proxy already.
const acceptedSettings = [
    /^SET NAMES '?UTF8(MB4)?'?( COLLATE '?UTF8MB4_[A-Z0-9_]+'?)?$/,
    /^SET CHARACTER SET '?UTF8(MB4)?'?$/,
    /^SET (SESSION |@@SESSION\.|@@)?AUTOCOMMIT ?= ?(1|ON|TRUE)$/,
];

/** Returns the local action of a proxy command or accepted session setting; undefined for all other statements. */
export function parseLocalStatement(tokens: readonly Token[]): LocalStatement | undefined {
    const words = tokens.filter(token => token.text !== ";");
    const line = words.map(token => token.kind === TokenKind.Quoted ? token.text.toUpperCase() : token.text).join(" ");
    if (line === "SHOW JASMINELINE SESSION") {
        return { action: LocalAction.ShowSession, argument: "" };
    }
    const [set, name, equals, value] = words;
    if (set?.text === "SET" && name?.text === sessionVariable && equals?.text === "=" && words.length === 4) {
        return { action: LocalAction.ResumeSession, argument: value!.text.slice(1, -1) };
    }
    return acceptedSettings.some(setting => setting.test(line))
        ? { action: LocalAction.None, argument: "" }
        : undefined;
}
