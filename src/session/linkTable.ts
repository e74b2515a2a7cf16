/** Opens and closes the links of this instance to all databases, and tracks which session has a transaction on each. */
import { LinkKind, type LinkOpen } from "../model/linkMessages.ts";
import type { ServicePolicy } from "../model/trafficPolicy.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Message } from "../pipeline/message.ts";
import { isLinkWorthOpening } from "../scheduling/linkChoice.ts";
import { Link, type LinkAttempt, LinkState } from "./link.ts";
import { type LinkPool, maximumLinks } from "./linkPool.ts";
import { TaskKind, type TaskPlaced, taskTimer } from "./taskMessages.ts";

/** Timeout for opening a link; the database needs about 12 ms of a slot for it. */
const openTimeoutMs = 1_000;

/**
 * Idle time after which the holder closes a link: many times the pause between two operations of a small workspace. A
 * link that is needed for another workspace is closed before.
 */
const idleTimeoutMs = 60_000;

/** Idle time after which an instance that is not the holder closes a link. */
const nonHolderIdleTimeoutMs = 150;

/** Time for which no link is opened after a database refused one because of its connection limit. */
export const connectionLimitPauseMs = 60;

/** Connection limit of a database whose service the policy does not contain. */
const defaultConnectionLimit = 16;

export class LinkTable {
    services: ReadonlyMap<string, ServicePolicy> = new Map();
    /** By database id. */
    readonly pools = new Map<string, LinkPool>();
    private readonly links = new Map<string, Link>();
    /** By the id of the task of which an attempt is in progress on the link. */
    private readonly running = new Map<string, Link>();
    /** By the id of the session that has a transaction on the link. */
    private readonly pinned = new Map<string, Link>();
    private nextLinkNumber = 0;

    get(linkId: string): Link | undefined {
        return this.links.get(linkId);
    }

    poolOf({ databaseId }: Link): LinkPool {
        return this.pools.get(databaseId)!;
    }

    /** Returns the link on which a session has an open transaction. */
    findPinned(sessionId: string): Link | undefined {
        return this.pinned.get(sessionId);
    }

    /** Returns the link on which an attempt at a task is in progress. */
    findRunning(taskId: string): Link | undefined {
        return this.running.get(taskId);
    }

    /** Records that an attempt begins on a link. */
    startAttempt(link: Link, attempt: LinkAttempt): void {
        link.attempt = attempt;
        this.running.set(attempt.placed.task.taskId, link);
    }

    endAttempt(link: Link): void {
        const taskId = link.attempt?.placed.task.taskId;
        link.attempt = undefined;
        if (taskId !== undefined && this.running.get(taskId) === link) {
            this.running.delete(taskId);
        }
    }

    /** Removes a task from the queue of its pool, and returns it. */
    removeWaiting(taskId: string): TaskPlaced | undefined {
        for (const pool of this.pools.values()) {
            const waiting = pool.waitingTasks.remove(taskId);
            if (waiting !== undefined) {
                return waiting.placed;
            }
        }
        return undefined;
    }

    /**
     * Returns whether a further link is worth opening for a workspace, rather than to wait for one of its busy links.
     * @param waiting number of its tasks that wait for a link
     */
    mayOpen(pool: LinkPool, workspace: string, waiting: number, nowMs: number): boolean {
        return isLinkWorthOpening(pool.demand.supplyOf(pool.linksOf(workspace), waiting, nowMs));
    }

    /**
     * Opens a link. When the pool is full or opening is paused, the idle link that is least likely to be used again is
     * closed for it; without one, nothing is opened.
     */
    open(pool: LinkPool, workspace: string, nowMs: number): readonly Message[] {
        const closed: Message[] = [];
        if (!this.hasRoom(pool, nowMs)) {
            const idle = pool.leastUsefulIdle(nowMs);
            if (idle === undefined) {
                return [];
            }
            closed.push(...this.close(idle));
        }
        const { databaseId, address, service } = pool.report;
        const link = new Link({ linkId: `l${this.nextLinkNumber++}`, databaseId, workspace, openedMs: nowMs });
        this.links.set(link.linkId, link);
        pool.add(link);
        const open: LinkOpen = { kind: LinkKind.Open, linkId: link.linkId, address, service, workspace, databaseId };
        return [...closed, open, this.setLinkTimer(link, nowMs + openTimeoutMs)];
    }

    /** Returns whether a link may be opened without closing another one. */
    hasRoom(pool: LinkPool, nowMs: number): boolean {
        return pool.links.size < this.maximumLinksOf(pool) && nowMs >= pool.openPausedUntilMs;
    }

    close(link: Link): readonly Message[] {
        return [...this.remove(link), { kind: LinkKind.Close, linkId: link.linkId } as Message];
    }

    /** Removes a link that has been closed or lost. */
    remove(link: Link): readonly Message[] {
        this.links.delete(link.linkId);
        this.poolOf(link).remove(link);
        this.unpin(link);
        return [this.clearLinkTimer(link)];
    }

    /** Closes links that have reached the idle timeout. */
    closeExpired(pool: LinkPool, nowMs: number): readonly Message[] {
        const idle = [...pool.links].filter(({ state }) => state === LinkState.Idle);
        const timeoutMs = idleTimeoutOf(pool);
        const expired = idle.filter(link => nowMs >= link.idleSinceMs + timeoutMs);
        const remaining = idle.filter(link => nowMs < link.idleSinceMs + timeoutMs);
        const oldestMs = Math.min(...remaining.map(({ idleSinceMs }) => idleSinceMs));
        return [
            ...expired.flatMap(link => this.close(link)),
            ...remaining.length > 0 ? this.setIdleTimer(pool, nowMs, oldestMs) : [],
        ];
    }

    pin(link: Link, sessionId: string): void {
        link.state = LinkState.Pinned;
        link.pinnedSessionId = sessionId;
        this.pinned.set(sessionId, link);
    }

    unpin(link: Link): void {
        if (link.pinnedSessionId !== undefined) {
            this.pinned.delete(link.pinnedSessionId);
            link.pinnedSessionId = undefined;
        }
    }

    /**
     * Schedules the next pass over a pool: sooner when tasks wait for a link that could not be opened. A pass that is due
     * before is kept, so that a pool that is always busy gets one too.
     * @param idleSinceMs of the link that has been idle for longest
     */
    setIdleTimer(pool: LinkPool, nowMs: number, idleSinceMs = nowMs): readonly Message[] {
        const { databaseId } = pool.report;
        const atMs = pool.waitingTasks.size > 0 ? nowMs + connectionLimitPauseMs : idleSinceMs + idleTimeoutOf(pool);
        if (pool.nextPassAtMs !== undefined && pool.nextPassAtMs <= atMs) {
            return [];
        }
        pool.nextPassAtMs = atMs;
        return [setDeadline(`idle/${databaseId}`, atMs, taskTimer(TaskKind.IdleDue, databaseId))];
    }

    setLinkTimer(link: Link, atMs: number): Message {
        return setDeadline(linkKey(link), atMs, taskTimer(TaskKind.LinkDue, link.linkId));
    }

    clearLinkTimer(link: Link): Message {
        return clearDeadline(linkKey(link));
    }

    maximumLinksOf({ report, isHolder }: LinkPool): number {
        const connectionLimit = this.services.get(report.service)?.connectionLimit ?? defaultConnectionLimit;
        return maximumLinks(connectionLimit, isHolder);
    }
}

function idleTimeoutOf({ isHolder }: LinkPool): number {
    return isHolder ? idleTimeoutMs : nonHolderIdleTimeoutMs;
}

function linkKey({ linkId }: Link): string {
    return `link/${linkId}`;
}
