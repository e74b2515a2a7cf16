/** The leader's directory of all announced databases, and the part of it that each instance lacks. */
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

/** Entries per answer: about 8 KB, so that 470 instances can fetch all 660 entries after a change of leader. */
const entriesPerAnswer = 64;

/** Interval of the heartbeats that fetch further entries; the whole directory takes 11 of them. */
const nextEntriesMs = 100;

/** Part of the expiry for the tick that notices the silence, and for the network. */
const tellMarginMs = 200;

/** Silence after which the leader tells everyone; the answer that tells it takes up to one heartbeat more. */
const silenceMs = announcementExpiryMs - heartbeatIntervalMs - tellMarginMs;

interface Kept extends DirectoryEntry {
    readonly content: string;
    /** Instance from which the content came; only its short reports refresh the entry. */
    readonly source: string;
    readonly heardAtMs: number;
    /** Index in the log of changes. */
    readonly revision: number;
}

type Input = HeartbeatChecked | LeaderTicked | LeadershipStarted;

export class DatabaseDirectory implements Filter {
    readonly step = "database_directory";
    readonly accepts = [HealthKind.HeartbeatChecked, HealthKind.LeaderTicked, HealthKind.LeadershipStarted];
    private readonly kept = new Map<string, Kept>();
    /** Database ids in the order of their changes; an older place of an id is skipped. */
    private log: string[] = [];
    private term = 0;

    process(message: Message, nowMs: number): readonly Message[] {
        // The most frequent kind first: 940 heartbeats a second with 470 instances.
        return match(message as Input)
            .with({ kind: HealthKind.HeartbeatChecked }, checked => this.checked(checked, nowMs))
            .with({ kind: HealthKind.LeadershipStarted }, started => {
                this.kept.clear();
                this.log = [];
                this.term = started.term;
                return [started];
            })
            .with({ kind: HealthKind.LeaderTicked }, ticked => [...this.expire(nowMs), ticked])
            .exhaustive();
    }

    private checked(checked: HeartbeatChecked, nowMs: number): readonly Message[] {
        const { heartbeat } = checked;
        const changes = heartbeat.heard.flatMap(({ announcement, ageMs }) =>
            this.hear(announcement, heartbeat.instanceId, nowMs - ageMs, nowMs)
        );
        const resend: string[] = [];
        for (const { databaseId, ageMs } of heartbeat.heardUnchanged) {
            const entry = this.kept.get(databaseId);
            if (entry?.source === heartbeat.instanceId) {
                changes.push(...this.hear(entry.announcement, entry.source, nowMs - ageMs, nowMs));
            }
            else if (entry === undefined || entry.heardAtMs < nowMs - ageMs) {
                resend.push(databaseId);
            }
        }
        const known = heartbeat.directoryTerm === this.term ? heartbeat.directoryRevision : 0;
        const answered: HeartbeatChecked = {
            ...checked,
            answer: { ...checked.answer, resend, ...this.changesSince(known) },
        };
        return [...changes, answered];
    }

    private hear(announcement: DatabaseAnnouncement, source: string, heardAtMs: number, nowMs: number): Message[] {
        const before = this.kept.get(announcement.databaseId);
        if (before !== undefined && heardAtMs < before.heardAtMs) {
            return [];
        }
        const content = before?.announcement === announcement ? before.content : comparableContent(announcement);
        const available = !announcement.departing && nowMs - heardAtMs < silenceMs;
        return this.keep({ announcement, available, content, source, heardAtMs });
    }

    private keep(entry: Omit<Kept, "revision">): DirectoryChanged[] {
        const databaseId = entry.announcement.databaseId;
        const before = this.kept.get(databaseId);
        if (before?.content === entry.content && before.available === entry.available) {
            this.kept.set(databaseId, { ...entry, revision: before.revision });
            return [];
        }
        this.kept.set(databaseId, { ...entry, revision: this.log.push(databaseId) });
        return [{ kind: HealthKind.DirectoryChanged, entry }];
    }

    private expire(nowMs: number): readonly DirectoryChanged[] {
        return [...this.kept.values()]
            .filter(entry => entry.available && nowMs - entry.heardAtMs >= silenceMs)
            .flatMap(entry => this.keep({ ...entry, available: false }));
    }

    private changesSince(
        revision: number,
    ): Pick<HeartbeatAnswer, "directory" | "directoryRevision" | "nextHeartbeatMs"> {
        const directory: DirectoryEntry[] = [];
        let index = revision;
        for (; index < this.log.length && directory.length < entriesPerAnswer; index++) {
            const entry = this.kept.get(this.log[index]!)!;
            if (entry.revision === index + 1) {
                directory.push({ announcement: entry.announcement, available: entry.available });
            }
        }
        const nextHeartbeatMs = index < this.log.length ? nextEntriesMs : heartbeatIntervalMs;
        return { directory, directoryRevision: index, nextHeartbeatMs };
    }
}
