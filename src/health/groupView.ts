/** What the leader knows of one group when it decides about its primary. */
import type { DatabaseGroup } from "../model/database.ts";
import type { DirectoryEntry, HeldReport } from "../model/healthMessages.ts";
import { reassignAfterMs } from "../model/lease.ts";
import { failuresUntilLost } from "./heldDatabases.ts";

/** A report of the holder of a database, with the leader's time of its arrival. */
export interface ReceivedReport {
    readonly report: HeldReport;
    readonly instanceId: string;
    readonly receivedAtMs: number;
}

/** Age from which a report says nothing about the present: three heartbeats. */
const reportValidityMs = 1_500;

/** Time for another instance of the data centre to take the lease of a lost holder and to probe the database. */
const secondHolderMs = 4_000;

export interface GroupViewSource {
    directoryEntry(databaseId: string): DirectoryEntry | undefined;
    latestReport(databaseId: string): ReceivedReport | undefined;
    /** Instance to which the database is assigned. */
    holderOf(databaseId: string): string | undefined;
    hasAvailableInstances(dataCentre: string, nowMs: number): boolean;
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

    /** Latest report of the current holder, if it is recent. */
    currentReport(databaseId: string, nowMs: number): ReceivedReport | undefined {
        const received = this.source.latestReport(databaseId);
        const current = received !== undefined
            && received.instanceId === this.source.holderOf(databaseId)
            && nowMs - received.receivedAtMs < reportValidityMs;
        return current ? received : undefined;
    }

    /** Members other than `databaseId`. */
    membersExcept(databaseId: string): readonly string[] {
        return this.group.memberIds.filter(memberId => memberId !== databaseId);
    }

    /** Members that make a majority, counting those that have not announced themselves yet. */
    get majoritySize(): number {
        const announcedSizes = this.group.memberIds.map(memberId =>
            this.directoryEntry(memberId)?.announcement.groupSize ?? 0
        );
        return Math.floor(Math.max(this.group.memberIds.length, ...announcedSizes) / 2) + 1;
    }

    /** A probe of the primary failed, or its holder is silent. */
    isPrimarySuspected(nowMs: number): boolean {
        const report = this.currentReport(this.group.primaryId, nowMs);
        return report === undefined || report.report.consecutiveFailures > 0;
    }

    /**
     * The holder's probes failed on fresh connections, or the holder is lost and no other instance hears or reaches the
     * database.
     */
    isLost(databaseId: string, nowMs: number): boolean {
        const report = this.currentReport(databaseId, nowMs)?.report;
        if (report !== undefined) {
            return !report.reachable && report.consecutiveFailures >= failuresUntilLost;
        }
        const entry = this.directoryEntry(databaseId);
        const lastReportMs = Math.max(
            this.source.leadershipStartMs,
            this.source.latestReport(databaseId)?.receivedAtMs ?? 0,
        );
        const canBeProbed = entry !== undefined
            && this.source.hasAvailableInstances(entry.announcement.dataCentre, nowMs);
        const patienceMs = reassignAfterMs + (canBeProbed ? secondHolderMs : 0);
        return !(entry?.available ?? false) && nowMs - lastReportMs >= patienceMs;
    }
}
