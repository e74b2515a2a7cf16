/** Bounded table of the last log position that each caller wrote on one primary: the floor of the caller's reads. */
import { laterPosition, type Position } from "../model/position.ts";

export class FloorTable {
    private readonly capacity: number;
    /** In order of the last write, the oldest first. */
    private readonly floors = new Map<string, Position>();
    private baseFloor: Position;

    /** @param baseFloor floor of callers without an entry: the primary's position after this instance became holder */
    constructor(capacity: number, baseFloor: Position) {
        this.capacity = capacity;
        this.baseFloor = baseFloor;
    }

    recordWrite(callerId: string, written: Position): void {
        const floor = laterPosition(this.floors.get(callerId), written);
        this.floors.delete(callerId);
        this.floors.set(callerId, floor);
        if (this.floors.size > this.capacity) {
            this.evictOldest();
        }
    }

    floorOf(callerId: string): Position {
        const floor = this.floors.get(callerId);
        return laterPosition(floor, this.baseFloor);
    }

    // An evicted caller falls back to the base floor, so the base floor must cover the caller's writes.
    private evictOldest(): void {
        const [callerId, floor] = this.floors.entries().next().value!;
        this.floors.delete(callerId);
        this.baseFloor = laterPosition(this.baseFloor, floor);
    }
}
