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
            const record = this.records.get(databaseId);
            if (record?.source === heartbeat.instanceId) {
                changes.push(...this.recordAnnouncement(record.announcement, record.source, nowMs - ageMs, nowMs));
            }
            else if (record === undefined || record.announcedAtMs < nowMs - ageMs) {
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
        const previous = this.records.get(announcement.databaseId);
        if (previous !== undefined && announcedAtMs < previous.announcedAtMs) {
            return [];
        }
        const content = previous?.announcement === announcement ? previous.content : comparableContent(announcement);
        const available = !announcement.departing && nowMs - announcedAtMs < unavailableAfterMs;
        return this.updateRecord({ announcement, available, content, source, announcedAtMs });
    }

    private updateRecord(record: Omit<DirectoryRecord, "revision">): DirectoryChanged[] {
        const databaseId = record.announcement.databaseId;
        const previous = this.records.get(databaseId);
        if (previous?.content === record.content && previous.available === record.available) {
            this.records.set(databaseId, { ...record, revision: previous.revision });
            return [];
        }
        this.records.set(databaseId, { ...record, revision: this.changeLog.push(databaseId) });
        return [{ kind: HealthKind.DirectoryChanged, entry: record }];
    }

    private expireRecords(nowMs: number): readonly DirectoryChanged[] {
        return [...this.records.values()]
            .filter(record => record.available && nowMs - record.announcedAtMs >= unavailableAfterMs)
            .flatMap(record => this.updateRecord({ ...record, available: false }));
    }

    private changesSince(
        revision: number,
    ): Pick<HeartbeatAnswer, "directory" | "directoryRevision" | "nextHeartbeatMs"> {
        const directory: DirectoryEntry[] = [];
        let index = revision;
        for (; index < this.changeLog.length && directory.length < entriesPerAnswer; index++) {
            const record = this.records.get(this.changeLog[index]!)!;
            if (record.revision === index + 1) {
                directory.push({ announcement: record.announcement, available: record.available });
            }
        }
        const nextHeartbeatMs = index < this.changeLog.length ? catchUpIntervalMs : heartbeatIntervalMs;
        return { directory, directoryRevision: index, nextHeartbeatMs };
    }
}
