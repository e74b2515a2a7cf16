/** The end of the line: where decisions become effects. */
import type { Message } from "./message.ts";

/** Performs the effect that a message asks for. Results come back as events posted by a source. */
export interface Sink<Input extends Message = Message> {
    readonly accepts: readonly Input["kind"][];
    /** Must not throw and must not post synchronously from inside a filter; it may post to the event loop. */
    deliver(message: Input, nowMs: number): void;
}
