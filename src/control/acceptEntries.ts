/** The follower's side of replication: entries from the leader against the own log. */
import type { AppendRequest } from "../model/logMessages.ts";
import { type StorageWrite, WriteKind } from "../model/storageMessages.ts";
import type { MemberLog } from "./memberLog.ts";

export interface AcceptedEntries {
    readonly accepted: boolean;
    /** Accepted: last index that is now equal to the leader's log. Refused: index from which to try again. */
    readonly index: number;
    /** What the disk must hold before the answer is sent. */
    readonly write: StorageWrite | undefined;
}

/** Brings `log` in line with a request of the current leader. */
export function acceptEntries(log: MemberLog, commitIndex: number, request: AppendRequest): AcceptedEntries {
    const { previousIndex, previousTerm } = request;
    // Everything up to the snapshot is committed and therefore equal.
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

// Skips the whole conflicting term at once, so that a long divergent tail takes few round trips.
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
