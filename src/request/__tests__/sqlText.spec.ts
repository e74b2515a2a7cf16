import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ClusterKind } from "../../model/clusterMessages.ts";
import { emptyConfiguration } from "../../model/configuration.ts";
import { StatementKind } from "../../model/statement.ts";
import { ClassifyFilter } from "../classify.ts";
import { type ClassifiedRequest, type RefusedRequest, RequestKind } from "../requestMessages.ts";

function classify(text: string): ClassifiedRequest | RefusedRequest {
    const filter = new ClassifyFilter();
    filter.process({ kind: ClusterKind.ConfigurationApplied, configuration: { ...emptyConfiguration, version: 1 } });
    return filter.process({
        kind: RequestKind.Authenticated,
        connectionId: 1,
        sequence: 0,
        callerId: "key-1",
        workspace: "shop",
        service: "boards",
        text,
        arrivedAtMs: 0,
    })[0] as ClassifiedRequest | RefusedRequest;
}

function kindOf(text: string): StatementKind | "refused" {
    const result = classify(text);
    return result.kind === RequestKind.Classified ? result.statementKind : "refused";
}

/**
 * Reads a text as MySQL does under its default sql_mode, character by character. Returns the words outside literals and
 * comments, "()" for an opening parenthesis, and "''" or "``" for a literal or quoted identifier; undefined for a text
 * that MySQL rejects because a literal or comment does not end.
 */
function readAsDatabase(text: string): readonly string[] | undefined {
    const units: string[] = [];
    const isIdentifier = (at: number): boolean => at < text.length && /[A-Za-z0-9_$\u0080-\uffff]/.test(text[at]!);
    const isDigit = (at: number): boolean => at < text.length && text[at]! >= "0" && text[at]! <= "9";
    const exponentEnd = (at: number): number => {
        if (text[at] !== "e" && text[at] !== "E") {
            return at;
        }
        let end = text[at + 1] === "+" || text[at + 1] === "-" ? at + 2 : at + 1;
        const first = end;
        while (isDigit(end)) {
            end += 1;
        }
        return end === first ? at : end;
    };
    let at = 0;
    while (at < text.length) {
        const character = text[at]!;
        if (character === "/" && text[at + 1] === "*") {
            const end = text.indexOf("*/", at + 2);
            if (end < 0) {
                return undefined;
            }
            at = end + 2;
        }
        else if (character === "#" || character === "-" && text[at + 1] === "-" && !(text[at + 2]! > " ")) {
            while (at < text.length && text[at] !== "\n") {
                at += 1;
            }
        }
        else if (character === "'" || character === "\"" || character === "`") {
            at += 1;
            for (;;) {
                if (at >= text.length) {
                    return undefined;
                }
                if (text[at] === "\\" && character !== "`") {
                    at += 2;
                }
                else if (text[at] !== character) {
                    at += 1;
                }
                else if (text[at + 1] === character) {
                    at += 2;
                }
                else {
                    break;
                }
            }
            units.push(character === "`" ? "``" : "''");
            at += 1;
        }
        else if (character === "@") {
            // The name of a variable may hold dots.
            while (text[at] === "@" || text[at] === "." || isIdentifier(at)) {
                at += 1;
            }
        }
        else if (isDigit(at) || character === "." && isDigit(at + 1)) {
            const start = at;
            while (isDigit(at)) {
                at += 1;
            }
            const isDecimal = text[at] === ".";
            if (isDecimal) {
                at += 1;
                while (isDigit(at)) {
                    at += 1;
                }
            }
            const end = exponentEnd(at);
            if (!isDecimal && end === at) {
                while (isIdentifier(at)) {
                    at += 1;
                }
            }
            else {
                at = end;
            }
            units.push(text.slice(start, at));
        }
        else if (isIdentifier(at)) {
            const start = at;
            while (isIdentifier(at)) {
                at += 1;
            }
            units.push(text.slice(start, at).replace(/[a-z]/g, letter => letter.toUpperCase()));
        }
        else {
            if (!" \t\n\v\f\r".includes(character)) {
                units.push(character);
            }
            at += 1;
        }
    }
    return units;
}

function changesOrLocks(units: readonly string[]): boolean {
    return units.some((unit, index) =>
        unit === "INTO" || unit === "LOCK"
        || unit === "FOR" && (units[index + 1] === "UPDATE" || units[index + 1] === "SHARE")
        || units[index + 1] === "("
            && (unit === "``" || /^(NEXT_NUMBER|é)$/.test(unit) || units[index - 1] === "." && /^\w/.test(unit))
    );
}

const fragment = fc.constantFrom(
    ..."'|\"|`|\\|/*|*/|/*!|/|*|-|--|-- |#|\n|\r| |\x01|\0|;|(|)|.|,|@|@@a|1|1e5|1.5|.5|1.|e5|0x1F|2a".split("|"),
    ..."FOR|UPDATE| FOR UPDATE|SHARE|INTO|LOCK|FROM t|a|é|\u00a0|\u2028|ſ|😀|next_number(1)|count(1)|''|\\'".split("|"),
);
const statementText = fc.array(fragment, { maxLength: 14 }).map(fragments => `SELECT ${fragments.join("")}`);

describe("text of statements", () => {
    it("never sends a text to a replica that a database reads as locking or changing rows", () => {
        let reads = 0;
        fc.assert(
            fc.property(statementText, text => {
                const result = classify(text);
                if (result.kind !== RequestKind.Classified || result.statementKind !== StatementKind.Read) {
                    return;
                }
                reads += 1;
                const units = readAsDatabase(result.text);
                assert.ok(units === undefined || !changesOrLocks(units), JSON.stringify(result.text));
                assert.deepEqual(units, readAsDatabase(text), "the removal of comments changes the statement");
            }),
            { seed: 43, numRuns: 60_000 },
        );
        assert.ok(reads > 1_000, `${reads} reads`);
    });

    it("takes a locking read or a call of a stored function for a write, however it is spelled", () => {
        const texts = [
            "SELECT `next_number`()",
            "SELECT shop.count(1)",
            "SELECT count (1)",
            "SELECT é(1)",
            "SELECT ſum(1)",
            "SELECT 1.5FOR UPDATE",
            "SELECT 1e5FOR UPDATE",
            "SELECT 1.INTO OUTFILE 'x'",
            "SELECT 1 --\x01'\n FOR UPDATE -- '",
            "SELECT NEXT VALUE FOR numbers",
        ];
        assert.deepEqual(texts.map(kindOf), texts.map(() => StatementKind.Write));
        const reads = [
            "SELECT 'it\\'s', 1.5e-3, 0xFF, COUNT(*) FROM `boards` b WHERE id IN (1, 2) AND EXISTS (SELECT 1)",
            "SELECT SUBSTRING(name FROM 1 FOR 2) FROM boards USE INDEX FOR ORDER BY (id)",
            "SELECT größe FROM boards -- FOR UPDATE",
        ];
        assert.deepEqual(reads.map(kindOf), reads.map(() => StatementKind.Read));
    });

    it("refuses text that a database may read in several ways instead of dropping a part of it", () => {
        const texts = [
            "SELECT 1 /*!50000 FOR UPDATE */",
            "SELECT 1 /*M!100100 FOR UPDATE */",
            "SELECT \\NFOR UPDATE",
            "SELECT 1\0",
            "/*!40101 SET NAMES gbk */",
            "SET NAMES gbk",
            "SET sql_mode = 'NO_BACKSLASH_ESCAPES'",
            "SET SESSION sql_mode = ''",
            "SET character_set_client = sjis",
            "SET CHARACTER SET big5",
        ];
        assert.deepEqual(texts.map(kindOf), texts.map(() => "refused"));
    });

    it("reads attributes only from comments, not from a comment inside a literal", () => {
        const result = classify("SELECT '\\'/*request_id=\\'a\\'*/', \"/*class='x'*/\" /*request_id='b'*/");
        assert.ok(result.kind === RequestKind.Classified);
        assert.equal(result.attributes.requestId, "b");
        assert.equal(result.text, "SELECT '\\'/*request_id=\\'a\\'*/', \"/*class='x'*/\"");
    });

    it("refuses two minus signs before a comment, whose removal would hide the rest of the line from the database", () => {
        const texts = [
            "UPDATE boards SET price = 5--/**/1 WHERE id = 3",
            "UPDATE boards SET price = 5---#\n1 WHERE id = 3",
        ];
        assert.deepEqual(texts.map(kindOf), texts.map(() => "refused"));
        assert.equal(kindOf("SELECT 5 - -/**/1"), StatementKind.Read);
    });

    it("needs time in proportion to the length, also for literals and comments that do not end", () => {
        for (const unit of ["'\\", "\"'\\", "/* ", "''", "a(", "'a", "`", "- ", "/*x='*/"]) {
            const text = `SELECT "${unit.repeat(1_048_576 / unit.length)}`;
            for (const each of [text, text.replace("\"", "")]) {
                const startMs = performance.now();
                classify(each);
                const elapsedMs = performance.now() - startMs;
                assert.ok(elapsedMs < 10_000, `${elapsedMs} ms for ${JSON.stringify(unit)}`);
            }
        }
    });
});
