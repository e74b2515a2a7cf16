/** The leader's directory of all announced databases, and the changes that each instance has not received yet. */
import { match } from "ts-pattern";
import { announcementExpiryMs, type DatabaseAnnouncement } from "../model/database.ts";
import {
    type DirectoryChanged,
    type DirectoryEntry,
    HealthKind,
    type HeartbeatAnswer,
    type HeartbeatChecked,
    type LeadershipStarted,
    type LeaderTicked,
} from "../model/healthMessages.ts";
import { heartbeatIntervalMs } from "../model/lease.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { comparableContent } from "./announcementContent.ts";

/** Maximum per answer: about 8 KB, so that 470 instances can fetch all 660 entries after a change of leader. */
const entriesPerAnswer = 64;

/** Heartbeat interval of an instance that lacks entries; the whole directory takes 11 heartbeats. */
const catchUpIntervalMs = 100;

/** Allowance for the interval of the leader tick, which detects the silence, and for the network latency. */
const propagationMarginMs = 200;

/**
 * Time without an announcement after which the leader marks a database unavailable. It is shorter than the expiry,
 * because an instance learns of it only with the answer to its next heartbeat.
 */
const unavailableAfterMs = announcementExpiryMs - heartbeatIntervalMs - propagationMarginMs;

interface DirectoryRecord extends DirectoryEntry {
    readonly content: string;
    /** Instance that reported the content. Only its reports may refresh the record without repeating the content. */
    readonly source: string;
    readonly announcedAtMs: number;
    /** Length of the change log right after the last change of this record. */
    readonly revision: number;
}

type Input = HeartbeatChecked | LeaderTicked | LeadershipStarted;

export class DatabaseDirectory implements Filter {
    readonly step = "database_directory";
    readonly accepts = [HealthKind.HeartbeatChecked, HealthKind.LeaderTicked, HealthKind.LeadershipStarted];
    private readonly records = new Map<string, DirectoryRecord>();
    /** Database ids in the order of their changes; only the last occurrence of an id counts. */
    private changeLog: string[] = [];
    private leaderTerm = 0;

    process(message: Message, nowMs: number): readonly Message[] {
        // Heartbeats are matched first, as the most frequent kind: 940 a second with 470 instances.
        return match(message as Input)
            .with({ kind: HealthKind.HeartbeatChecked }, checked => this.handleHeartbeat(checked, nowMs))
            .with({ kind: HealthKind.LeadershipStarted }, started => {
                this.records.clear();
                this.changeLog = [];
                this.leaderTerm = started.term;
                return [started];
            })
            .with({ kind: HealthKind.LeaderTicked }, ticked => [...this.expireRecords(nowMs), ticked])
            .exhaustive();
    }

    private handleHeartbeat(checked: HeartbeatChecked, nowMs: number): readonly Message[] {
        const { heartbeat } = checked;
        const changes = heartbeat.heard.flatMap(({ announcement, ageMs }) =>
            this.recordAnnouncement(announcement, heartbeat.instanceId, nowMs - ageMs, nowMs)
        );
        const resend: string[] = [];
        for (const { databaseId, ageMs } of heartbeat.heardUnchanged) {
            const entry = this.records.get(databaseId);
            if (entry?.source === heartbeat.instanceId) {
                changes.push(...this.recordAnnouncement(entry.announcement, entry.source, nowMs - ageMs, nowMs));
            }
            else if (entry === undefined || entry.announcedAtMs < nowMs - ageMs) {
                resend.push(databaseId);
            }
        }
        const knownRevision = heartbeat.directoryTerm === this.leaderTerm ? heartbeat.directoryRevision : 0;
        const answered: HeartbeatChecked = {
            ...checked,
            answer: { ...checked.answer, resend, ...this.changesSince(knownRevision) },
        };
        return [...changes, answered];
    }

    private recordAnnouncement(
        announcement: DatabaseAnnouncement,
        source: string,
        announcedAtMs: number,
        nowMs: number,
    ): Message[] {
        const before = this.records.get(announcement.databaseId);
        if (before !== undefined && announcedAtMs < before.announcedAtMs) {
            return [];
        }
        const content = before?.announcement === announcement ? before.content : comparableContent(announcement);
        const available = !announcement.departing && nowMs - announcedAtMs < unavailableAfterMs;
        return this.updateRecord({ announcement, available, content, source, announcedAtMs });
    }

    private updateRecord(entry: Omit<DirectoryRecord, "revision">): DirectoryChanged[] {
        const databaseId = entry.announcement.databaseId;
        const before = this.records.get(databaseId);
        if (before?.content === entry.content && before.available === entry.available) {
            this.records.set(databaseId, { ...entry, revision: before.revision });
            return [];
        }
        this.records.set(databaseId, { ...entry, revision: this.changeLog.push(databaseId) });
        return [{ kind: HealthKind.DirectoryChanged, entry }];
    }

    private expireRecords(nowMs: number): readonly DirectoryChanged[] {
        return [...this.records.values()]
            .filter(entry => entry.available && nowMs - entry.announcedAtMs >= unavailableAfterMs)
            .flatMap(entry => this.updateRecord({ ...entry, available: false }));
    }

    private changesSince(
        revision: number,
    ): Pick<HeartbeatAnswer, "directory" | "directoryRevision" | "nextHeartbeatMs"> {
        const directory: DirectoryEntry[] = [];
        let index = revision;
        for (; index < this.changeLog.length && directory.length < entriesPerAnswer; index++) {
            const entry = this.records.get(this.changeLog[index]!)!;
            if (entry.revision === index + 1) {
                directory.push({ announcement: entry.announcement, available: entry.available });
            }
        }
        const nextHeartbeatMs = index < this.changeLog.length ? catchUpIntervalMs : heartbeatIntervalMs;
        return { directory, directoryRevision: index, nextHeartbeatMs };
    }
}
