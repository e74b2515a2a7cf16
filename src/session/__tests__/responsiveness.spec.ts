import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Responsiveness } from "../responsiveness.ts";

function fixture(): Responsiveness {
    return new Responsiveness({ minimumTimeoutMs: 400, maximumTimeoutMs: 1_000 });
}

describe("responsiveness of instances", () => {
    it("ends the avoidance of an instance that answers late, and bears its delay from then on", () => {
        // Guards against passing over an instance that works, because its answers are slow.
        const peers = fixture();
        peers.recordTimeout("a", 0, 400);
        assert.equal(peers.isAvoided("a", 401), true);
        peers.recordAnswer("a", undefined, 450);
        assert.equal(peers.isAvoided("a", 451), false);
        assert.equal(peers.timeoutMs("a"), 900);
    });

    it("returns to the shortest limit after prompt answers, and never exceeds the longest", () => {
        const peers = fixture();
        peers.recordAnswer("a", 0, 5_000);
        assert.equal(peers.timeoutMs("a"), 1_000);
        for (let index = 0; index < 20; index++) {
            peers.recordAnswer("a", 5_000, 5_010);
        }
        assert.equal(peers.timeoutMs("a"), 400);
    });

    it("avoids a silent or lost instance for a while and no other one", () => {
        const peers = fixture();
        peers.recordTimeout("a", 0, 400);
        peers.recordDisconnect("b", 400);
        assert.deepEqual(["a", "b", "c"].map(address => peers.isAvoided(address, 1_899)), [true, true, false]);
        assert.deepEqual(["a", "b", "c"].map(address => peers.isAvoided(address, 1_900)), [false, false, false]);
    });

    it("forgets instances that left", () => {
        const peers = fixture();
        peers.recordDisconnect("a", 400);
        peers.retain(new Set(["b"]));
        assert.equal(peers.isAvoided("a", 401), false);
    });
});
