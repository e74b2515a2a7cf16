import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../../pipeline/virtualClock.ts";
import { StopDeadline } from "../stopDeadline.ts";

describe("stop deadline", () => {
    it("leaves a step its longest time, less only when the kill is near", () => {
        const clock = new VirtualClock();
        const deadline = new StopDeadline(clock);
        assert.equal(deadline.limitMs(1_000, 300), 1_000);
        deadline.start(6_000);
        clock.advanceTo(2_000);
        assert.equal(deadline.limitMs(1_000, 300), 1_000);
        clock.advanceTo(5_600);
        assert.equal(deadline.limitMs(1_000, 300), 100);
        clock.advanceTo(5_900);
        assert.equal(deadline.limitMs(1_000, 300), 0);
    });

    it("is not extended by a second signal", () => {
        const clock = new VirtualClock();
        const deadline = new StopDeadline(clock);
        deadline.start(6_000);
        clock.advanceTo(3_000);
        deadline.start(6_000);
        assert.equal(deadline.limitMs(10_000, 0), 3_000);
    });
});
