/** Determines the kind of a statement. A statement that is not known to be read-only counts as a write. */
import { StatementKind } from "../model/statement.ts";
import { type Token, TokenKind } from "./sqlTokenizer.ts";

/** A statement that the proxy does not support, with the reason. */
export interface UnsupportedStatement {
    readonly unsupported: string;
}

const readFirstWords = new Set(["SELECT", "SHOW", "DESCRIBE", "DESC", "EXPLAIN"]);

// Functions whose result depends only on the arguments and the data. A function that is not listed may change state
// (GET_LOCK, SLEEP, stored functions), so a statement that calls it goes to the primary.
const pureFunctions = new Set(
    ("ABS ASCII AVG BIT_AND BIT_OR CAST CEIL CEILING CHAR_LENGTH COALESCE CONCAT CONCAT_WS CONVERT COUNT CURDATE "
        + "CURRENT_DATE CURRENT_TIMESTAMP DATE DATE_ADD DATE_FORMAT DATE_SUB DATEDIFF DAY DENSE_RANK EXISTS EXTRACT "
        + "FIELD FIRST_VALUE FLOOR FORMAT FROM_UNIXTIME GREATEST GROUP_CONCAT HEX HOUR IF IFNULL IN INSTR ISNULL "
        + "JSON_ARRAYAGG JSON_CONTAINS JSON_EXTRACT JSON_OBJECT JSON_OBJECTAGG JSON_UNQUOTE JSON_VALUE LAG LAST_VALUE "
        + "LEAD LEAST LEFT LENGTH LOCATE LOWER LPAD LTRIM MAX MD5 MIN MINUTE MOD MONTH NOW NULLIF OVER POW POWER RANK "
        + "REPLACE REVERSE RIGHT ROUND ROW_NUMBER RPAD RTRIM SECOND SHA1 SHA2 SIGN SQRT STDDEV SUBSTR SUBSTRING SUM "
        + "TIME TIMESTAMPDIFF TRIM TRUNCATE UNIX_TIMESTAMP UPPER VALUES VARIANCE WEEK YEAR").split(" "),
);

// Without white space before the parenthesis, these call the built-in function; with it, a stored function of that name.
const spaceSensitiveFunctions = new Set(
    ("BIT_AND BIT_OR CAST COUNT CURDATE DATE_ADD DATE_SUB EXTRACT GROUP_CONCAT MAX MIN NOW STDDEV SUBSTR SUBSTRING SUM "
        + "TRIM VARIANCE").split(" "),
);

const numberPattern = /^(0X[0-9A-F]+|0B[01]+|(\d+(\.\d*)?|\.\d+)(E[+-]?\d+)?)$/;

// Words that are not function names when a parenthesis follows them.
const wordsBeforeParenthesis = new Set(
    ("ALL AND ANY AS BETWEEN BY CASE DISTINCT ELSE EXCEPT FROM HAVING INTERSECT INTERVAL JOIN LIKE NOT ON OR SELECT SOME "
        + "THEN UNION USING WHEN WHERE WITH").split(" "),
);

/** First words of the statements that certainly leave an open transaction open, or roll it back. */
const transactionalFirstWords = new Set([
    ...readFirstWords,
    "INSERT",
    "UPDATE",
    "DELETE",
    "REPLACE",
    "WITH",
    "USE",
    "ROLLBACK",
]);

const sessionStateFirstWords = new Set(["USE", "LOCK", "UNLOCK", "HANDLER"]);
const unsupportedFirstWords = new Set([
    "PREPARE",
    "EXECUTE",
    "DEALLOCATE",
    "XA",
    "KILL",
    "SHUTDOWN",
    "CHANGE",
    "RESET",
    "JASMINE",
    "SAVEPOINT",
    "RELEASE",
    "CALL",
    "DO",
    "LOAD",
    "INSTALL",
    "UNINSTALL",
]);
const sessionStateFunctions = new Set([
    "GET_LOCK",
    "RELEASE_LOCK",
    "RELEASE_ALL_LOCKS",
    "LAST_INSERT_ID",
    "FOUND_ROWS",
]);

/** Classifies a statement by its tokens. */
export function classifyStatement(tokens: readonly Token[]): StatementKind | UnsupportedStatement {
    const statement = withoutTrailingSemicolon(tokens);
    if (statement.length === 0) {
        return { unsupported: "the statement is empty" };
    }
    if (statement.some(token => token.kind === TokenKind.Symbol && token.text === ";")) {
        return { unsupported: "send one statement at a time" };
    }
    return classifyByFirstWord(statement);
}

/** Returns whether a statement may commit the open transaction: COMMIT, BEGIN, and others such as CREATE TABLE. */
export function mayCommit(text: string): boolean {
    const firstWord = /^[\s(]*(\w+)/.exec(text)?.[1] ?? "";
    return !transactionalFirstWords.has(firstWord.toUpperCase());
}

function classifyByFirstWord(tokens: readonly Token[]): StatementKind | UnsupportedStatement {
    const [first, second] = tokens;
    const firstWord = first!.text;
    if (unsupportedFirstWords.has(firstWord)) {
        return { unsupported: `${firstWord} is not supported` };
    }
    if (firstWord === "BEGIN" || (firstWord === "START" && second?.text === "TRANSACTION")) {
        return tokens.length > 2 && firstWord === "START" && tokens.some(token => token.text === "ONLY")
            ? { unsupported: "START TRANSACTION READ ONLY is not supported; use BEGIN" }
            : StatementKind.Begin;
    }
    if (firstWord === "COMMIT" || firstWord === "ROLLBACK") {
        return classifyTransactionEnd(tokens, firstWord);
    }
    if (firstWord === "SET") {
        return { unsupported: "SET of this variable is not supported" };
    }
    if (firstWord === "CREATE" && second?.text === "TEMPORARY" || sessionStateFirstWords.has(firstWord)) {
        return StatementKind.SessionState;
    }
    if (leavesSessionState(tokens)) {
        return StatementKind.SessionState;
    }
    return isReadOnly(tokens) ? StatementKind.Read : StatementKind.Write;
}

function classifyTransactionEnd(tokens: readonly Token[], firstWord: string): StatementKind | UnsupportedStatement {
    const isPlain = tokens.length === 1 || (tokens.length === 2 && tokens[1]!.text === "WORK");
    if (!isPlain) {
        return { unsupported: `only plain ${firstWord} is supported` };
    }
    return firstWord === "COMMIT" ? StatementKind.Commit : StatementKind.Rollback;
}

function leavesSessionState(tokens: readonly Token[]): boolean {
    return tokens.some((token, index) =>
        token.kind === TokenKind.Variable && !token.text.startsWith("@@")
        || token.kind === TokenKind.Word && sessionStateFunctions.has(token.text) && tokens[index + 1]?.text === "("
    );
}

function isReadOnly(tokens: readonly Token[]): boolean {
    if (!readFirstWords.has(tokens[0]!.text)) {
        return false;
    }
    return tokens.every((token, index) => {
        const next = tokens[index + 1];
        if (callsUnknownFunction(tokens[index - 1], token, next)) {
            return false;
        }
        if (token.kind !== TokenKind.Word) {
            return true;
        }
        if (token.text === "INTO" || token.text === "LOCK" || token.text === "PROCEDURE") {
            return false;
        }
        if (/^\.?\d/.test(token.text) && !numberPattern.test(token.text)) {
            // An identifier, or a number and the keyword after it.
            return false;
        }
        return token.text !== "FOR" || isHarmlessFor(next);
    });
}

/** FOR also stands before a length in SUBSTRING and in index hints; elsewhere it may lock rows or advance a sequence. */
function isHarmlessFor(next: Token | undefined): boolean {
    return next !== undefined && (/^(JOIN|ORDER|GROUP)$/.test(next.text) || numberPattern.test(next.text));
}

function callsUnknownFunction(previous: Token | undefined, token: Token, next: Token | undefined): boolean {
    if (next?.text !== "(" || token.kind === TokenKind.Symbol) {
        return false;
    }
    const isQualified = previous?.text === ".";
    const isBuiltIn = pureFunctions.has(token.text)
        && !(next.afterSpace && spaceSensitiveFunctions.has(token.text));
    return isQualified || token.kind !== TokenKind.Word || !isBuiltIn && !wordsBeforeParenthesis.has(token.text);
}

function withoutTrailingSemicolon(tokens: readonly Token[]): readonly Token[] {
    let end = tokens.length;
    while (end > 0 && tokens[end - 1]!.text === ";") {
        end -= 1;
    }
    return tokens.slice(0, end);
}
