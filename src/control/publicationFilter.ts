/** Publishes the configuration from a control member to the instances that subscribed to it. */
import { ClusterKind, type ConfigurationApplied } from "../model/clusterMessages.ts";
import { type Configuration, emptyConfiguration } from "../model/configuration.ts";
import {
    type ConfigurationDelta,
    type ConfigurationSnapshot,
    type ConfigurationUpdate,
    FeedKind,
    type FeedSend,
    type FeedSubscribe,
    type FeedUnsubscribe,
    UpdateKind,
} from "../model/feedMessages.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { diffConfigurations } from "./configurationDelta.ts";
import { type ConfigurationChanged, MemberKind } from "./memberMessages.ts";

type PublicationInput = ConfigurationChanged | FeedSubscribe | FeedUnsubscribe;

/** A subscriber gets a snapshot unless it has the current version, and then a delta for each change. */
export class PublicationFilter implements Filter<PublicationInput, Message> {
    readonly step = "publish";
    readonly accepts = [MemberKind.ConfigurationChanged, FeedKind.Subscribe, FeedKind.Unsubscribe];
    private current: Configuration = emptyConfiguration;
    private snapshot: ConfigurationSnapshot | undefined;
    /** Version that each stream has been brought to. */
    private readonly versions = new Map<string, number>();

    process(message: PublicationInput): readonly Message[] {
        switch (message.kind) {
            case FeedKind.Subscribe:
                return this.subscribe(message);
            case FeedKind.Unsubscribe:
                this.versions.delete(message.streamId);
                return [];
            case MemberKind.ConfigurationChanged:
                return this.publish(message.configuration);
        }
    }

    private subscribe({ streamId, version }: FeedSubscribe): readonly Message[] {
        this.versions.set(streamId, version);
        // A subscriber ahead of this member waits; an older configuration would revert it.
        return version < this.current.version ? [this.sendSnapshot(streamId)] : [];
    }

    private publish(configuration: Configuration): readonly Message[] {
        if (configuration.version <= this.current.version) {
            return [];
        }
        const delta = diffConfigurations(this.current, configuration);
        this.current = configuration;
        const applied: ConfigurationApplied = { kind: ClusterKind.ConfigurationApplied, configuration };
        return [applied, ...this.updates(delta)];
    }

    private updates(delta: ConfigurationDelta): readonly FeedSend[] {
        return [...this.versions].filter(([, version]) => version < delta.toVersion).map(([streamId, version]) =>
            version === delta.fromVersion ? this.sendTo(streamId, delta) : this.sendSnapshot(streamId)
        );
    }

    private sendSnapshot(streamId: string): FeedSend {
        // The same object for all, so that it is encoded once.
        if (this.snapshot?.configuration !== this.current) {
            this.snapshot = { kind: UpdateKind.Snapshot, configuration: this.current };
        }
        return this.sendTo(streamId, this.snapshot);
    }

    private sendTo(streamId: string, update: ConfigurationUpdate): FeedSend {
        this.versions.set(streamId, this.current.version);
        return { kind: FeedKind.Send, streamId, update };
    }
}
