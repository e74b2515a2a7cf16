/** The load of a database as measured by the instance that holds its links, sent along with each result. */
import type { Position } from "./position.ts";

export interface DatabaseLoad {
    /**
     * Expected time until a new statement starts, by the priority of its route; the last element also holds for less
     * urgent routes. Not empty.
     */
    readonly expectedWaitsMs: readonly number[];
    /** Number of statements that the instance may have in flight at the database. */
    readonly window: number;
    readonly inFlight: number;
    /** Number of links that are idle or may still be opened. */
    readonly availableLinks: number;
    /** Share of its time for which the event loop of the instance is busy, 0 to 1. */
    readonly busyShare: number;
    /** Highest log position that the database has told; undefined if it has told none. */
    readonly position: Position | undefined;
    /** Time since the database told that position. */
    readonly positionAgeMs: number;
}

/** Returns the expected wait for a statement of a route with this priority. */
export function expectedWaitMs({ expectedWaitsMs }: DatabaseLoad, priority: number): number {
    return expectedWaitsMs[Math.min(Math.max(0, Math.floor(priority)), expectedWaitsMs.length - 1)] ?? 0;
}
