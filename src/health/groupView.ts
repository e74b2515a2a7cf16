/** The leader's view of one group, on which it bases its decisions about the primary. */
import type { DatabaseGroup } from "../model/database.ts";
import type { DirectoryEntry, HeldReport } from "../model/healthMessages.ts";
import { reassignAfterMs } from "../model/lease.ts";
import { failuresUntilLost } from "./heldDatabases.ts";

/** An instance's report about a database that it holds, with the leader's time of arrival. */
export interface ReceivedReport {
    readonly report: HeldReport;
    readonly instanceId: string;
    readonly receivedAtMs: number;
}

/** Age at which a report is outdated: three heartbeat intervals. */
const reportValidityMs = 1_500;

/** Time for another instance of the data centre to get the lease of a failed holder and to probe the database. */
const newHolderProbeMs = 4_000;

export interface GroupViewSource {
    directoryEntry(databaseId: string): DirectoryEntry | undefined;
    latestReport(databaseId: string): ReceivedReport | undefined;
    /** Id of the instance to which the lease of the database is assigned. */
    holderOf(databaseId: string): string | undefined;
    hasAvailableInstances(dataCentre: string, nowMs: number): boolean;
    /** Whether an operator has ordered that the databases of the data centre get no more work. */
    isEvacuated(dataCentre: string): boolean;
    readonly leadershipStartMs: number;
}

export class GroupView {
    group: DatabaseGroup;
    private readonly source: GroupViewSource;

    constructor(group: DatabaseGroup, source: GroupViewSource) {
        this.group = group;
        this.source = source;
    }

    directoryEntry(databaseId: string): DirectoryEntry | undefined {
        return this.source.directoryEntry(databaseId);
    }

    /** Latest report of the current holder; undefined if there is none or it is outdated. */
    currentReport(databaseId: string, nowMs: number): ReceivedReport | undefined {
        const received = this.source.latestReport(databaseId);
        const isCurrent = received !== undefined
            && received.instanceId === this.source.holderOf(databaseId)
            && nowMs - received.receivedAtMs < reportValidityMs;
        return isCurrent ? received : undefined;
    }

    membersExcept(databaseId: string): readonly string[] {
        return this.group.memberIds.filter(memberId => memberId !== databaseId);
    }

    /** Number of members that form a majority, based on the group size including members not announced yet. */
    get majoritySize(): number {
        const announcedSizes = this.group.memberIds.map(memberId =>
            this.directoryEntry(memberId)?.announcement.groupSize ?? 0
        );
        return Math.floor(Math.max(this.group.memberIds.length, ...announcedSizes) / 2) + 1;
    }

    /** Whether the data centre of a database is evacuated. */
    isEvacuated(databaseId: string): boolean {
        const dataCentre = this.directoryEntry(databaseId)?.announcement.dataCentre;
        return dataCentre !== undefined && this.source.isEvacuated(dataCentre);
    }

    /** Whether the primary is in an evacuated data centre, and an available member elsewhere may take its place. */
    get mustPrimaryLeave(): boolean {
        const { primaryId } = this.group;
        return this.isEvacuated(primaryId)
            && this.membersExcept(primaryId).some(memberId =>
                this.directoryEntry(memberId)?.available === true && !this.isEvacuated(memberId)
            );
    }

    /** Whether the last probe of the primary failed or its holder sends no reports. */
    isPrimarySuspected(nowMs: number): boolean {
        const report = this.currentReport(this.group.primaryId, nowMs);
        return report === undefined || report.report.consecutiveFailures > 0;
    }

    /**
     * Whether the holder's probes failed on new connections, or the holder has failed and no other instance received
     * announcements of the database or reached it in time.
     */
    isLost(databaseId: string, nowMs: number): boolean {
        const report = this.currentReport(databaseId, nowMs)?.report;
        if (report !== undefined) {
            return !report.reachable && report.consecutiveFailures >= failuresUntilLost;
        }
        const entry = this.directoryEntry(databaseId);
        const lastReportAtMs = Math.max(
            this.source.leadershipStartMs,
            this.source.latestReport(databaseId)?.receivedAtMs ?? 0,
        );
        const canBeProbed = entry !== undefined
            && this.source.hasAvailableInstances(entry.announcement.dataCentre, nowMs);
        const lostAfterMs = reassignAfterMs + (canBeProbed ? newHolderProbeMs : 0);
        return !(entry?.available ?? false) && nowMs - lastReportAtMs >= lostAfterMs;
    }
}
