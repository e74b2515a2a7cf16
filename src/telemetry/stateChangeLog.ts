/** Log lines for changes of the cluster state. */
import { match } from "ts-pattern";
import { ClusterKind, type DatabasesChanged, type DatabaseView, type DrainStarted } from "../model/clusterMessages.ts";
import { ControlKind, type ControlLeaderChanged } from "../model/controlMessages.ts";
import { FeedKind, type FeedLost, type FeedOpened } from "../model/feedMessages.ts";
import { StorageKind, type StorageResumed, type StorageSuspended } from "../model/storageMessages.ts";
import type { Sink } from "../pipeline/sink.ts";
import type { Logger } from "./logger.ts";

type Input =
    | ControlLeaderChanged
    | DatabasesChanged
    | DrainStarted
    | FeedOpened
    | FeedLost
    | StorageSuspended
    | StorageResumed;

/**
 * Logs changes of databases, their holders and roles, of the control leader, the source of the configuration, the start
 * of this instance's drain, and whether its disk takes writes.
 */
export class StateChangeLog implements Sink<Input> {
    readonly accepts = [
        ControlKind.LeaderChanged,
        ClusterKind.DatabasesChanged,
        ClusterKind.DrainStarted,
        FeedKind.Opened,
        FeedKind.Lost,
        StorageKind.Suspended,
        StorageKind.Resumed,
    ];
    private readonly logger: Logger;
    private databases = new Map<string, DatabaseView>();

    constructor(logger: Logger) {
        this.logger = logger;
    }

    deliver(message: Input, nowMs: number): void {
        match(message)
            .with(
                { kind: ControlKind.LeaderChanged },
                ({ leading, term, leaderId }) =>
                    this.logger.info("control_leader_changed", { leading, term, leader: leaderId }),
            )
            .with({ kind: ClusterKind.DatabasesChanged }, changed => this.logDatabases(changed.databases))
            .with(
                { kind: ClusterKind.DrainStarted },
                ({ deadlineMs }) => this.logger.info("drain_started", { limit_ms: Math.round(deadlineMs - nowMs) }),
            )
            .with(
                { kind: FeedKind.Opened },
                ({ address, version }) => this.logger.info("feed_opened", { from: address, version }),
            )
            .with(
                { kind: FeedKind.Lost },
                ({ address, reason }) => this.logger.info("feed_lost", { from: address, reason }),
            )
            .with(
                { kind: StorageKind.Suspended },
                ({ reason }) => this.logger.warn("storage_suspended", { reason }),
            )
            .with({ kind: StorageKind.Resumed }, () => this.logger.info("storage_resumed"))
            .exhaustive();
    }

    private logDatabases(databases: readonly DatabaseView[]): void {
        const previousDatabases = this.databases;
        this.databases = new Map(databases.map(database => [database.databaseId, database]));
        for (const database of databases) {
            const previous = previousDatabases.get(database.databaseId);
            if (previous === undefined || comparisonKey(previous) !== comparisonKey(database)) {
                this.logger.info("database_changed", {
                    database: database.databaseId,
                    group: database.groupId,
                    role: database.role,
                    available: database.available,
                    holder: database.holder?.instanceId,
                });
            }
        }
        for (const databaseId of previousDatabases.keys()) {
            if (!this.databases.has(databaseId)) {
                this.logger.info("database_removed", { database: databaseId });
            }
        }
    }
}

function comparisonKey({ role, available, holder }: DatabaseView): string {
    return `${role} ${available} ${holder?.instanceId} ${holder?.epoch}`;
}
