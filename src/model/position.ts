/** Log positions of a database group. */

/**
 * A point in the log of a database group. Terms order first: every offset of a later term follows every offset that
 * survived from an earlier one.
 */
export interface Position {
    /** Number of the primary's reign; raised by each promotion. */
    readonly term: number;
    /** Count of committed log records in the group's log. */
    readonly offset: number;
}

/** The position before any write. */
export const originPosition: Position = { term: 0, offset: 0 };

/** Orders two positions: negative, zero or positive as `left` is before, at or after `right`. */
export function comparePositions(left: Position, right: Position): number {
    return left.term - right.term || left.offset - right.offset;
}

/** Tells whether `applied` contains everything up to `floor`. */
export function hasReached(applied: Position, floor: Position): boolean {
    return comparePositions(applied, floor) >= 0;
}

/** Returns the later of two positions. */
export function laterPosition(left: Position, right: Position): Position {
    return comparePositions(left, right) >= 0 ? left : right;
}
