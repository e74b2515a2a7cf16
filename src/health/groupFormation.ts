/** Forms groups from the announcements of their members, and adds members that announce themselves later. */
import { type DatabaseGroup, DatabaseRole } from "../model/database.ts";
import type { DirectoryEntry } from "../model/healthMessages.ts";
import { comparePositions } from "../model/position.ts";

/** Time for which a majority waits for the members that have not announced themselves. */
export const lateMemberWaitMs = 2_000;

/**
 * Returns the group to propose, or undefined when there is nothing to change.
 * @param group the agreed group; undefined if there is none
 * @param entries databases that announced the group's id
 * @param waitedMs time since a majority announced itself
 */
export function groupToPropose(
    group: DatabaseGroup | undefined,
    entries: readonly DirectoryEntry[],
    waitedMs: number,
): DatabaseGroup | undefined {
    const available = entries.filter(entry => entry.available);
    return group === undefined ? newGroup(available, waitedMs) : extendedGroup(group, available);
}

/** Whether a majority of a group that does not exist yet has announced itself. */
export function hasMajorityAnnounced(entries: readonly DirectoryEntry[]): boolean {
    const available = entries.filter(entry => entry.available);
    return available.length > 0 && available.length > sizeOf(available) / 2;
}

function newGroup(available: readonly DirectoryEntry[], waitedMs: number): DatabaseGroup | undefined {
    const complete = available.length >= sizeOf(available) || waitedMs >= lateMemberWaitMs;
    const primary = available.map(entry => entry.announcement)
        .filter(announcement => announcement.role === DatabaseRole.Primary)
        .sort((left, right) =>
            comparePositions(right.position, left.position) || (left.databaseId < right.databaseId ? -1 : 1)
        )[0];
    if (!hasMajorityAnnounced(available) || !complete || primary === undefined) {
        return undefined;
    }
    return {
        groupId: primary.groupId,
        service: primary.service,
        term: Math.max(1, primary.position.term),
        primaryId: primary.databaseId,
        memberIds: available.map(entry => entry.announcement.databaseId).sort(),
    };
}

// The primary and the term stay; a member beyond the announced size would change what a majority is.
function extendedGroup(group: DatabaseGroup, available: readonly DirectoryEntry[]): DatabaseGroup | undefined {
    const added = available.map(entry => entry.announcement.databaseId)
        .filter(databaseId => !group.memberIds.includes(databaseId))
        .sort()
        .slice(0, Math.max(0, sizeOf(available) - group.memberIds.length));
    return added.length === 0 ? undefined : { ...group, memberIds: [...group.memberIds, ...added].sort() };
}

function sizeOf(entries: readonly DirectoryEntry[]): number {
    return Math.max(0, ...entries.map(entry => entry.announcement.groupSize));
}
