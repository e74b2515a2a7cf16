/** What the entry instance keeps for each caller's connection. */
import { laterPosition, type Position } from "../model/position.ts";

/** Positions by group, as a caller carries them from one connection to another. */
export interface SessionFloors {
    readonly callerId: string;
    readonly floors: ReadonlyMap<string, Position>;
}

/** Turns floors into opaque text that callers cannot forge. */
export interface SessionTokenCodec {
    encode(floors: SessionFloors): string;
    /** @returns undefined when the token was not made by this cluster or was altered */
    decode(token: string): SessionFloors | undefined;
}

/** State of one session. */
export class SessionState {
    /** Positions that this session must see. */
    private readonly floors = new Map<string, Position>();
    /** The caller carries its floor itself, so the holder of the primary is not asked. */
    hasToken = false;
    /** Database whose connection keeps state of this session. */
    pinnedDatabaseId: string | undefined;
    inTransaction = false;

    raiseFloor(groupId: string, position: Position): void {
        const known = this.floors.get(groupId);
        this.floors.set(groupId, known === undefined ? position : laterPosition(known, position));
    }

    getFloor(groupId: string): Position | undefined {
        return this.floors.get(groupId);
    }

    resume(token: SessionFloors): void {
        token.floors.forEach((position, groupId) => this.raiseFloor(groupId, position));
        this.hasToken = true;
    }

    exportFloors(callerId: string): SessionFloors {
        return { callerId, floors: new Map(this.floors) };
    }
}
