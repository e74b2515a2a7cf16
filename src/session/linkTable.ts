/** The links of this instance to all databases: opening, closing, and whose transaction each one holds. */
import { LinkKind, type LinkOpen } from "../model/linkMessages.ts";
import type { ServicePolicy } from "../model/trafficPolicy.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Message } from "../pipeline/message.ts";
import { Link, LinkState } from "./link.ts";
import { type LinkPool, maximumLinks } from "./linkPool.ts";
import { TaskKind, type TaskPlaced, taskTimer } from "./taskMessages.ts";

/** Wait for a new link to open; the opening itself takes about 12 ms and a slot. */
const openTimeoutMs = 1_000;

/** Idle time after which a link is closed; many times the pause between two operations of one workspace. */
const idleTimeoutMs = 6_000;

/** The same on an instance that is not the holder of the database. */
const nonHolderIdleTimeoutMs = 150;

/** Pause after a database refused a link because its connections are used up. */
export const connectionLimitPauseMs = 60;

/** Connections of a database whose service the policy does not name. */
const defaultConnectionLimit = 16;

export class LinkTable {
    services: ReadonlyMap<string, ServicePolicy> = new Map();
    /** By database. */
    readonly pools = new Map<string, LinkPool>();
    private readonly links = new Map<string, Link>();
    /** By the session whose transaction is open. */
    private readonly pinned = new Map<string, Link>();
    private nextLinkNumber = 0;

    get(linkId: string): Link | undefined {
        return this.links.get(linkId);
    }

    poolOf({ databaseId }: Link): LinkPool {
        return this.pools.get(databaseId)!;
    }

    /** The link that holds the open transaction of a session. */
    findPinned(sessionId: string): Link | undefined {
        return this.pinned.get(sessionId);
    }

    /** The link that runs an attempt of a task. */
    findRunning(taskId: string): Link | undefined {
        return [...this.links.values()].find(({ attempt }) => attempt?.placed.task.taskId === taskId);
    }

    /** Takes a task out of the queue that it waits in. */
    removeWaiting(taskId: string): TaskPlaced | undefined {
        for (const pool of this.pools.values()) {
            const placed = pool.waitingTasks.find(({ task }) => task.taskId === taskId);
            if (placed !== undefined) {
                pool.waitingTasks = pool.waitingTasks.filter(other => other !== placed);
                return placed;
            }
        }
        return undefined;
    }

    /** Opens a link, in the place of the oldest idle one where the database takes no more. */
    open(pool: LinkPool, workspace: string, nowMs: number): readonly Message[] {
        const closed: Message[] = [];
        if (pool.links.size >= this.maximumLinksOf(pool) || nowMs < pool.openPausedUntilMs) {
            const oldest = pool.oldestIdle();
            if (oldest === undefined) {
                return [];
            }
            closed.push(...this.close(oldest));
        }
        const { databaseId, address, service } = pool.report;
        const link = new Link({ linkId: `l${this.nextLinkNumber++}`, databaseId, workspace });
        this.links.set(link.linkId, link);
        pool.links.add(link);
        const open: LinkOpen = { kind: LinkKind.Open, linkId: link.linkId, address, service, workspace, databaseId };
        return [...closed, open, this.setLinkTimer(link, nowMs + openTimeoutMs)];
    }

    close(link: Link): readonly Message[] {
        return [...this.remove(link), { kind: LinkKind.Close, linkId: link.linkId } as Message];
    }

    /** Forgets a link that is closed or lost. */
    remove(link: Link): readonly Message[] {
        this.links.delete(link.linkId);
        this.poolOf(link).links.delete(link);
        this.unpin(link);
        return [this.clearLinkTimer(link)];
    }

    /** Closes the links that have been idle for too long. */
    closeExpired(pool: LinkPool, nowMs: number): readonly Message[] {
        const idle = [...pool.links].filter(({ state }) => state === LinkState.Idle);
        const timeoutMs = pool.isHolder ? idleTimeoutMs : nonHolderIdleTimeoutMs;
        const expired = idle.filter(link => nowMs - link.idleSinceMs >= timeoutMs);
        return [
            ...expired.flatMap(link => this.close(link)),
            ...expired.length < idle.length ? [this.setIdleTimer(pool, nowMs)] : [],
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

    setIdleTimer({ report, isHolder: held, waitingTasks: waiting }: LinkPool, nowMs: number): Message {
        const timer = taskTimer(TaskKind.IdleDue, report.databaseId);
        const afterMs = waiting.length > 0 ? connectionLimitPauseMs : held ? idleTimeoutMs : nonHolderIdleTimeoutMs;
        return setDeadline(`idle/${report.databaseId}`, nowMs + afterMs, timer);
    }

    setLinkTimer(link: Link, atMs: number): Message {
        return setDeadline(linkKey(link), atMs, taskTimer(TaskKind.LinkDue, link.linkId));
    }

    clearLinkTimer(link: Link): Message {
        return clearDeadline(linkKey(link));
    }

    private maximumLinksOf({ report, isHolder: held }: LinkPool): number {
        const connectionLimit = this.services.get(report.service)?.connectionLimit ?? defaultConnectionLimit;
        return maximumLinks(connectionLimit, held);
    }
}

function linkKey({ linkId }: Link): string {
    return `link/${linkId}`;
}
