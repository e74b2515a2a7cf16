/** The replicated log of the control members: members, entries and snapshots. */
import type { Configuration } from "./configuration.ts";
import type { Command, ProposalStatus } from "./controlMessages.ts";

/** A voting member of the control cluster. */
export interface Member {
    readonly memberId: string;
    /** Random id of the data folder. A member whose disk was wiped returns with a new one and counts as a new voter. */
    readonly incarnation: string;
    /** `host:port` of the member's gRPC listener. */
    readonly address: string;
}

export const EntryKind = {
    /** Appended by a new leader, whose leadership is confirmed by the commit of this entry. */
    NoOp: "no_op",
    Command: "command",
    /** Replaces the list of voters; takes effect when it is appended, before it is committed. */
    Members: "members",
} as const;
export type EntryKind = typeof EntryKind[keyof typeof EntryKind];

export type EntryBody =
    | { readonly kind: typeof EntryKind.NoOp; }
    | { readonly kind: typeof EntryKind.Command; readonly operationId: string; readonly command: Command; }
    | { readonly kind: typeof EntryKind.Members; readonly members: readonly Member[]; };

export interface LogEntry {
    /** Position in the log, from 1. */
    readonly index: number;
    readonly term: number;
    readonly body: EntryBody;
}

/** Result of an operation, stored so that a retry gets the same result. */
export interface OperationResult {
    readonly status: ProposalStatus;
    readonly version: number;
    readonly configurationVersion: number;
    readonly detail: string;
}

/** Lists of a configuration. Snapshots and deltas hold the objects of these lists one by one. */
export const ObjectList = {
    WorkClasses: "workClasses",
    Workspaces: "workspaces",
    Keys: "keys",
    OpenRoutes: "openRoutes",
    Groups: "groups",
    Leases: "leases",
    RateShares: "rateShares",
    DocumentHeads: "documentHeads",
    DocumentEntries: "documentEntries",
    Promotions: "promotions",
    CommitWitnesses: "commitWitnesses",
    Evacuations: "evacuations",
} as const;
export type ObjectList = typeof ObjectList[keyof typeof ObjectList];

/** An object of a configuration and the list to which it belongs. */
export type ConfigurationObject = {
    [List in ObjectList]: { readonly list: List; readonly value: Configuration[List][number]; };
}[ObjectList];

export const RecordKind = {
    Object: "object",
    /** Last version of a removed object or of a withdrawn key. */
    Retired: "retired",
    Operation: "operation",
} as const;

/** One record of a snapshot; a chunk of a snapshot has a limited number of records. */
export type SnapshotRecord =
    | { readonly kind: typeof RecordKind.Object; readonly object: ConfigurationObject; }
    | { readonly kind: typeof RecordKind.Retired; readonly objectId: string; readonly version: number; }
    | { readonly kind: typeof RecordKind.Operation; readonly operationId: string; readonly result: OperationResult; };

/** The control state after the entry `lastIndex`, with the list of voters at that index. */
export interface Snapshot {
    readonly lastIndex: number;
    readonly lastTerm: number;
    readonly members: readonly Member[];
    /** Version of the configuration in the records. */
    readonly version: number;
    readonly records: readonly SnapshotRecord[];
}
