import { array, assert as check, boolean, integer, property, record } from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ReplicaLag } from "../replicaLag.ts";

const minimumPauseMs = 60;
const maximumPauseMs = 4_000;
const farBehindPauseMs = 2_000;
const nothingKnown = () => undefined;

function position(offset: number) {
    return { term: 1, offset };
}

function newLag(): ReplicaLag {
    return new ReplicaLag({ minimumPauseMs, maximumPauseMs, farBehindPauseMs });
}

describe("a replica that lags", () => {
    it("gets the reads that it can serve, and no others", () => {
        const lag = newLag();
        lag.recordPosition("r", { position: position(5), atMs: 1_000, lagMs: 700 });
        assert.equal(lag.avoidedUntilMs("r", position(5), nothingKnown, 1_000), undefined);
        assert.equal(lag.avoidedUntilMs("r", position(6), nothingKnown, 1_000), 1_000 + farBehindPauseMs);
        assert.equal(lag.avoidedUntilMs("other", position(6), nothingKnown, 1_000), undefined);
    });

    it("is found out by what is learned of the primary after it was observed", () => {
        const lag = newLag();
        lag.recordPosition("r", { position: position(5), atMs: 1_000, lagMs: 0 });
        assert.equal(lag.avoidedUntilMs("r", position(6), nothingKnown, 1_100), undefined);
        assert.equal(lag.avoidedUntilMs("r", position(6), () => 950, 1_100), undefined);
        assert.equal(lag.avoidedUntilMs("r", position(6), () => 700, 1_100), 3_000);
    });

    it("is left out shortly after a refusal, and longer the longer it refuses", () => {
        const lag = newLag();
        lag.recordRefusal("r", position(6), 0);
        assert.equal(lag.avoidedUntilMs("r", position(5), nothingKnown, 0), undefined);
        assert.equal(lag.avoidedUntilMs("r", position(6), nothingKnown, 0), minimumPauseMs);
        lag.recordRefusal("r", position(7), 1_000);
        assert.equal(lag.avoidedUntilMs("r", position(6), nothingKnown, 1_000), 1_500);
        lag.recordRefusal("r", position(7), 60_000);
        assert.equal(lag.avoidedUntilMs("r", position(6), nothingKnown, 60_000), 60_000 + maximumPauseMs);
        lag.recordPosition("r", { position: position(6), atMs: 60_100, lagMs: 0 });
        assert.equal(lag.avoidedUntilMs("r", position(7), nothingKnown, 60_100), undefined);
    });

    it("is left out after a refusal although it was seen to have reached the position", () => {
        // Guards against a read that is placed at the same database again within one message, and refused again.
        const lag = newLag();
        lag.recordPosition("r", { position: position(7), atMs: 0, lagMs: 0 });
        lag.recordRefusal("r", position(6), 100);
        assert.equal(lag.avoidedUntilMs("r", position(6), nothingKnown, 100), 100 + minimumPauseMs);
        assert.equal(lag.avoidedUntilMs("r", position(5), nothingKnown, 100), undefined);
    });

    it("is tried by one read at a time", () => {
        // Load: reads that arrive every millisecond at a holder whose database has refused one of them.
        const lag = newLag();
        lag.recordRefusal("r", position(6), 0);
        let trials = 0;
        for (let nowMs = 0; nowMs < 1_000; nowMs++) {
            if (lag.avoidedUntilMs("r", position(6), nothingKnown, nowMs) === undefined) {
                trials += 1;
                lag.recordPlaced("r", position(6), nowMs);
            }
        }
        assert.equal(trials, 2);
    });

    it("never stays left out beyond the longest pause after the last evidence", () => {
        const event = record({
            offset: integer({ min: 0, max: 20 }),
            afterMs: integer({ min: 0, max: 3_000 }),
            lagMs: integer({ min: 0, max: 100_000 }),
            isRefusal: boolean(),
        });
        check(
            property(array(event), integer({ min: 0, max: 25 }), (events, floor) => {
                const lag = newLag();
                let nowMs = 0;
                let reached = -1;
                for (const { offset, afterMs, lagMs, isRefusal } of events) {
                    nowMs += afterMs;
                    if (isRefusal) {
                        lag.recordRefusal("r", position(offset), nowMs);
                        // The refusal is the newer word of the database.
                        reached = Math.min(reached, offset - 1);
                    }
                    else {
                        lag.recordPosition("r", { position: position(offset), atMs: nowMs, lagMs });
                        reached = offset;
                    }
                    const untilMs = lag.avoidedUntilMs("r", position(floor), nothingKnown, nowMs);
                    assert.ok(untilMs === undefined || untilMs <= nowMs + maximumPauseMs);
                    assert.ok(untilMs === undefined || floor > reached);
                }
            }),
            { seed: 20261207 },
        );
    });
});
