/** Log positions of a database group. */

/**
 * A point in the replicated log of a database group. Positions are ordered by term first: a change of primary may
 * discard the end of the old term's log, and every offset of the new term comes after all records that were kept.
 */
export interface Position {
    /** Term of the primary that wrote the record; each promotion raises it. */
    readonly term: number;
    /** Number of committed records in the group's log up to this point. */
    readonly offset: number;
}

/** The position before any write. */
export const originPosition: Position = { term: 0, offset: 0 };

/** Compares two positions: negative, zero or positive if `left` is before, equal to or after `right`. */
export function comparePositions(left: Position, right: Position): number {
    return left.term - right.term || left.offset - right.offset;
}

/** Whether the log up to `applied` contains every record up to the required position `floor`. */
export function hasReached(applied: Position, floor: Position): boolean {
    return comparePositions(applied, floor) >= 0;
}

/** Returns the later position; `right` if there is no other one. */
export function laterPosition(left: Position | undefined, right: Position): Position {
    return left !== undefined && comparePositions(left, right) >= 0 ? left : right;
}
