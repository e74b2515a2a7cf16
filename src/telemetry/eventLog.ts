/** Log lines for refusals, failures and changes of state, rate-limited so that the log does not grow with the load. */
import type { LoopObserver } from "../pipeline/eventLoop.ts";
import type { Message } from "../pipeline/message.ts";
import type { LogFields, Logger } from "./logger.ts";

/** Further lines within the same second are dropped and counted. */
const defaultLinesPerSecond = 20;

/** Returns the fields of the log line for a message, or undefined if the message is not to be logged. */
export type LineFormatter = (message: Message) => LogFields | undefined;

export interface EventLogOptions {
    readonly logger: Logger;
    /** Formatters by message kind; other kinds are not logged. */
    readonly formatters: ReadonlyMap<string, LineFormatter>;
    readonly linesPerSecond?: number;
    /** Level of the lines; `info` by default. */
    readonly level?: "info" | "warn";
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
        // An output that another pipe accepts is logged when it is processed as an event; effects are not logged.
    }

    private write(message: Message, nowMs: number): void {
        const fields = this.options.formatters.get(message.kind)?.(message);
        if (fields !== undefined && this.tryConsumeLineBudget(nowMs)) {
            this.options.logger[this.options.level ?? "info"](message.kind, { atMs: Math.round(nowMs), ...fields });
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
