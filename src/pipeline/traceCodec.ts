/** The text form of messages in a trace. */
import type { Message } from "./message.ts";

/** Fields whose values never reach a trace: what proves a caller's key. */
const secretFields: ReadonlySet<string> = new Set(["doubleSha1Hex", "proofHex"]);

/** Has the form of a digest, so that a replay of a command with a digest validates like the original. */
const redactedDigest = "0".repeat(40);

interface EncodedBytes {
    readonly $bytes: string;
}

interface EncodedNumber {
    readonly $number: string;
}

/** Writes a message as one line of JSON. Undefined fields are left out; secrets are replaced. */
export function encodeMessage(message: Message): string {
    return encodePlainData(message);
}

/** Like `encodeMessage`, for other plain data. */
export function encodePlainData(data: object): string {
    return JSON.stringify(data, function(this: Record<string, unknown>, key, value: unknown) {
        // JSON.stringify has already called toJSON, which turns byte arrays into something else.
        const original = this[key];
        if (secretFields.has(key)) {
            return redactedDigest;
        }
        if (original instanceof Uint8Array) {
            return { $bytes: toHex(original) } satisfies EncodedBytes;
        }
        if (typeof value === "number" && !Number.isFinite(value)) {
            return { $number: String(value) } satisfies EncodedNumber;
        }
        if (original instanceof Map || original instanceof Set) {
            throw new Error(`field "${key}" is a Map or Set; messages hold plain data`);
        }
        return value;
    });
}

/**
 * Reads what `encodeMessage` wrote.
 * @throws SyntaxError when the text is not JSON
 */
export function decodeMessage(text: string): Message {
    return JSON.parse(text, (_, value: unknown) => {
        if (typeof value !== "object" || !value) {
            // JSON has no undefined; inside arrays it was written as null.
            return value ?? undefined;
        }
        if ("$bytes" in value) {
            return fromHex((value as EncodedBytes).$bytes);
        }
        return "$number" in value ? Number((value as EncodedNumber).$number) : value;
    }) as Message;
}

function toHex(bytes: Uint8Array): string {
    return Array.from(bytes, byte => byte.toString(16).padStart(2, "0")).join("");
}

function fromHex(text: string): Uint8Array {
    return Uint8Array.from(
        { length: text.length / 2 },
        (_, index) => parseInt(text.slice(2 * index, 2 * index + 2), 16),
    );
}
