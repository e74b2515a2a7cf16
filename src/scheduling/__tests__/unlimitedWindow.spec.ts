import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { WindowPhase } from "../concurrencyWindow.ts";
import { UnlimitedWindow } from "../unlimitedWindow.ts";

describe("a window without a pace", () => {
    it("stays as it is, whatever the server answers", () => {
        const window = new UnlimitedWindow(4);
        const { size } = window;
        window.restart();
        window.recordAnswer();
        window.recordRejection();
        window.recordFailure();
        assert.equal(window.size, size);
        assert.equal(window.phase, WindowPhase.Steady);
    });

    it("expects the server to bear a multiple of the slots that it reports", () => {
        const window = new UnlimitedWindow(4);
        assert.equal(window.expectedSize, 8);
        window.setSlots(10);
        assert.equal(window.expectedSize, 20);
        window.setSlots(Number.NaN);
        assert.equal(window.expectedSize, 2);
    });
});
