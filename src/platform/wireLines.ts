/** Lines of the wire protocol: splitting a byte stream, and the words of a line. */

/** Longest message of the protocol. */
export const maximumLineBytes = 1_048_576;

/**
 * Bytes are read and written one to one, so that texts pass unchanged whatever their encoding is.
 */
export const wireEncoding = "latin1";

/** Collects chunks of a stream into lines. */
export class LineReader {
    private rest = "";

    /** Bytes received that do not yet make a line. */
    get pendingBytes(): number {
        return this.rest.length;
    }

    /**
     * @returns the complete lines without their ends
     * @throws RangeError when a line is longer than the protocol allows
     */
    push(chunk: Buffer): readonly string[] {
        const text = this.rest + chunk.toString(wireEncoding);
        const lines = text.split("\n");
        this.rest = lines.pop()!;
        if (this.rest.length > maximumLineBytes || lines.some(line => line.length > maximumLineBytes)) {
            throw new RangeError(`a message exceeds ${maximumLineBytes} bytes`);
        }
        return lines.map(line => line.endsWith("\r") ? line.slice(0, -1) : line);
    }
}

/** Splits off the first `count` words; the last element is the rest of the line, empty when there is none. */
export function splitWords(line: string, count: number): readonly string[] {
    const words: string[] = [];
    let rest = line;
    for (let index = 0; index < count; index++) {
        const blank = rest.indexOf(" ");
        words.push(blank === -1 ? rest : rest.slice(0, blank));
        rest = blank === -1 ? "" : rest.slice(blank + 1);
    }
    return [...words, rest];
}
