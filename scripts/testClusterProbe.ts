/** Single statements that a scenario sends beside the load. */
import mysql from "mysql2/promise";
import type { CallerIdentity } from "../standins/load/connector.ts";
import type { DatabaseAdmin } from "../standins/load/databaseAdmin.ts";

const connectTimeoutMs = 3_000;
const openTimeoutMs = 10_000;

/**
 * Opens a transaction that inserts a token, and leaves it open. Under load a statement may be refused; the transaction
 * is then begun anew on a new connection.
 * @throws Error with the last refusal when none could be opened in time
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

/** Committed balance of a token, or undefined when there is no such token. */
export async function readBalance(admin: DatabaseAdmin, tokenId: number): Promise<number | undefined> {
    const { rows } = await admin.sql(`SELECT balance FROM tokens WHERE id = ${tokenId}`);
    return rows[0] === undefined ? undefined : Number(rows[0][0]);
}
