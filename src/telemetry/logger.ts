/** Log lines, for changes of state only; everything that happens often is a counter. */
import loglevel from "loglevel";

/** Fields of one line; values are printed as JSON. */
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

/** Writes lines to standard error through loglevel, one object or one text line each. */
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
        return JSON.stringify({ time, level, instance: options.instanceId, event, ...fields });
    }
    const formattedFields = Object.entries(fields).filter(([, value]) => value !== undefined)
        .map(([key, value]) => `${key}=${JSON.stringify(value)}`);
    return [time, level.toUpperCase(), options.instanceId, event, ...formattedFields].join(" ");
}
