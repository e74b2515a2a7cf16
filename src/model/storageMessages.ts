/** Messages between the control pipe and the storage of a member, which is kept in its data folder. */
import type { Message } from "../pipeline/message.ts";
import type { LogEntry, Snapshot } from "./replicatedLog.ts";

export const StorageKind = {
    Append: "storage.append",
    /** The write and all writes before it are synced. */
    AppendDone: "storage.append_done",
    /** The disk takes no writes at the moment; they are repeated until it does. Nothing delivered since is durable. */
    Suspended: "storage.suspended",
    /** The disk takes writes again. */
    Resumed: "storage.resumed",
    /** A write failed. Later writes are ignored; the process must stop, because the state on disk is unknown. */
    Failed: "storage.failed",
    /** The state found in the data folder at startup; the first event of the control pipe. */
    Recovered: "storage.recovered",
} as const;

export const WriteKind = {
    Term: "term",
    Entries: "entries",
    Snapshot: "snapshot",
} as const;

export type StorageWrite =
    | { readonly kind: typeof WriteKind.Term; readonly term: number; readonly votedFor: string | undefined; }
    /** Removes all entries from `fromIndex` on and appends `entries`, the first of which has that index. */
    | { readonly kind: typeof WriteKind.Entries; readonly fromIndex: number; readonly entries: readonly LogEntry[]; }
    /** Replaces the log up to the last index of the snapshot, or the whole log if `discardLog` is set. */
    | { readonly kind: typeof WriteKind.Snapshot; readonly snapshot: Snapshot; readonly discardLog: boolean; };

export interface StorageAppend extends Message {
    readonly kind: typeof StorageKind.Append;
    /** Increases by one with each write. */
    readonly writeId: number;
    readonly write: StorageWrite;
}

export interface StorageAppendDone extends Message {
    readonly kind: typeof StorageKind.AppendDone;
    readonly writeId: number;
}

export interface StorageSuspended extends Message {
    readonly kind: typeof StorageKind.Suspended;
    readonly reason: string;
}

export interface StorageResumed extends Message {
    readonly kind: typeof StorageKind.Resumed;
}

export interface StorageFailed extends Message {
    readonly kind: typeof StorageKind.Failed;
    readonly reason: string;
}

/** The durable state of a member as read at startup. */
export interface StorageRecovered extends Message {
    readonly kind: typeof StorageKind.Recovered;
    readonly incarnation: string;
    readonly term: number;
    /** `memberId/incarnation` of the candidate that this member voted for in `term`. */
    readonly votedFor: string | undefined;
    readonly snapshot: Snapshot | undefined;
    /** Log entries after the snapshot, without gaps. */
    readonly entries: readonly LogEntry[];
}
