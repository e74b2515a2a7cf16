/** Forms groups from the announcements of their members, and adds members that announce themselves later. */
import { type DatabaseGroup, DatabaseRole } from "../model/database.ts";
import type { DirectoryEntry } from "../model/healthMessages.ts";
import { comparePositions } from "../model/position.ts";

/** Time that an announced majority waits for the other members before the group is formed without them. */
export const lateMemberWaitMs = 2_000;

/**
 * Returns the group to propose, or undefined when there is nothing to change.
 * @param group the agreed group; undefined if there is none
 * @param entries directory entries of the databases that announced the group's id
 * @param majorityAgeMs time since a majority of the members has announced itself
 */
export function groupToPropose(
    group: DatabaseGroup | undefined,
    entries: readonly DirectoryEntry[],
    majorityAgeMs: number,
): DatabaseGroup | undefined {
    const available = entries.filter(entry => entry.available);
    return group === undefined ? newGroup(available, majorityAgeMs) : extendedGroup(group, available);
}

/** Whether a majority of a group that does not exist yet has announced itself. */
export function hasMajorityAnnounced(entries: readonly DirectoryEntry[]): boolean {
    const available = entries.filter(entry => entry.available);
    return available.length > 0 && available.length > announcedSize(available) / 2;
}

function newGroup(available: readonly DirectoryEntry[], majorityAgeMs: number): DatabaseGroup | undefined {
    const isComplete = available.length >= announcedSize(available) || majorityAgeMs >= lateMemberWaitMs;
    const primary = available.map(entry => entry.announcement)
        .filter(announcement => announcement.role === DatabaseRole.Primary)
        .sort((left, right) =>
            comparePositions(right.position, left.position) || (left.databaseId < right.databaseId ? -1 : 1)
        )[0];
    if (!hasMajorityAnnounced(available) || !isComplete || primary === undefined) {
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

// Keeps the primary and the term. The group does not grow beyond its announced size, which would change the majority.
function extendedGroup(group: DatabaseGroup, available: readonly DirectoryEntry[]): DatabaseGroup | undefined {
    const added = available.map(entry => entry.announcement.databaseId)
        .filter(databaseId => !group.memberIds.includes(databaseId))
        .sort()
        .slice(0, Math.max(0, announcedSize(available) - group.memberIds.length));
    return added.length === 0 ? undefined : { ...group, memberIds: [...group.memberIds, ...added].sort() };
}

function announcedSize(entries: readonly DirectoryEntry[]): number {
    return Math.max(0, ...entries.map(entry => entry.announcement.groupSize));
}
