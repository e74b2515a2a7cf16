/** Names and keys that JSON texts and paths of the platform hold, and that the wire protocol carries as its fields. */
import { wireEncoding } from "./wireLines.ts";

/** With names of this length, a CONNECT stays far below the limit of a message. */
export const maximumNameBytes = 65_536;

/** Bytes of a word: no blank, no control character. */
const wordPattern = /^[!-~\x80-\xff]+$/;

const asciiPattern = /^[ -~]*$/;

/** What a name must be, for error messages. */
export const wordRule = `must be one word of 1 to ${maximumNameBytes} bytes, without blanks and control characters`;
export const keyRule = `must have 1 to ${maximumNameBytes} bytes and no line end (CR LF)`;

/** The wire carries the UTF-8 bytes of a name; within the process, one character stands for one byte. */
export function toWireName(name: string): string {
    return asciiPattern.test(name) ? name : Buffer.from(name, "utf8").toString(wireEncoding);
}

export function fromWireName(wireName: string): string {
    return Buffer.from(wireName, wireEncoding).toString("utf8");
}

/** Whether the wire can carry the name as one word of a line. */
export function isWireWord(wireName: string, maximumBytes = maximumNameBytes): boolean {
    return wireName.length <= maximumBytes && wordPattern.test(wireName);
}

/** Whether a caller can send the key, which is the last field of its line. */
export function isWireKey(wireKey: string): boolean {
    return wireKey !== "" && wireKey.length <= maximumNameBytes && !wireKey.includes("\r\n");
}
