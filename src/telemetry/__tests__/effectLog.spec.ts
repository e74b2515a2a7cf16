import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Message } from "../../pipeline/message.ts";
import { EffectLog } from "../effectLog.ts";
import { EventLog } from "../eventLog.ts";
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

    it("keeps warnings of its own among 1,000 other lines in the same second", () => {
        // Guards against a record of warnings that does not tell why a database was chosen.
        const warnings: string[] = [];
        const logger = {
            info: () => undefined,
            warn: (event: string) => warnings.push(event),
        } as unknown as Logger;
        const fields = (): LogFields => ({});
        const loads = new EventLog({ logger, formatters: new Map([["load", fields]]) });
        const decisions = {
            logger,
            formatters: new Map([["decision", fields], ["answer", fields]]),
            level: "warn",
        } as const;
        const effects = new EffectLog({ ...decisions, accepts: ["decision"] });
        const events = new EventLog(decisions);
        for (let index = 0; index < 1_000; index++) {
            [loads, events].forEach(log => log.onEvent({ kind: "load" }, 1_000 + index / 2));
            if (index % 100 === 99) {
                effects.deliver({ kind: "decision" }, 1_000 + index / 2);
                events.onEvent({ kind: "answer" }, 1_000 + index / 2);
            }
        }
        assert.deepEqual(warnings, Array.from({ length: 10 }, () => ["decision", "answer"]).flat());
    });
});
