/** Messages that tell the request and holder pipes about the cluster. */
import type { Message } from "../pipeline/message.ts";
import type { Configuration } from "./configuration.ts";
import type { DatabaseAnnouncement, DatabaseRole } from "./database.ts";
import type { LeaseAssignment } from "./lease.ts";
import type { Position } from "./position.ts";

export const ClusterKind = {
    DatabaseAnnounced: "cluster.database_announced",
    DatabasesChanged: "cluster.databases_changed",
    ConfigurationApplied: "cluster.configuration_applied",
    ConfigurationProved: "cluster.configuration_proved",
    LeasesRenewed: "cluster.leases_renewed",
    DrainStarted: "cluster.drain_started",
    DrainEnded: "cluster.drain_ended",
} as const;

/** A database announced itself to this instance or to a peer. */
export interface DatabaseAnnounced extends Message {
    readonly kind: typeof ClusterKind.DatabaseAnnounced;
    readonly announcement: DatabaseAnnouncement;
}

/** What the request and holder pipes know of one database. */
export interface DatabaseView {
    readonly databaseId: string;
    readonly groupId: string;
    readonly service: string;
    readonly dataCentre: string;
    readonly address: string;
    readonly slots: number;
    readonly connectionLimit: number;
    /** Role by the agreed state of the group, not by the database's own word. */
    readonly role: DatabaseRole;
    /** Last position it announced. */
    readonly position: Position;
    readonly groupSize: number;
    /** Accepts new work: announced recently and not departing. */
    readonly available: boolean;
    /** The instance that holds it; undefined while nobody does. */
    readonly holder: LeaseAssignment | undefined;
}

/** The full list of databases, whenever something in it other than a position changes. */
export interface DatabasesChanged extends Message {
    readonly kind: typeof ClusterKind.DatabasesChanged;
    readonly databases: readonly DatabaseView[];
}

/** A configuration came into force on this instance. Versions rise by any step and never fall. */
export interface ConfigurationApplied extends Message {
    readonly kind: typeof ClusterKind.ConfigurationApplied;
    readonly configuration: Configuration;
}

/** The applied configuration was the latest at `provedAtMs`, local monotonic time. */
export interface ConfigurationProved extends Message {
    readonly kind: typeof ClusterKind.ConfigurationProved;
    readonly version: number;
    readonly provedAtMs: number;
}

/** The leases that this instance holds, with the local monotonic times of their ends. Replaces the last list. */
export interface LeasesRenewed extends Message {
    readonly kind: typeof ClusterKind.LeasesRenewed;
    readonly leases: readonly LeaseAssignment[];
    /** End of the leases of databases. */
    readonly validUntilMs: number;
    /** End of the leases of permit homes. */
    readonly permitsUntilMs: number;
}

/** This instance stops: no new callers, leases are given back, running work ends until `deadlineMs`. */
export interface DrainStarted extends Message {
    readonly kind: typeof ClusterKind.DrainStarted;
    readonly deadlineMs: number;
}

/** The shutdown is complete: the process may exit. */
export interface DrainEnded extends Message {
    readonly kind: typeof ClusterKind.DrainEnded;
}
