import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { describe, it } from "node:test";
import { CallerKind } from "../../model/callerMessages.ts";
import { OutcomeKind } from "../../model/outcome.ts";
import { RefusalCode, refuse } from "../../model/refusal.ts";
import type { Message } from "../../pipeline/message.ts";
import { StatsdCounters } from "../counters.ts";
import { EventCounters } from "../eventCounters.ts";

describe("counters", () => {
    it("are sent as differences, so that a restart of the agent loses at most one interval", async () => {
        const agent = createSocket("udp4");
        agent.bind(0, "127.0.0.1");
        await once(agent, "listening");
        const received = once(agent, "message");
        const counters = new StatsdCounters({
            agent: { host: "127.0.0.1", port: agent.address().port },
            instanceId: "e1",
        });
        counters.count("answer.served", 2);
        counters.count("answer.served");
        await counters[Symbol.asyncDispose]();
        const [packet] = await received as [Buffer];
        assert.match(packet.toString(), /^jasmineline\.answer\.served:3\|c\|#instance:e1/);
        agent.close();
    });

    it("keep one line and their structure on the way to the agent whatever a name or the instance id holds", async () => {
        const agent = createSocket("udp4");
        agent.bind(0, "127.0.0.1");
        await once(agent, "listening");
        const received = once(agent, "message");
        const counters = new StatsdCounters({
            agent: { host: "127.0.0.1", port: agent.address().port },
            instanceId: "e1,role:admin|g\nforged:1|c|#x",
        });
        counters.count("odd:9|g|#tag:x\nforged:1|c");
        await counters[Symbol.asyncDispose]();
        const [packet] = await received as [Buffer];
        assert.match(packet.toString(), /^jasmineline\.[^:|\n]+:1\|c\|#instance:[^|,\n]+\n?$/);
        agent.close();
    });

    it("count events by kind, and refusals by code and by execution state of the statement", async () => {
        const counters = new StatsdCounters({ agent: undefined, instanceId: "e1" });
        const eventCounters = new EventCounters(counters);
        const refusal = refuse(RefusalCode.Unconfirmed, "confirm");
        eventCounters.onEvent({ kind: CallerKind.Connected });
        eventCounters.onOutput(
            { kind: CallerKind.Answer, outcome: { kind: OutcomeKind.Refused, refusal } } as unknown as Message,
        );
        assert.deepEqual(Object.fromEntries(counters.totals()), {
            "event.caller.connected": 1,
            "answer.outcome_unknown": 1,
            "refusal.unconfirmed": 1,
        });
        await counters[Symbol.asyncDispose]();
    });
});
