/** Interface of the components that execute the effects that filters decide on. */
import type { Message } from "./message.ts";

/** Executes the effect that a message requests. Results are posted to the event loop as events. */
export interface Sink<Input extends Message = Message> {
    readonly accepts: readonly Input["kind"][];
    /** Must not throw and must not call pipes or filters directly; it may post to the event loop. */
    deliver(message: Input, nowMs: number): void;
}
