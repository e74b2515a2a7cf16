import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
    leastUrgentPriority,
    maximumPassOvers,
    type QueuedStatement,
    RefusalReason,
    StatementQueue,
} from "../statementQueue.ts";

const idle = { parallelism: 4, residualMs: 0 };

let nextId = 0;

function statement(parts: Partial<QueuedStatement> = {}): QueuedStatement {
    return {
        id: `s${nextId++}`,
        workspace: "w",
        priority: 0,
        objectiveAtMs: 1e6,
        deadlineMs: 1e6,
        costMs: 10,
        ...parts,
    };
}

function queueOf(...statements: readonly QueuedStatement[]): StatementQueue<QueuedStatement> {
    const queue = new StatementQueue<QueuedStatement>();
    statements.forEach(queued => queue.add(queued, idle, 0));
    return queue;
}

function startAll(queue: StatementQueue<QueuedStatement>, nowMs = 0): readonly QueuedStatement[] {
    const started: QueuedStatement[] = [];
    for (;;) {
        const next = queue.startNext(() => true, nowMs);
        if (next === undefined) {
            return started;
        }
        started.push(next);
    }
}

const anyStatement = fc.record({
    workspace: fc.constantFrom("a", "b", "c", "d"),
    priority: fc.integer({ min: 0, max: 3 }),
    objectiveAtMs: fc.integer({ min: 0, max: 500 }),
    deadlineMs: fc.integer({ min: 0, max: 2_000 }),
    costMs: fc.integer({ min: 1, max: 100 }),
});

const anyStep = fc.oneof(
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("add" as const), parts: anyStatement }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("start" as const), blocked: fc.constantFrom("a", "") }) },
    fc.record({ kind: fc.constant("leave" as const), index: fc.nat(50) }),
    fc.record({ kind: fc.constant("wait" as const), durationMs: fc.nat(200) }),
);

describe("statement queue", () => {
    it("starts the most urgent statements first, and within a priority those that can meet their objective", () => {
        const late = statement({ priority: 0, objectiveAtMs: 5 });
        const inTime = statement({ priority: 0 });
        const lessUrgent = statement({ priority: 1 });
        const unknown = statement({ priority: leastUrgentPriority + 7 });
        assert.deepEqual(startAll(queueOf(unknown, late, lessUrgent, inTime)), [inTime, late, lessUrgent, unknown]);
    });

    it("moves a statement behind the others of its priority once it cannot meet its objective", () => {
        const first = statement({ objectiveAtMs: 100, workspace: "a" });
        const second = statement({ objectiveAtMs: 1_000, workspace: "b" });
        assert.deepEqual(startAll(queueOf(first, second), 95), [second, first]);
    });

    it("gives workspaces equal shares of the service time, whatever their statements cost", () => {
        const costs = new Map([["cheap", 5], ["dear", 20]]);
        const many = [...costs].flatMap(([workspace, costMs]) =>
            Array.from({ length: 200 }, () => statement({ workspace, costMs, objectiveAtMs: 1e6 }))
        );
        const started = startAll(queueOf(...many)).slice(0, 100);
        const serviceMs = (workspace: string): number =>
            started.filter(queued => queued.workspace === workspace).length * costs.get(workspace)!;
        assert.ok(Math.abs(serviceMs("cheap") - serviceMs("dear")) <= 40);
    });

    it("lets a statement start within a stated number of starts, however many more urgent ones arrive", () => {
        const queue = queueOf(statement({ priority: 2 }), statement({ priority: 1 }));
        const startedPriorities: number[] = [];
        while (queue.lowestPriority > 0) {
            queue.add(statement(), idle, 0);
            queue.add(statement(), idle, 0);
            startedPriorities.push(queue.startNext(() => true, 0)!.priority);
            // Two lanes wait, and one start each is theirs once they were passed over.
            assert.ok(startedPriorities.length <= maximumPassOvers + 2, startedPriorities.join(","));
        }
    });

    it("refuses a statement that cannot start in time, and tells when the queue will have drained", () => {
        const queue = queueOf(...Array.from({ length: 40 }, () => statement({ costMs: 100 })));
        const added = statement({ costMs: 100, deadlineMs: 500 });
        const [refused, ...others] = queue.add(added, idle, 0);
        assert.deepEqual(others, []);
        assert.equal(refused!.statement, added);
        assert.equal(refused!.reason, RefusalReason.CannotStartInTime);
        assert.equal(refused!.drainMs, 1_000);
        assert.equal(queue.has(added.id), false);
    });

    it("never refuses a statement that would start at once, because a wrong estimate would never be corrected", () => {
        assert.deepEqual(queueOf().add(statement({ costMs: 5_000, deadlineMs: 500 }), idle, 0), []);
    });

    it("refuses the least urgent statement when more urgent ones take its place", () => {
        const lessUrgent = statement({ priority: 2, deadlineMs: 500, costMs: 100 });
        const queue = queueOf(...Array.from({ length: 8 }, () => statement({ costMs: 100 })), lessUrgent);
        const refused = Array.from({ length: 4 }, () => statement({ costMs: 100, deadlineMs: 600 }))
            .flatMap(urgent => queue.add(urgent, idle, 0));
        assert.deepEqual(refused.map(({ statement: { id }, reason }) => [id, reason]), [
            [lessUrgent.id, RefusalReason.Displaced],
        ]);
    });

    it("refuses the workspace that is furthest above its share, and none that is within its share", () => {
        const queue = new StatementQueue<QueuedStatement>();
        const refused: QueuedStatement[] = [];
        for (let round = 0; round < 50; round++) {
            ["rush", "rush", "rush", "rush", "rush", "rush", "rush", "calm"].forEach(workspace => {
                if (workspace === "rush" || round < 5) {
                    const added = statement({ workspace, costMs: 20, objectiveAtMs: 400, deadlineMs: 400 });
                    refused.push(...queue.add(added, idle, 0).map(refusal => refusal.statement));
                }
            });
        }
        assert.ok(refused.length > 100);
        assert.ok(refused.every(({ workspace }) => workspace === "rush"));
    });

    it("expects longer waits for less urgent statements, by the measured arrivals of more urgent ones", () => {
        const queue = queueOf(
            ...Array.from({ length: 20 }, () => statement({ costMs: 40 })),
            statement({ priority: 1 }),
        );
        const urgentMs = queue.expectedWaitMs(0, idle, 0);
        assert.equal(urgentMs, 200);
        assert.ok(queue.expectedWaitMs(1, idle, 0) > urgentMs);
    });

    it("loses no statement and starts or refuses none twice, whatever happens", () => {
        fc.assert(
            fc.property(fc.array(anyStep, { maxLength: 200 }), steps => {
                const queue = new StatementQueue<QueuedStatement>();
                const waiting = new Set<QueuedStatement>();
                let nowMs = 0;
                const take = (gone: QueuedStatement): void => assert.ok(waiting.delete(gone));
                for (const step of steps) {
                    if (step.kind === "add") {
                        const { deadlineMs, objectiveAtMs } = step.parts;
                        const added = statement({
                            ...step.parts,
                            deadlineMs: nowMs + deadlineMs,
                            objectiveAtMs: nowMs + objectiveAtMs,
                        });
                        waiting.add(added);
                        queue.add(added, { parallelism: 2, residualMs: 5 }, nowMs).forEach(
                            ({ statement: refused, drainMs }) => {
                                take(refused);
                                assert.ok(Number.isFinite(drainMs) && drainMs >= 0);
                            },
                        );
                    }
                    else if (step.kind === "start") {
                        const started = queue.startNext(({ workspace }) => workspace !== step.blocked, nowMs);
                        if (started === undefined) {
                            assert.ok([...waiting].every(({ workspace }) => workspace === step.blocked));
                        }
                        else {
                            assert.notEqual(started.workspace, step.blocked);
                            take(started);
                        }
                    }
                    else if (step.kind === "leave") {
                        const left = [...waiting][step.index];
                        if (left !== undefined) {
                            take(queue.remove(left.id)!);
                        }
                    }
                    else {
                        nowMs += step.durationMs;
                    }
                    assert.equal(queue.size, waiting.size);
                    assert.deepEqual(new Set(queue.statements), waiting);
                    ["a", "b", "c", "d"].forEach(workspace =>
                        assert.equal(
                            queue.countOf(workspace),
                            [...waiting].filter(queued => queued.workspace === workspace).length,
                        )
                    );
                }
            }),
            { seed: 20261207, numRuns: 300 },
        );
    });

    it("passes over no statement more often than the bound, whatever arrives", () => {
        fc.assert(
            fc.property(fc.array(anyStatement, { minLength: 1, maxLength: 300 }), arrivals => {
                const queue = new StatementQueue<QueuedStatement>();
                // Only the first statement of each lane is bounded, so each lane gets one statement less urgent than all.
                const watched = statement({ priority: 4, workspace: "watched" });
                queue.add(watched, idle, 0);
                let starts = 0;
                for (const parts of arrivals) {
                    queue.add(statement({ ...parts, deadlineMs: 1e9 }), idle, 0);
                    if (queue.has(watched.id)) {
                        queue.startNext(() => true, 0);
                        starts += 1;
                    }
                }
                // Four priorities with two lanes each may be due before it.
                assert.ok(starts <= maximumPassOvers + 9, `${starts} starts`);
            }),
            { seed: 20261207, numRuns: 300 },
        );
    });
});
