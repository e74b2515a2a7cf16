/** Statement texts of the proxy model; each contains the statement id, by which a model database identifies it. */

export function readText(statementId: number): string {
    return `SELECT ${statementId}`;
}

export function writeText(statementId: number): string {
    return `INSERT INTO entries VALUES (${statementId})`;
}

export function isWriteText(text: string): boolean {
    return text.startsWith("INSERT");
}

export function parseStatementId(text: string): number {
    return Number(/\d+/.exec(text)?.[0]);
}
