/** Policies of the slot model: the choice of a database and the order of waiting statements. */

export interface SlotRequest {
    readonly id: number;
    readonly workspace: string;
    readonly isRead: boolean;
    readonly arrivedAtMs: number;
    readonly deadlineMs: number;
    /** Time of the caller's last confirmed write, which a read must see; -Infinity before the first write. */
    readonly floorAtMs: number;
    /** Oldest data that a read may return. */
    readonly maximumAgeMs: number;
}

export interface SlotDatabase {
    readonly isPrimary: boolean;
    readonly slots: number;
    readonly busySlots: number;
    readonly waitingCount: number;
    /** Time from a write on the primary until it is visible on this database; 0 for the primary. */
    readonly lagMs: number;
}

export interface SlotPolicy {
    readonly name: string;
    /** Index of the database that runs the request. */
    chooseDatabase(request: SlotRequest, databases: readonly SlotDatabase[], nowMs: number): number;
    /** Index of the waiting request that gets the next free slot; the queue is in order of arrival. */
    chooseNext(queue: readonly SlotRequest[], nowMs: number): number;
}

/** Runs all statements on the primary, first come first served. */
export class PrimaryOnly implements SlotPolicy {
    readonly name = "primary only";

    chooseDatabase(_: SlotRequest, databases: readonly SlotDatabase[]): number {
        return databases.findIndex(database => database.isPrimary);
    }

    chooseNext(): number {
        return 0;
    }
}

/** Runs reads on the least loaded database, even if its data is stale, first come first served. */
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
