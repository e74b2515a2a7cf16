/**
 * Messages of health checking and failover: heartbeats between instances and the control leader, orders to databases,
 * and the reports of holders. An instance that has the lease of a database holds the database and is its holder.
 */
import type { Message } from "../pipeline/message.ts";
import type { DatabaseAnnouncement } from "./database.ts";
import type { ResourceKind } from "./lease.ts";
import type { Position } from "./position.ts";
import type { DemandBody } from "./rateMessages.ts";

export const HolderHealthKind = {
    DatabaseHealth: "holder.database_health",
    Order: "holder.order",
    OrderDone: "holder.order_done",
    LeaseIdle: "holder.lease_idle",
} as const;

/** Result of the holder's latest probe of a database. */
export interface DatabaseHealth extends Message {
    readonly kind: typeof HolderHealthKind.DatabaseHealth;
    readonly databaseId: string;
    readonly reachable: boolean;
    /** Number of probes that failed in succession, each including an attempt to open a new connection. */
    readonly consecutiveFailures: number;
    /** Undefined until the first successful read of the position. */
    readonly lastPosition: Position | undefined;
    /** Local monotonic time at which the read of `lastPosition` was requested. */
    readonly lastPositionAtMs: number;
}

export const OrderKind = {
    Promote: "promote",
    Follow: "follow",
} as const;

export interface PromoteOrder {
    readonly kind: typeof OrderKind.Promote;
    readonly term: number;
}

export interface FollowOrder {
    readonly kind: typeof OrderKind.Follow;
    readonly term: number;
    readonly primaryAddress: string;
}

export type Order = PromoteOrder | FollowOrder;

/** Tells the holder pipe to run an order on a database. The holder pipe answers with `holder.order_done`. */
export interface HolderOrder extends Message {
    readonly kind: typeof HolderHealthKind.Order;
    readonly orderId: string;
    readonly databaseId: string;
    readonly order: Order;
}

export interface HolderOrderDone extends Message {
    readonly kind: typeof HolderHealthKind.OrderDone;
    readonly orderId: string;
    readonly databaseId: string;
    /** Undefined if the order succeeded. */
    readonly failure: string | undefined;
}

/** No work runs on the database and none will start, so that its lease can be given back. */
export interface HolderLeaseIdle extends Message {
    readonly kind: typeof HolderHealthKind.LeaseIdle;
    readonly databaseId: string;
}

export const HealthKind = {
    /** An operator requests a planned change of a group's primary. */
    ChangePrimary: "health.change_primary",
    /** Tells the holder pipe to start no new work on a database and to emit `holder.lease_idle` when all has ended. */
    ReleaseLease: "health.release_lease",
    HeartbeatDue: "health.heartbeat_due",
    /** Consumed by the gRPC client. */
    HeartbeatSend: "health.heartbeat_send",
    HeartbeatAnswered: "health.heartbeat_answered",
    HeartbeatReceived: "health.heartbeat_received",
    /** Consumed by the gRPC server. */
    HeartbeatReply: "health.heartbeat_reply",
    ExpiryDue: "health.expiry_due",
    LeaderTickDue: "health.leader_tick_due",
    DirectoryReceived: "health.directory_received",
    LeadershipStarted: "health.leadership_started",
    LeaderTicked: "health.leader_ticked",
    HeartbeatChecked: "health.heartbeat_checked",
    DirectoryChanged: "health.directory_changed",
    EndLease: "health.end_lease",
    LeaseEnded: "health.lease_ended",
    AllowLease: "health.allow_lease",
} as const;

export interface ChangePrimary extends Message {
    readonly kind: typeof HealthKind.ChangePrimary;
    readonly groupId: string;
}

export interface ReleaseLease extends Message {
    readonly kind: typeof HealthKind.ReleaseLease;
    readonly databaseId: string;
}

/** Identifies one assignment of a resource in heartbeats. */
export interface LeaseReference {
    readonly resource: ResourceKind;
    readonly resourceId: string;
    readonly epoch: number;
}

/** Report of a holder about a database in its heartbeat. */
export interface HeldReport {
    readonly databaseId: string;
    readonly reachable: boolean;
    readonly consecutiveFailures: number;
    readonly position: Position;
    /** Id of the latest `PositionAsk` that had arrived before `position` was read; empty if none. */
    readonly askId: string;
}

export interface OrderResult {
    readonly orderId: string;
    readonly failure: string | undefined;
}

/** An announcement that an instance heard (received from a database), with its age at the sending of the heartbeat. */
export interface HeardAnnouncement {
    readonly announcement: DatabaseAnnouncement;
    readonly ageMs: number;
}

/** A received announcement that equals one acknowledged by the leader, apart from the position's offset. */
export interface HeardId {
    readonly databaseId: string;
    readonly ageMs: number;
}

export interface Heartbeat {
    readonly instanceId: string;
    /** `host:port` of the instance's gRPC listener. */
    readonly address: string;
    readonly dataCentre: string;
    /** Unique per process, so that a restarted process differs from its predecessor with the same instance id. */
    readonly incarnation: string;
    readonly configurationVersion: number;
    /** Leader term and revision of the directory of databases up to which the instance is up to date. */
    readonly directoryTerm: number;
    readonly directoryRevision: number;
    readonly draining: boolean;
    readonly heard: readonly HeardAnnouncement[];
    readonly heardUnchanged: readonly HeardId[];
    /** Leases valid by the instance's clock at the sending of the heartbeat. */
    readonly leases: readonly LeaseReference[];
    /** Leases that the instance released before their expiry; repeated until the resource is reassigned. */
    readonly givenBack: readonly LeaseReference[];
    readonly held: readonly HeldReport[];
    readonly orderResults: readonly OrderResult[];
    /** Demands that the permit homes on this instance measured since the last heartbeat. */
    readonly demands: readonly DemandBody[];
}

/** One database in the leader's directory. */
export interface DirectoryEntry {
    readonly announcement: DatabaseAnnouncement;
    /** False if the database is departing or its last announcement has expired. */
    readonly available: boolean;
}

export interface DatabaseOrder {
    readonly orderId: string;
    readonly databaseId: string;
    readonly order: Order;
}

/** Asks a holder to report a position of the database that it reads after this request arrives. */
export interface PositionAsk {
    readonly databaseId: string;
    readonly askId: string;
}

export interface LeaseRelease {
    readonly databaseId: string;
    /** Whether to give the lease back without waiting for running work, because the database has failed. */
    readonly atOnce: boolean;
}

export interface HeartbeatAnswer {
    /** False if the answering instance is not the leader; all other fields but `leaderAddress` are then meaningless. */
    readonly leading: boolean;
    readonly leaderAddress: string | undefined;
    readonly leaderTerm: number;
    readonly configurationVersion: number;
    readonly renewed: readonly LeaseReference[];
    readonly directoryRevision: number;
    readonly directory: readonly DirectoryEntry[];
    readonly asks: readonly PositionAsk[];
    readonly releases: readonly LeaseRelease[];
    readonly orders: readonly DatabaseOrder[];
    /** Ids of databases whose full announcement the next heartbeat must carry. */
    readonly resend: readonly string[];
    readonly nextHeartbeatMs: number;
}

export interface HeartbeatSend extends Message {
    readonly kind: typeof HealthKind.HeartbeatSend;
    readonly heartbeatId: number;
    readonly peerAddress: string;
    readonly timeoutMs: number;
    readonly heartbeat: Heartbeat;
}

export interface HeartbeatAnswered extends Message {
    readonly kind: typeof HealthKind.HeartbeatAnswered;
    readonly heartbeatId: number;
    readonly peerAddress: string;
    /** Undefined if the call failed. */
    readonly answer: HeartbeatAnswer | undefined;
}

export interface HeartbeatReceived extends Message {
    readonly kind: typeof HealthKind.HeartbeatReceived;
    readonly callId: string;
    readonly heartbeat: Heartbeat;
}

export interface HeartbeatReply extends Message {
    readonly kind: typeof HealthKind.HeartbeatReply;
    readonly callId: string;
    readonly answer: HeartbeatAnswer;
}

/** Changed directory entries from a heartbeat answer. */
export interface DirectoryReceived extends Message {
    readonly kind: typeof HealthKind.DirectoryReceived;
    readonly directory: readonly DirectoryEntry[];
}

/** This instance became the control leader. */
export interface LeadershipStarted extends Message {
    readonly kind: typeof HealthKind.LeadershipStarted;
    readonly term: number;
}

/** Emitted every `leaderTickIntervalMs` while this instance leads. */
export interface LeaderTicked extends Message {
    readonly kind: typeof HealthKind.LeaderTicked;
}

/** An entry of the leader's directory changed in anything other than its position's offset. */
export interface DirectoryChanged extends Message {
    readonly kind: typeof HealthKind.DirectoryChanged;
    readonly entry: DirectoryEntry;
}

/** A valid heartbeat on its way through the leader's filters, each of which fills in its part of the answer. */
export interface HeartbeatChecked extends Message {
    readonly kind: typeof HealthKind.HeartbeatChecked;
    readonly callId: string;
    readonly heartbeat: Heartbeat;
    readonly answer: HeartbeatAnswer;
}

/** Failover requests the end of a database's lease. The database is not reassigned until `health.allow_lease`. */
export interface EndLease extends Message {
    readonly kind: typeof HealthKind.EndLease;
    readonly databaseId: string;
    /** Copied into the answer, `health.lease_ended`. */
    readonly changeId: string;
    /** Whether the holder gives the lease back without waiting for running work, because the database has failed. */
    readonly atOnce: boolean;
}

export interface LeaseEnded extends Message {
    readonly kind: typeof HealthKind.LeaseEnded;
    readonly databaseId: string;
    readonly changeId: string;
}

export interface AllowLease extends Message {
    readonly kind: typeof HealthKind.AllowLease;
    readonly databaseId: string;
}
