/** Trace files: one JSON object per line. */
import { createWriteStream, readFileSync, type WriteStream } from "node:fs";
import { type TraceLine, TraceLineKind } from "../pipeline/trace.ts";

/** Writes lines to a new file; disposal waits until all lines are written. */
export class TraceFileWriter implements AsyncDisposable {
    private readonly stream: WriteStream;

    /** If the file exists or cannot be created, the stream emits an `error` event. */
    constructor(path: string) {
        // A trace contains statement texts, so only the owner of the file may read it.
        this.stream = createWriteStream(path, { flags: "wx", mode: 0o600 });
    }

    write(line: TraceLine): void {
        this.stream.write(`${JSON.stringify(line)}\n`);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await new Promise<void>(resolve => this.stream.end(() => resolve()));
    }
}

/**
 * Reads a trace. An incomplete last line, left by a process that ended while writing, is ignored.
 * @throws Error that names the file and the line
 */
export function readTraceFile(path: string): readonly TraceLine[] {
    const texts = readFileSync(path, "utf8").split("\n");
    const isLastLineTruncated = texts.at(-1) !== "";
    const completeLines = texts.slice(0, isLastLineTruncated ? -1 : undefined).filter(text => text !== "");
    const lines = completeLines.map((text, index) => parseLine(path, text, index + 1));
    if (lines[0]?.line !== TraceLineKind.Header) {
        throw new Error(`${path} does not begin with a trace header; give a file written by --record-trace`);
    }
    return lines;
}

function parseLine(path: string, text: string, lineNumber: number): TraceLine {
    try {
        return JSON.parse(text) as TraceLine;
    }
    catch (error) {
        throw new Error(`${path}, line ${lineNumber} is not a trace line: ${(error as Error).message}`, {
            cause: error,
        });
    }
}
