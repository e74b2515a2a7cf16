/** Encodes text for MySQL packets. */

/**
 * Encoding in which mysql2 writes cells and errors; it always writes column names in UTF-8. mysql2 uses one encoding
 * for a whole row, so rows are written as latin1, one byte per character, which preserves binary cells. `toWireText`
 * converts text cells to their UTF-8 bytes beforehand.
 */
export const rowEncoding = "latin1";

/** Returns the UTF-8 bytes of a text as a string with one character per byte. */
export function toWireText(text: string): string {
    return isAscii(text) ? text : Buffer.from(text, "utf8").toString("latin1");
}

function isAscii(text: string): boolean {
    return /^[\x00-\x7f]*$/.test(text);
}
