/** The connection pool of this instance for one database. */
import type { DatabaseReport } from "../model/fleetMessages.ts";
import { Pace } from "../model/pace.ts";
import { hasReached, laterPosition, type Position } from "../model/position.ts";
import { type SessionContext, TaskMode } from "../model/sessionStatement.ts";
import { type ConcurrencyWindow, GradientWindow, WindowPhase } from "../scheduling/concurrencyWindow.ts";
import { EvacuationStage } from "../scheduling/evacuations.ts";
import { ServiceTimeEstimate } from "../scheduling/serviceTimeEstimate.ts";
import { StatementQueue } from "../scheduling/statementQueue.ts";
import { UnlimitedWindow } from "../scheduling/unlimitedWindow.ts";
import { type Link, LinkState } from "./link.ts";
import { LinkDemand } from "./linkDemand.ts";
import { PoolLag } from "./poolLag.ts";
import type { LinkTask } from "./taskMessages.ts";
import type { WaitingTask } from "./waitingTask.ts";

/**
 * Share of a database's connection limit that its holder may use. The rest is left to control members and to instances
 * that temporarily disagree about the holder and use the database themselves.
 */
const holderConnectionShare = 0.75;

/** Maximum of links on an instance that is not the holder. */
const nonHolderLinks = 2;

/** Estimate before the first attempt; about the time of a small statement. */
const initialServiceMs = 15;

export class LinkPool {
    report: DatabaseReport;
    private readonly allLinks = new Set<Link>();
    private readonly linksByWorkspace = new Map<string, Set<Link>>();
    /** Tasks that wait for room in the window and for a link. */
    readonly waitingTasks = new StatementQueue<WaitingTask>();
    /** Limits the links that are opening or busy; statements of open transactions start beyond it. */
    readonly window: ConcurrencyWindow;
    /** Phase of the window as last logged. */
    loggedPhase: WindowPhase = WindowPhase.Starting;
    /** Times for which attempts occupy a place in the window. */
    readonly serviceTimes = new ServiceTimeEstimate(initialServiceMs);
    /** Time of the next pass over the idle links and the waiting tasks; undefined if none is due. */
    nextPassAtMs: number | undefined;
    /** No link is opened before this time, because the database has reached its connection limit. */
    openPausedUntilMs = 0;
    lastReplyAtMs: number | undefined;
    /** Highest log position of the database in replies that were proved. */
    latestPosition: Position | undefined;
    /** Time at which the database told that position. */
    latestPositionAtMs = 0;
    /** This instance is the holder: other instances pass their tasks for the database to it. */
    isHolder = false;
    /** What the evacuation of the data centre leaves of the use of the database. */
    evacuationStage: EvacuationStage = EvacuationStage.Open;

    readonly lag: PoolLag;
    readonly demand = new LinkDemand();

    constructor(report: DatabaseReport, pace: Pace) {
        this.report = report;
        this.lag = new PoolLag(report.databaseId);
        this.window = pace === Pace.Adaptive ? new GradientWindow(report.slots) : new UnlimitedWindow(report.slots);
    }

    get links(): ReadonlySet<Link> {
        return this.allLinks;
    }

    /** Returns the links of one workspace. */
    linksOf(workspace: string): ReadonlySet<Link> {
        return this.linksByWorkspace.get(workspace) ?? noLinks;
    }

    add(link: Link): void {
        const { workspace } = link;
        this.allLinks.add(link);
        this.linksByWorkspace.set(workspace, (this.linksByWorkspace.get(workspace) ?? new Set()).add(link));
    }

    remove(link: Link): void {
        this.allLinks.delete(link);
        const others = this.linksByWorkspace.get(link.workspace);
        others?.delete(link);
        if (others?.size === 0) {
            this.linksByWorkspace.delete(link.workspace);
        }
    }

    recordPosition(position: Position | undefined, nowMs: number): void {
        if (position !== undefined) {
            if (this.latestPosition === undefined || hasReached(position, this.latestPosition)) {
                this.latestPositionAtMs = nowMs;
            }
            this.latestPosition = laterPosition(this.latestPosition, position);
        }
    }

    /** Counts the links by what they do. */
    occupancy(): PoolOccupancy {
        let inFlight = 0;
        let idle = 0;
        let oldestStartMs = Infinity;
        for (const link of this.links) {
            inFlight += Number(isInFlight(link));
            idle += Number(link.state === LinkState.Idle);
            const startMs = link.state === LinkState.Opening ? link.openedMs : link.attempt?.sentMs ?? Infinity;
            oldestStartMs = Math.min(oldestStartMs, startMs);
        }
        return { inFlight, idle, oldestStartMs };
    }

    /** Collects the idle and the opening links in one pass. */
    summary(): LinkSummary {
        const idle = new IdleLinks(this.links, this.latestPosition);
        const opening = new Map<string, number>();
        let inFlight = 0;
        for (const link of this.links) {
            inFlight += Number(isInFlight(link));
            if (link.state === LinkState.Opening) {
                opening.set(link.workspace, (opening.get(link.workspace) ?? 0) + 1);
            }
            else if (link.state === LinkState.Idle) {
                idle.add(link);
            }
        }
        return { idle, opening, inFlight };
    }

    /**
     * Returns the idle link that is least likely to be used again soon: first of the workspaces without waiting tasks, then
     * of the others, except those links that were opened for a task which still waits.
     */
    leastUsefulIdle(nowMs: number): Link | undefined {
        const idle = [...this.links].filter(link => link.state === LinkState.Idle);
        const isAwaited = ({ workspace }: Link): boolean => this.waitingTasks.countOf(workspace) > 0;
        return this.demand.leastUseful(idle.filter(link => !isAwaited(link)), nowMs)
            ?? this.demand.leastUseful(idle.filter(link => !link.isUnused), nowMs);
    }
}

const noLinks: ReadonlySet<Link> = new Set();

interface LinkSummary {
    readonly idle: IdleLinks;
    /** Number of links being opened, by workspace. */
    readonly opening: Map<string, number>;
    /** Number of links that occupy a place in the window. */
    readonly inFlight: number;
}

export interface PoolOccupancy {
    /** Number of links that occupy a place in the window. */
    readonly inFlight: number;
    readonly idle: number;
    /** Start of the oldest attempt or opening in progress; Infinity without one. */
    readonly oldestStartMs: number;
}

function isInFlight({ state }: Link): boolean {
    return state === LinkState.Opening || state === LinkState.Busy;
}

/** Links of a pool that were idle when added; links that have been closed or used since then are not returned. */
class IdleLinks {
    private readonly links: ReadonlySet<Link>;
    private readonly latestPosition: Position | undefined;
    private readonly byWorkspace = new Map<string, Link[]>();
    private readonly all: Link[] = [];

    constructor(links: ReadonlySet<Link>, latestPosition: Position | undefined) {
        this.links = links;
        this.latestPosition = latestPosition;
    }

    add(link: Link): void {
        this.all.push(link);
        const existing = this.byWorkspace.get(link.workspace);
        if (existing === undefined) {
            this.byWorkspace.set(link.workspace, [link]);
        }
        else {
            existing.push(link);
        }
    }

    /**
     * Returns an idle link on which the replies to a task can be proved, as far as the task needs that; for a probe one
     * of any workspace, or else one of the task's workspace, preferably with the state of the session set already.
     */
    find(task: LinkTask): Link | undefined {
        const isUsable = (link: Link): boolean => this.isIdle(link) && this.canProve(link, task);
        return task.mode === TaskMode.Probe
            ? this.all.find(isUsable)
            : this.byWorkspace.get(task.workspace)?.filter(isUsable)
                .sort((left, right) =>
                    Number(this.canProveFaults(right)) - Number(this.canProveFaults(left))
                    || setupCost(left, task.context) - setupCost(right, task.context)
                )[0];
    }

    private canProve(link: Link, { mode, writes }: LinkTask): boolean {
        if (mode !== TaskMode.Single) {
            return link.replies.canProveBegin(this.latestPosition);
        }
        // A single read whose answer is in doubt may run again.
        return !writes || this.canProveFaults(link);
    }

    private canProveFaults({ replies }: Link): boolean {
        return replies.canProveFaults(this.latestPosition);
    }

    private isIdle(link: Link): boolean {
        return link.state === LinkState.Idle && this.links.has(link);
    }
}

/**
 * Returns the maximum of links that an instance may have to one database.
 * @param connectionLimit connections that the database accepts from all instances together
 */
export function maximumLinks(connectionLimit: number, isHolder: boolean): number {
    return isHolder ? Math.max(nonHolderLinks, Math.floor(holderConnectionShare * connectionLimit)) : nonHolderLinks;
}

/** Estimated number of commands that set the state of a session on a link. */
function setupCost(link: Link, context: SessionContext): number {
    return link.countMissingValues(context) + (link.needsReset(context) ? 2 : 0);
}
