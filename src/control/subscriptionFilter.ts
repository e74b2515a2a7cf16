/** The receiving side of the configuration feed, on instances that are not control members. */
import { ClusterKind, type ConfigurationApplied } from "../model/clusterMessages.ts";
import { type Configuration, emptyConfiguration } from "../model/configuration.ts";
import { type ConfigurationUpdate, FeedKind, type FeedReceived, UpdateKind } from "../model/feedMessages.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { applyDelta } from "./configurationDelta.ts";

/** Never goes back to an older version, and asks for a new subscription when an update is missing. */
export class SubscriptionFilter implements Filter<FeedReceived, Message> {
    readonly step = "follow";
    readonly accepts = [FeedKind.Received];
    private configuration: Configuration = emptyConfiguration;

    process({ update }: FeedReceived): readonly Message[] {
        if (versionOf(update) <= this.configuration.version) {
            return [];
        }
        const next = update.kind === UpdateKind.Snapshot
            ? update.configuration
            : applyDelta(this.configuration, update);
        if (next === undefined) {
            return [{ kind: FeedKind.Resubscribe, version: this.configuration.version } as Message];
        }
        this.configuration = next;
        return [{ kind: ClusterKind.ConfigurationApplied, configuration: next } as ConfigurationApplied];
    }
}

function versionOf(update: ConfigurationUpdate): number {
    return update.kind === UpdateKind.Snapshot ? update.configuration.version : update.toVersion;
}
