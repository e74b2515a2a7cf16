/** Messages between the control pipe and the data folder. */
import type { Message } from "../pipeline/message.ts";
import type { LogEntry, Snapshot } from "./replicatedLog.ts";

export const StorageKind = {
    Append: "storage.append",
    /** Everything up to and including the write is synced. */
    AppendDone: "storage.append_done",
    /** A write failed. Nothing after it is written; the process must stop, because its disk state is unknown. */
    Failed: "storage.failed",
    /** What the data folder held at start; the first event of the control pipe. */
    Recovered: "storage.recovered",
} as const;

export const WriteKind = {
    Term: "term",
    Entries: "entries",
    Snapshot: "snapshot",
} as const;

export type StorageWrite =
    | { readonly kind: typeof WriteKind.Term; readonly term: number; readonly votedFor: string | undefined; }
    /** Removes every entry from `fromIndex` on and appends `entries`, of which the first has that index. */
    | { readonly kind: typeof WriteKind.Entries; readonly fromIndex: number; readonly entries: readonly LogEntry[]; }
    /** Replaces the log up to the snapshot's last index; with `discardLog`, the entries after it too. */
    | { readonly kind: typeof WriteKind.Snapshot; readonly snapshot: Snapshot; readonly discardLog: boolean; };

export interface StorageAppend extends Message {
    readonly kind: typeof StorageKind.Append;
    /** Rises by one with each write. */
    readonly writeId: number;
    readonly write: StorageWrite;
}

export interface StorageAppendDone extends Message {
    readonly kind: typeof StorageKind.AppendDone;
    readonly writeId: number;
}

export interface StorageFailed extends Message {
    readonly kind: typeof StorageKind.Failed;
    readonly reason: string;
}

/** The durable state of a member. */
export interface StorageRecovered extends Message {
    readonly kind: typeof StorageKind.Recovered;
    readonly incarnation: string;
    readonly term: number;
    /** `memberId/incarnation` of the candidate that got this member's vote in `term`. */
    readonly votedFor: string | undefined;
    readonly snapshot: Snapshot | undefined;
    /** Entries after the snapshot, without gaps. */
    readonly entries: readonly LogEntry[];
}
