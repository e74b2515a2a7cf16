/** The log of one member in memory: entries after the last snapshot. */
import { EntryKind, type LogEntry, type Member, type Snapshot } from "../model/replicatedLog.ts";

/** Bounds of one batch; the size is counted in characters of the entries' JSON form. */
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

    /** Loads what the disk held. */
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

    /** Last index that only the snapshot holds. */
    get snapshotIndex(): number {
        return this.base.lastIndex;
    }

    /** The list of members in force: the latest in the log, whether or not it is committed. */
    get members(): readonly Member[] {
        return this.latestMembers.members;
    }

    /** Index of the entry that holds `members`. */
    get membersIndex(): number {
        return this.latestMembers.index;
    }

    /** Term of an entry; undefined when the log does not reach to it or has only a snapshot of it. */
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

    /** Removes every entry from `index` on. */
    truncateFrom(index: number): void {
        this.entries.length = Math.max(0, index - this.base.lastIndex - 1);
        this.refreshLatestMembers();
    }

    /** Entries from `from` to `to`, both included. */
    slice(from: number, to: number): readonly LogEntry[] {
        return this.entries.slice(from - this.base.lastIndex - 1, to - this.base.lastIndex);
    }

    /** Entries from `from` on that fit into one message. */
    batchFrom(from: number): readonly LogEntry[] {
        const candidates = this.slice(from, Math.min(this.lastIndex, from + maximumBatchEntries - 1));
        let characters = 0;
        const end = candidates.findIndex((entry, position) => {
            characters += JSON.stringify(entry.body).length;
            return position > 0 && characters > maximumBatchCharacters;
        });
        return end === -1 ? candidates : candidates.slice(0, end);
    }

    /** Members as of `index`, which the log must still hold or which is the snapshot's last. */
    membersAt(index: number): readonly Member[] {
        const entry = this.slice(this.base.lastIndex + 1, index).findLast(found =>
            found.body.kind === EntryKind.Members
        );
        return entry?.body.kind === EntryKind.Members ? entry.body.members : this.base.members;
    }

    /**
     * Replaces the log up to the snapshot's last index.
     * @returns whether entries after it were discarded because they do not continue the snapshot
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
