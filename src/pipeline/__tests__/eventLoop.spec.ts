import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setDeadline } from "../deadlineQueue.ts";
import { EventLoop } from "../eventLoop.ts";
import type { Filter } from "../filter.ts";
import type { Message } from "../message.ts";
import { Pipe } from "../pipe.ts";
import type { Sink } from "../sink.ts";
import { VirtualClock } from "../virtualClock.ts";

interface Numbered extends Message {
    readonly value: number;
}

class Adder implements Filter<Numbered> {
    readonly step = "adder";
    readonly accepts = ["number"];

    process(message: Numbered): readonly Numbered[] {
        return [{ kind: "number", value: message.value + 1 }];
    }
}

class Delayer implements Filter<Numbered> {
    readonly step = "delayer";
    readonly accepts = ["number"];

    process(message: Numbered, nowMs: number): readonly Message[] {
        return [setDeadline("later", nowMs + message.value, { ...message, kind: "result" })];
    }
}

class Collector implements Sink<Numbered> {
    readonly accepts = ["result"];
    readonly seen: { readonly value: number; readonly atMs: number; }[] = [];

    deliver(message: Numbered, nowMs: number): void {
        this.seen.push({ value: message.value, atMs: nowMs });
    }
}

describe("event loop", () => {
    it("sends a message through the filters in order and delays by the deadline queue", () => {
        const clock = new VirtualClock();
        const collector = new Collector();
        const loop = new EventLoop({
            clock,
            pipes: [new Pipe("only", [new Adder(), new Delayer()]), new Pipe("end", [new RenameToSeen()])],
            sinks: [new SeenSink(collector)],
        });
        loop.post({ kind: "number", value: 4 } as Numbered);
        clock.advanceTo(4);
        assert.deepEqual(collector.seen, []);
        clock.advanceTo(10);
        assert.deepEqual(collector.seen, [{ value: 5, atMs: 5 }]);
    });

    it("fails on a kind that nothing takes, so a wiring mistake cannot lose messages", () => {
        const clock = new VirtualClock();
        const loop = new EventLoop({ clock, pipes: [], sinks: [] });
        loop.post({ kind: "unheard" });
        assert.throws(() => clock.advanceTo(1), /nothing takes "unheard"/);
    });
});

class RenameToSeen implements Filter<Numbered> {
    readonly step = "rename";
    readonly accepts = ["result"];

    process(message: Numbered): readonly Numbered[] {
        return [{ ...message, kind: "seen" }];
    }
}

class SeenSink implements Sink<Numbered> {
    readonly accepts = ["seen"];
    private readonly collector: Collector;

    constructor(collector: Collector) {
        this.collector = collector;
    }

    deliver(message: Numbered, nowMs: number): void {
        this.collector.deliver(message, nowMs);
    }
}
