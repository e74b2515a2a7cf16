/** Interface of the steps of a pipe. */
import type { Message } from "./message.ts";

/**
 * One step of a pipe (as in the pipes-and-filters pattern). A filter contains only decision logic: it performs no I/O,
 * reads no clock and never waits. It requests asynchronous work with a message that leaves the pipe and receives the
 * result as a later event.
 */
export interface Filter<Input extends Message = Message, Output extends Message = Message> {
    /** Name in errors, counters and traces. */
    readonly step: string;
    /** Message kinds that this filter processes; other messages skip it. */
    readonly accepts: readonly Input["kind"][];
    /**
     * Handles one message.
     * @param message a message whose kind is in `accepts`
     * @param nowMs monotonic time of the event in milliseconds
     * @returns messages for the subsequent filters, in order; to pass on the message, return `message` itself
     */
    process(message: Input, nowMs: number): readonly Output[];
}
