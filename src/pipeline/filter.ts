/** The interface of one step of a pipe. */
import type { Message } from "./message.ts";

/**
 * One step of a pipe. A filter decides and nothing else: it performs no I/O, reads no clock and never waits. What takes
 * time is asked for with a message that leaves the pipe, and its result comes back as a later event.
 */
export interface Filter<Input extends Message = Message, Output extends Message = Message> {
    /** Name used in errors, counters and traces. */
    readonly step: string;
    /** Kinds that this filter takes; every other message passes it unchanged. */
    readonly accepts: readonly Input["kind"][];
    /**
     * Handles one message.
     * @param message a message whose kind is in `accepts`
     * @param nowMs monotonic time of the event in milliseconds; never falls
     * @returns messages for the filters behind this one, in order; return `message` itself to pass it on
     */
    process(message: Input, nowMs: number): readonly Output[];
}
