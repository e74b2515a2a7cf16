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

interface Known {
    readonly announcement: DatabaseAnnouncement;
    /** Time of the last announcement to this instance; undefined when only the leader told of the database. */
    readonly heardAtMs: number | undefined;
    readonly availableByLeader: boolean;
}

/** Emits the full list of views whenever anything but a position's offset changes. */
export class DatabaseTable implements Filter {
    readonly step = "database_table";
    readonly accepts = [
        ClusterKind.ConfigurationApplied,
        ClusterKind.DatabaseAnnounced,
        HealthKind.DirectoryReceived,
        HealthKind.ExpiryDue,
    ];
    private readonly known = new Map<string, Known>();
    private readonly views = new Map<string, DatabaseView>();
    private groups: ReadonlyMap<string, DatabaseGroup> = new Map();
    private holders: ReadonlyMap<string, LeaseAssignment> = new Map();

    constructor() {
        this.useConfiguration({ ...emptyConfiguration });
    }

    process(message: Message, nowMs: number): readonly Message[] {
        return match(message as Input)
            .with({ kind: ClusterKind.ConfigurationApplied }, applied => {
                this.useConfiguration(applied.configuration);
                return [applied, ...this.refresh([...this.known.keys()], nowMs)];
            })
            .with({ kind: ClusterKind.DatabaseAnnounced }, announced => this.announced(announced, nowMs))
            .with({ kind: HealthKind.DirectoryReceived }, received => {
                received.directory.forEach(entry => this.learn(entry, nowMs));
                return this.refresh(received.directory.map(entry => entry.announcement.databaseId), nowMs);
            })
            .with({ kind: HealthKind.ExpiryDue }, due => this.refresh([due.databaseId], nowMs))
            .exhaustive();
    }

    private useConfiguration(configuration: ConfigurationApplied["configuration"]): void {
        this.groups = new Map(configuration.groups.map(group => [group.groupId, group]));
        this.holders = new Map(
            configuration.leases
                .filter(lease => lease.resource === ResourceKind.Database)
                .map(lease => [lease.resourceId, lease]),
        );
    }

    private announced(message: DatabaseAnnounced, nowMs: number): readonly Message[] {
        const { announcement } = message;
        const databaseId = announcement.databaseId;
        const availableByLeader = this.known.get(databaseId)?.availableByLeader ?? false;
        this.known.set(databaseId, { announcement, heardAtMs: nowMs, availableByLeader });
        const due: ExpiryDue = { kind: HealthKind.ExpiryDue, databaseId };
        return [
            message,
            setDeadline(`health.expiry/${databaseId}`, nowMs + announcementExpiryMs, due),
            ...this.refresh([databaseId], nowMs),
        ];
    }

    private learn(entry: DirectoryEntry, nowMs: number): void {
        const databaseId = entry.announcement.databaseId;
        const own = this.known.get(databaseId);
        // What the database told this instance directly is newer than what came through the leader, except a departure.
        const fresh = own !== undefined && isFresh(own, nowMs) && !entry.announcement.departing;
        this.known.set(databaseId, {
            announcement: fresh ? own.announcement : entry.announcement,
            heardAtMs: own?.heardAtMs,
            availableByLeader: entry.available,
        });
    }

    private refresh(databaseIds: readonly string[], nowMs: number): readonly DatabasesChanged[] {
        let changed = false;
        for (const databaseId of databaseIds) {
            const before = this.views.get(databaseId);
            const after = this.viewOf(this.known.get(databaseId)!, nowMs);
            this.views.set(databaseId, after);
            changed ||= before === undefined || !sameApartFromPosition(before, after);
        }
        return changed ? [{ kind: ClusterKind.DatabasesChanged, databases: [...this.views.values()] }] : [];
    }

    private viewOf(known: Known, nowMs: number): DatabaseView {
        const { departing, role: announcedRole, ...rest } = known.announcement;
        const group = this.groups.get(rest.groupId);
        const agreedPrimary = group === undefined ? announcedRole === DatabaseRole.Primary : isPrimary(group, rest);
        return {
            ...rest,
            role: agreedPrimary ? DatabaseRole.Primary : DatabaseRole.Replica,
            available: !departing && (isFresh(known, nowMs) || known.availableByLeader),
            holder: this.holders.get(rest.databaseId),
        };
    }
}

function isPrimary(group: DatabaseGroup, database: { readonly databaseId: string; }): boolean {
    return group.primaryId === database.databaseId;
}

function isFresh(known: Known, nowMs: number): boolean {
    return known.heardAtMs !== undefined && nowMs - known.heardAtMs < announcementExpiryMs;
}

function sameApartFromPosition(left: DatabaseView, right: DatabaseView): boolean {
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
