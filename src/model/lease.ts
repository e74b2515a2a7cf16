/** Leases: the exclusive right of an instance, the holder, to use a resource for a limited time. */

export const ResourceKind = {
    /** Connections and slots of a database. */
    Database: "database",
    /** Permit home of a workspace in a data centre: grants the rate-limit permits of the workspace there. */
    Permits: "permits",
} as const;
export type ResourceKind = typeof ResourceKind[keyof typeof ResourceKind];

/** Assignment of a resource to an instance, stored in the replicated control state. Renewals are not stored there. */
export interface LeaseAssignment {
    readonly resource: ResourceKind;
    /** Database id, or `workspace@data centre`. */
    readonly resourceId: string;
    readonly instanceId: string;
    /** `host:port` of the holder's gRPC listener. */
    readonly instanceAddress: string;
    /** Incremented by each assignment of this resource. */
    readonly epoch: number;
}

/** Interval of the heartbeats that renew all leases of an instance. */
export const heartbeatIntervalMs = 500;

/** Duration of a database lease. The holder counts it from the sending of the heartbeat that renewed the lease. */
export const leaseDurationMs = 3_000;

/**
 * Duration of a permit home's lease. A partitioned data centre goes on admitting operations for this long, which is the
 * usual validity of keys, after which its instances admit no caller anyway. Because the lease is this long, a new
 * permit home asks the former one to retire instead of waiting for the lease to expire.
 */
export const permitLeaseDurationMs = 10_000;

/** Fraction of a lease's duration that its holder does not use, because the clocks of two machines may drift apart. */
export const clockDriftFraction = 0.1;

/** Time after the last renewal at which the leader may reassign a resource: `leaseDurationMs` plus a margin. */
export const reassignAfterMs = 3_500;

/** Time for which a new leader reassigns no lease, because it does not know which ones its predecessor renewed. */
export const newLeaderGraceMs = 4_500;
