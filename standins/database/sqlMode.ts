/** Variables of a session that a client reads and sets: those that change how the text of a statement is read. */
import { DatabaseError, ErrorNumber } from "./databaseError.ts";

/** Where literals end, according to the sql_mode of a session. */
export interface LiteralSyntax {
    readonly backslashEscapes: boolean;
    /** Double quotes enclose an identifier instead of a string. */
    readonly ansiQuotes: boolean;
}

export const defaultLiteralSyntax: LiteralSyntax = { backslashEscapes: true, ansiQuotes: false };

/** Returns the syntax that a value of sql_mode, a list of modes separated by commas, selects. */
export function literalSyntaxOf(sqlMode: string): LiteralSyntax {
    const modes = sqlMode.toUpperCase().split(",");
    return {
        backslashEscapes: !modes.includes("NO_BACKSLASH_ESCAPES"),
        ansiQuotes: modes.includes("ANSI_QUOTES") || modes.includes("ANSI"),
    };
}

/** Reads the names of the variables in `SELECT @@SESSION.a, @@SESSION.b`; undefined for any other statement. */
export function parseVariableNames(sql: string): readonly string[] | undefined {
    const list = /^SELECT\s+(@@SESSION\.\w+(?:\s*,\s*@@SESSION\.\w+)*)\s*;?$/i.exec(sql)?.[1];
    return list?.split(",").map(each => each.trim().slice("@@SESSION.".length).toLowerCase());
}

/** The session variables of one connection. */
export class SessionVariables {
    private readonly values: Map<string, string>;

    constructor(sqlMode: string) {
        this.values = new Map([
            ["sql_mode", sqlMode],
            ["character_set_client", "utf8mb4"],
            ["character_set_connection", "utf8mb4"],
            ["character_set_results", "utf8mb4"],
        ]);
    }

    get literalSyntax(): LiteralSyntax {
        return literalSyntaxOf(this.values.get("sql_mode")!);
    }

    get(name: string): string {
        const value = this.values.get(name);
        if (value === undefined) {
            throw new DatabaseError(ErrorNumber.Other, `Unknown system variable '${name}'`);
        }
        return value;
    }

    /** Applies `SET SESSION sql_mode = '...'`; every other SET succeeds without effect. */
    applySet(sql: string): void {
        const sqlMode = /^SET\s+(?:SESSION\s+)?sql_mode\s*=\s*'([\w,]*)'\s*;?$/i.exec(sql)?.[1];
        if (sqlMode !== undefined) {
            this.values.set("sql_mode", sqlMode);
        }
    }
}
