/** Reads the texts of a caller's statements: UTF-8 once the caller has agreed on it, and ASCII before. */
import { isAscii, isUtf8 } from "node:buffer";

/** mysql2's names of MySQL's utf8mb4 and utf8mb3. */
const utf8Encodings = new Set(["utf8", "cesu8"]);

/** The pipe accepts only UTF-8 in these statements. */
const characterSetStatement = /^\s*SET\s+(NAMES|CHARACTER\s+SET)\s/i;

/** Encoding in which mysql2 passes statements on without a loss: one character per byte. */
export const statementEncoding = "latin1";

export class CallerText {
    private isUtf8Agreed: boolean;
    /** The last statement agrees on UTF-8 if it succeeds. */
    private agreesIfDone = false;

    /** @param loginEncoding mysql2's name of the character set of the login; undefined for one that it does not know */
    constructor(loginEncoding: string | undefined) {
        this.isUtf8Agreed = loginEncoding !== undefined && utf8Encodings.has(loginEncoding);
    }

    /**
     * Returns the text of a statement; undefined if its bytes are no text in the agreed character set.
     * @param encoded in `statementEncoding`
     */
    decode(encoded: string): string | undefined {
        const bytes = Buffer.from(encoded, statementEncoding);
        if (!isAscii(bytes) && !(this.isUtf8Agreed && isUtf8(bytes))) {
            return undefined;
        }
        const text = bytes.toString("utf8");
        this.agreesIfDone = characterSetStatement.test(text);
        return text;
    }

    /** Must be called when the last statement has succeeded. */
    recordDone(): void {
        this.isUtf8Agreed ||= this.agreesIfDone;
    }
}
