/** Replication on a follower: checks entries from the leader against the local log and appends them. */
import type { AppendRequest } from "../model/logMessages.ts";
import { type StorageWrite, WriteKind } from "../model/storageMessages.ts";
import type { MemberLog } from "./memberLog.ts";

export interface AcceptedEntries {
    readonly accepted: boolean;
    /** If accepted, index up to which the log matches the leader's; otherwise the index to retry from. */
    readonly index: number;
    /** Write that must be synced before the answer is sent. */
    readonly write: StorageWrite | undefined;
}

/** Appends the entries of a request of the current leader, in place of conflicting entries that are not committed. */
export function acceptEntries(log: MemberLog, commitIndex: number, request: AppendRequest): AcceptedEntries {
    const { previousIndex, previousTerm } = request;
    // Entries up to the snapshot are committed, so they match the leader's.
    if (previousIndex > log.snapshotIndex && log.termAt(previousIndex) !== previousTerm) {
        return { accepted: false, index: retryIndex(log, previousIndex), write: undefined };
    }
    const index = previousIndex + request.entries.length;
    const firstNew = request.entries.find(entry =>
        entry.index > log.snapshotIndex && log.termAt(entry.index) !== entry.term
    );
    if (firstNew === undefined) {
        return { accepted: true, index, write: undefined };
    }
    if (firstNew.index <= commitIndex) {
        throw new Error(`peer=${request.from.memberId}: committed entry ${firstNew.index} would be replaced`);
    }
    log.truncateFrom(firstNew.index);
    const entries = request.entries.filter(entry => entry.index >= firstNew.index);
    entries.forEach(entry => log.append(entry));
    return { accepted: true, index, write: { kind: WriteKind.Entries, fromIndex: firstNew.index, entries } };
}

// Skips all entries of the conflicting term at once, so that a long divergent log needs few round trips.
function retryIndex(log: MemberLog, previousIndex: number): number {
    if (previousIndex > log.lastIndex) {
        return log.lastIndex + 1;
    }
    const conflictingTerm = log.termAt(previousIndex);
    let index = previousIndex;
    while (index > log.snapshotIndex + 1 && log.termAt(index - 1) === conflictingTerm) {
        index -= 1;
    }
    return index;
}
