/** Variables of a session that a client reads and sets: those that change how a statement is read, or what it commits. */
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

/** Values of a new session. */
export interface SessionDefaults {
    /** Modes separated by commas. */
    readonly sqlMode: string;
    /** Without it, the first statement begins a transaction. */
    readonly autocommit: boolean;
    /** `CHAIN` begins a transaction with the end of the one before; every other value does not. */
    readonly completionType: string;
}

export const defaultSessionDefaults: SessionDefaults = { sqlMode: "", autocommit: true, completionType: "NO_CHAIN" };

/** The session variables of one connection. */
export class SessionVariables {
    private readonly values: Map<string, string>;

    constructor({ sqlMode, autocommit, completionType }: SessionDefaults) {
        this.values = new Map([
            ["sql_mode", sqlMode],
            ["autocommit", autocommit ? "1" : "0"],
            ["completion_type", completionType],
            ["character_set_client", "utf8mb4"],
            ["character_set_connection", "utf8mb4"],
            ["character_set_results", "utf8mb4"],
        ]);
    }

    get literalSyntax(): LiteralSyntax {
        return literalSyntaxOf(this.values.get("sql_mode")!);
    }

    get autocommit(): boolean {
        return this.values.get("autocommit") !== "0";
    }

    get chainsTransactions(): boolean {
        return this.values.get("completion_type") === "CHAIN";
    }

    get(name: string): string {
        const value = this.values.get(name);
        if (value === undefined) {
            throw new DatabaseError(ErrorNumber.Other, `Unknown system variable '${name}'`);
        }
        return value;
    }

    /** Applies SET of one of these variables; every other SET succeeds without effect. */
    applySet(sql: string): void {
        const [, name, text, digit] =
            /^SET\s+(?:SESSION\s+)?(sql_mode|autocommit|completion_type)\s*=\s*(?:'([\w,]*)'|([01]))\s*;?$/i.exec(sql)
                ?? [];
        if (name !== undefined) {
            this.values.set(name.toLowerCase(), (text ?? digit)!);
        }
    }
}
