/** What operators ask for in a configuration document: routes, services, workspaces and limits. */

export const RouteConsistency = {
    /** Every read sees every acknowledged commit. */
    Primary: "primary",
    /** A read sees every commit acknowledged longer ago than the maximum age. */
    Bounded: "bounded",
    /** As bounded, and a session always sees its own commits. */
    Session: "session",
} as const;
export type RouteConsistency = typeof RouteConsistency[keyof typeof RouteConsistency];

/** Maps a database name that callers connect to onto a service. */
export interface RoutePolicy {
    readonly name: string;
    /** The name that callers connect to. */
    readonly database: string;
    readonly service: string;
    readonly consistency: RouteConsistency;
    /** Greatest age of what a read may show; 0 on routes that read the primary. */
    readonly maximumAgeMs: number;
    /** Limit of a single statement. */
    readonly statementLimitMs: number;
    /** Aim for a whole operation. */
    readonly targetLatencyMs: number;
    /** 0 is the highest. */
    readonly priority: number;
    /** Open to callers without a key. */
    readonly open: boolean;
}

export interface ServicePolicy {
    readonly name: string;
    /** Connections of all callers together to one of its databases. */
    readonly connectionLimit: number;
    /** Replicas that must have received a commit before it is acknowledged. */
    readonly synchronousReplicas: number;
}

export interface WorkspacePolicy {
    readonly name: string;
    readonly keys: readonly string[];
    /** Operations per second over all instances. */
    readonly ratePerSecond: number;
    /** Operations. */
    readonly burst: number;
}

/** The decoded document in force. */
export interface TrafficPolicy {
    /** Version of the document; 0 before the first one. */
    readonly version: number;
    readonly routesByDatabase: ReadonlyMap<string, RoutePolicy>;
    readonly services: ReadonlyMap<string, ServicePolicy>;
    readonly workspaces: ReadonlyMap<string, WorkspacePolicy>;
    readonly workspaceByKey: ReadonlyMap<string, string>;
    /** Idle time after which a transaction may be ended. */
    readonly transactionIdleMs: number;
}

export const emptyTrafficPolicy: TrafficPolicy = {
    version: 0,
    routesByDatabase: new Map(),
    services: new Map(),
    workspaces: new Map(),
    workspaceByKey: new Map(),
    transactionIdleMs: 0,
};
