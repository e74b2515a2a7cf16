/** Messages of the replication protocol: a replica asks for what follows its log, the primary answers. */
import type { Position } from "../../src/model/position.ts";
import type { LogRecord } from "./groupLog.ts";

/** Asks for the records after `after`, which is the last record of the replica. */
export interface PullRequest {
    readonly term: number;
    readonly after: Position;
}

export const PullResponseKind = {
    Records: "records",
    /** The replica's last record is not in the primary's log. */
    Diverged: "diverged",
    /** The database asked is not the primary of the replica's term. */
    NotPrimary: "not_primary",
} as const;
export type PullResponseKind = typeof PullResponseKind[keyof typeof PullResponseKind];

export interface PullResponse {
    readonly kind: PullResponseKind;
    readonly records: readonly LogRecord[];
}
