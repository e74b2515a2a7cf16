/**
 * Session variables of a connection that determine how the database reads the text of a statement, and when it commits. The
 * proxy decides by its own reading where a statement runs, so both have to read the same: a backslash escapes a quote, double
 * quotes enclose a string, and the text is UTF-8. It acknowledges a write outside of a transaction as committed, and takes a
 * transaction for ended with its COMMIT or ROLLBACK.
 */
import { type Outcome, OutcomeKind } from "../model/outcome.ts";
import { describeRefusal } from "../model/refusal.ts";
import type { DatabaseConnection } from "./databaseAdapter.ts";

const readSettingsSql = "SELECT @@SESSION.sql_mode, @@SESSION.character_set_client, "
    + "@@SESSION.character_set_connection, @@SESSION.character_set_results, "
    + "@@SESSION.autocommit, @@SESSION.completion_type";

const characterSet = "utf8mb4";
const autocommitOn = "1";
const plainCompletion = "NO_CHAIN";

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
    readonly autocommit: string;
    readonly completionType: string;
}

/**
 * Brings a new connection to the settings that the proxy assumes, and checks that the database uses them.
 * @throws Error if the database reports other settings, or none
 */
export async function fixSessionSettings(connection: DatabaseConnection): Promise<void> {
    const corrections = correctionsOf(await readSettings(connection));
    if (corrections.length === 0) {
        return;
    }
    for (const correction of corrections) {
        requireSuccess(await connection.execute(correction));
    }
    const corrected = await readSettings(connection);
    if (correctionsOf(corrected).length > 0) {
        const { modes, characterSets, autocommit, completionType } = corrected;
        throw new Error(
            `the database keeps sql_mode "${modes.join(",")}", the character sets ${characterSets.join(", ")}, `
                + `autocommit "${autocommit}" and completion_type "${completionType}"`,
        );
    }
}

/** Returns the statements that bring a connection to the settings that the proxy assumes. */
function correctionsOf(found: SessionSettings): readonly string[] {
    return [
        ...hasLexicalMode(found) ? [setModeSql(found.modes.filter(mode => !isLexical(mode)))] : [],
        ...hasOtherCharacterSet(found) ? [`SET NAMES ${characterSet}`] : [],
        ...found.autocommit === autocommitOn ? [] : [`SET SESSION autocommit = ${autocommitOn}`],
        ...found.completionType === plainCompletion ? [] : [`SET SESSION completion_type = '${plainCompletion}'`],
    ];
}

async function readSettings(connection: DatabaseConnection): Promise<SessionSettings> {
    const outcome = requireSuccess(await connection.execute(readSettingsSql));
    const [modes, client, ofConnection, results, autocommit, completionType] = outcome.kind === OutcomeKind.Rows
        ? outcome.rows[0] ?? []
        : [];
    if (modes === undefined) {
        throw new Error("the database did not report its sql_mode");
    }
    return {
        modes: modes.split(",").filter(mode => mode !== ""),
        characterSets: [client, ofConnection, results].map(each => each ?? "none"),
        autocommit: autocommit ?? "none",
        completionType: completionType ?? "none",
    };
}

function hasLexicalMode({ modes }: SessionSettings): boolean {
    return modes.some(isLexical);
}

function isLexical(mode: string): boolean {
    return lexicalModes.has(mode.toUpperCase());
}

function hasOtherCharacterSet({ characterSets }: SessionSettings): boolean {
    return characterSets.some(each => each !== characterSet);
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
