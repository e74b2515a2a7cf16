import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type ConcurrencyWindow, GradientWindow, WindowPhase } from "../concurrencyWindow.ts";

const slots = 4;

/** Answers to a full window at a server with `slots` slots, which works `workMs` on each. */
function answerRounds(window: ConcurrencyWindow, workMs: number, rounds: number, startMs: number): number {
    let nowMs = startMs;
    for (let round = 0; round < rounds; round++) {
        const inFlight = window.size;
        for (let index = 0; index < inFlight; index++) {
            const latencyMs = workMs * Math.max(1, Math.ceil((index + 1) / slots));
            window.recordAnswer({
                workKind: "read",
                latencyMs,
                startedMs: nowMs,
                inFlightAtStart: index + 1,
                inFlight,
            });
        }
        nowMs += workMs * Math.ceil(inFlight / slots);
    }
    return nowMs;
}

describe("concurrency window", () => {
    it("begins with two probes and reaches the slots within a few answers of a healthy database", () => {
        const window = new GradientWindow(slots);
        assert.equal(window.size, 2);
        assert.equal(window.phase, WindowPhase.Starting);
        answerRounds(window, 10, 1, 0);
        assert.ok(window.size >= slots);
        answerRounds(window, 10, 2, 10);
        assert.equal(window.phase, WindowPhase.Steady);
    });

    it("keeps the slots busy and bounds what waits inside of the database", () => {
        const window = new GradientWindow(slots);
        answerRounds(window, 10, 200, 0);
        assert.ok(window.size >= slots && window.size <= 5 * slots, `${window.size}`);
    });

    it("shrinks when latencies rise, and grows again when they are the new ones without load", () => {
        const window = new GradientWindow(slots);
        const nowMs = answerRounds(window, 10, 100, 0);
        const before = window.size;
        const laterMs = answerRounds(window, 100, 3, nowMs);
        assert.ok(window.size < before, `${window.size} after ${before}`);
        answerRounds(window, 100, 100, laterMs);
        assert.ok(window.size >= slots, `${window.size}`);
    });

    it("shrinks once for all rejections of what was sent before the first of them", () => {
        const window = new GradientWindow(slots);
        answerRounds(window, 10, 100, 0);
        const before = window.size;
        for (let index = 0; index < 20; index++) {
            window.recordRejection(5_000, 5_010 + index);
        }
        assert.ok(window.size >= Math.floor(0.75 * before), `${window.size} after ${before}`);
        assert.ok(window.size < before);
    });

    it("ends at its minimum when all is rejected, says so, and recovers with the first answers", () => {
        const window = new GradientWindow(slots);
        let nowMs = answerRounds(window, 10, 10, 0);
        for (let round = 0; round < 20; round++) {
            window.recordRejection(nowMs + 1, nowMs + 2);
            nowMs += 2;
        }
        assert.equal(window.phase, WindowPhase.Minimum);
        assert.equal(window.size, 2);
        answerRounds(window, 10, 10, nowMs);
        assert.equal(window.phase, WindowPhase.Steady);
        assert.ok(window.size >= slots);
    });

    it("begins anew after failures to answer, and after a restart of the database", () => {
        const window = new GradientWindow(slots);
        let nowMs = answerRounds(window, 10, 10, 0);
        for (let round = 0; round < 6; round++) {
            window.recordFailure(nowMs + 1, nowMs + 2);
            nowMs += 2;
        }
        assert.equal(window.phase, WindowPhase.Starting);
        answerRounds(window, 10, 3, nowMs);
        assert.equal(window.phase, WindowPhase.Steady);
        window.restart(nowMs);
        assert.equal(window.size, 2);
        assert.equal(window.expectedSize, 2 * slots);
    });

    it("does not change while few statements are in flight", () => {
        const window = new GradientWindow(slots);
        answerRounds(window, 10, 4, 0);
        const before = window.size;
        for (let index = 0; index < 1_000; index++) {
            const latencyMs = index % 2 === 0 ? 1 : 1_000;
            window.recordAnswer({ workKind: "read", latencyMs, startedMs: 0, inFlightAtStart: 1, inFlight: 1 });
        }
        assert.equal(window.size, before);
    });

    it("stays within its bounds whatever is reported and answered", () => {
        const anyEvent = fc.record({
            kind: fc.constantFrom("answer", "rejection", "failure", "slots", "restart"),
            number: fc.oneof(fc.double(), fc.integer({ min: -10, max: 100_000 })),
            inFlight: fc.nat(200),
        });
        fc.assert(
            fc.property(fc.array(anyEvent, { maxLength: 300 }), events => {
                const window = new GradientWindow(events[0]?.number ?? 0);
                events.forEach(({ kind, number, inFlight }, nowMs) => {
                    switch (kind) {
                        case "answer":
                            window.recordAnswer({
                                workKind: "read",
                                latencyMs: Math.abs(Number.isNaN(number) ? 0 : Math.min(number, 1e6)),
                                startedMs: nowMs,
                                inFlightAtStart: inFlight,
                                inFlight,
                            });
                            break;
                        case "rejection":
                            window.recordRejection(nowMs, nowMs);
                            break;
                        case "failure":
                            window.recordFailure(nowMs, nowMs);
                            break;
                        case "slots":
                            window.setSlots(number);
                            break;
                        default:
                            window.restart(nowMs);
                    }
                    assert.ok(Number.isInteger(window.size) && window.size >= 2, `${window.size}`);
                    assert.ok(window.size <= 2_100, `${window.size}`);
                });
            }),
            { seed: 20261207, numRuns: 300 },
        );
    });
});
