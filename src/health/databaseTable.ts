/** The databases that this instance knows, from their own announcements and from the leader's directory. */
import { match } from "ts-pattern";
import {
    ClusterKind,
    type ConfigurationApplied,
    type DatabaseAnnounced,
    type DatabasesChanged,
    type DatabaseView,
} from "../model/clusterMessages.ts";
import { emptyConfiguration } from "../model/configuration.ts";
import { type DatabaseAnnouncement, type DatabaseGroup, DatabaseRole } from "../model/database.ts";
import { announcementExpiryMs } from "../model/database.ts";
import { type DirectoryEntry, type DirectoryReceived, HealthKind } from "../model/healthMessages.ts";
import { type LeaseAssignment, ResourceKind } from "../model/lease.ts";
import { setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";

interface ExpiryDue extends Message {
    readonly kind: typeof HealthKind.ExpiryDue;
    readonly databaseId: string;
}

type Input = ConfigurationApplied | DatabaseAnnounced | DirectoryReceived | ExpiryDue;

interface KnownDatabase {
    readonly announcement: DatabaseAnnouncement;
    /** Time of the last announcement to this instance; undefined if only the leader's directory has the database. */
    readonly announcedAtMs: number | undefined;
    readonly availableInDirectory: boolean;
}

/** Emits the full list of database views whenever anything other than a position's offset changes. */
export class DatabaseTable implements Filter {
    readonly step = "database_table";
    readonly accepts = [
        ClusterKind.ConfigurationApplied,
        ClusterKind.DatabaseAnnounced,
        HealthKind.DirectoryReceived,
        HealthKind.ExpiryDue,
    ];
    private readonly knownDatabases = new Map<string, KnownDatabase>();
    private readonly views = new Map<string, DatabaseView>();
    private groups: ReadonlyMap<string, DatabaseGroup> = new Map();
    private assignmentByDatabase: ReadonlyMap<string, LeaseAssignment> = new Map();

    constructor() {
        this.applyConfiguration({ ...emptyConfiguration });
    }

    process(message: Message, nowMs: number): readonly Message[] {
        return match(message as Input)
            .with({ kind: ClusterKind.ConfigurationApplied }, applied => {
                this.applyConfiguration(applied.configuration);
                return [applied, ...this.updateViews([...this.knownDatabases.keys()], nowMs)];
            })
            .with({ kind: ClusterKind.DatabaseAnnounced }, announced => this.handleAnnouncement(announced, nowMs))
            .with({ kind: HealthKind.DirectoryReceived }, received => {
                received.directory.forEach(entry => this.mergeDirectoryEntry(entry, nowMs));
                return this.updateViews(received.directory.map(entry => entry.announcement.databaseId), nowMs);
            })
            .with({ kind: HealthKind.ExpiryDue }, due => this.updateViews([due.databaseId], nowMs))
            .exhaustive();
    }

    private applyConfiguration(configuration: ConfigurationApplied["configuration"]): void {
        this.groups = new Map(configuration.groups.map(group => [group.groupId, group]));
        this.assignmentByDatabase = new Map(
            configuration.leases
                .filter(lease => lease.resource === ResourceKind.Database)
                .map(lease => [lease.resourceId, lease]),
        );
    }

    private handleAnnouncement(message: DatabaseAnnounced, nowMs: number): readonly Message[] {
        const { announcement } = message;
        const databaseId = announcement.databaseId;
        const availableInDirectory = this.knownDatabases.get(databaseId)?.availableInDirectory ?? false;
        this.knownDatabases.set(databaseId, { announcement, announcedAtMs: nowMs, availableInDirectory });
        const due: ExpiryDue = { kind: HealthKind.ExpiryDue, databaseId };
        return [
            message,
            setDeadline(`health.expiry/${databaseId}`, nowMs + announcementExpiryMs, due),
            ...this.updateViews([databaseId], nowMs),
        ];
    }

    private mergeDirectoryEntry(entry: DirectoryEntry, nowMs: number): void {
        const databaseId = entry.announcement.databaseId;
        const known = this.knownDatabases.get(databaseId);
        // The announcement to this instance is newer than the one in the directory, except for a departure.
        const keepOwn = known !== undefined && isFresh(known, nowMs) && !entry.announcement.departing;
        this.knownDatabases.set(databaseId, {
            announcement: keepOwn ? known.announcement : entry.announcement,
            announcedAtMs: known?.announcedAtMs,
            availableInDirectory: entry.available,
        });
    }

    private updateViews(databaseIds: readonly string[], nowMs: number): readonly DatabasesChanged[] {
        let changed = false;
        for (const databaseId of databaseIds) {
            const before = this.views.get(databaseId);
            const after = this.viewOf(this.knownDatabases.get(databaseId)!, nowMs);
            this.views.set(databaseId, after);
            changed ||= before === undefined || !equalApartFromPosition(before, after);
        }
        return changed ? [{ kind: ClusterKind.DatabasesChanged, databases: [...this.views.values()] }] : [];
    }

    private viewOf(known: KnownDatabase, nowMs: number): DatabaseView {
        const { departing, role: announcedRole, ...rest } = known.announcement;
        const group = this.groups.get(rest.groupId);
        const isAgreedPrimary = group === undefined ? announcedRole === DatabaseRole.Primary : isPrimary(group, rest);
        return {
            ...rest,
            role: isAgreedPrimary ? DatabaseRole.Primary : DatabaseRole.Replica,
            available: !departing && (isFresh(known, nowMs) || known.availableInDirectory),
            holder: this.assignmentByDatabase.get(rest.databaseId),
        };
    }
}

function isPrimary(group: DatabaseGroup, database: { readonly databaseId: string; }): boolean {
    return group.primaryId === database.databaseId;
}

function isFresh(known: KnownDatabase, nowMs: number): boolean {
    return known.announcedAtMs !== undefined && nowMs - known.announcedAtMs < announcementExpiryMs;
}

function equalApartFromPosition(left: DatabaseView, right: DatabaseView): boolean {
    return left.address === right.address
        && left.role === right.role
        && left.available === right.available
        && left.slots === right.slots
        && left.connectionLimit === right.connectionLimit
        && left.groupId === right.groupId
        && left.service === right.service
        && left.dataCentre === right.dataCentre
        && left.groupSize === right.groupSize
        && left.holder?.instanceId === right.holder?.instanceId
        && left.holder?.instanceAddress === right.holder?.instanceAddress
        && left.holder?.epoch === right.holder?.epoch;
}
