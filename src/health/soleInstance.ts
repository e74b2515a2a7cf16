/** A cluster of one instance without control members: it holds every database that announces itself. */
import { match } from "ts-pattern";
import {
    ClusterKind,
    type ConfigurationApplied,
    type DatabaseAnnounced,
    type DatabaseView,
} from "../model/clusterMessages.ts";
import { type Configuration, emptyConfiguration } from "../model/configuration.ts";
import { announcementExpiryMs } from "../model/database.ts";
import { type LeaseAssignment, leaseMs, ResourceKind } from "../model/lease.ts";
import { setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";

export interface SoleInstanceOptions {
    readonly instanceId: string;
    readonly instanceAddress: string;
    readonly dataCentre: string;
}

const tickKind = "sole.tick";
const tickMs = 500;

export class SoleInstance implements Filter<DatabaseAnnounced | ConfigurationApplied | Message, Message> {
    readonly step = "sole_instance";
    readonly accepts = [ClusterKind.DatabaseAnnounced, ClusterKind.ConfigurationApplied, tickKind];
    private readonly options: SoleInstanceOptions;
    private readonly views = new Map<string, { view: DatabaseView; heardAtMs: number; }>();
    private configuration: Configuration = emptyConfiguration;
    private lastText = "";

    constructor(options: SoleInstanceOptions) {
        this.options = options;
    }

    process(message: DatabaseAnnounced | ConfigurationApplied | Message, nowMs: number): readonly Message[] {
        return match(message)
            .with(
                { kind: ClusterKind.DatabaseAnnounced },
                announced => this.announce(announced as DatabaseAnnounced, nowMs),
            )
            .with({ kind: ClusterKind.ConfigurationApplied }, applied => {
                this.configuration = (applied as ConfigurationApplied).configuration;
                return [applied, ...this.tick(nowMs)];
            })
            .otherwise(() => this.tick(nowMs));
    }

    private announce({ announcement }: DatabaseAnnounced, nowMs: number): readonly Message[] {
        const { departing, ...rest } = announcement;
        const holder = this.lease(ResourceKind.Database, rest.databaseId);
        this.views.set(rest.databaseId, { view: { ...rest, available: !departing, holder }, heardAtMs: nowMs });
        return this.changed(nowMs);
    }

    private tick(nowMs: number): readonly Message[] {
        const resources = [
            ...[...this.views.keys()].map(id => this.lease(ResourceKind.Database, id)),
            ...this.configuration.workspaces.map(({ name }) =>
                this.lease(ResourceKind.Permits, `${name}@${this.options.dataCentre}`)
            ),
        ];
        return [
            { kind: ClusterKind.LeasesRenewed, leases: resources, validUntilMs: nowMs + leaseMs } as Message,
            {
                kind: ClusterKind.ConfigurationProved,
                version: this.configuration.version,
                provedAtMs: nowMs,
            } as Message,
            ...this.changed(nowMs),
            setDeadline(tickKind, nowMs + tickMs, { kind: tickKind }),
        ];
    }

    private changed(nowMs: number): readonly Message[] {
        const databases = [...this.views.values()].map(({ view, heardAtMs }) => ({
            ...view,
            available: view.available && nowMs - heardAtMs < announcementExpiryMs,
        }));
        const text = JSON.stringify(databases.map(each => ({ ...each, position: undefined })));
        if (text === this.lastText) {
            return [];
        }
        this.lastText = text;
        return [{ kind: ClusterKind.DatabasesChanged, databases } as Message];
    }

    private lease(resource: ResourceKind, resourceId: string): LeaseAssignment {
        const { instanceId, instanceAddress } = this.options;
        return { resource, resourceId, instanceId, instanceAddress, epoch: 1 };
    }
}
