/** Text on the wire. */

/**
 * Encoding in which the library writes cells and errors; column names are always UTF-8. It encodes a whole row alike, so rows are written one byte per
 * character, which keeps binary cells intact, and text is turned into its UTF-8 bytes before.
 */
export const rowEncoding = "latin1";

/** UTF-8 bytes of a text, one character per byte. */
export function toWireText(text: string): string {
    return isAscii(text) ? text : Buffer.from(text, "utf8").toString("latin1");
}

function isAscii(text: string): boolean {
    return /^[\x00-\x7f]*$/.test(text);
}
