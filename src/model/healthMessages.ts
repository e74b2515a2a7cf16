/** Messages of the health path: heartbeats, orders to databases, and what holders report. */
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

/** Result of the holder's latest probe of a database that it holds. */
export interface DatabaseHealth extends Message {
    readonly kind: typeof HolderHealthKind.DatabaseHealth;
    readonly databaseId: string;
    readonly reachable: boolean;
    /** Probes in a row that failed, each after an attempt to open a fresh connection. */
    readonly consecutiveFailures: number;
    /** Undefined until the position was read once. */
    readonly lastPosition: Position | undefined;
    /** Local monotonic time at which `lastPosition` was asked for. */
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

/** Asks the holder pipe to give an order to a database. Answered by `holder.order_done`. */
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
    /** Undefined when the order was carried out. */
    readonly failure: string | undefined;
}

/** No work runs on the database and none will start; its lease can be given back. */
export interface HolderLeaseIdle extends Message {
    readonly kind: typeof HolderHealthKind.LeaseIdle;
    readonly databaseId: string;
}

export const HealthKind = {
    /** An operator asks for another primary of a group. */
    ChangePrimary: "health.change_primary",
    /** For the holder pipe: start nothing new on the database, and emit `holder.lease_idle` when all has ended. */
    ReleaseLease: "health.release_lease",
    HeartbeatDue: "health.heartbeat_due",
    /** Taken by the gRPC client. */
    HeartbeatSend: "health.heartbeat_send",
    HeartbeatAnswered: "health.heartbeat_answered",
    HeartbeatReceived: "health.heartbeat_received",
    /** Taken by the gRPC server. */
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

/** One term of a lease, as named in heartbeats. */
export interface LeaseReference {
    readonly resource: ResourceKind;
    readonly resourceId: string;
    readonly epoch: number;
}

/** What a holder reports of a database that it holds. */
export interface HeldReport {
    readonly databaseId: string;
    readonly reachable: boolean;
    readonly consecutiveFailures: number;
    readonly position: Position;
    /** The latest question of the leader after whose arrival `position` was read; empty if none. */
    readonly askId: string;
}

export interface OrderResult {
    readonly orderId: string;
    readonly failure: string | undefined;
}

/** An announcement that an instance received, with its age when the heartbeat was sent. */
export interface HeardAnnouncement {
    readonly announcement: DatabaseAnnouncement;
    readonly ageMs: number;
}

/** An announcement whose content, apart from its position, the leader has already acknowledged. */
export interface HeardId {
    readonly databaseId: string;
    readonly ageMs: number;
}

export interface Heartbeat {
    readonly instanceId: string;
    /** `host:port` of the instance's gRPC listener. */
    readonly address: string;
    readonly dataCentre: string;
    /** Differs between two processes of one instance id. */
    readonly incarnation: string;
    readonly configurationVersion: number;
    /** Leader term and revision up to which the instance knows the directory of databases. */
    readonly directoryTerm: number;
    readonly directoryRevision: number;
    readonly draining: boolean;
    readonly heard: readonly HeardAnnouncement[];
    readonly heardUnchanged: readonly HeardId[];
    /** Leases valid by the clock of the instance when it sent the heartbeat. */
    readonly leases: readonly LeaseReference[];
    /** Leases that the instance uses no longer; repeated until they are assigned anew. */
    readonly givenBack: readonly LeaseReference[];
    readonly held: readonly HeldReport[];
    readonly orderResults: readonly OrderResult[];
    /** Demands measured since the last heartbeat by the permit homes that the instance holds. */
    readonly demands: readonly DemandBody[];
}

/** One database in the leader's directory. */
export interface DirectoryEntry {
    readonly announcement: DatabaseAnnouncement;
    /** False after `announcementExpiryMs` of silence or a departure. */
    readonly available: boolean;
}

export interface DatabaseOrder {
    readonly orderId: string;
    readonly databaseId: string;
    readonly order: Order;
}

/** Asks a holder for a position read after the question arrived. */
export interface PositionAsk {
    readonly databaseId: string;
    readonly askId: string;
}

export interface LeaseRelease {
    readonly databaseId: string;
    /** The database is lost: give the lease back without waiting for running work. */
    readonly atOnce: boolean;
}

export interface HeartbeatAnswer {
    /** False when the asked instance does not lead; then only `leaderAddress` has a meaning. */
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
    /** Databases whose announcement the leader wants in full with the next heartbeat. */
    readonly resend: readonly string[];
    /** Time until the instance sends its next heartbeat. */
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
    /** Undefined when the call failed. */
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

/** Changed directory entries that a heartbeat answer carried. */
export interface DirectoryReceived extends Message {
    readonly kind: typeof HealthKind.DirectoryReceived;
    readonly directory: readonly DirectoryEntry[];
}

/** This instance became leader. */
export interface LeadershipStarted extends Message {
    readonly kind: typeof HealthKind.LeadershipStarted;
    readonly term: number;
}

/** Posted every `leaderTickIntervalMs` while this instance leads. */
export interface LeaderTicked extends Message {
    readonly kind: typeof HealthKind.LeaderTicked;
}

/** An entry of the leader's directory changed in something other than its position's offset. */
export interface DirectoryChanged extends Message {
    readonly kind: typeof HealthKind.DirectoryChanged;
    readonly entry: DirectoryEntry;
}

/** A heartbeat that the leader answers; each filter of the leader fills its part of the answer. */
export interface HeartbeatChecked extends Message {
    readonly kind: typeof HealthKind.HeartbeatChecked;
    readonly callId: string;
    readonly heartbeat: Heartbeat;
    readonly answer: HeartbeatAnswer;
}

/** Failover asks that the lease of a database ends and that no new one starts until `health.allow_lease`. */
export interface EndLease extends Message {
    readonly kind: typeof HealthKind.EndLease;
    readonly databaseId: string;
    /** Repeated by the answer. */
    readonly changeId: string;
    /** The database is lost: its holder gives the lease back without waiting for running work. */
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
