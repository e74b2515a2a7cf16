/**
 * Messages of the users' wire protocol, written from its description. The product's own codec is not used, so that an
 * error in one of the two shows.
 */

/**
 * Largest message. The description leaves open whether the end of a message counts: it does in what is sent here, and does
 * not in what is read.
 */
export const maximumMessageBytes = 1_048_576;

const messageEnd = "\r\n";

/** Maps each byte to one character and back. */
const encoding = "latin1";

export const MessageKind = {
    Connect: "CONNECT",
    Query: "QUERY",
    Quit: "QUIT",
    Row: "ROW",
    Complete: "COMPLETE",
    Error: "ERROR",
    Ready: "READY",
} as const;
export type MessageKind = typeof MessageKind[keyof typeof MessageKind];

export interface WireMessage {
    readonly kind: MessageKind;
    /** Characters are bytes. Fields at the end may be missing. */
    readonly fields: readonly string[];
}

/** Number of fields; the last one extends to the end of the message. */
const fieldCounts: Readonly<Record<MessageKind, number>> = {
    /** Database and key from a client; service, caller and expected id to a database. */
    CONNECT: 3,
    QUERY: 2,
    QUIT: 0,
    ROW: 1,
    COMPLETE: 1,
    ERROR: 2,
    READY: 2,
};

/** What arrived is not a message of the protocol. */
export class WireError extends Error {
    override readonly name = "WireError";
}

/** @throws WireError if the protocol has no message with these fields */
export function encodeMessage(kind: MessageKind, ...fields: readonly string[]): Buffer {
    const isCut = (field: string, index: number): boolean => index < fields.length - 1 && field.includes(" ");
    if (fields.length > fieldCounts[kind] || fields.some(isCut) || fields.some(field => field.includes(messageEnd))) {
        throw new WireError(`no ${kind} has the fields ${show(JSON.stringify(fields))}`);
    }
    const line = [kind, ...fields].join(" ") + messageEnd;
    const bytes = Buffer.from(line, encoding);
    if (bytes.length > maximumMessageBytes || bytes.toString(encoding) !== line) {
        throw new WireError(`too long, or not a text of bytes: ${show(line)}`);
    }
    return bytes;
}

/** Size that the last field of a message may have behind the other fields. */
export function lastFieldRoom(kind: MessageKind, ...fields: readonly string[]): number {
    return maximumMessageBytes - encodeMessage(kind, ...fields, "").length;
}

/**
 * Splits a text at blanks into at most `count` fields, of which the last one extends to the end.
 * @returns undefined if the text holds more
 */
export function splitFields(text: string, count: number): readonly string[] | undefined {
    const fields: string[] = [];
    let start = 0;
    while (fields.length < count - 1) {
        const end = text.indexOf(" ", start);
        if (end === -1) {
            break;
        }
        fields.push(text.slice(start, end));
        start = end + 1;
    }
    return count === 0 ? undefined : [...fields, text.slice(start)];
}

/** Cuts a stream into messages, whatever its chunks are. */
export class MessageReader {
    private pending: Buffer[] = [];
    private pendingBytes = 0;

    /**
     * Yields the messages that end in the chunk. The caller takes all of them, or none any more.
     * @throws WireError at what is not a message, behind the messages before it
     */
    *read(chunk: Buffer): Generator<WireMessage> {
        let start = 0;
        if (this.pending.at(-1)?.at(-1) === 0x0d && chunk[0] === 0x0a) {
            start = 1;
            yield this.take(chunk.subarray(0, start));
        }
        for (let end = chunk.indexOf(messageEnd, start); end !== -1; end = chunk.indexOf(messageEnd, start)) {
            const next = end + messageEnd.length;
            const last = chunk.subarray(start, next);
            start = next;
            yield this.take(last);
        }
        if (start < chunk.length) {
            this.keep(chunk.subarray(start));
        }
    }

    private take(last: Buffer): WireMessage {
        this.keep(last);
        const bytes = Buffer.concat(this.pending);
        this.pending = [];
        this.pendingBytes = 0;
        return decodeMessage(bytes.toString(encoding, 0, bytes.length - messageEnd.length));
    }

    private keep(part: Buffer): void {
        this.pending.push(part);
        this.pendingBytes += part.length;
        if (this.pendingBytes > maximumMessageBytes + messageEnd.length) {
            throw new WireError(
                `a message exceeds ${maximumMessageBytes} bytes: ${show(this.pending[0]!.toString(encoding))}`,
            );
        }
    }
}

/** Shortens a text for a report, in which every byte can be seen. */
export function show(text: string): string {
    const maximumLength = 160;
    const shown = JSON.stringify(text.slice(0, maximumLength));
    return text.length > maximumLength ? `${shown}... (${text.length} bytes)` : shown;
}

function decodeMessage(line: string): WireMessage {
    const [word, rest] = splitFields(line, 2) as [string, string | undefined];
    const kind = Object.values(MessageKind).find(name => name === word);
    const fields = kind === undefined || rest === undefined ? [] : splitFields(rest, fieldCounts[kind]);
    if (kind === undefined || fields === undefined) {
        throw new WireError(`not a message: ${show(line)}`);
    }
    return { kind, fields };
}
