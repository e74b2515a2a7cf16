/** Time of a scheduling decision: a statement is added to a queue, which may refuse others, and the next one starts. */
import { performance } from "node:perf_hooks";
import { SeededRandom } from "../src/pipeline/seededRandom.ts";
import { type QueuedStatement, StatementQueue } from "../src/scheduling/statementQueue.ts";

export interface SchedulingSlope {
    readonly queued: number;
    readonly microsecondsPerDecision: number;
}

const workspaces = 80;
const priorities = 3;
const timedDecisions = 20_000;
const drain = { parallelism: 8, residualMs: 2 };

export function measureScheduling(): readonly SchedulingSlope[] {
    return [10, 100, 1_000].map(queued => ({ queued, microsecondsPerDecision: timeDecisions(queued) }));
}

function timeDecisions(queued: number): number {
    const random = new SeededRandom(1);
    const queue = new StatementQueue<QueuedStatement>();
    let nextId = 0;
    const add = (nowMs: number): void => {
        const statement = {
            id: `s${nextId++}`,
            workspace: `w${random.nextInteger(workspaces)}`,
            priority: random.nextInteger(priorities),
            objectiveAtMs: nowMs + 1_000,
            deadlineMs: nowMs + 60_000,
            costMs: 2 + random.nextInteger(20),
        };
        queue.add(statement, drain, nowMs);
    };
    for (let index = 0; index < queued; index++) {
        add(0);
    }
    const decide = (index: number): void => {
        add(index);
        queue.startNext(() => true, index);
    };
    for (let index = 0; index < timedDecisions; index++) {
        decide(index);
    }
    const startMs = performance.now();
    for (let index = 0; index < timedDecisions; index++) {
        decide(timedDecisions + index);
    }
    return 1_000 * (performance.now() - startMs) / timedDecisions;
}
