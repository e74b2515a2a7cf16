/** Tells which databases a new record of a service no longer counts on. */
import type { RecordedDatabase } from "../model/promotion.ts";
import { DropReason, type PromotionDatabaseDropped } from "../model/promotionDecision.ts";
import { PromotionKind } from "../model/promotionMessages.ts";

/**
 * @param replaceable recorded databases that are gone, and that no choice depends on any more
 * @returns a message for each recorded process that `next` drops, or counts as lost from now on
 */
export function droppedDatabases(
    service: string,
    recorded: readonly RecordedDatabase[],
    replaceable: readonly RecordedDatabase[],
    next: readonly RecordedDatabase[],
): readonly PromotionDatabaseDropped[] {
    return recorded.filter(database => !next.some(kept => isSameProcess(database, kept)))
        .map(database => {
            const { databaseId, address, bornUnixMs } = database;
            const successor = next.find(other => !other.isLost && other.address === address);
            return {
                kind: PromotionKind.DatabaseDropped,
                service,
                databaseId,
                address,
                bornUnixMs,
                reason: replaceable.includes(database)
                    ? DropReason.CaughtUp
                    : successor?.databaseId === databaseId
                    ? DropReason.Restarted
                    : DropReason.Replaced,
                successorId: successor?.databaseId,
            };
        });
}

/** A process whose start was not recorded is taken to be the one that reports under its id. */
function isSameProcess(recorded: RecordedDatabase, kept: RecordedDatabase): boolean {
    return recorded.databaseId === kept.databaseId && recorded.isLost === kept.isLost
        && (recorded.bornUnixMs === undefined || recorded.bornUnixMs === kept.bornUnixMs);
}
