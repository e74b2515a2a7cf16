/** How many members decide, and how many stay on the list, where the loss of some disks must be borne. */
import type { Member } from "../model/replicatedLog.ts";
import { majoritySize } from "./memberMessages.ts";

/** At most 7 instances are set aside for control. */
export const maximumMembers = 7;

/**
 * Number of synced copies that commit an entry: a majority, and more than the `tolerance` disks that may be lost at one
 * moment.
 */
export function commitQuorum(members: readonly Member[], faultTolerance: number): number {
    return Math.max(majoritySize(members), Math.min(faultTolerance + 1, members.length));
}

/** Least number of members that can lose `tolerance` disks and still elect a leader that has every committed entry. */
export function faultTolerantSize(faultTolerance: number): number {
    return 2 * faultTolerance + 1;
}
