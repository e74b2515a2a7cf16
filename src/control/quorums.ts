/** Sizes of quorums and of the list of members, for a given fault tolerance. */
import type { Member } from "../model/replicatedLog.ts";
import { majoritySize } from "./memberMessages.ts";

/** Control members; at most 7 instances are reserved for the control state. */
export const maximumMembers = 7;

/**
 * Number of synced copies that commit an entry: a majority, and more than the `faultTolerance` disks that may be lost
 * at the same time.
 */
export function commitQuorum(members: readonly Member[], faultTolerance: number): number {
    return Math.max(majoritySize(members), Math.min(faultTolerance + 1, members.length));
}

/** Minimum number of members that can lose `faultTolerance` disks and elect a leader with all committed entries. */
export function faultTolerantSize(faultTolerance: number): number {
    return 2 * faultTolerance + 1;
}
