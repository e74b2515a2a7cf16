/** Databases as they announce themselves, and the replication groups that they form. */
import type { Position } from "./position.ts";

export const DatabaseRole = {
    Primary: "primary",
    Replica: "replica",
} as const;
export type DatabaseRole = typeof DatabaseRole[keyof typeof DatabaseRole];

/** State that a database reports about itself. Every `announceIntervalMs` it sends this to one of the instances. */
export interface DatabaseAnnouncement {
    readonly databaseId: string;
    /** The databases of a group replicate the same log. */
    readonly groupId: string;
    /** Database name that callers use to connect to the group. */
    readonly service: string;
    readonly dataCentre: string;
    /** `host:port` of the MySQL listener. */
    readonly address: string;
    /** Number of statements that the database runs concurrently. */
    readonly slots: number;
    /** Number of connections that the database accepts. */
    readonly connectionLimit: number;
    readonly role: DatabaseRole;
    readonly position: Position;
    /** Number of databases in the group, including those that are down. */
    readonly groupSize: number;
    /** Set during a planned shutdown of the database: it gets no new work. */
    readonly departing: boolean;
}

/** Upper bound of an announced `slots`: each concurrent statement needs a connection, and so a client-side TCP port. */
export const maximumSlots = 65_536;

export const announceIntervalMs = 500;

/** Time without an announcement after which a database gets no new work. */
export const announcementExpiryMs = 3_000;

/** State of a group as agreed in the replicated control state. */
export interface DatabaseGroup {
    readonly groupId: string;
    readonly service: string;
    readonly term: number;
    readonly primaryId: string;
    readonly memberIds: readonly string[];
}
