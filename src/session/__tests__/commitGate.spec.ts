import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CommitGate } from "../commitGate.ts";

describe("the gate of commit acknowledgements", () => {
    it("lets everything pass while no promotion is under way", () => {
        assert.equal(new CommitGate().mayAcknowledge("s", "p"), true);
    });

    it("lets commits of the ordered database alone pass from the question on until the promotion is complete", () => {
        // Guards against an acknowledgement by the replaced primary of a commit that the new one lacks.
        const gate = new CommitGate();
        gate.applyPolicy({ confirmed: true, ordered: new Map(), completedFences: new Map([["s", 3]]) });
        gate.close("s", 4);
        assert.deepEqual([gate.mayAcknowledge("s", "p"), gate.mayAcknowledge("t", "q")], [false, true]);
        gate.applyPolicy({
            confirmed: true,
            ordered: new Map([["s", "a"]]),
            orderedFences: new Map([["s", 4]]),
            completedFences: new Map(),
        });
        assert.deepEqual([gate.mayAcknowledge("s", "p"), gate.mayAcknowledge("s", "a")], [false, true]);
        gate.applyPolicy({ confirmed: true, ordered: new Map(), completedFences: new Map([["s", 4]]) });
        assert.equal(gate.mayAcknowledge("s", "a"), true);
    });

    it("withholds commits of the database of an earlier order after a question of a later promotion", () => {
        // Guards against commits that are acknowledged after the choice by an instance whose configuration is late.
        const gate = new CommitGate();
        gate.close("s", 4);
        gate.applyPolicy({
            confirmed: true,
            ordered: new Map([["s", "a"]]),
            orderedFences: new Map([["s", 4]]),
            completedFences: new Map(),
        });
        gate.close("s", 5);
        assert.equal(gate.mayAcknowledge("s", "a"), false);
        gate.applyPolicy({
            confirmed: true,
            ordered: new Map([["s", "a"]]),
            orderedFences: new Map([["s", 5]]),
            completedFences: new Map(),
        });
        assert.equal(gate.mayAcknowledge("s", "a"), true);
    });

    it("stays open after a question of a promotion that is complete", () => {
        const gate = new CommitGate();
        gate.applyPolicy({ confirmed: true, ordered: new Map(), completedFences: new Map([["s", 4]]) });
        gate.close("s", 4);
        assert.equal(gate.mayAcknowledge("s", "p"), true);
    });

    it("knows until when its lease lasts, and needs none by default", () => {
        const gate = new CommitGate();
        assert.equal(gate.hasLease(1_000), true);
        gate.applyLease({ untilMs: 900 });
        assert.deepEqual([gate.hasLease(899), gate.hasLease(900)], [true, false]);
    });

    it("has no lease under a policy that no leader has confirmed, unless a leader has granted one", () => {
        // Guards against commits of a process that started beside a cut, of which the leader doesn't know.
        const gate = new CommitGate();
        const policy = { ordered: new Map(), completedFences: new Map() };
        gate.applyPolicy({ ...policy, confirmed: false });
        assert.equal(gate.hasLease(1_000), false);
        gate.applyLease({ untilMs: 1_200 });
        assert.equal(gate.hasLease(1_000), true);
        gate.applyLease({ untilMs: Infinity });
        gate.applyPolicy({ ...policy, confirmed: true });
        assert.equal(gate.hasLease(1_000), true);
    });
});
