/** The links of this instance to one database. */
import type { DatabaseReport } from "../model/fleetMessages.ts";
import type { SessionContext } from "../model/sessionStatement.ts";
import { type Link, LinkState } from "./link.ts";
import type { TaskPlaced } from "./taskMessages.ts";

/**
 * Part of the connections of a database that its holder keeps open. The rest is for other instances that use the
 * database while they take another one for its holder, and for control members.
 */
const holderConnectionShare = 0.75;

/** Links of an instance that is not the holder. */
const nonHolderLinks = 2;

export class LinkPool {
    report: DatabaseReport;
    readonly links = new Set<Link>();
    /** Placed tasks that wait for a link, in order of arrival. */
    waitingTasks: TaskPlaced[] = [];
    /** No link is opened before this time, because the database takes no more. */
    openPausedUntilMs = 0;
    lastReplyAtMs: number | undefined;
    /** This instance is the one that other instances pass their tasks to. */
    isHolder = false;

    constructor(report: DatabaseReport) {
        this.report = report;
    }

    /** What the links are doing, in one pass over them. */
    summary(): LinkSummary {
        const idle = new IdleLinks(this.links);
        const opening = new Map<string, number>();
        for (const link of this.links) {
            if (link.state === LinkState.Opening) {
                opening.set(link.workspace, (opening.get(link.workspace) ?? 0) + 1);
            }
            else if (link.state === LinkState.Idle) {
                idle.add(link);
            }
        }
        return { idle, opening };
    }

    /** The idle link that was used longest ago. */
    oldestIdle(): Link | undefined {
        return [...this.links].filter(link => link.state === LinkState.Idle)
            .sort((left, right) => left.idleSinceMs - right.idleSinceMs)[0];
    }
}

interface LinkSummary {
    readonly idle: IdleLinks;
    /** Links being opened, by workspace. */
    readonly opening: Map<string, number>;
}

/** The idle links of a pool; ones that were closed or put to use meanwhile are left out. */
class IdleLinks {
    private readonly links: ReadonlySet<Link>;
    private readonly byWorkspace = new Map<string, Link[]>();
    private readonly all: Link[] = [];

    constructor(links: ReadonlySet<Link>) {
        this.links = links;
    }

    add(link: Link): void {
        this.all.push(link);
        const known = this.byWorkspace.get(link.workspace);
        if (known === undefined) {
            this.byWorkspace.set(link.workspace, [link]);
        }
        else {
            known.push(link);
        }
    }

    /** A link of the workspace, preferably one that carries the state of the session already. */
    findForSession(workspace: string, context: SessionContext): Link | undefined {
        return this.byWorkspace.get(workspace)?.filter(link => this.isIdle(link))
            .sort((left, right) => setupCost(left, context) - setupCost(right, context))[0];
    }

    findAny(): Link | undefined {
        return this.all.find(link => this.isIdle(link));
    }

    private isIdle(link: Link): boolean {
        return link.state === LinkState.Idle && this.links.has(link);
    }
}

/**
 * Links that an instance may have to one database.
 * @param connectionLimit of the database, for all callers together
 * @param isHolder this instance is the holder
 */
export function maximumLinks(connectionLimit: number, isHolder: boolean): number {
    return isHolder ? Math.max(nonHolderLinks, Math.floor(holderConnectionShare * connectionLimit)) : nonHolderLinks;
}

function setupCost(link: Link, context: SessionContext): number {
    return link.countMissingValues(context) + (link.needsReset(context) ? 2 : 0);
}
