/** Decides which writes a majority of a group has. */
import type { Position } from "../model/position.ts";

export class MajorityTracker {
    private readonly positions = new Map<string, Position>();

    /** Records the position of a replica. */
    recordPosition(databaseId: string, position: Position): void {
        this.positions.set(databaseId, position);
    }

    /**
     * Offset up to which a majority has the log of `term`, the primary included; -1 when no majority follows that term.
     * Only positions of the same term count: an offset of a later term says nothing about a write that its promotion
     * may have dropped.
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

    /** A member that follows a later term proves that the primary of `term` has been replaced. */
    isPrimaryReplaced(term: number, replicaIds: readonly string[]): boolean {
        return replicaIds.some(databaseId => (this.positions.get(databaseId)?.term ?? term) > term);
    }
}
