/** Replication protocol: a replica pulls the records that follow its log from the primary. */
import type { Position } from "../../src/model/position.ts";
import type { LogRecord } from "./groupLog.ts";

/** Requests the records after `after`, the position of the last record of the replica. */
export interface PullRequest {
    readonly term: number;
    readonly after: Position;
}

export const PullResponseKind = {
    Records: "records",
    /** The primary's log does not contain the replica's last record. */
    Diverged: "diverged",
    /** The responding database is not the primary of the replica's term. */
    NotPrimary: "not_primary",
} as const;
export type PullResponseKind = typeof PullResponseKind[keyof typeof PullResponseKind];

export interface PullResponse {
    readonly kind: PullResponseKind;
    readonly records: readonly LogRecord[];
}
