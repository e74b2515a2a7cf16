/** Records the events and outputs of an event loop and replays them through the same filters. */
import type { LoopObserver } from "./eventLoop.ts";
import type { Message } from "./message.ts";
import type { Pipe } from "./pipe.ts";
import { decodeMessage, encodeMessage, encodePlainData } from "./traceCodec.ts";

export const TraceLineKind = {
    Header: "header",
    Event: "event",
    Output: "output",
} as const;

/** One line of a trace file; `message` is a message encoded as JSON. */
export type TraceLine =
    | { readonly line: typeof TraceLineKind.Header; readonly options: unknown; }
    | { readonly line: typeof TraceLineKind.Event; readonly atMs: number; readonly message: string; }
    | { readonly line: typeof TraceLineKind.Output; readonly pipe: string; readonly message: string; };

/** Writes each event and each message that leaves a pipe as one line. */
export class TraceRecorder implements LoopObserver {
    private readonly write: (line: TraceLine) => void;

    /** @param options of the pipes, so that a replay can build equal ones */
    constructor(options: object, write: (line: TraceLine) => void) {
        this.write = write;
        write({ line: TraceLineKind.Header, options: JSON.parse(encodePlainData(options)) });
    }

    onEvent(message: Message, nowMs: number): void {
        this.write({ line: TraceLineKind.Event, atMs: nowMs, message: encodeMessage(message) });
    }

    onOutput(message: Message, pipe: string): void {
        this.write({ line: TraceLineKind.Output, pipe, message: encodeMessage(message) });
    }
}

/** The first output of a replay that differs from the recorded one. */
export interface TraceDifference {
    /** Line number in the trace, counted from 1. */
    readonly lineNumber: number;
    readonly event: string;
    readonly recorded: string;
    readonly replayed: string;
}

export interface ReplayResult {
    readonly events: number;
    readonly outputs: number;
    readonly difference: TraceDifference | undefined;
}

/** Called with each recorded event and its recorded outputs before the event is replayed. */
export type BeforeEvent = (event: Message, recordedOutputs: readonly string[]) => void;

/** Passes recorded events through newly built pipes and compares their outputs with the recorded ones. */
export function replayTrace(
    lines: Iterable<TraceLine>,
    pipes: readonly Pipe[],
    beforeEvent: BeforeEvent = () => undefined,
): ReplayResult {
    const recordedEvents = groupByEvent(lines);
    let outputs = 0;
    for (const { event, atMs, lineNumber, recorded } of recordedEvents) {
        const message = decodeMessage(event);
        beforeEvent(message, recorded);
        const replayed = pipes.filter(pipe => pipe.accepts.has(message.kind))
            .flatMap(pipe => pipe.process(message, atMs).map(output => encodeMessage(output)));
        const differenceIndex = firstDifferenceIndex(recorded, replayed);
        if (differenceIndex !== undefined) {
            const difference = {
                lineNumber: lineNumber + 1 + differenceIndex,
                event,
                recorded: recorded[differenceIndex] ?? "nothing",
                replayed: replayed[differenceIndex] ?? "nothing",
            };
            return { events: recordedEvents.length, outputs, difference };
        }
        outputs += recorded.length;
    }
    return { events: recordedEvents.length, outputs, difference: undefined };
}

interface RecordedEvent {
    readonly event: string;
    readonly atMs: number;
    readonly lineNumber: number;
    readonly recorded: string[];
}

function groupByEvent(lines: Iterable<TraceLine>): readonly RecordedEvent[] {
    const recordedEvents: RecordedEvent[] = [];
    let lineNumber = 0;
    for (const line of lines) {
        lineNumber += 1;
        if (line.line === TraceLineKind.Event) {
            recordedEvents.push({ event: line.message, atMs: line.atMs, lineNumber, recorded: [] });
        }
        else if (line.line === TraceLineKind.Output) {
            recordedEvents.at(-1)?.recorded.push(line.message);
        }
    }
    return recordedEvents;
}

function firstDifferenceIndex(recorded: readonly string[], replayed: readonly string[]): number | undefined {
    const length = Math.max(recorded.length, replayed.length);
    for (let index = 0; index < length; index++) {
        if (recorded[index] !== replayed[index]) {
            return index;
        }
    }
    return undefined;
}
