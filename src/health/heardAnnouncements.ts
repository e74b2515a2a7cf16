/** Announcements that this instance received from databases, and which of them the leader has acknowledged in full. */
import { announcementExpiryMs, type DatabaseAnnouncement } from "../model/database.ts";
import type { HeardAnnouncement, HeardId } from "../model/healthMessages.ts";
import { comparableContent } from "./announcementContent.ts";

interface ReceivedAnnouncement {
    readonly announcement: DatabaseAnnouncement;
    readonly content: string;
    readonly receivedAtMs: number;
}

/** Holds about 1.4 announcements: 660 databases announce themselves to 470 instances. */
export class HeardAnnouncements {
    private readonly announcements = new Map<string, ReceivedAnnouncement>();
    /** Content that the leader has acknowledged, by database. */
    private readonly acknowledgedContent = new Map<string, string>();

    add(announcement: DatabaseAnnouncement, nowMs: number): void {
        this.announcements.set(announcement.databaseId, {
            announcement,
            content: comparableContent(announcement),
            receivedAtMs: nowMs,
        });
    }

    /** Content of the next heartbeat: changed announcements in full, and the ids of the others. */
    report(nowMs: number): { readonly heard: HeardAnnouncement[]; readonly heardUnchanged: HeardId[]; } {
        const heard: HeardAnnouncement[] = [];
        const heardUnchanged: HeardId[] = [];
        for (const [databaseId, entry] of this.announcements) {
            const ageMs = nowMs - entry.receivedAtMs;
            if (ageMs >= announcementExpiryMs) {
                this.announcements.delete(databaseId);
                this.acknowledgedContent.delete(databaseId);
            }
            else if (this.acknowledgedContent.get(databaseId) === entry.content) {
                heardUnchanged.push({ databaseId, ageMs });
            }
            else {
                heard.push({ announcement: entry.announcement, ageMs });
            }
        }
        return { heard, heardUnchanged };
    }

    /** Records that the leader received the full announcements `sent` in a heartbeat. */
    acknowledge(sent: readonly HeardAnnouncement[]): void {
        sent.forEach(({ announcement }) =>
            this.acknowledgedContent.set(announcement.databaseId, comparableContent(announcement))
        );
    }

    /** Makes the next heartbeat carry the full announcements of these databases, which the leader lacks. */
    scheduleResend(databaseIds: readonly string[]): void {
        databaseIds.forEach(databaseId => this.acknowledgedContent.delete(databaseId));
    }

    /** Called after a change of leader: the new leader has no announcements. */
    scheduleResendAll(): void {
        this.acknowledgedContent.clear();
    }
}
