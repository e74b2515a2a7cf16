import "disposablestack/auto";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { formatAddress } from "../../../standins/database/address.ts";
import { DatabaseProcess } from "../../../standins/database/databaseProcess.ts";
import { ClusterPeerCredentials } from "../../../standins/database/peerCredentials.ts";
import { readDatabaseSettings } from "../../../standins/database/settings.ts";
import { OutcomeKind } from "../../model/outcome.ts";
import { StatementKind } from "../../model/statement.ts";
import { tokenizeSql } from "../../request/sqlTokenizer.ts";
import { classifyStatement } from "../../request/statementKind.ts";
import { MysqlAdapter } from "../mysqlAdapter.ts";
import { FakeMysqlServer } from "./fakeMysqlServer.ts";

const lockingReadInLiteral = "SELECT 'a\\' FOR UPDATE -- '";

async function openDatabase(...parts: readonly string[]): Promise<DatabaseProcess> {
    const flags = "--database-id d2 --group-id g1 --service orders --data-centre flanders --listen 127.0.0.1:0 "
        + "--lag-ms 0 --connect-delay-ms 0 --service-ms 0";
    return DatabaseProcess.open(
        { ...readDatabaseSettings([...flags.split(" "), ...parts]), password: "p" },
        new ClusterPeerCredentials({ cluster: "test", databaseId: "d2", clusterSecret: "a secret of the tests" }),
    );
}

function open(address: string, password = ""): ReturnType<MysqlAdapter["open"]> {
    return new MysqlAdapter({ user: "jasmineline", password }).open(address, 5_000, () => undefined);
}

describe("settings of connections to databases", () => {
    for (const sqlMode of ["", "NO_BACKSLASH_ESCAPES", "ANSI_QUOTES,NO_BACKSLASH_ESCAPES", "ANSI"]) {
        it(`reads a literal as the proxy does when the default sql_mode is "${sqlMode}"`, async () => {
            const replica = ["--role", "replica", "--primary", "127.0.0.1:1", "--sql-mode", sqlMode];
            await using database = await openDatabase(...replica);
            const connection = await open(formatAddress(database.listener.address), "p");
            const kind = classifyStatement(tokenizeSql(lockingReadInLiteral).tokens);
            assert.equal(kind, StatementKind.Read);
            const literal = await connection.execute(lockingReadInLiteral);
            assert.ok(literal.kind === OutcomeKind.Rows, JSON.stringify(literal));
            assert.deepEqual(literal.rows, [["a' FOR UPDATE -- "]]);
            const doubleQuoted = await connection.execute("SELECT \"b\"");
            assert.deepEqual(doubleQuoted.kind === OutcomeKind.Rows && doubleQuoted.rows, [["b"]]);
            connection.destroy();
        });
    }

    for (const completionType of ["CHAIN", "NO_CHAIN"]) {
        for (const autocommit of ["0", "1"]) {
            it(`commits what it acknowledges, no more and no less: autocommit=${autocommit}, ${completionType}`, async () => {
                const defaults = ["--autocommit", autocommit, "--completion-type", completionType];
                await using database = await openDatabase(...defaults);
                const address = formatAddress(database.listener.address);
                const first = await open(address, "p");
                for (
                    const text of [
                        "CREATE TABLE t (a INTEGER)",
                        "INSERT INTO t VALUES (1)",
                        "BEGIN",
                        "INSERT INTO t VALUES (2)",
                        "COMMIT",
                        "INSERT INTO t VALUES (3)",
                        "BEGIN",
                        "INSERT INTO t VALUES (4)",
                        "ROLLBACK",
                        "INSERT INTO t VALUES (5)",
                    ]
                ) {
                    const outcome = await first.execute(text);
                    assert.equal(outcome.kind, OutcomeKind.Done, `${text}: ${JSON.stringify(outcome)}`);
                }
                assert.equal(first.inTransaction, false);
                first.destroy();
                const second = await open(address, "p");
                const read = await second.execute("SELECT a FROM t ORDER BY a");
                assert.deepEqual(read.kind === OutcomeKind.Rows && read.rows.flat(), ["1", "2", "3", "5"]);
                assert.equal(second.inTransaction, false);
                second.destroy();
            });
        }
    }

    it("removes only the modes that move the end of a literal, and sets the character set", async () => {
        await using server = await new FakeMysqlServer().start();
        server.sessionSettings = [
            "ANSI_QUOTES,STRICT_TRANS_TABLES,ANSI,NO_ZERO_DATE",
            "gbk",
            "gbk",
            "utf8mb4",
            "0",
            "CHAIN",
        ];
        const connection = await open(server.address);
        const corrections = server.statements.filter(text => text.startsWith("SET"));
        assert.deepEqual(corrections, [
            "SET SESSION sql_mode = 'STRICT_TRANS_TABLES,NO_ZERO_DATE'",
            "SET NAMES utf8mb4",
            "SET SESSION autocommit = 1",
            "SET SESSION completion_type = 'NO_CHAIN'",
        ]);
        connection.destroy();
    });

    it("opens no connection to a database that keeps a setting under which it reads other text or commits otherwise", async () => {
        await using server = await new FakeMysqlServer().start();
        server.keepsSettings = true;
        server.sessionSettings = ["NO_BACKSLASH_ESCAPES", "utf8mb4", "utf8mb4", "utf8mb4", "1", "NO_CHAIN"];
        await assert.rejects(open(server.address), /keeps sql_mode "NO_BACKSLASH_ESCAPES"/);
        server.sessionSettings = ["", "sjis", "utf8mb4", "utf8mb4", "1", "NO_CHAIN"];
        await assert.rejects(open(server.address), /character sets sjis/);
        server.sessionSettings = ["", "utf8mb4", "utf8mb4", "utf8mb4", "0", "NO_CHAIN"];
        await assert.rejects(open(server.address), /autocommit "0"/);
        server.sessionSettings = ["", "utf8mb4", "utf8mb4", "utf8mb4", "1", "RELEASE"];
        await assert.rejects(open(server.address), /completion_type "RELEASE"/);
    });

    it("asks only once when the settings are right", async () => {
        await using server = await new FakeMysqlServer().start();
        const connection = await open(server.address);
        assert.equal(server.statements.length, 1);
        connection.destroy();
    });
});
