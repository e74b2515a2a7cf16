/** Log lines for messages that leave the pipes for good: orders and decisions, which no other pipe processes. */
import type { Message } from "../pipeline/message.ts";
import type { Sink } from "../pipeline/sink.ts";
import { EventLog, type EventLogOptions } from "./eventLog.ts";

export interface EffectLogOptions extends EventLogOptions {
    /** Message kinds to log. */
    readonly accepts: readonly string[];
}

/** Has a limit of lines of its own, so that failures under load don't displace decisions. */
export class EffectLog implements Sink {
    readonly accepts: readonly string[];
    private readonly log: EventLog;

    constructor(options: EffectLogOptions) {
        this.accepts = options.accepts;
        this.log = new EventLog(options);
    }

    deliver(message: Message, nowMs: number): void {
        this.log.onEvent(message, nowMs);
    }
}
