/** Messages of the configuration feed, which replicates the configuration from control members to other instances. */
import type { Message } from "../pipeline/message.ts";
import type { Configuration } from "./configuration.ts";
import type { ConfigurationObject, ObjectList } from "./replicatedLog.ts";

export const FeedKind = {
    /** An instance subscribed to the configuration at this member. */
    Subscribe: "feed.subscribe",
    Unsubscribe: "feed.unsubscribe",
    /** An update for one subscriber, which the gRPC sink sends. */
    Send: "feed.send",
    /** An update arrived from a control member. */
    Received: "feed.received",
    /** This instance missed an update; the gRPC source must subscribe again from `version`. */
    Resubscribe: "feed.resubscribe",
    /** A member confirmed the subscription of this instance. */
    Opened: "feed.opened",
    /** The subscription of this instance ended, or was not confirmed. */
    Lost: "feed.lost",
} as const;

export const UpdateKind = {
    Snapshot: "snapshot",
    Delta: "delta",
} as const;

/** Changes from one version to a later one. */
export interface ConfigurationDelta {
    readonly kind: typeof UpdateKind.Delta;
    readonly fromVersion: number;
    readonly toVersion: number;
    readonly upserts: readonly ConfigurationObject[];
    /** Object ids as `configurationObjectId` returns them. */
    readonly removals: readonly { readonly list: ObjectList; readonly objectId: string; }[];
}

export interface ConfigurationSnapshot {
    readonly kind: typeof UpdateKind.Snapshot;
    readonly configuration: Configuration;
}

export type ConfigurationUpdate = ConfigurationSnapshot | ConfigurationDelta;

export interface FeedSubscribe extends Message {
    readonly kind: typeof FeedKind.Subscribe;
    /** Chosen by the gRPC source, unique in this process. */
    readonly streamId: string;
    /** Version that the subscriber has applied; 0 if none. */
    readonly version: number;
}

export interface FeedUnsubscribe extends Message {
    readonly kind: typeof FeedKind.Unsubscribe;
    readonly streamId: string;
}

export interface FeedSend extends Message {
    readonly kind: typeof FeedKind.Send;
    readonly streamId: string;
    readonly update: ConfigurationUpdate;
}

export interface FeedReceived extends Message {
    readonly kind: typeof FeedKind.Received;
    /** `host:port` of the member that sent the update. */
    readonly address: string;
    readonly update: ConfigurationUpdate;
}

export interface FeedOpened extends Message {
    readonly kind: typeof FeedKind.Opened;
    /** `host:port` of the member. */
    readonly address: string;
    /** Version after which updates were requested. */
    readonly version: number;
}

export interface FeedLost extends Message {
    readonly kind: typeof FeedKind.Lost;
    readonly address: string;
    readonly reason: string;
}

export interface FeedResubscribe extends Message {
    readonly kind: typeof FeedKind.Resubscribe;
    readonly version: number;
    /** `host:port` of the members that have the update; undefined if any member may be used. */
    readonly addresses?: readonly string[] | undefined;
}
