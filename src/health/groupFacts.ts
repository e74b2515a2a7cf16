/** What the leader knows of one group when it decides about its primary. */
import type { DatabaseGroup } from "../model/database.ts";
import type { DirectoryEntry, HeldReport } from "../model/healthMessages.ts";
import { reassignAfterMs } from "../model/lease.ts";
import { failuresUntilLost } from "./heldDatabases.ts";

/** A report of the holder of a database, with the leader's time of its arrival. */
export interface ReceivedReport {
    readonly report: HeldReport;
    readonly instanceId: string;
    readonly atMs: number;
}

/** Age from which a report says nothing about the present: three heartbeats. */
const reportValidityMs = 1_500;

/** Time for another instance of the data centre to take the lease of a lost holder and to probe the database. */
const secondHolderMs = 4_000;

export interface GroupSources {
    entry(databaseId: string): DirectoryEntry | undefined;
    report(databaseId: string): ReceivedReport | undefined;
    /** Instance to which the database is assigned. */
    holderOf(databaseId: string): string | undefined;
    hasInstances(dataCentre: string, nowMs: number): boolean;
    readonly officeStartMs: number;
}

export class GroupFacts {
    group: DatabaseGroup;
    private readonly sources: GroupSources;

    constructor(group: DatabaseGroup, sources: GroupSources) {
        this.group = group;
        this.sources = sources;
    }

    entry(databaseId: string): DirectoryEntry | undefined {
        return this.sources.entry(databaseId);
    }

    /** Latest report of the current holder, if it is recent. */
    report(databaseId: string, nowMs: number): ReceivedReport | undefined {
        const received = this.sources.report(databaseId);
        const current = received !== undefined
            && received.instanceId === this.sources.holderOf(databaseId)
            && nowMs - received.atMs < reportValidityMs;
        return current ? received : undefined;
    }

    /** Members other than `databaseId`. */
    membersBut(databaseId: string): readonly string[] {
        return this.group.memberIds.filter(memberId => memberId !== databaseId);
    }

    /** Members that make a majority, counting those that have not announced themselves yet. */
    get majority(): number {
        const announcedSizes = this.group.memberIds.map(memberId => this.entry(memberId)?.announcement.groupSize ?? 0);
        return Math.floor(Math.max(this.group.memberIds.length, ...announcedSizes) / 2) + 1;
    }

    /** A probe of the primary failed, or its holder is silent. */
    isSuspected(nowMs: number): boolean {
        const report = this.report(this.group.primaryId, nowMs);
        return report === undefined || report.report.consecutiveFailures > 0;
    }

    /**
     * The holder's probes failed on fresh connections, or the holder is lost and no other instance hears or reaches the
     * database.
     */
    isLost(databaseId: string, nowMs: number): boolean {
        const report = this.report(databaseId, nowMs)?.report;
        if (report !== undefined) {
            return !report.reachable && report.consecutiveFailures >= failuresUntilLost;
        }
        const entry = this.entry(databaseId);
        const lastReportMs = Math.max(this.sources.officeStartMs, this.sources.report(databaseId)?.atMs ?? 0);
        const canBeProbed = entry !== undefined && this.sources.hasInstances(entry.announcement.dataCentre, nowMs);
        const patienceMs = reassignAfterMs + (canBeProbed ? secondHolderMs : 0);
        return !(entry?.available ?? false) && nowMs - lastReportMs >= patienceMs;
    }
}
