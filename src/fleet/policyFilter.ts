/** Derives the traffic policy of this instance from the replicated configuration. */
import { ClusterKind, type ConfigurationApplied } from "../model/clusterMessages.ts";
import { type Configuration, emptyConfiguration } from "../model/configuration.ts";
import { type DocumentDecoder, emptyDocument } from "../model/document.ts";
import { FleetKind, type PolicyApplied } from "../model/fleetMessages.ts";
import { emptyTrafficPolicy, type TrafficPolicy } from "../model/trafficPolicy.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";

export class PolicyFilter implements Filter<ConfigurationApplied, Message> {
    readonly step = "policy";
    readonly accepts = [ClusterKind.ConfigurationApplied];
    private readonly decoder: DocumentDecoder;
    private configuration: Configuration = emptyConfiguration;
    private policy: TrafficPolicy = emptyTrafficPolicy;

    constructor(decoder: DocumentDecoder) {
        this.decoder = decoder;
    }

    process(message: ConfigurationApplied): readonly Message[] {
        const before = this.configuration;
        const { configuration } = message;
        this.configuration = configuration;
        if (configuration.documentHeads !== before.documentHeads) {
            const head = configuration.documentHeads[0] ?? emptyDocument;
            this.policy = this.decoder.decode({ ...head, entries: configuration.documentEntries });
        }
        else if (configuration.promotions === before.promotions) {
            return [message];
        }
        const promoted = new Map(
            configuration.promotions.filter(({ databaseId }) => databaseId !== "")
                .map(({ service, databaseId }) => [service, databaseId]),
        );
        const { policy } = this;
        return [message, { kind: FleetKind.PolicyApplied, policy, confirmed: false, promoted } as PolicyApplied];
    }
}
