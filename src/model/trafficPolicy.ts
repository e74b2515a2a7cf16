/** The traffic policy decoded from a configuration document: routes, services, workspaces and limits. */

export const RouteConsistency = {
    /** Every read sees every acknowledged commit. */
    Primary: "primary",
    /** A read sees every commit that was acknowledged longer ago than the maximum age. */
    Bounded: "bounded",
    /** Like `Bounded`, and a session always sees its own commits. */
    Session: "session",
} as const;
export type RouteConsistency = typeof RouteConsistency[keyof typeof RouteConsistency];

/** Maps a database name, as given by callers, to a service. */
export interface RoutePolicy {
    readonly name: string;
    /** The name that callers connect to. */
    readonly database: string;
    readonly service: string;
    readonly consistency: RouteConsistency;
    /** Maximum staleness of a read; 0 on routes that read the primary. */
    readonly maximumAgeMs: number;
    /** Timeout of a single statement. */
    readonly statementLimitMs: number;
    /** Latency objective of a whole operation. */
    readonly targetLatencyMs: number;
    /** 0 is the highest priority. */
    readonly priority: number;
    /** Callers need no key. */
    readonly open: boolean;
    /** Regions in which its work is run; undefined or empty if all are allowed. */
    readonly homeRegions?: readonly string[];
}

export interface ServicePolicy {
    readonly name: string;
    /** Maximum connections to each database of the service, over all callers. */
    readonly connectionLimit: number;
    /** Number of replicas that must receive a commit before it is acknowledged. */
    readonly synchronousReplicas: number;
    /** Time for which a database is slow after its start; by default 0. */
    readonly coldStartMs?: number;
    /** Statements per second that a cold database bears; undefined or 0 if there is no limit. */
    readonly coldPerSecond?: number;
}

export interface WorkspacePolicy {
    readonly name: string;
    readonly keys: readonly string[];
    /** Operations per second over all instances. */
    readonly ratePerSecond: number;
    /** Operations that may run at once after an idle time. */
    readonly burst: number;
    /** Regions in which its work is run; undefined or empty if all are allowed. */
    readonly homeRegions?: readonly string[];
}

/** The policy in force. */
export interface TrafficPolicy {
    /** Version of the document; 0 before the first one. */
    readonly version: number;
    readonly routesByDatabase: ReadonlyMap<string, RoutePolicy>;
    readonly services: ReadonlyMap<string, ServicePolicy>;
    readonly workspaces: ReadonlyMap<string, WorkspacePolicy>;
    readonly workspaceByKey: ReadonlyMap<string, string>;
    /** Idle time after which the proxy may end a transaction. */
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

/** Returns the regions that two policies allow together; undefined if both allow all, empty if they exclude each other. */
export function commonHomeRegions(
    left: readonly string[] = [],
    right: readonly string[] = [],
): readonly string[] | undefined {
    if (left.length === 0) {
        return right.length === 0 ? undefined : right;
    }
    return right.length === 0 ? left : left.filter(region => right.includes(region));
}
