/** The links of this instance to one database. */
import type { DatabaseReport } from "../model/fleetMessages.ts";
import type { SessionContext } from "../model/sessionStatement.ts";
import { type Link, LinkState } from "./link.ts";
import type { TaskPlaced } from "./taskMessages.ts";

/**
 * Part of the connections of a database that its holder keeps open. The rest is for other instances that use the
 * database while they take another one for its holder, and for control members.
 */
const heldShare = 0.75;

/** Links of an instance that is not the holder. */
const guestLinks = 2;

export class LinkPool {
    report: DatabaseReport;
    readonly links = new Set<Link>();
    /** Placed tasks that wait for a link, in order of arrival. */
    waiting: TaskPlaced[] = [];
    /** No link is opened before this time, because the database takes no more. */
    fullUntilMs = 0;
    lastReplyMs: number | undefined;
    /** This instance is the one that other instances pass their tasks to. */
    held = false;

    constructor(report: DatabaseReport) {
        this.report = report;
    }

    /** An idle link of the workspace, preferably one that carries the state of the session already. */
    idleFor(workspace: string, context: SessionContext): Link | undefined {
        const idle = [...this.links].filter(link => link.state === LinkState.Idle && link.workspace === workspace);
        return idle.sort((left, right) => effort(left, context) - effort(right, context))[0];
    }

    anyIdle(): Link | undefined {
        return [...this.links].find(link => link.state === LinkState.Idle);
    }

    /** The idle link that was used longest ago. */
    oldestIdle(): Link | undefined {
        return [...this.links].filter(link => link.state === LinkState.Idle)
            .sort((left, right) => left.idleSinceMs - right.idleSinceMs)[0];
    }

    /** Links being opened for a workspace. */
    openingFor(workspace: string): number {
        return [...this.links].filter(link => link.state === LinkState.Opening && link.workspace === workspace).length;
    }
}

/**
 * Links that an instance may have to one database.
 * @param connectionLimit of the database, for all callers together
 * @param held this instance is the holder
 */
export function maximumLinks(connectionLimit: number, held: boolean): number {
    return held ? Math.max(guestLinks, Math.floor(heldShare * connectionLimit)) : guestLinks;
}

function effort(link: Link, context: SessionContext): number {
    return link.missingValues(context) + (link.needsReset(context) ? 2 : 0);
}
