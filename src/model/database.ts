/** Databases as they announce themselves, and the groups they form. */
import type { Position } from "./position.ts";

export const DatabaseRole = {
    Primary: "primary",
    Replica: "replica",
} as const;
export type DatabaseRole = typeof DatabaseRole[keyof typeof DatabaseRole];

/** What one database says of itself. Sent every `announceIntervalMs` to any instance. */
export interface DatabaseAnnouncement {
    readonly databaseId: string;
    /** Databases of one group replicate one log. */
    readonly groupId: string;
    /** Database name under which callers reach the group. */
    readonly service: string;
    readonly dataCentre: string;
    /** `host:port` of the MySQL listener. */
    readonly address: string;
    /** Statements the database runs at once. */
    readonly slots: number;
    /** Connections the database accepts. */
    readonly connectionLimit: number;
    readonly role: DatabaseRole;
    readonly position: Position;
    /** Number of databases in the group, including those that are down. */
    readonly groupSize: number;
    /** Set by a database that leaves on purpose: it gets no new work. */
    readonly departing: boolean;
}

/** Most statements at once that a database can claim to run; each needs a connection and so a port of the caller. */
export const maximumSlots = 65_536;

/** Interval at which databases announce themselves. */
export const announceIntervalMs = 500;

/** Silence after which a database gets no new work. */
export const announcementExpiryMs = 3_000;

/** The agreed state of a group. */
export interface DatabaseGroup {
    readonly groupId: string;
    readonly service: string;
    readonly term: number;
    readonly primaryId: string;
    readonly memberIds: readonly string[];
}
