/** Log lines for refusals, failures and changes of state, within a budget, so that writing never grows with the load. */
import type { LoopObserver } from "../pipeline/eventLoop.ts";
import type { Message } from "../pipeline/message.ts";
import type { LogFields, Logger } from "./logger.ts";

/** Lines a second above which lines are only counted. */
const defaultLinesPerSecond = 20;

/** Words one kind of message as a line; undefined for a message that is not worth one. */
export type LineWriter = (message: Message) => LogFields | undefined;

export interface DecisionLogOptions {
    readonly logger: Logger;
    /** By message kind. */
    readonly writers: ReadonlyMap<string, LineWriter>;
    readonly linesPerSecond?: number;
}

export class DecisionLog implements LoopObserver {
    private readonly options: DecisionLogOptions;
    private windowStartMs = 0;
    private written = 0;
    private dropped = 0;

    constructor(options: DecisionLogOptions) {
        this.options = options;
    }

    event(message: Message, nowMs: number): void {
        this.write(message, nowMs);
    }

    output(): void {
        // What leaves a pipe and matters to another part is seen as an event; effects are not decisions.
    }

    private write(message: Message, nowMs: number): void {
        const fields = this.options.writers.get(message.kind)?.(message);
        if (fields !== undefined && this.mayWrite(nowMs)) {
            this.options.logger.info(message.kind, { atMs: Math.round(nowMs), ...fields });
        }
    }

    private mayWrite(nowMs: number): boolean {
        if (nowMs - this.windowStartMs >= 1_000) {
            if (this.dropped > 0) {
                this.options.logger.warn("lines dropped", { count: this.dropped });
            }
            this.windowStartMs = nowMs;
            this.written = 0;
            this.dropped = 0;
        }
        if (this.written >= (this.options.linesPerSecond ?? defaultLinesPerSecond)) {
            this.dropped += 1;
            return false;
        }
        this.written += 1;
        return true;
    }
}
