import type { Message } from "../pipeline/message.ts";
import type { LineFormatter } from "../telemetry/eventLog.ts";
import type { LogFields } from "../telemetry/logger.ts";

/** An entry of a table of formatters. */
export function logLine<Kind extends Message>(
    kind: Kind["kind"],
    write: (message: Kind) => LogFields | undefined,
): readonly [string, LineFormatter] {
    return [kind, write as LineFormatter];
}
