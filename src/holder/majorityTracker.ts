/** Tracks the positions of databases to determine which writes a majority of a group has replicated. */
import type { Position } from "../model/position.ts";

export class MajorityTracker {
    private readonly positions = new Map<string, Position>();

    recordPosition(databaseId: string, position: Position): void {
        this.positions.set(databaseId, position);
    }

    /**
     * Returns the offset up to which a majority, the primary included, has the log of `term`; -1 when no majority
     * follows that term. Only positions of the same term count, because the promotion to a later term may have dropped
     * a write.
     * @param replicaIds members of the group without the primary
     */
    confirmedOffset(term: number, replicaIds: readonly string[], groupSize: number): number {
        const requiredReplicas = Math.floor(groupSize / 2);
        const offsets = replicaIds
            .flatMap(databaseId => this.positions.get(databaseId) ?? [])
            .filter(position => position.term === term)
            .map(position => position.offset)
            .sort((left, right) => right - left);
        return requiredReplicas === 0 ? Infinity : offsets[requiredReplicas - 1] ?? -1;
    }

    /** Tells whether a replica follows a later term, which proves that the primary of `term` has been replaced. */
    isPrimaryReplaced(term: number, replicaIds: readonly string[]): boolean {
        return replicaIds.some(databaseId => (this.positions.get(databaseId)?.term ?? term) > term);
    }
}
