import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { RecordedPlan, RecordingPlan, SeededPlan } from "../plan.ts";
import { ReadShareSampler } from "../readShareSampler.ts";
import { RegisterHistory } from "../registerHistory.ts";
import { appendAttributes } from "../statementAttributes.ts";

test("replays the recorded steps of a run, then ends", () => {
    const folder = mkdtempSync(join(tmpdir(), "jasmineline-plan-"));
    try {
        const path = join(folder, "plan");
        const recording = new RecordingPlan(new SeededPlan(3, 10), path);
        const steps = [0, 1, 0].map(caller => recording.nextStep(caller));
        const recorded = new RecordedPlan(path);
        assert.deepEqual([0, 1, 0].map(caller => recorded.nextStep(caller)), steps);
        assert.equal(recorded.nextStep(0), undefined);
    }
    finally {
        rmSync(folder, { recursive: true });
    }
});

test("generates equal steps from equal seeds, regardless of the order of callers", () => {
    const first = new SeededPlan(5, 10);
    const second = new SeededPlan(5, 10);
    const inOrder = [first.nextStep(0), first.nextStep(0), first.nextStep(1)];
    const other = second.nextStep(1);
    assert.deepEqual([second.nextStep(0), second.nextStep(0), other], inOrder);
});

test("lets a read miss another key's write only while the write is younger than the maximum age", () => {
    const history = new RegisterHistory();
    history.recordAcknowledgement("orders/1", { value: 1, acknowledgedAtMs: 100, keyId: "a" });
    history.recordAcknowledgement("orders/1", { value: 2, acknowledgedAtMs: 900, keyId: "a" });
    assert.equal(history.minimumVisibleValue("orders/1", "b", 1_000, 500), 1);
    assert.equal(history.minimumVisibleValue("orders/1", "b", 1_400, 500), 2);
    assert.equal(history.minimumVisibleValue("orders/1", "a", 1_000, 500), 2);
    assert.equal(history.minimumVisibleValue("orders/2", "a", 1_000, 500), 0);
});

test("attributes reads to the role at the sample and handles counters reset by a restart", async () => {
    await using sampler = new ReadShareSampler([]);
    const counters = { databaseId: "d1", service: "orders", writes: 0 };
    sampler.recordCounters({ ...counters, role: "replica", reads: 30 });
    sampler.recordCounters({ ...counters, role: "primary", reads: 40 });
    sampler.recordCounters({ ...counters, role: "replica", reads: 20 });
    assert.equal(sampler.replicaReadShare, 50 / 60);
});

test("encodes attribute values so that they cannot end the comment or the statement", () => {
    const sql = appendAttributes("SELECT 1", { workClass: "it's */", maximumAgeMs: 5 });
    assert.equal(sql, "SELECT 1 /*class='it%27s%20*%2F',max_age_ms='5'*/");
});
