/** Compares announcements without the offset of their position, which changes with every write. */
import type { DatabaseAnnouncement } from "../model/database.ts";

/** Equal for two announcements exactly when they differ in nothing but the offset of their position. */
export function comparableContent(announcement: DatabaseAnnouncement): string {
    return JSON.stringify([
        announcement.databaseId,
        announcement.groupId,
        announcement.service,
        announcement.dataCentre,
        announcement.address,
        announcement.slots,
        announcement.connectionLimit,
        announcement.role,
        announcement.position.term,
        announcement.groupSize,
        announcement.departing,
    ]);
}
