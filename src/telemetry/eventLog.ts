/** Log lines for refusals, failures and changes of state, within a budget, so that writing never grows with the load. */
import type { LoopObserver } from "../pipeline/eventLoop.ts";
import type { Message } from "../pipeline/message.ts";
import type { LogFields, Logger } from "./logger.ts";

/** Lines a second above which lines are only counted. */
const defaultLinesPerSecond = 20;

/** Words one kind of message as a line; undefined for a message that is not worth one. */
export type LineFormatter = (message: Message) => LogFields | undefined;

export interface EventLogOptions {
    readonly logger: Logger;
    /** By message kind. */
    readonly formatters: ReadonlyMap<string, LineFormatter>;
    readonly linesPerSecond?: number;
}

export class EventLog implements LoopObserver {
    private readonly options: EventLogOptions;
    private windowStartMs = 0;
    private writtenLines = 0;
    private droppedLines = 0;

    constructor(options: EventLogOptions) {
        this.options = options;
    }

    onEvent(message: Message, nowMs: number): void {
        this.write(message, nowMs);
    }

    onOutput(): void {
        // What leaves a pipe and matters to another part is seen as an event; effects are not decisions.
    }

    private write(message: Message, nowMs: number): void {
        const fields = this.options.formatters.get(message.kind)?.(message);
        if (fields !== undefined && this.tryConsumeLineBudget(nowMs)) {
            this.options.logger.info(message.kind, { atMs: Math.round(nowMs), ...fields });
        }
    }

    private tryConsumeLineBudget(nowMs: number): boolean {
        if (nowMs - this.windowStartMs >= 1_000) {
            if (this.droppedLines > 0) {
                this.options.logger.warn("lines dropped", { count: this.droppedLines });
            }
            this.windowStartMs = nowMs;
            this.writtenLines = 0;
            this.droppedLines = 0;
        }
        if (this.writtenLines >= (this.options.linesPerSecond ?? defaultLinesPerSecond)) {
            this.droppedLines += 1;
            return false;
        }
        this.writtenLines += 1;
        return true;
    }
}
