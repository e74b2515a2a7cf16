/** The replicated log of the control members: members, entries and snapshots. */
import type { Configuration } from "./configuration.ts";
import type { Command, ProposalStatus } from "./controlMessages.ts";

/** One voter. */
export interface Member {
    readonly memberId: string;
    /** Random id of the member's data folder; a wiped member comes back with another one and is another voter. */
    readonly incarnation: string;
    /** `host:port` of the member's gRPC listener. */
    readonly address: string;
}

export const EntryKind = {
    /** Appended by a new leader; its commit proves the leadership. */
    NoOp: "no_op",
    Command: "command",
    /** Replaces the list of voters; in force from the moment it is in the log. */
    Members: "members",
} as const;
export type EntryKind = typeof EntryKind[keyof typeof EntryKind];

export type EntryBody =
    | { readonly kind: typeof EntryKind.NoOp; }
    | { readonly kind: typeof EntryKind.Command; readonly operationId: string; readonly command: Command; }
    | { readonly kind: typeof EntryKind.Members; readonly members: readonly Member[]; };

export interface LogEntry {
    /** Position in the log; the first entry has 1. */
    readonly index: number;
    readonly term: number;
    readonly body: EntryBody;
}

/** The remembered result of an operation; a resend gets it again. */
export interface OperationResult {
    readonly status: ProposalStatus;
    readonly version: number;
    readonly configurationVersion: number;
    readonly detail: string;
}

/** Lists of a configuration whose objects travel one by one in snapshots and deltas. */
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
} as const;
export type ObjectList = typeof ObjectList[keyof typeof ObjectList];

/** One object of a configuration, with the list that holds it. */
export type ConfigurationObject = {
    [List in ObjectList]: { readonly list: List; readonly value: Configuration[List][number]; };
}[ObjectList];

export const RecordKind = {
    Object: "object",
    /** Last version of a removed object, or of a withdrawn key whose id is never used again. */
    Retired: "retired",
    Operation: "operation",
} as const;

/** One unit of a snapshot; chunks are bounded by their number of records. */
export type SnapshotRecord =
    | { readonly kind: typeof RecordKind.Object; readonly object: ConfigurationObject; }
    | { readonly kind: typeof RecordKind.Retired; readonly objectId: string; readonly version: number; }
    | { readonly kind: typeof RecordKind.Operation; readonly operationId: string; readonly result: OperationResult; };

/** The control state up to `lastIndex`, with the list of voters at that point. */
export interface Snapshot {
    readonly lastIndex: number;
    readonly lastTerm: number;
    readonly members: readonly Member[];
    /** Version of the configuration that the records hold. */
    readonly version: number;
    readonly records: readonly SnapshotRecord[];
}
