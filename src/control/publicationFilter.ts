/** Sends the configuration from a control member to its subscribers. */
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
 * Number of earlier versions from which a subscriber gets a delta; they share unchanged objects with the current
 * version. Covers 3 s at 20 changes a second, which is enough for a subscriber that switches to another member.
 */
const retainedVersions = 64;

/** Sends a subscriber a delta if its version is retained, otherwise a snapshot. */
export class PublicationFilter implements Filter<PublicationInput, Message> {
    readonly step = "publish";
    readonly accepts = [MemberKind.ConfigurationChanged, FeedKind.Subscribe, FeedKind.Unsubscribe];
    private current: Configuration = emptyConfiguration;
    /** The last versions before the current one, oldest first. */
    private previousConfigurations: readonly Configuration[] = [];
    /** Deltas to the current version, by the version of the subscriber. */
    private readonly deltasByVersion = new Map<number, ConfigurationDelta>();
    private snapshot: ConfigurationSnapshot | undefined;
    /** Version of the subscriber, by stream id. */
    private readonly streamVersions = new Map<string, number>();

    process(message: PublicationInput): readonly Message[] {
        switch (message.kind) {
            case FeedKind.Subscribe:
                return this.subscribe(message);
            case FeedKind.Unsubscribe:
                this.streamVersions.delete(message.streamId);
                return [];
            case MemberKind.ConfigurationChanged:
                return this.publish(message);
        }
    }

    private subscribe({ streamId, version }: FeedSubscribe): readonly Message[] {
        this.streamVersions.set(streamId, version);
        // A subscriber with a newer version gets no update until this member has caught up: it must not be reverted.
        return version < this.current.version ? [this.sendUpdate(streamId, version)] : [];
    }

    private publish({ configuration, replacedDocuments }: ConfigurationChanged): readonly Message[] {
        if (configuration.version <= this.current.version) {
            return [];
        }
        this.previousConfigurations = [...this.previousConfigurations, this.current].slice(-retainedVersions);
        this.deltasByVersion.clear();
        this.current = configuration;
        const applied: ConfigurationApplied = {
            kind: ClusterKind.ConfigurationApplied,
            configuration,
            ...replacedDocuments === undefined ? {} : { replacedDocuments },
        };
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
        // All streams get the same object, so that it is encoded once.
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
