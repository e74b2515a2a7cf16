/**
 * Session variables of a connection that determine how the database reads the text of a statement. The proxy decides by
 * its own reading where a statement runs, so both have to read the same: a backslash escapes a quote, double quotes
 * enclose a string, and the text is UTF-8.
 */
import { type Outcome, OutcomeKind } from "../model/outcome.ts";
import { describeRefusal } from "../model/refusal.ts";
import type { DatabaseConnection } from "./databaseAdapter.ts";

const readSettingsSql = "SELECT @@SESSION.sql_mode, @@SESSION.character_set_client, "
    + "@@SESSION.character_set_connection, @@SESSION.character_set_results";

const characterSet = "utf8mb4";

/** Modes that change where a literal ends, and the combinations that include them. */
const lexicalModes = new Set([
    "NO_BACKSLASH_ESCAPES",
    "ANSI_QUOTES",
    "ANSI",
    "DB2",
    "MAXDB",
    "MSSQL",
    "ORACLE",
    "POSTGRESQL",
]);

interface SessionSettings {
    readonly modes: readonly string[];
    readonly characterSets: readonly string[];
}

/**
 * Brings a new connection to the settings that the proxy assumes, and checks that the database uses them.
 * @throws Error if the database reports other settings, or none
 */
export async function fixSessionSettings(connection: DatabaseConnection): Promise<void> {
    const found = await readSettings(connection);
    const corrections = [
        ...hasLexicalMode(found) ? [setModeSql(found.modes.filter(mode => !isLexical(mode)))] : [],
        ...hasOtherCharacterSet(found) ? [`SET NAMES ${characterSet}`] : [],
    ];
    if (corrections.length === 0) {
        return;
    }
    for (const correction of corrections) {
        requireSuccess(await connection.execute(correction));
    }
    const corrected = await readSettings(connection);
    if (hasLexicalMode(corrected) || hasOtherCharacterSet(corrected)) {
        const { modes, characterSets } = corrected;
        throw new Error(
            `the database keeps sql_mode "${modes.join(",")}" and the character sets ${characterSets.join(", ")}`,
        );
    }
}

async function readSettings(connection: DatabaseConnection): Promise<SessionSettings> {
    const outcome = requireSuccess(await connection.execute(readSettingsSql));
    const [modes, ...characterSets] = outcome.kind === OutcomeKind.Rows ? outcome.rows[0] ?? [] : [];
    if (modes === undefined) {
        throw new Error("the database did not report its sql_mode");
    }
    return {
        modes: modes.split(",").filter(mode => mode !== ""),
        characterSets: characterSets.map(each => each ?? "none"),
    };
}

function hasLexicalMode({ modes }: SessionSettings): boolean {
    return modes.some(isLexical);
}

function isLexical(mode: string): boolean {
    return lexicalModes.has(mode.toUpperCase());
}

function hasOtherCharacterSet({ characterSets }: SessionSettings): boolean {
    return characterSets.length !== 3 || characterSets.some(each => each !== characterSet);
}

function setModeSql(modes: readonly string[]): string {
    const unreadable = modes.find(mode => !/^\w+$/.test(mode));
    if (unreadable !== undefined) {
        throw new Error(`the database reported the sql_mode "${unreadable}", which is no name of a mode`);
    }
    return `SET SESSION sql_mode = '${modes.join(",")}'`;
}

function requireSuccess(outcome: Outcome): Outcome {
    if (outcome.kind === OutcomeKind.Refused) {
        throw new Error(`the settings of the connection: ${describeRefusal(outcome.refusal)}`);
    }
    return outcome;
}
