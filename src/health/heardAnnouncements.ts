/** Announcements that this instance received, and which of them the leader has already got in full. */
import { announcementExpiryMs, type DatabaseAnnouncement } from "../model/database.ts";
import type { HeardAnnouncement, HeardId } from "../model/healthMessages.ts";
import { comparableContent } from "./announcementContent.ts";

interface Heard {
    readonly announcement: DatabaseAnnouncement;
    readonly content: string;
    readonly atMs: number;
}

/** About 1.4 databases per instance: 470 instances share the announcements of 660 databases. */
export class HeardAnnouncements {
    private readonly heard = new Map<string, Heard>();
    /** Content that the leader has acknowledged, by database. */
    private readonly acknowledged = new Map<string, string>();

    add(announcement: DatabaseAnnouncement, nowMs: number): void {
        this.heard.set(announcement.databaseId, {
            announcement,
            content: comparableContent(announcement),
            atMs: nowMs,
        });
    }

    /** What a heartbeat carries now: changed announcements in full, and the ids of the others. */
    report(nowMs: number): { readonly heard: HeardAnnouncement[]; readonly heardUnchanged: HeardId[]; } {
        const heard: HeardAnnouncement[] = [];
        const heardUnchanged: HeardId[] = [];
        for (const [databaseId, entry] of this.heard) {
            const ageMs = nowMs - entry.atMs;
            if (ageMs >= announcementExpiryMs) {
                this.heard.delete(databaseId);
                this.acknowledged.delete(databaseId);
            }
            else if (this.acknowledged.get(databaseId) === entry.content) {
                heardUnchanged.push({ databaseId, ageMs });
            }
            else {
                heard.push({ announcement: entry.announcement, ageMs });
            }
        }
        return { heard, heardUnchanged };
    }

    /** The leader has taken what one heartbeat carried in full. */
    acknowledge(sent: readonly HeardAnnouncement[]): void {
        sent.forEach(({ announcement }) =>
            this.acknowledged.set(announcement.databaseId, comparableContent(announcement))
        );
    }

    /** The leader lacks the content of these databases. */
    scheduleResend(databaseIds: readonly string[]): void {
        databaseIds.forEach(databaseId => this.acknowledged.delete(databaseId));
    }

    /** Another leader took office; it knows none of the content. */
    scheduleResendAll(): void {
        this.acknowledged.clear();
    }
}
