/** Last written position of each caller on one primary, in bounded memory. */
import { laterPosition, type Position } from "../model/position.ts";

export class FloorTable {
    private readonly capacity: number;
    /** In order of last use, the least recent first. */
    private readonly floors = new Map<string, Position>();
    private baseFloor: Position;

    /** @param baseFloor floor of every caller without an entry: the primary's position at the takeover */
    constructor(capacity: number, baseFloor: Position) {
        this.capacity = capacity;
        this.baseFloor = baseFloor;
    }

    recordWrite(callerId: string, written: Position): void {
        const floor = laterPosition(this.floors.get(callerId) ?? written, written);
        this.floors.delete(callerId);
        this.floors.set(callerId, floor);
        if (this.floors.size > this.capacity) {
            this.evictOldest();
        }
    }

    floorOf(callerId: string): Position {
        const floor = this.floors.get(callerId);
        return floor === undefined ? this.baseFloor : laterPosition(floor, this.baseFloor);
    }

    // An evicted caller falls back to the base, so the base must cover what it wrote.
    private evictOldest(): void {
        const [callerId, floor] = this.floors.entries().next().value!;
        this.floors.delete(callerId);
        this.baseFloor = laterPosition(this.baseFloor, floor);
    }
}
