/** Structured logging, for changes of state only; frequent events are counted instead. */
import loglevel from "loglevel";
import { escapeInvisible } from "../model/visibleText.ts";

/** Fields of a log line; values are formatted as JSON. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

export interface Logger {
    debug(event: string, fields?: LogFields): void;
    info(event: string, fields?: LogFields): void;
    warn(event: string, fields?: LogFields): void;
    error(event: string, fields?: LogFields): void;
}

export interface LoggerOptions {
    readonly format: "json" | "text";
    readonly level: "debug" | "info" | "warn" | "error";
    readonly instanceId: string;
}

type Method = keyof Logger;

/** Longer values are cut: a detail can be the text of a peer, whose length only the size of a message limits. */
const maximumValueLength = 4_096;

/** Creates a logger on loglevel that writes one JSON object or text line per event to standard error. */
export function createLogger(options: LoggerOptions): Logger {
    const log = loglevel.getLogger(`jasmineline:${options.instanceId}`);
    log.methodFactory = method => (event: string, fields: LogFields = {}) => {
        process.stderr.write(`${formatLine(options, method, event, fields)}\n`);
    };
    log.setLevel(options.level, false);
    const write = (method: Method) => (event: string, fields?: LogFields): void => log[method](event, fields);
    return { debug: write("debug"), info: write("info"), warn: write("warn"), error: write("error") };
}

function formatLine(options: LoggerOptions, level: string, event: string, fields: LogFields): string {
    const time = new Date().toISOString();
    if (options.format === "json") {
        return formatValue({ time, level, instance: options.instanceId, event, ...fields });
    }
    const formattedFields = Object.entries(fields).filter(([, value]) => value !== undefined)
        .map(([key, value]) => `${key}=${formatValue(value)}`);
    return [time, level.toUpperCase(), options.instanceId, event, ...formattedFields].join(" ");
}

/** Formats as JSON that stays on one line and shows every character. */
function formatValue(value: unknown): string {
    return escapeInvisible(JSON.stringify(value, (_, part: unknown) => typeof part === "string" ? cut(part) : part));
}

function cut(text: string): string {
    return text.length <= maximumValueLength
        ? text
        : `${text.slice(0, maximumValueLength)}... (${text.length} characters)`;
}
