/** What the links to one database tell about its load: to its window, and to the instances that send it tasks. */
import type { DatabaseLoad } from "../model/databaseLoad.ts";
import { LinkLoss, type LinkReply } from "../model/linkMessages.ts";
import { StatementFault } from "../model/sessionStatement.ts";
import type { QueueDrain } from "../scheduling/statementQueue.ts";
import { type Link, type LinkAttempt, LinkState } from "./link.ts";
import type { LinkPool, PoolOccupancy } from "./linkPool.ts";
import { workKindOf } from "./waitingTask.ts";

/** Kind of work under which the openings of links are recorded. */
const openingKind = "open";

/** Service times of all attempts together. */
const anyKind = "";

/** Faults by which a database tells that it has too much to do. */
const overloadFaults: ReadonlySet<StatementFault> = new Set([
    StatementFault.Busy,
    StatementFault.ConnectionLimit,
    StatementFault.TimedOut,
]);

interface AttemptOutcome {
    readonly reply: LinkReply | undefined;
    /** Why there is no reply although the database answers. */
    readonly fault: StatementFault | undefined;
    /** Links that are opening or busy, including that of the attempt. */
    readonly inFlight: number;
}

/** Records how an attempt has ended. Refusals that have nothing to do with load tell nothing. */
export function recordOutcome(
    pool: LinkPool,
    { placed, gate, sentMs, inFlightAtStart }: LinkAttempt,
    { reply, fault, inFlight }: AttemptOutcome,
    nowMs: number,
): void {
    if (reply === undefined) {
        if (fault === undefined) {
            pool.window.recordFailure(sentMs, nowMs);
        }
        return;
    }
    if (reply.fault !== undefined && overloadFaults.has(reply.fault)) {
        pool.window.recordRejection(sentMs, nowMs);
        return;
    }
    if (reply.fault === undefined || reply.fault === StatementFault.Failed) {
        const latencyMs = nowMs - sentMs;
        const workKind = workKindOf(placed.task, gate);
        pool.serviceTimes.recordServiceTime(workKind, latencyMs);
        pool.serviceTimes.recordServiceTime(anyKind, latencyMs);
        pool.window.recordAnswer({ workKind, latencyMs, startedMs: sentMs, inFlightAtStart, inFlight });
    }
}

/** Records that a link has opened. */
export function recordOpened(pool: LinkPool, { openedMs }: Link, nowMs: number): void {
    const { inFlight } = pool.occupancy();
    pool.window.recordAnswer({
        workKind: openingKind,
        latencyMs: nowMs - openedMs,
        startedMs: openedMs,
        inFlightAtStart: inFlight,
        inFlight,
    });
}

/**
 * Records that a link was lost on which no attempt is in progress; the loss of an attempt is its outcome. A database that
 * closes links which it was not asked to use has restarted, or will.
 */
export function recordLost(pool: LinkPool, link: Link, loss: LinkLoss, nowMs: number): void {
    const isOpening = link.state === LinkState.Opening;
    if (loss === LinkLoss.NoListener || !isOpening && link.attempt === undefined) {
        pool.window.restart(nowMs);
    }
    else if (isOpening) {
        pool.window.recordRejection(link.openedMs, nowMs);
    }
}

/** How fast the tasks that wait for a database will start. */
export function queueDrainOf(
    { window, serviceTimes, lastReplyAtMs }: LinkPool,
    { inFlight, oldestStartMs }: PoolOccupancy,
    nowMs: number,
): QueueDrain {
    const parallelism = Math.max(1, window.expectedSize);
    if (inFlight < window.size) {
        return { parallelism, residualMs: 0 };
    }
    const serviceMs = serviceTimes.expectedMs(anyKind);
    // A database that answers nothing is not expected to answer sooner than it has been silent for.
    const silentSinceMs = Math.min(nowMs, Math.max(lastReplyAtMs ?? -Infinity, oldestStartMs));
    return { parallelism, residualMs: serviceMs / parallelism + Math.max(0, nowMs - silentSinceMs - serviceMs) };
}

/** @param maximumLinks maximum of links that this instance may have to the database */
export function databaseLoadOf(
    pool: LinkPool,
    occupancy: PoolOccupancy,
    maximumLinks: number,
    nowMs: number,
): DatabaseLoad {
    const { waitingTasks, window, links, latestPosition, latestPositionAtMs } = pool;
    const drain = queueDrainOf(pool, occupancy, nowMs);
    const priorities = Array.from({ length: waitingTasks.lowestPriority + 1 }, (_, priority) => priority);
    return {
        expectedWaitsMs: priorities.map(priority => waitingTasks.expectedWaitMs(priority, drain, nowMs)),
        window: window.size,
        inFlight: occupancy.inFlight,
        availableLinks: Math.max(0, maximumLinks - links.size) + occupancy.idle,
        busyShare: 0,
        position: latestPosition,
        positionAgeMs: latestPosition === undefined ? 0 : nowMs - latestPositionAtMs,
    };
}
