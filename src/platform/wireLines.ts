/** Lines of the wire protocol: splits a byte stream into lines, and lines into words. */

/** Maximum length of a message in the protocol. */
export const maximumLineBytes = 1_048_576;

/** Maps each byte to one character and back, so that texts pass unchanged whatever their encoding is. */
export const wireEncoding = "latin1";

/** Reassembles lines from the chunks of a stream. */
export class LineReader {
    private rest = "";

    /** Size of the incomplete last line. */
    get pendingBytes(): number {
        return this.rest.length;
    }

    /**
     * @returns the complete lines, without line terminators
     * @throws RangeError if a line is longer than the protocol allows
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
