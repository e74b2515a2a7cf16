/** The former reader of the wire protocol, which ended a message at a line feed; a baseline for its successor. */
import { maximumLineBytes, wireEncoding } from "../src/platform/wireLines.ts";

export class LineFeedReader {
    private rest = "";

    /** @throws RangeError if a line is longer than the protocol allows */
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
