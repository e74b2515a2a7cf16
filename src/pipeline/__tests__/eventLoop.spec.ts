import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setDeadline } from "../deadlineQueue.ts";
import { EventLoop } from "../eventLoop.ts";
import type { Filter } from "../filter.ts";
import type { Message } from "../message.ts";
import { Pipe } from "../pipe.ts";
import type { Sink } from "../sink.ts";
import { VirtualClock } from "../virtualClock.ts";

interface NumberMessage extends Message {
    readonly value: number;
}

class IncrementFilter implements Filter<NumberMessage> {
    readonly step = "increment";
    readonly accepts = ["number"];

    process(message: NumberMessage): readonly NumberMessage[] {
        return [{ kind: "number", value: message.value + 1 }];
    }
}

class DelayFilter implements Filter<NumberMessage> {
    readonly step = "delay";
    readonly accepts = ["number"];

    process(message: NumberMessage, nowMs: number): readonly Message[] {
        return [setDeadline("delayed", nowMs + message.value, { ...message, kind: "result" })];
    }
}

class Collector implements Sink<NumberMessage> {
    readonly accepts = ["result"];
    readonly received: { readonly value: number; readonly atMs: number; }[] = [];

    deliver(message: NumberMessage, nowMs: number): void {
        this.received.push({ value: message.value, atMs: nowMs });
    }
}

describe("event loop", () => {
    it("passes a message through the filters in order and posts a delayed message at its deadline", () => {
        const clock = new VirtualClock();
        const collector = new Collector();
        const loop = new EventLoop({
            clock,
            pipes: [
                new Pipe("only", [new IncrementFilter(), new DelayFilter()]),
                new Pipe("end", [new RenameFilter()]),
            ],
            sinks: [new RenamedSink(collector)],
        });
        loop.post({ kind: "number", value: 4 } as NumberMessage);
        clock.advanceTo(4);
        assert.deepEqual(collector.received, []);
        clock.advanceTo(10);
        assert.deepEqual(collector.received, [{ value: 5, atMs: 5 }]);
    });

    it("throws on a message kind without a pipe or sink, so that a wiring mistake cannot lose messages", () => {
        const clock = new VirtualClock();
        const loop = new EventLoop({ clock, pipes: [], sinks: [] });
        loop.post({ kind: "unknown" });
        assert.throws(() => clock.advanceTo(1), /no pipe or sink accepts "unknown"/);
    });
});

class RenameFilter implements Filter<NumberMessage> {
    readonly step = "rename";
    readonly accepts = ["result"];

    process(message: NumberMessage): readonly NumberMessage[] {
        return [{ ...message, kind: "renamed" }];
    }
}

class RenamedSink implements Sink<NumberMessage> {
    readonly accepts = ["renamed"];
    private readonly collector: Collector;

    constructor(collector: Collector) {
        this.collector = collector;
    }

    deliver(message: NumberMessage, nowMs: number): void {
        this.collector.deliver(message, nowMs);
    }
}
