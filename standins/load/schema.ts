/** Tables that the load uses, which exist in every service. */

export const tokenCount = 40;
export const tokenBalance = 1_000;
export const pairCount = 4;
/** One register per caller. */
export const registerCount = 64;

/** Statements that create and fill the tables in an empty database. */
export function schemaStatements(): readonly string[] {
    return [
        "CREATE TABLE orders (id BIGINT NOT NULL AUTO_INCREMENT PRIMARY KEY, request_id VARCHAR(64), "
        + "workspace VARCHAR(64), item INT, amount INT) ENGINE=InnoDB",
        "CREATE TABLE tokens (id INT PRIMARY KEY, balance INT) ENGINE=InnoDB",
        "CREATE TABLE redemptions (id BIGINT NOT NULL AUTO_INCREMENT PRIMARY KEY, request_id VARCHAR(64), "
        + "token_id INT) ENGINE=InnoDB",
        "CREATE TABLE registers (id INT PRIMARY KEY, value INT) ENGINE=InnoDB",
        "CREATE TABLE pairs (pair_id INT, half VARCHAR(1), stamp VARCHAR(64)) ENGINE=InnoDB",
        `INSERT INTO tokens (id, balance) VALUES ${joinRows(tokenCount, id => `(${id}, ${tokenBalance})`)}`,
        `INSERT INTO registers (id, value) VALUES ${joinRows(registerCount, id => `(${id}, 0)`)}`,
        `INSERT INTO pairs (pair_id, half, stamp) VALUES ${
            joinRows(pairCount, id => `(${id}, 'a', ''), (${id}, 'b', '')`)
        }`,
    ];
}

function joinRows(count: number, formatRow: (id: number) => string): string {
    return Array.from({ length: count }, (_unused, id) => formatRow(id)).join(", ");
}
