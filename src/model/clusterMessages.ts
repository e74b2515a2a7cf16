/** Messages that inform the request and holder pipes about the state of the cluster. */
import type { Message } from "../pipeline/message.ts";
import type { Configuration } from "./configuration.ts";
import type { DatabaseAnnouncement, DatabaseRole } from "./database.ts";
import type { ConfigurationDocument } from "./document.ts";
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

/** A database announced itself to this instance. */
export interface DatabaseAnnounced extends Message {
    readonly kind: typeof ClusterKind.DatabaseAnnounced;
    readonly announcement: DatabaseAnnouncement;
}

/** State of a database as the request and holder pipes see it. */
export interface DatabaseView {
    readonly databaseId: string;
    readonly groupId: string;
    readonly service: string;
    readonly dataCentre: string;
    readonly address: string;
    readonly slots: number;
    readonly connectionLimit: number;
    /** Role according to the control state, which may differ from the announced one. */
    readonly role: DatabaseRole;
    /** Last announced position. */
    readonly position: Position;
    readonly groupSize: number;
    /** Whether the database gets new work: it announced itself recently and is not departing. */
    readonly available: boolean;
    /** By order of an operator, the databases of its data centre get no more work; undefined if there is no such order. */
    readonly evacuated?: boolean;
    /** Assignment of the database's lease; undefined while the lease is not assigned. */
    readonly holder: LeaseAssignment | undefined;
}

/** The full list of databases, published whenever anything in it other than a position's offset changes. */
export interface DatabasesChanged extends Message {
    readonly kind: typeof ClusterKind.DatabasesChanged;
    readonly databases: readonly DatabaseView[];
}

/** This instance applied a configuration. Versions never decrease, and may skip numbers. */
export interface ConfigurationApplied extends Message {
    readonly kind: typeof ClusterKind.ConfigurationApplied;
    readonly configuration: Configuration;
    /** The last documents that were replaced since the message before, the newest first; on control members only. */
    readonly replacedDocuments?: readonly ConfigurationDocument[];
}

/** The control leader confirmed that `version` was the latest one at `provedAtMs`, in local monotonic time. */
export interface ConfigurationProved extends Message {
    readonly kind: typeof ClusterKind.ConfigurationProved;
    readonly version: number;
    readonly provedAtMs: number;
}

/** The full list of leases that this instance holds, with the local monotonic times at which they expire. */
export interface LeasesRenewed extends Message {
    readonly kind: typeof ClusterKind.LeasesRenewed;
    readonly leases: readonly LeaseAssignment[];
    /** Expiry of the database leases. */
    readonly validUntilMs: number;
    /** Expiry of the permit home leases. */
    readonly permitsUntilMs: number;
}

/** A graceful shutdown began: no new callers are accepted, leases are given back, running work ends by `deadlineMs`. */
export interface DrainStarted extends Message {
    readonly kind: typeof ClusterKind.DrainStarted;
    readonly deadlineMs: number;
}

/** The graceful shutdown is complete and the process may exit. */
export interface DrainEnded extends Message {
    readonly kind: typeof ClusterKind.DrainEnded;
}
