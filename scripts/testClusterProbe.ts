/** Single statements that a scenario sends in addition to the load. */
import mysql from "mysql2/promise";
import type { CallerIdentity } from "../standins/load/connector.ts";
import type { DatabaseAdmin } from "../standins/load/databaseAdmin.ts";

const connectTimeoutMs = 3_000;
const openTimeoutMs = 10_000;

/**
 * Begins a transaction, inserts a token and leaves the transaction open. A statement may be refused under load; the
 * transaction is then retried on a new connection.
 * @throws Error with the last refusal if no transaction could be opened in time
 */
export async function openTransaction(
    mysqlPort: number,
    identity: CallerIdentity,
    service: string,
    tokenId: number,
): Promise<mysql.Connection> {
    const endMs = performance.now() + openTimeoutMs;
    for (;;) {
        const connection = await mysql.createConnection({
            host: "127.0.0.1",
            port: mysqlPort,
            user: identity.keyId,
            password: identity.secret,
            database: service,
            connectTimeout: connectTimeoutMs,
        });
        connection.on("error", () => undefined);
        try {
            await connection.query("BEGIN");
            await connection.query(`INSERT INTO tokens (id, balance) VALUES (${tokenId}, 0)`);
            return connection;
        }
        catch (error) {
            connection.destroy();
            if (performance.now() >= endMs) {
                throw error;
            }
        }
    }
}

/** Committed balance of a token; undefined if the token does not exist. */
export async function readBalance(admin: DatabaseAdmin, tokenId: number): Promise<number | undefined> {
    const { rows } = await admin.sql(`SELECT balance FROM tokens WHERE id = ${tokenId}`);
    return rows[0] === undefined ? undefined : Number(rows[0][0]);
}
