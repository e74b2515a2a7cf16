/** When a connection is opened for a workspace, and which idle one is closed for it. */
import { DecayingCounter } from "../model/decayingCounter.ts";

/** Time for which opening a connection occupies a slot of its database, in which another statement could run. */
const openSlotMs = 12;

/** Weight of that time beside the wait of the caller itself: the slot is taken from the other callers. */
const openWeight = 2;

/** Time over which the use of connections by a workspace is counted. */
const useMemoryMs = 30_000;

/** Maximum of workspaces whose use is counted; those that are used least are forgotten first. */
const maximumWorkspaces = 1_024;

/** The connections of one workspace to one database. */
export interface LinkSupply {
    /** Connections that run a statement and will be free after it. */
    readonly busy: number;
    readonly opening: number;
    /** Statements that wait for a connection. */
    readonly waiting: number;
    /** Mean time for which a statement occupies a connection. */
    readonly meanBusyMs: number;
}

/**
 * Returns whether a further connection is worth opening for a workspace. Load answered: a second statement of a workspace
 * that arrives while its connection is busy for some milliseconds, on a database that opens one connection for every
 * fourth statement and can run something else meanwhile.
 */
export function isLinkWorthOpening({ busy, opening, waiting, meanBusyMs }: LinkSupply): boolean {
    if (opening >= waiting) {
        return false;
    }
    const expectedWaitMs = busy === 0 ? Infinity : meanBusyMs * (waiting - opening) / busy;
    return expectedWaitMs > openWeight * openSlotMs;
}

/** Counts how often workspaces use their connections to one database. */
export class LinkUse {
    private readonly counters = new Map<string, DecayingCounter>();

    recordUse(workspace: string, nowMs: number): void {
        const counter = this.counters.get(workspace) ?? new DecayingCounter(useMemoryMs);
        counter.add(1, nowMs);
        this.counters.set(workspace, counter);
        if (this.counters.size > maximumWorkspaces) {
            const least = [...this.counters].reduce((left, right) =>
                right[1].value(nowMs) < left[1].value(nowMs) ? right : left
            );
            this.counters.delete(least[0]);
        }
    }

    /**
     * Chooses the idle connection whose next use is the furthest away: of the workspace with the fewest statements for each
     * of its idle connections, the one that has been idle for longest.
     */
    chooseToClose<Link extends IdleLink>(idle: readonly Link[], nowMs: number): Link | undefined {
        const counts = new Map<string, number>();
        idle.forEach(({ workspace }) => counts.set(workspace, (counts.get(workspace) ?? 0) + 1));
        const reuse = new Map(
            [...counts].map(([workspace, count]) => [workspace, this.uses(workspace, nowMs) / count]),
        );
        return idle.reduce<Link | undefined>((chosen, link) => {
            if (chosen === undefined) {
                return link;
            }
            const difference = reuse.get(link.workspace)! - reuse.get(chosen.workspace)!;
            return difference < 0 || difference === 0 && link.idleSinceMs < chosen.idleSinceMs ? link : chosen;
        }, undefined);
    }

    private uses(workspace: string, nowMs: number): number {
        return this.counters.get(workspace)?.value(nowMs) ?? 0;
    }
}

interface IdleLink {
    readonly workspace: string;
    readonly idleSinceMs: number;
}
