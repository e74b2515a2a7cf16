import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ClusterKind } from "../../model/clusterMessages.ts";
import { emptyConfiguration } from "../../model/configuration.ts";
import { RefusalCode } from "../../model/refusal.ts";
import { StatementKind } from "../../model/statement.ts";
import { RepeatPolicy, type WorkClass } from "../../model/workClass.ts";
import { ClassifyFilter } from "../classify.ts";
import {
    type AuthenticatedRequest,
    type ClassifiedRequest,
    type RefusedRequest,
    RequestKind,
} from "../requestMessages.ts";
import { tokenizeSql } from "../sqlTokenizer.ts";

const ordersClass: WorkClass = {
    name: "orders",
    maximumAgeMs: 0,
    waitingMs: 500,
    repeat: RepeatPolicy.Never,
    objectiveShare: 0.999,
    version: 1,
};

function classify(text: string): ClassifiedRequest | RefusedRequest {
    const filter = new ClassifyFilter();
    const configuration = { ...emptyConfiguration, version: 1, workClasses: [ordersClass] };
    filter.process({ kind: ClusterKind.ConfigurationApplied, configuration });
    const request: AuthenticatedRequest = {
        kind: RequestKind.Authenticated,
        connectionId: 1,
        sequence: 0,
        callerId: "key-1",
        workspace: "shop",
        service: "boards",
        text,
        arrivedAtMs: 1_000,
    };
    return filter.process(request)[0] as ClassifiedRequest | RefusedRequest;
}

function kindOrRefusalCode(text: string): StatementKind | RefusalCode {
    const result = classify(text);
    return result.kind === RequestKind.Classified ? result.statementKind : result.refusal.code;
}

describe("classify", () => {
    it("classifies only known read-only statements as reads, so that no write is sent to a replica", () => {
        const reads = [
            "SELECT * FROM boards WHERE id = 1",
            "select count(*), max(price) from boards where name like 'a%' and (id in (1, 2))",
            "SHOW TABLES",
            "SELECT 'FOR UPDATE' FROM boards",
        ];
        const writes = [
            "INSERT INTO boards VALUES (1)",
            "SELECT * FROM boards FOR UPDATE",
            "SELECT * FROM boards LOCK IN SHARE MODE",
            "SELECT id INTO OUTFILE 'x' FROM boards",
            "SELECT next_number()",
            "WITH rows_deleted AS (SELECT 1) DELETE FROM boards",
        ];
        assert.deepEqual(reads.map(kindOrRefusalCode), reads.map(() => StatementKind.Read));
        assert.deepEqual(writes.map(kindOrRefusalCode), writes.map(() => StatementKind.Write));
    });

    it("recognizes statements that leave session state on a connection, so that it is not shared", () => {
        const texts = [
            "SELECT @total := 1",
            "CREATE TEMPORARY TABLE t (id INT)",
            "SELECT GET_LOCK('a', 1)",
            "SELECT LAST_INSERT_ID()",
            "LOCK TABLES boards READ",
            "USE other",
        ];
        assert.deepEqual(texts.map(kindOrRefusalCode), texts.map(() => StatementKind.SessionState));
    });

    it("refuses statements that the proxy cannot run correctly", () => {
        const texts = ["SELECT 1; DELETE FROM boards", "PREPARE s FROM 'x'", "SET GLOBAL x = 1", "", "SELECT 'open"];
        assert.deepEqual(texts.map(kindOrRefusalCode), texts.map(() => RefusalCode.StatementUnsupported));
    });

    it("parses attributes from a comment and removes all comments from the statement", () => {
        const result = classify(
            "INSERT INTO boards VALUES (1) -- note\n /*class='orders',request_id='r%2D1',max_age_ms='250'*/",
        ) as ClassifiedRequest;
        assert.equal(result.text, "INSERT INTO boards VALUES (1)");
        assert.equal(result.workClass, "orders");
        assert.equal(result.deadlineMs, 1_500);
        assert.equal(result.targets.maximumAgeMs, 250);
        assert.equal(result.attributes.requestId, "r-1");
    });

    it("refuses malformed attributes instead of running statements with wrong targets", () => {
        const comments = ["max_age_ms='soon'", "class='a b'", "class=orders", "class='orders',class='orders'"];
        const codes = comments.map(comment => kindOrRefusalCode(`SELECT 1 /*${comment}*/`));
        assert.deepEqual(codes, comments.map(() => RefusalCode.MalformedAttribute));
        assert.equal(kindOrRefusalCode("SELECT 1 /*class='unheard'*/"), RefusalCode.UnknownClass);
        assert.equal(kindOrRefusalCode("SELECT 1 /* an ordinary remark */"), StatementKind.Read);
    });

    it("removes comment text from the statement and never throws, for any text", () => {
        const fragment = fc.constantFrom(
            "/*",
            "*/",
            "'",
            "\"",
            "`",
            "\\",
            "--",
            " ",
            "\n",
            "#",
            "a",
            "secret",
            ";",
            "@",
            "(",
        );
        fc.assert(
            fc.property(fc.array(fragment, { maxLength: 30 }), fragments => {
                const text = fragments.join("");
                classify(text);
                const { statement, comments } = tokenizeSql(text);
                assert.ok(statement.length + comments.join("").length <= text.length + comments.length);
            }),
            { seed: 42, numRuns: 2_000 },
        );
        fc.assert(
            fc.property(fc.string().filter(text => !text.includes("*/")), secret => {
                assert.equal(tokenizeSql(`SELECT 1 /*${secret}*/`).statement, "SELECT 1");
            }),
            { seed: 42 },
        );
    });
});
