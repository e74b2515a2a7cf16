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

/**
 * Earlier versions that a subscriber gets a delta from; they share unchanged objects with the current one. Some seconds of
 * changes at 20 a second, which covers a subscriber that changes its member.
 */
const retainedVersions = 64;

/** A subscriber gets a delta if this member still knows its version, otherwise a snapshot. */
export class PublicationFilter implements Filter<PublicationInput, Message> {
    readonly step = "publish";
    readonly accepts = [MemberKind.ConfigurationChanged, FeedKind.Subscribe, FeedKind.Unsubscribe];
    private current: Configuration = emptyConfiguration;
    /** The last versions before the current one, in order. */
    private previousConfigurations: readonly Configuration[] = [];
    /** Updates to the current version by the version of the subscriber. */
    private readonly deltasByVersion = new Map<number, ConfigurationDelta>();
    private snapshot: ConfigurationSnapshot | undefined;
    /** Version that each stream has been brought to. */
    private readonly streamVersions = new Map<string, number>();

    process(message: PublicationInput): readonly Message[] {
        switch (message.kind) {
            case FeedKind.Subscribe:
                return this.subscribe(message);
            case FeedKind.Unsubscribe:
                this.streamVersions.delete(message.streamId);
                return [];
            case MemberKind.ConfigurationChanged:
                return this.publish(message.configuration);
        }
    }

    private subscribe({ streamId, version }: FeedSubscribe): readonly Message[] {
        this.streamVersions.set(streamId, version);
        // A subscriber ahead of this member waits; an older configuration would revert it.
        return version < this.current.version ? [this.sendUpdate(streamId, version)] : [];
    }

    private publish(configuration: Configuration): readonly Message[] {
        if (configuration.version <= this.current.version) {
            return [];
        }
        this.previousConfigurations = [...this.previousConfigurations, this.current].slice(-retainedVersions);
        this.deltasByVersion.clear();
        this.current = configuration;
        const applied: ConfigurationApplied = { kind: ClusterKind.ConfigurationApplied, configuration };
        return [applied, ...this.sendUpdates()];
    }

    private sendUpdates(): readonly FeedSend[] {
        return [...this.streamVersions].filter(([, version]) => version < this.current.version)
            .map(([streamId, version]) => this.sendUpdate(streamId, version));
    }

    private sendUpdate(streamId: string, version: number): FeedSend {
        const base = this.previousConfigurations.findLast(configuration => configuration.version === version);
        if (base === undefined) {
            return this.sendSnapshot(streamId);
        }
        // The same object for all, so that it is encoded once.
        const delta = this.deltasByVersion.get(version) ?? diffConfigurations(base, this.current);
        this.deltasByVersion.set(version, delta);
        return this.updateTo(streamId, delta);
    }

    private sendSnapshot(streamId: string): FeedSend {
        if (this.snapshot?.configuration !== this.current) {
            this.snapshot = { kind: UpdateKind.Snapshot, configuration: this.current };
        }
        return this.updateTo(streamId, this.snapshot);
    }

    private updateTo(streamId: string, update: ConfigurationUpdate): FeedSend {
        this.streamVersions.set(streamId, this.current.version);
        return { kind: FeedKind.Send, streamId, update };
    }
}
