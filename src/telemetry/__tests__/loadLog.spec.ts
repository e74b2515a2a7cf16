import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { FleetKind } from "../../model/fleetMessages.ts";
import { SchedulingKind } from "../../model/schedulingMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { LoadLog } from "../loadLog.ts";
import type { LogFields, Logger } from "../logger.ts";

interface Line {
    readonly event: string;
    readonly fields: LogFields | undefined;
}

function createRecordingLogger(): { readonly logger: Logger; readonly lines: Line[]; } {
    const lines: Line[] = [];
    const write = (event: string, fields?: LogFields): void => void lines.push({ event, fields });
    return { logger: { debug: write, info: write, warn: write, error: write }, lines };
}

describe("load log", () => {
    it("aggregates messages and bytes by kind and by peer, largest first", async () => {
        const { logger, lines } = createRecordingLogger();
        const loadLog = new LoadLog(logger);
        loadLog.recordSent("want", 100, "m1");
        loadLog.recordSent("instances", 4_000, "m1");
        loadLog.recordSent("instances", 4_000, "m2");
        loadLog.recordReceived("grants", 50, "m1");
        await loadLog[Symbol.asyncDispose]();
        assert.equal(lines.length, 1);
        assert.equal(lines[0]!.fields?.sentBytes, "total=8100/3 instances=8000/2 want=100/1");
        assert.equal(lines[0]!.fields?.receivedBytes, "total=50/1 grants=50/1");
        assert.equal(lines[0]!.fields?.peerBytes, "total=8150/4 m1=4150/3 m2=4000/1");
    });

    it("reports the event loop time by kind of frame, and a stall immediately", async () => {
        const { logger, lines } = createRecordingLogger();
        const loadLog = new LoadLog(logger);
        const frame = { kind: FleetKind.FrameReceived, attachmentId: "in1", frame: { kind: "want" } };
        loadLog.onProcessed(frame as Message, 99);
        loadLog.onProcessed(frame as Message, 100);
        loadLog.recordReceived("want", 10, "in1");
        await loadLog[Symbol.asyncDispose]();
        assert.deepEqual(lines.map(({ event }) => event), ["loop_stalled", "load"]);
        assert.equal(lines[1]!.fields?.busyMs, "total=199/2 fleet.frame_received/want=199/2");
    });

    it("reports the processor time since the last line, work outside the event loop included", async () => {
        const { logger, lines } = createRecordingLogger();
        const loadLog = new LoadLog(logger);
        const before = process.cpuUsage();
        loadLog.recordSent("want", 1, "m1");
        await loadLog[Symbol.asyncDispose]();
        loadLog.recordSent("want", 1, "m1");
        await loadLog[Symbol.asyncDispose]();
        const [first, second] = lines.map(({ fields }) => Number(fields?.processorMs));
        assert.ok(first! >= Math.floor((before.user + before.system) / 1_000), `${first} ms since the start`);
        assert.ok(second! < first!, `${second} ms since the line before`);
    });

    it("counts the statements that queues of databases have refused, by reason and priority", async () => {
        const { logger, lines } = createRecordingLogger();
        const loadLog = new LoadLog(logger);
        loadLog.recordSent("want", 1, "m1");
        const refused = { kind: SchedulingKind.Refused, databaseId: "d", reason: "displaced", priority: 2 };
        [refused, refused, { ...refused, priority: 1 }].forEach(message => loadLog.onOutput(message as Message));
        await loadLog[Symbol.asyncDispose]();
        assert.equal(lines[0]!.fields?.refused, "total=3/3 displaced/2=2/2 displaced/1=1/1");
    });

    it("reports that the process stood still, with the processor time that it used meanwhile", async () => {
        // Guards against an election whose cause, a machine that does not run the leader, no line tells.
        const { logger, lines } = createRecordingLogger();
        await using loadLog = new LoadLog(logger);
        void loadLog;
        Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 900);
        await delay(10);
        assert.deepEqual(lines.map(({ event }) => event), ["process_stood_still"]);
        const { stoodStillMs, processorMs } = lines[0]!.fields!;
        assert.ok(Number(stoodStillMs) >= 600 && Number(processorMs) < 300, JSON.stringify(lines[0]));
    });

    it("writes no line if nothing was sent or received", async () => {
        const { logger, lines } = createRecordingLogger();
        await new LoadLog(logger)[Symbol.asyncDispose]();
        assert.equal(lines.length, 0);
    });
});
