/** Derives the traffic policy of this instance from the replicated configuration. */
import { ClusterKind, type ConfigurationApplied } from "../model/clusterMessages.ts";
import { type Configuration, emptyConfiguration } from "../model/configuration.ts";
import {
    type ConfigurationDocument,
    type DocumentDecoder,
    emptyDocument,
    type OmittedEntry,
    UndecodableEntryError,
} from "../model/document.ts";
import { FleetKind, type PolicyApplied, type PolicyIncomplete } from "../model/fleetMessages.ts";
import { emptyTrafficPolicy, type TrafficPolicy } from "../model/trafficPolicy.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";

/**
 * A document that cannot be decoded changes nothing: the last one that could be stays in force, also if it comes as one
 * that was replaced, until a later one replaces both. Other releases, and faults, can store what this process does not understand.
 */
export class PolicyFilter implements Filter<ConfigurationApplied, Message> {
    readonly step = "policy";
    readonly accepts = [ClusterKind.ConfigurationApplied];
    private readonly decoder: DocumentDecoder;
    private configuration: Configuration = emptyConfiguration;
    private policy: TrafficPolicy = emptyTrafficPolicy;
    private isOutdated = false;

    constructor(decoder: DocumentDecoder) {
        this.decoder = decoder;
    }

    process(message: ConfigurationApplied): readonly Message[] {
        const before = this.configuration;
        const { configuration, replacedDocuments } = message;
        this.configuration = configuration;
        let omittedEntries: readonly OmittedEntry[] = [];
        if (configuration.documentHeads !== before.documentHeads) {
            omittedEntries = this.decode(configuration, replacedDocuments);
        }
        else if (!hasEvacuationsChanged(configuration, before) && !havePromotionsChanged(configuration, before)) {
            return [message];
        }
        const { policy } = this;
        const promoted = promotedDatabases(configuration);
        const applied: PolicyApplied = {
            kind: FleetKind.PolicyApplied,
            policy,
            outdated: this.isOutdated,
            confirmed: false,
            promoted,
            ordered: orderedDatabases(configuration),
            orderedFences: orderedFences(configuration),
            completedFences: completedFences(configuration),
            evacuated: new Set(configuration.evacuations.map(({ dataCentre }) => dataCentre)),
        };
        return [message, ...this.describeOmissions(omittedEntries), applied];
    }

    /** Returns the entries that the policy in force does not contain. */
    private decode(
        { documentHeads, documentEntries }: Configuration,
        replacedDocuments: readonly ConfigurationDocument[] = [],
    ): readonly OmittedEntry[] {
        try {
            const document = { ...documentHeads[0] ?? emptyDocument, entries: documentEntries };
            const { policy, omittedEntries } = this.decoder.decode(document);
            this.policy = policy;
            this.isOutdated = false;
            return omittedEntries;
        }
        catch (error) {
            this.isOutdated = true;
            this.policy = this.decodeFirst(replacedDocuments) ?? this.policy;
            const entryId = error instanceof UndecodableEntryError ? error.entryId : "";
            return [{ entryId, reason: error instanceof Error ? error.message : String(error) }];
        }
    }

    /** Returns the policy of the first document that can be decoded. The newest one is the one to report. */
    private decodeFirst(documents: readonly ConfigurationDocument[]): TrafficPolicy | undefined {
        for (const document of documents) {
            try {
                return this.decoder.decode(document).policy;
            }
            catch {
                continue;
            }
        }
        return undefined;
    }

    private describeOmissions(omittedEntries: readonly OmittedEntry[]): readonly PolicyIncomplete[] {
        const documentVersion = this.configuration.documentHeads[0]?.documentVersion ?? 0;
        const versionInForce = this.policy.version;
        return omittedEntries.length === 0
            ? []
            : [{ kind: FleetKind.PolicyIncomplete, documentVersion, versionInForce, omittedEntries }];
    }
}

/** Without a document there is no work, and no policy: the first one will have the evacuations. */
function hasEvacuationsChanged(configuration: Configuration, before: Configuration): boolean {
    return configuration.evacuations !== before.evacuations && configuration.documentHeads.length > 0;
}

function havePromotionsChanged(configuration: Configuration, before: Configuration): boolean {
    return configuration.promotions !== before.promotions
        && !(isEqual(promotedDatabases(configuration), promotedDatabases(before))
            && isEqual(orderedDatabases(configuration), orderedDatabases(before))
            && isEqual(orderedFences(configuration), orderedFences(before))
            && isEqual(completedFences(configuration), completedFences(before)));
}

/** The database that each service's last order made the primary, or is about to. */
function promotedDatabases({ promotions }: Configuration): ReadonlyMap<string, string> {
    const databases = promotions.map(({ service, databaseId, orderedDatabaseId }) =>
        [service, orderedDatabaseId || databaseId] as const
    );
    return new Map(databases.filter(([, databaseId]) => databaseId !== ""));
}

/** The database of each order that is under way. */
function orderedDatabases({ promotions }: Configuration): ReadonlyMap<string, string> {
    return new Map(
        promotions.filter(({ open, orderedDatabaseId }) => open && orderedDatabaseId !== "")
            .map(({ service, orderedDatabaseId }) => [service, orderedDatabaseId]),
    );
}

/** The fencing tokens of these orders. Members of an earlier release record none: the latest reservation counts there. */
function orderedFences({ promotions }: Configuration): ReadonlyMap<string, number> {
    return new Map(
        promotions.filter(({ open, orderedDatabaseId }) => open && orderedDatabaseId !== "")
            .map(({ service, orderedFence, fence }) => [service, orderedFence ?? fence]),
    );
}

/** The fencing tokens of the promotions that are not under way. */
function completedFences({ promotions }: Configuration): ReadonlyMap<string, number> {
    return new Map(promotions.filter(({ open }) => !open).map(({ service, fence }) => [service, fence]));
}

function isEqual<Value>(left: ReadonlyMap<string, Value>, right: ReadonlyMap<string, Value>): boolean {
    return left.size === right.size && [...left].every(([key, value]) => right.get(key) === value);
}
