import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Responsiveness } from "../responsiveness.ts";

function newResponsiveness(): Responsiveness {
    return new Responsiveness({ minimumTimeoutMs: 400, maximumTimeoutMs: 1_000 });
}

describe("responsiveness of instances", () => {
    it("ends the avoidance of an instance that answers late, and raises its timeout above the delay", () => {
        // Guards against avoiding an instance that works but answers slowly.
        const peers = newResponsiveness();
        peers.recordTimeout("a", 0, 400);
        assert.equal(peers.isAvoided("a", 401), true);
        peers.recordAnswer("a", undefined, 450);
        assert.equal(peers.isAvoided("a", 451), false);
        assert.equal(peers.timeoutMs("a"), 900);
    });

    it("lowers the timeout to the minimum after fast answers, and never exceeds the maximum", () => {
        const peers = newResponsiveness();
        peers.recordAnswer("a", 0, 5_000);
        assert.equal(peers.timeoutMs("a"), 1_000);
        for (let index = 0; index < 20; index++) {
            peers.recordAnswer("a", 5_000, 5_010);
        }
        assert.equal(peers.timeoutMs("a"), 400);
    });

    it("avoids only instances that timed out or disconnected, for a limited time", () => {
        const peers = newResponsiveness();
        peers.recordTimeout("a", 0, 400);
        peers.recordDisconnect("b", 400);
        assert.deepEqual(["a", "b", "c"].map(address => peers.isAvoided(address, 1_899)), [true, true, false]);
        assert.deepEqual(["a", "b", "c"].map(address => peers.isAvoided(address, 1_900)), [false, false, false]);
    });

    it("removes instances that left", () => {
        const peers = newResponsiveness();
        peers.recordDisconnect("a", 400);
        peers.retain(new Set(["b"]));
        assert.equal(peers.isAvoided("a", 401), false);
    });
});
