/** Leases: the right of one instance to use a resource for a bounded time. */

export const ResourceKind = {
    /** Connections and slots of one database. */
    Database: "database",
    /** Permit home of one workspace in one data centre. */
    Permits: "permits",
} as const;
export type ResourceKind = typeof ResourceKind[keyof typeof ResourceKind];

/** The agreed assignment of a resource; renewals are not part of it. */
export interface LeaseAssignment {
    readonly resource: ResourceKind;
    /** Database id, or `workspace@data centre`. */
    readonly resourceId: string;
    readonly instanceId: string;
    /** `host:port` of the holder's gRPC listener. */
    readonly instanceAddress: string;
    /** Raised by each assignment of this resource. */
    readonly epoch: number;
}

/** Interval of the heartbeats that renew all leases of an instance. */
export const heartbeatIntervalMs = 500;

/** Lease time, counted by the holder from the moment it sent the renewing heartbeat. */
export const leaseDurationMs = 3_000;

/**
 * Lease time of permit homes. A data centre that is cut off goes on admitting for so long; it is the usual validity of
 * keys, after which its instances admit nobody anyway. A new home therefore asks the former one to retire.
 */
export const permitLeaseDurationMs = 10_000;

/** Part of a lease time that a holder gives up because clocks of two machines may run at different speeds. */
export const clockDriftFraction = 0.1;

/** Time after its last answer to a silent instance at which the leader reassigns; `leaseDurationMs` plus a margin. */
export const reassignAfterMs = 3_500;

/** Time for which a new leader reassigns nothing: it does not know what its predecessor renewed. */
export const newLeaderGraceMs = 4_500;
