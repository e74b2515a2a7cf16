import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Message } from "../../pipeline/message.ts";
import { EffectLog } from "../effectLog.ts";
import type { LogFields, Logger } from "../logger.ts";

describe("the log of effects", () => {
    it("has a limit of its own", () => {
        const lines: string[] = [];
        const record = (event: string, fields?: LogFields): void => {
            lines.push(`${event} ${JSON.stringify(fields ?? {})}`);
        };
        const logger = { info: record, warn: record, error: record } as unknown as Logger;
        const formatters = new Map([["order", (message: Message) => ({ id: (message as { id?: number; }).id ?? 0 })]]);
        const log = new EffectLog({ logger, formatters, accepts: ["order"], linesPerSecond: 2 });
        [1, 2, 3].forEach(id => log.deliver({ kind: "order", id } as Message, 1_000));
        log.deliver({ kind: "order", id: 4 } as Message, 2_100);
        assert.deepEqual(lines, [
            "order {\"atMs\":1000,\"id\":1}",
            "order {\"atMs\":1000,\"id\":2}",
            "lines dropped {\"count\":1}",
            "order {\"atMs\":2100,\"id\":4}",
        ]);
    });
});
