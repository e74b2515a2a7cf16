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

    it("does not take late answers of all instances for the silence of one", () => {
        // Guards against tasks that leave their holder, and the pools of its links, because the network is congested.
        const peers = newResponsiveness();
        peers.recordQuestion("a", 0);
        peers.recordQuestion("b", 50);
        assert.equal(peers.isTimeoutConclusive("a", 0, 400), false);
        assert.equal(peers.isTimeoutConclusive("a", 0, 1_000), true);
        peers.recordAnswer("b", 50, 500);
        assert.equal(peers.isTimeoutConclusive("a", 0, 500), true);
    });

    it("takes silence for that of the instance unless another one has been silent for a while, too", () => {
        const peers = newResponsiveness();
        peers.recordQuestion("a", 0);
        assert.equal(peers.isTimeoutConclusive("a", 0, 400), true);
        peers.recordQuestion("b", 350);
        assert.equal(peers.isTimeoutConclusive("a", 0, 400), true);
        peers.recordQuestion("c", 200);
        peers.recordAnswer("c", -10, 250);
        peers.recordQuestion("c", 260);
        assert.equal(peers.isTimeoutConclusive("a", 0, 400), false);
        peers.recordTimeout("b", 350, 400);
        peers.recordDisconnect("c", 400);
        assert.equal(peers.isTimeoutConclusive("a", 0, 400), true);
    });

    it("removes instances that left", () => {
        const peers = newResponsiveness();
        peers.recordDisconnect("a", 400);
        peers.retain(new Set(["b"]));
        assert.equal(peers.isAvoided("a", 401), false);
    });
});
