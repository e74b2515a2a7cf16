/** In-memory log of one member: the entries after the last snapshot. */
import { EntryKind, type LogEntry, type Member, type Snapshot } from "../model/replicatedLog.ts";

/** Limits of one batch; the size is counted in characters of the entries as JSON. */
const maximumBatchEntries = 64;
const maximumBatchCharacters = 1_048_576;

interface SnapshotBase {
    readonly lastIndex: number;
    readonly lastTerm: number;
    readonly members: readonly Member[];
}

const emptySnapshotBase: SnapshotBase = { lastIndex: 0, lastTerm: 0, members: [] };

export class MemberLog {
    private base: SnapshotBase = emptySnapshotBase;
    private entries: LogEntry[] = [];
    private latestMembers: { readonly index: number; readonly members: readonly Member[]; } = { index: 0, members: [] };

    /** Loads the snapshot and the entries that were recovered from disk. */
    restore(snapshot: Snapshot | undefined, entries: readonly LogEntry[]): void {
        this.base = snapshot ?? emptySnapshotBase;
        this.entries = [...entries];
        this.refreshLatestMembers();
    }

    get lastIndex(): number {
        return this.base.lastIndex + this.entries.length;
    }

    get lastTerm(): number {
        return this.entries.at(-1)?.term ?? this.base.lastTerm;
    }

    /** Last index that the snapshot covers. */
    get snapshotIndex(): number {
        return this.base.lastIndex;
    }

    /** The current list of members: the latest in the log, committed or not. */
    get members(): readonly Member[] {
        return this.latestMembers.members;
    }

    /** Index of the entry that contains `members`. */
    get membersIndex(): number {
        return this.latestMembers.index;
    }

    /** Term of an entry; undefined if the entry is after the end of the log or before the end of the snapshot. */
    termAt(index: number): number | undefined {
        return index === this.base.lastIndex ? this.base.lastTerm : this.entryAt(index)?.term;
    }

    append(entry: LogEntry): void {
        if (entry.index !== this.lastIndex + 1) {
            throw new Error(`entry ${entry.index} cannot follow entry ${this.lastIndex}`);
        }
        this.entries.push(entry);
        if (entry.body.kind === EntryKind.Members) {
            this.latestMembers = { index: entry.index, members: entry.body.members };
        }
    }

    /** Removes all entries from `index` on. */
    truncateFrom(index: number): void {
        this.entries.length = Math.max(0, index - this.base.lastIndex - 1);
        this.refreshLatestMembers();
    }

    /** Entries from `from` to `to`, inclusive. */
    slice(from: number, to: number): readonly LogEntry[] {
        return this.entries.slice(from - this.base.lastIndex - 1, to - this.base.lastIndex);
    }

    /** Entries from `from` on that fit into one batch. */
    batchFrom(from: number): readonly LogEntry[] {
        const candidates = this.slice(from, Math.min(this.lastIndex, from + maximumBatchEntries - 1));
        let characters = 0;
        const end = candidates.findIndex((entry, position) => {
            characters += JSON.stringify(entry.body).length;
            return position > 0 && characters > maximumBatchCharacters;
        });
        return end === -1 ? candidates : candidates.slice(0, end);
    }

    /** List of members at `index`, which must not be before the last index of the snapshot. */
    membersAt(index: number): readonly Member[] {
        const entry = this.slice(this.base.lastIndex + 1, index).findLast(found =>
            found.body.kind === EntryKind.Members
        );
        return entry?.body.kind === EntryKind.Members ? entry.body.members : this.base.members;
    }

    /**
     * Replaces the log up to the last index of the snapshot.
     * @returns whether later entries were discarded too, because the log does not match the snapshot
     */
    compact(snapshot: Snapshot): boolean {
        const discard = this.termAt(snapshot.lastIndex) !== snapshot.lastTerm;
        this.entries = discard ? [] : [...this.slice(snapshot.lastIndex + 1, this.lastIndex)];
        this.base = snapshot;
        this.refreshLatestMembers();
        return discard;
    }

    private entryAt(index: number): LogEntry | undefined {
        return index > this.base.lastIndex ? this.entries[index - this.base.lastIndex - 1] : undefined;
    }

    private refreshLatestMembers(): void {
        const entry = this.entries.findLast(found => found.body.kind === EntryKind.Members);
        this.latestMembers = entry?.body.kind === EntryKind.Members
            ? { index: entry.index, members: entry.body.members }
            : { index: this.base.lastIndex, members: this.base.members };
    }
}
