/** JSON encoding of messages in a trace. */
import type { Message } from "./message.ts";

/** Fields whose values must not appear in a trace because they authenticate a caller. */
const secretFields: ReadonlySet<string> = new Set(["doubleSha1Hex", "proofHex"]);

/** Has the format of a digest, so that a replayed command passes the same validation as the recorded one. */
const redactedDigest = "0".repeat(40);

interface EncodedBytes {
    readonly $bytes: string;
}

interface EncodedNumber {
    readonly $number: string;
}

/** Encodes a message as one line of JSON. Undefined fields are omitted; secrets are replaced. */
export function encodeMessage(message: Message): string {
    return encodePlainData(message);
}

/** Like `encodeMessage`, for plain data other than messages. */
export function encodePlainData(data: object): string {
    return JSON.stringify(data, function(this: Record<string, unknown>, key, value: unknown) {
        // JSON.stringify calls `toJSON` first, so `value` of a Buffer is no byte array any more.
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
 * Decodes a message that `encodeMessage` encoded.
 * @throws SyntaxError if the text is not JSON
 */
export function decodeMessage(text: string): Message {
    return JSON.parse(text, (_, value: unknown) => {
        if (typeof value !== "object" || !value) {
            // JSON has no undefined; JSON.stringify writes it as null in arrays.
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
