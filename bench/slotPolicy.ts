/** Choice of database and order of waiting statements, as the slot model asks for it; the holder's filters plug in. */

export interface SlotRequest {
    readonly id: number;
    readonly workspace: string;
    readonly isRead: boolean;
    readonly arrivedAtMs: number;
    readonly deadlineMs: number;
    /** Time of the caller's last confirmed write; a read must see it. -Infinity before the first. */
    readonly floorAtMs: number;
    /** Oldest data that a read may return. */
    readonly maximumAgeMs: number;
}

export interface SlotDatabase {
    readonly isPrimary: boolean;
    readonly slots: number;
    readonly busySlots: number;
    readonly waitingCount: number;
    /** Time between a write on the primary and its visibility here; 0 for the primary. */
    readonly lagMs: number;
}

export interface SlotPolicy {
    readonly name: string;
    /** Index of the database that is to run the request. */
    chooseDatabase(request: SlotRequest, databases: readonly SlotDatabase[], nowMs: number): number;
    /** Index of the waiting request that gets the next free slot; the queue is in order of arrival. */
    chooseNext(queue: readonly SlotRequest[], nowMs: number): number;
}

/** All statements on the primary, first come first served. */
export class PrimaryOnly implements SlotPolicy {
    readonly name = "primary only";

    chooseDatabase(_: SlotRequest, databases: readonly SlotDatabase[]): number {
        return databases.findIndex(database => database.isPrimary);
    }

    chooseNext(): number {
        return 0;
    }
}

/** Reads on the least loaded database, whatever its data, first come first served. */
export class LeastLoaded implements SlotPolicy {
    readonly name = "least loaded";

    chooseDatabase(request: SlotRequest, databases: readonly SlotDatabase[]): number {
        if (!request.isRead) {
            return databases.findIndex(database => database.isPrimary);
        }
        const loads = databases.map(({ busySlots, waitingCount, slots }) => (busySlots + waitingCount) / slots);
        return loads.indexOf(Math.min(...loads));
    }

    chooseNext(): number {
        return 0;
    }
}

export const slotBaselines: readonly SlotPolicy[] = [new PrimaryOnly(), new LeastLoaded()];
