/** Explains what the links of this instance to the chosen database would do with a statement now. The last step. */
import {
    endExplanation,
    type ExplanationAsked,
    type ExplanationEnded,
    type Facts,
    roundMs,
    Verdict,
} from "../model/explanation.ts";
import { emptySessionContext, TaskMode } from "../model/sessionStatement.ts";
import { EvacuationStage } from "../scheduling/evacuations.ts";
import { unlimitedSize } from "../scheduling/unlimitedWindow.ts";
import type { LinkPool } from "./linkPool.ts";
import type { LinkTable } from "./linkTable.ts";
import { queueDrainOf } from "./poolLoad.ts";
import { type LinkTask, TaskKind, type TaskPlaced } from "./taskMessages.ts";
import { toWaitingTask, workKindOf } from "./waitingTask.ts";

interface Outcome {
    readonly verdict: Verdict;
    readonly reason: string;
    readonly facts: Facts;
}

export function explainLinks(asked: ExplanationAsked, table: LinkTable, nowMs: number): ExplanationEnded {
    const { databaseId } = asked.placement!;
    const pool = table.pools.get(databaseId);
    const outcome = pool === undefined
        ? placedAgain("the database is not known here any more")
        : outcomeAt(pool, asked, table, nowMs);
    return endExplanation(asked, [{ step: "links", subject: databaseId, ...outcome }]);
}

function outcomeAt(pool: LinkPool, asked: ExplanationAsked, table: LinkTable, nowMs: number): Outcome {
    const { floor } = asked.placement!;
    if (pool.evacuationStage !== EvacuationStage.Open) {
        return placedAgain("the data centre is evacuated");
    }
    if (floor !== undefined && !pool.lag.mayHaveReached(floor, nowMs)) {
        return placedAgain("the database has told that it has not reached the position");
    }
    const placed = placedTask(asked, nowMs);
    const costMs = pool.serviceTimes.expectedMs(workKindOf(placed.task, undefined));
    const drain = queueDrainOf(pool, pool.occupancy(), nowMs);
    const { waitMs, isHopeless, isBehindOwn } = pool.waitingTasks.preview(toWaitingTask(placed, costMs), drain, nowMs);
    const facts = { ...poolFacts(pool, table), service_ms: roundMs(costMs), expected_wait_ms: roundMs(waitMs) };
    if (isHopeless) {
        const reason = "it cannot start within its limit; a read would be placed at another database, if there is one";
        return { verdict: Verdict.Refused, reason, facts };
    }
    if (isBehindOwn) {
        const reason = "waits behind other statements of its workspace";
        return { verdict: Verdict.Waits, reason, facts };
    }
    return { ...startOf(pool, placed.task, table, nowMs), facts };
}

function startOf(
    pool: LinkPool,
    task: LinkTask,
    table: LinkTable,
    nowMs: number,
): Pick<Outcome, "verdict" | "reason"> {
    const { idle, inFlight } = pool.summary();
    if (inFlight >= pool.window.size) {
        return { verdict: Verdict.Waits, reason: "the window is full; it waits for its turn" };
    }
    if (idle.find(task) !== undefined) {
        return pool.waitingTasks.size === 0 || table.hasRoom(pool, nowMs)
            ? { verdict: Verdict.Passes, reason: "starts at once on an idle link" }
            : { verdict: Verdict.Waits, reason: "its idle link may be closed for a statement that waits" };
    }
    const { workspace } = task;
    if (!table.mayOpen(pool, workspace, pool.waitingTasks.countOf(workspace) + 1, nowMs)) {
        return { verdict: Verdict.Waits, reason: "waits for a busy link of its workspace" };
    }
    return table.hasRoom(pool, nowMs) || pool.leastUsefulIdle(nowMs) !== undefined
        ? { verdict: Verdict.Waits, reason: "waits for a link that would be opened for it" }
        : { verdict: Verdict.Waits, reason: "no further link may be opened; it waits for one" };
}

function poolFacts(pool: LinkPool, table: LinkTable): Facts {
    const { window, report: { slots }, waitingTasks, links } = pool;
    const { inFlight, idle } = pool.occupancy();
    return {
        holder: pool.isHolder ? "yes" : "no",
        queue: waitingTasks.size,
        phase: window.phase,
        window: window.size === unlimitedSize ? "none" : window.size,
        slots,
        in_flight: inFlight,
        idle_links: idle,
        links: links.size,
        maximum_links: table.maximumLinksOf(pool),
    };
}

/** The statement as it would arrive, without text and without values of its session. */
function placedTask({ requestId, request, placement, ...asked }: ExplanationAsked, nowMs: number): TaskPlaced {
    const { service, priority, targetLatencyMs, statementLimitMs } = asked.route!;
    const { databaseId, floor, attemptLimitMs } = placement!;
    const task: LinkTask = {
        taskId: requestId,
        sessionId: "",
        service,
        workspace: request.workspace,
        mode: TaskMode.Single,
        statement: undefined,
        writes: request.writes,
        needsPrimary: floor === undefined,
        context: emptySessionContext,
        deadlineMs: nowMs + statementLimitMs,
        urgency: { priority, objectiveAtMs: nowMs + targetLatencyMs },
    };
    return { kind: TaskKind.Placed, task, databaseId, floor, attemptDeadlineMs: nowMs + attemptLimitMs };
}

function placedAgain(reason: string): Outcome {
    return { verdict: Verdict.PassedOver, reason: `${reason}; the statement would be placed again`, facts: {} };
}
