import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FleetKind } from "../../model/fleetMessages.ts";
import type { Message } from "../../pipeline/message.ts";
import { LoadLog } from "../loadLog.ts";
import type { LogFields, Logger } from "../logger.ts";

interface Line {
    readonly event: string;
    readonly fields: LogFields | undefined;
}

function recordingLogger(): { readonly logger: Logger; readonly lines: Line[]; } {
    const lines: Line[] = [];
    const write = (event: string, fields?: LogFields): void => void lines.push({ event, fields });
    return { logger: { debug: write, info: write, warn: write, error: write }, lines };
}

describe("load log", () => {
    it("sums messages and bytes by kind and peer, and names the largest first", async () => {
        const { logger, lines } = recordingLogger();
        const load = new LoadLog(logger);
        load.recordSent("want", 100, "m1");
        load.recordSent("instances", 4_000, "m1");
        load.recordSent("instances", 4_000, "m2");
        load.recordReceived("grants", 50, "m1");
        await load[Symbol.asyncDispose]();
        assert.equal(lines.length, 1);
        assert.equal(lines[0]!.fields?.sentBytes, "total=8100/3 instances=8000/2 want=100/1");
        assert.equal(lines[0]!.fields?.receivedBytes, "total=50/1 grants=50/1");
        assert.equal(lines[0]!.fields?.peerBytes, "total=8150/4 m1=4150/3 m2=4000/1");
    });

    it("tells the kind of frame that kept the loop busy, and at once when it stalled", async () => {
        const { logger, lines } = recordingLogger();
        const load = new LoadLog(logger);
        const frame = { kind: FleetKind.FrameReceived, attachmentId: "in1", frame: { kind: "want" } };
        load.onProcessed(frame as Message, 99);
        load.onProcessed(frame as Message, 100);
        load.recordReceived("want", 10, "in1");
        await load[Symbol.asyncDispose]();
        assert.deepEqual(lines.map(({ event }) => event), ["loop_stalled", "load"]);
        assert.equal(lines[1]!.fields?.busyMs, "total=199/2 fleet.frame_received/want=199/2");
    });

    it("writes nothing when nothing was sent or received", async () => {
        const { logger, lines } = recordingLogger();
        await new LoadLog(logger)[Symbol.asyncDispose]();
        assert.equal(lines.length, 0);
    });
});
