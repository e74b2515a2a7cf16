/**
 * Acknowledged writes of a database group with their times: the reference for finding stale reads and lost writes.
 * Shares no code with the proxy's tracking of floors, so that it also detects faults in that code.
 */
import type { ModelDatabase } from "./modelDatabase.ts";

interface AcknowledgedWrite {
    readonly writeId: number;
    readonly atMs: number;
}

interface Cursor {
    index: number;
    truncationCount: number;
}

/** Acknowledged writes in order of time, with a cursor per database to the first write that the database lacks. */
class WriteList {
    private readonly writes: AcknowledgedWrite[] = [];
    private readonly cursors = new Map<ModelDatabase, Cursor>();

    add(write: AcknowledgedWrite): void {
        this.writes.push(write);
    }

    /** Time of the earliest acknowledged write that `database` lacks; Infinity if it has all writes. */
    firstMissingAtMs(database: ModelDatabase): number {
        let cursor = this.cursors.get(database);
        if (cursor === undefined || cursor.truncationCount !== database.truncationCount) {
            cursor = { index: 0, truncationCount: database.truncationCount };
            this.cursors.set(database, cursor);
        }
        while (cursor.index < this.writes.length && database.hasWrite(this.writes[cursor.index]!.writeId)) {
            cursor.index++;
        }
        return this.writes[cursor.index]?.atMs ?? Infinity;
    }
}

export class AcknowledgedWrites {
    private readonly allWrites = new WriteList();
    private readonly writesByCaller = new Map<string, WriteList>();

    acknowledge(callerId: string, writeId: number, atMs: number): void {
        this.allWrites.add({ writeId, atMs });
        this.writesOfCaller(callerId).add({ writeId, atMs });
    }

    /**
     * A read is stale if the database lacks a write that was acknowledged to the same caller before the read was sent,
     * or any write that was acknowledged more than `maximumAgeMs` before the read was sent.
     */
    isStale(database: ModelDatabase, callerId: string, sentAtMs: number, maximumAgeMs: number): boolean {
        return this.writesOfCaller(callerId).firstMissingAtMs(database) < sentAtMs
            || this.allWrites.firstMissingAtMs(database) < sentAtMs - maximumAgeMs;
    }

    /** Whether an acknowledged write is lost because `primary` does not have it. */
    hasLost(primary: ModelDatabase): boolean {
        return this.allWrites.firstMissingAtMs(primary) < Infinity;
    }

    private writesOfCaller(callerId: string): WriteList {
        const existing = this.writesByCaller.get(callerId);
        const list = existing ?? new WriteList();
        if (existing === undefined) {
            this.writesByCaller.set(callerId, list);
        }
        return list;
    }
}
