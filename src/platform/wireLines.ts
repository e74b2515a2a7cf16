/** Lines of the wire protocol: splits a byte stream into lines, and lines into words. */

/** Maximum length of a message in the protocol, without its terminator. */
export const maximumLineBytes = 1_048_576;

/** Maps each byte to one character and back, so that texts pass unchanged whatever their encoding is. */
export const wireEncoding = "latin1";

/** Ends a message; a line feed or carriage return alone belongs to the text of the message. */
export const lineTerminator = "\r\n";

/** Minimum of parts of an incomplete message before they are joined. */
const minimumJoinedParts = 64;

/** Reassembles lines from the chunks of a stream. The time is linear in the bytes, whatever the chunks are. */
export class LineReader {
    /** Parts of the incomplete last line. */
    private parts: string[] = [];
    private partsBytes = 0;
    /** The last byte was a carriage return, which may begin a terminator; it is not in the parts. */
    private endsInReturn = false;

    /** Size of the incomplete last line. */
    get pendingBytes(): number {
        return this.partsBytes + Number(this.endsInReturn);
    }

    /**
     * @returns the complete lines, without line terminators
     * @throws RangeError if a line is longer than the protocol allows
     */
    push(chunk: Buffer): readonly string[] {
        const lines = this.textOf(chunk).split(lineTerminator);
        const rest = lines.pop()!;
        if (lines.length > 0) {
            lines[0] = this.complete(lines[0]!);
        }
        // A part of a chunk would hold all of the chunk in memory.
        const isPart = rest !== "" && lines.length > 0;
        this.append(isPart ? Buffer.from(rest, wireEncoding).toString(wireEncoding) : rest);
        if (chunk.length + this.partsBytes > maximumLineBytes) {
            lines.forEach(line => requireAllowed(line.length));
            requireAllowed(this.partsBytes);
        }
        return lines;
    }

    /** Returns the text of a chunk, with a carriage return that was held back, and holds back the one at its end. */
    private textOf(chunk: Buffer): string {
        const received = chunk.toString(wireEncoding);
        const text = this.endsInReturn ? `\r${received}` : received;
        this.endsInReturn = text.endsWith("\r");
        return this.endsInReturn ? text.slice(0, -1) : text;
    }

    private complete(lastPart: string): string {
        if (this.partsBytes === 0) {
            return lastPart;
        }
        const line = this.parts.length === 1 ? this.parts[0]! + lastPart : this.parts.join("") + lastPart;
        this.parts = [];
        this.partsBytes = 0;
        requireAllowed(line.length);
        return line;
    }

    private append(part: string): void {
        if (part === "") {
            return;
        }
        this.parts.push(part);
        this.partsBytes += part.length;
        // The number of parts grows with the size, so that each byte is joined a limited number of times.
        if (this.parts.length > minimumJoinedParts + this.partsBytes / minimumJoinedParts) {
            this.parts = [this.parts.join("")];
        }
    }
}

function requireAllowed(lineBytes: number): void {
    if (lineBytes > maximumLineBytes) {
        throw new RangeError(`a message exceeds ${maximumLineBytes} bytes`);
    }
}

/** Returns the first `count` words and, as the last element, the rest of the line. Missing parts are empty. */
export function splitWords(line: string, count: number): readonly string[] {
    const words: string[] = [];
    let rest = line;
    for (let index = 0; index < count; index++) {
        const separatorIndex = rest.indexOf(" ");
        words.push(separatorIndex === -1 ? rest : rest.slice(0, separatorIndex));
        rest = separatorIndex === -1 ? "" : rest.slice(separatorIndex + 1);
    }
    return [...words, rest];
}
